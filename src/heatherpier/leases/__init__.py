"""Who leads each service, who may rely on it for how long, and how that changes."""

from heatherpier.leases._changer import ChangeFailedError, PrimaryChanger
from heatherpier.leases._exchange import CopyExchange
from heatherpier.leases._fence import ChangeOrder
from heatherpier.leases._grants import Grants
from heatherpier.leases._holders import Holders
from heatherpier.leases._interface import (
    ControlError,
    InstanceControl,
    NotRunningError,
    Promotions,
    Standing,
    TurnedAwayError,
)
from heatherpier.leases._liveness import MemberLiveness
from heatherpier.leases._messages import LEASE_MESSAGES
from heatherpier.leases._peer_watch import PeerWatch
from heatherpier.leases._peers import PeerLinks
from heatherpier.leases._records import (
    Changing,
    Leadership,
    LeadershipRecord,
    Led,
    decode_leadership,
    encode_leadership,
    encode_member,
)
from heatherpier.leases._registration import Registration
from heatherpier.leases._relay import CopyRelay
from heatherpier.leases._releases import Releases
from heatherpier.leases._rights import LEASE_S, NoRight, PrimaryRights, Right
from heatherpier.leases._surveys import Surveys
from heatherpier.leases._use import PrimaryUse
from heatherpier.leases._view import (
    FLEET_TABLE,
    LEADER_PREFIX,
    MEMBER_PREFIX,
    FleetView,
    MemberRecord,
)
from heatherpier.leases._watcher import PrimaryWatcher

__all__ = [
    "FLEET_TABLE",
    "LEADER_PREFIX",
    "LEASE_MESSAGES",
    "LEASE_S",
    "MEMBER_PREFIX",
    "ChangeFailedError",
    "ChangeOrder",
    "Changing",
    "ControlError",
    "CopyExchange",
    "CopyRelay",
    "FleetView",
    "Grants",
    "Holders",
    "InstanceControl",
    "Leadership",
    "LeadershipRecord",
    "Led",
    "MemberLiveness",
    "MemberRecord",
    "NoRight",
    "NotRunningError",
    "PeerLinks",
    "PeerWatch",
    "PrimaryChanger",
    "PrimaryRights",
    "PrimaryUse",
    "PrimaryWatcher",
    "Promotions",
    "Registration",
    "Releases",
    "Right",
    "Surveys",
    "Standing",
    "TurnedAwayError",
    "decode_leadership",
    "encode_leadership",
    "encode_member",
]
