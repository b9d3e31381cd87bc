"""Rows of the fleet's table: leaderships of services, and members."""

from dataclasses import dataclass

import msgspec

from heatherpier.fleet import Peer
from heatherpier.tables import epoch_of

# Stands for a term that the writer of a row did not know.
UNKNOWN_TERM = -1


class Led(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True, tag="led"):
    """State of a service that has a primary.

    Attributes:
        instance: Name of the primary.
        term: Term of the primary.
        epoch: Epoch of the store in which the row was written.
    """

    instance: str
    term: int
    epoch: int = 0


class Confirming(msgspec.Struct, frozen=True, kw_only=True, tag="confirming"):
    """State of a service whose primary is being confirmed after a restore of the store.

    Attributes:
        holder: Name of the member that confirms it.
        epoch: Epoch of the store in which the row was written.
    """

    holder: str
    epoch: int


class Changing(
    msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True, tag="changing"
):
    """State of a service whose primary is being replaced.

    No new work may begin on the old primary.

    Attributes:
        previous: Name of the old primary.
        holder: Name of the member that coordinates the change.
        planned: Whether the old primary is healthy and only leaves.
        epoch: Epoch of the store in which the row was written.
        term: Term of the old primary, 0 if the service began with it, or
            `UNKNOWN_TERM`.
    """

    previous: str
    holder: str
    planned: bool
    epoch: int = 0
    term: int = UNKNOWN_TERM


Leadership = Led | Confirming | Changing


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

    @property
    def counts(self) -> bool:
        """Whether the row was written in the epoch of the store that it is read in.

        A row that a restore brought back may lack later changes, and a late write from
        before the restore may have taken effect after it. Neither says who leads.
        """
        return self.state.epoch == epoch_of(self.version)


class _Member(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    host: str
    port: int
    data_centre: str
    # Relative capacity of the VM. Rows of builds that don't know it lack it.
    capacity: float = 1.0


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


def encode_member(peer: Peer, *, capacity: float = 1.0) -> bytes:
    """Returns the content of a member's row.

    Args:
        peer: Name and address of the member.
        capacity: Relative capacity of its VM. Builds that don't know it ignore it.
    """
    return msgspec.json.encode(
        _Member(
            host=peer.host,
            port=peer.port,
            data_centre=peer.data_centre,
            capacity=capacity,
        )
    )


def decode_member(name: str, body: bytes) -> tuple[Peer, float]:
    """Returns the member called ``name`` in the content of its row, and its capacity.

    Raises:
        msgspec.MsgspecError: The content can't be decoded.
    """
    member = _member_decoder.decode(body)
    peer = Peer(
        name=name, host=member.host, port=member.port, data_centre=member.data_centre
    )
    # A weight has to be positive; a row that states none at all counts like one
    # without a weight.
    return peer, member.capacity if member.capacity > 0 else 1.0
