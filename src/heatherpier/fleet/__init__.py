"""Messages between proxies and the membership of the fleet."""

from heatherpier.fleet._errors import FleetError, PeerUnreachableError
from heatherpier.fleet._interface import Handler, Peer, PeerNetwork
from heatherpier.fleet._members import Member, MemberState, MemberTable
from heatherpier.fleet._membership import MEMBERSHIP_MESSAGES, Membership
from heatherpier.fleet._messages import Codec, Message, PeerRecord, message_kind
from heatherpier.fleet._zmq import CurveKeys, ZmqPeers

__all__ = [
    "MEMBERSHIP_MESSAGES",
    "Codec",
    "CurveKeys",
    "FleetError",
    "Handler",
    "Member",
    "MemberTable",
    "Membership",
    "Message",
    "Peer",
    "PeerNetwork",
    "PeerRecord",
    "PeerUnreachableError",
    "MemberState",
    "ZmqPeers",
    "message_kind",
]
