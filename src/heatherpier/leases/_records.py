"""Rows of the fleet's table: leaderships of services, and members."""

from dataclasses import dataclass

import msgspec

from heatherpier.fleet import Peer


class Led(msgspec.Struct, frozen=True, kw_only=True, tag="led"):
    """State of a service that has a primary.

    Attributes:
        instance: Name of the primary.
        term: Term of the primary.
    """

    instance: str
    term: int


class Changing(msgspec.Struct, frozen=True, kw_only=True, tag="changing"):
    """State of a service whose primary is being replaced.

    No new work may begin on the old primary.

    Attributes:
        previous: Name of the old primary.
        holder: Name of the member that coordinates the change.
        planned: Whether the old primary is healthy and only leaves.
    """

    previous: str
    holder: str
    planned: bool


Leadership = Led | Changing


@dataclass(frozen=True, slots=True, kw_only=True)
class LeadershipRecord:
    """The leadership row of a service.

    Attributes:
        state: The primary, or the change of primary that is under way.
        version: Version of the row. It rises with each change, so it is also the
            fencing token by which promotions of an earlier coordinator are rejected.
    """

    state: Leadership
    version: int


class _Member(msgspec.Struct, frozen=True, kw_only=True):
    host: str
    port: int
    data_centre: str


_leadership_decoder = msgspec.json.Decoder(Leadership)
_member_decoder = msgspec.json.Decoder(_Member)


def encode_leadership(state: Leadership) -> bytes:
    """Returns the content of a leadership row."""
    return msgspec.json.encode(state)


def decode_leadership(body: bytes) -> Leadership:
    """Returns the leadership in the content of a row.

    Raises:
        msgspec.MsgspecError: The content can't be decoded.
    """
    return _leadership_decoder.decode(body)


def encode_member(peer: Peer) -> bytes:
    """Returns the content of a member's row."""
    return msgspec.json.encode(
        _Member(host=peer.host, port=peer.port, data_centre=peer.data_centre)
    )


def decode_member(name: str, body: bytes) -> Peer:
    """Returns the member called ``name`` with the address in the content of its row.

    Raises:
        msgspec.MsgspecError: The content can't be decoded.
    """
    member = _member_decoder.decode(body)
    return Peer(
        name=name, host=member.host, port=member.port, data_centre=member.data_centre
    )
