"""What the store keeps of leaders and of the fleet's members."""

from dataclasses import dataclass

import msgspec

from heatherpier.fleet import Peer


class Led(msgspec.Struct, frozen=True, kw_only=True, tag="led"):
    """A service is led by one instance.

    Attributes:
        instance: Name of the primary.
        term: Term that it leads.
    """

    instance: str
    term: int


class Changing(msgspec.Struct, frozen=True, kw_only=True, tag="changing"):
    """A member replaces the primary; nobody may use the old one.

    Attributes:
        previous: Name of the old primary.
        holder: Name of the member that carries the change out.
        planned: Whether the old primary is healthy and only leaves.
    """

    previous: str
    holder: str
    planned: bool


Leadership = Led | Changing


@dataclass(frozen=True, slots=True, kw_only=True)
class LeadershipRecord:
    """The stored leadership of a service.

    Attributes:
        state: Who leads, or who is changing it.
        version: Version of its row. It rises with each change, so it also serves
            as the token that fences an older holder off.
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
    """Returns what a leadership row says.

    Raises:
        msgspec.MsgspecError: It can't be read.
    """
    return _leadership_decoder.decode(body)


def encode_member(peer: Peer) -> bytes:
    """Returns the content of a member's row."""
    return msgspec.json.encode(
        _Member(host=peer.host, port=peer.port, data_centre=peer.data_centre)
    )


def decode_member(name: str, body: bytes) -> Peer:
    """Returns the member that a row describes.

    Raises:
        msgspec.MsgspecError: It can't be read.
    """
    member = _member_decoder.decode(body)
    return Peer(
        name=name, host=member.host, port=member.port, data_centre=member.data_centre
    )
