"""Leases on the primary of each service, and changes of primary."""

from heatherpier.leases._changer import PrimaryChanger
from heatherpier.leases._confirmations import Confirmations
from heatherpier.leases._coordinators import ChangeCoordinators
from heatherpier.leases._fence import PrimaryChange
from heatherpier.leases._first_primaries import FirstPrimaries
from heatherpier.leases._grants import Grants
from heatherpier.leases._in_flight import InFlightWork
from heatherpier.leases._indirect_probes import IndirectProber
from heatherpier.leases._interface import (
    ControlError,
    InstanceControl,
    InstanceFullError,
    NotRunningError,
    Promotions,
    ReplicationStatus,
)
from heatherpier.leases._leadership_rows import ChangeFailedError, LeadershipRows
from heatherpier.leases._liveness import MemberLiveness
from heatherpier.leases._messages import LEASE_MESSAGES
from heatherpier.leases._peer_ranking import PeerRanking
from heatherpier.leases._peers import PeerLinks
from heatherpier.leases._primary_leases import LEASE_S, Lease, NoLease, PrimaryLeases
from heatherpier.leases._records import (
    Changing,
    Confirming,
    Leadership,
    LeadershipRecord,
    Led,
    decode_leadership,
    encode_leadership,
    encode_member,
)
from heatherpier.leases._registration import Registration
from heatherpier.leases._releases import LeaseReleases
from heatherpier.leases._removal import MemberRemoval
from heatherpier.leases._replica_sets import ReplicaSets
from heatherpier.leases._sample_exchange import PositionSamples, SampleExchange
from heatherpier.leases._successors import Successors
from heatherpier.leases._table_fallback import PeerTableFallback
from heatherpier.leases._table_sync import PeerTableSync
from heatherpier.leases._table_watch import PeerTableWatch
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
    "PrimaryChange",
    "Changing",
    "Confirming",
    "Confirmations",
    "LeadershipRows",
    "ControlError",
    "PeerTableSync",
    "PeerTableFallback",
    "FirstPrimaries",
    "FleetView",
    "Grants",
    "ChangeCoordinators",
    "InstanceControl",
    "Leadership",
    "LeadershipRecord",
    "Led",
    "MemberLiveness",
    "MemberRemoval",
    "MemberRecord",
    "NoLease",
    "NotRunningError",
    "PeerLinks",
    "PeerRanking",
    "PeerTableWatch",
    "PrimaryChanger",
    "PrimaryLeases",
    "InFlightWork",
    "PrimaryWatcher",
    "PositionSamples",
    "Promotions",
    "Registration",
    "ReplicaSets",
    "SampleExchange",
    "Successors",
    "LeaseReleases",
    "Lease",
    "IndirectProber",
    "ReplicationStatus",
    "InstanceFullError",
    "decode_leadership",
    "encode_leadership",
    "encode_member",
]
