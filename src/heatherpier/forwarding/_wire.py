"""Encoding of calls and replies in messages between proxies."""

import msgspec

from heatherpier.pooling import (
    Call,
    ClearSession,
    Forward,
    ForwardExecute,
    OpenTransaction,
    PrepareShape,
    RollBack,
)
from heatherpier.positions import LogPosition
from heatherpier.statements import (
    Access,
    Code,
    Done,
    Failed,
    Outcome,
    Reply,
    SessionState,
)

# Term and index of a position, or None.
WirePosition = tuple[int, int] | None


class _Statement(msgspec.Struct, frozen=True, array_like=True, tag="s"):
    id: str
    text: str
    min_position: WirePosition


class _Execution(msgspec.Struct, frozen=True, array_like=True, tag="e"):
    id: str
    name: str
    arguments: str
    min_position: WirePosition


class _Opening(msgspec.Struct, frozen=True, array_like=True, tag="o"):
    read_only: bool
    min_position: WirePosition


class _Shape(msgspec.Struct, frozen=True, array_like=True, tag="p"):
    name: str
    writes: bool
    shape: str


class _Rollback(msgspec.Struct, frozen=True, array_like=True, tag="r"):
    pass


class _Clear(msgspec.Struct, frozen=True, array_like=True, tag="c"):
    pass


WireCall = _Statement | _Execution | _Opening | _Shape | _Rollback | _Clear


class WireReply(msgspec.Struct, frozen=True, array_like=True):
    """A reply of an instance.

    Attributes:
        state: Session state after the call.
        position: Position of the instance's log, or None.
        rows: Rows of the result, or None if the call failed.
        signature: Signature of the instance.
        code: Code of the failure, or empty.
        reason: Reason of the failure, or empty.
        retry_after_ms: Time in milliseconds after which a retry makes sense, or None.
    """

    state: SessionState
    position: WirePosition = None
    rows: tuple[str, ...] | None = None
    signature: str = ""
    code: str = ""
    reason: str = ""
    retry_after_ms: int | None = None


def encode_call(call: Call) -> WireCall:
    """Returns the encoded form of a call of a session.

    Raises:
        TypeError: The call is a control call, which is not forwarded.
    """
    match call:
        case Forward(id=id_, text=text, min_position=position):
            return _Statement(id_, text, _encode_position(position))
        case ForwardExecute(id=id_, name=name, arguments=args, min_position=position):
            return _Execution(id_, name, args, _encode_position(position))
        case OpenTransaction(read_only=read_only, min_position=position):
            return _Opening(read_only, _encode_position(position))
        case PrepareShape(name=name, access=access, shape=shape):
            return _Shape(name, access is Access.WRITE, shape)
        case RollBack():
            return _Rollback()
        case ClearSession():
            return _Clear()
        case _:
            raise TypeError(f"{type(call).__name__} is not forwarded")


def decode_call(call: WireCall) -> Call:
    """Returns the call of an encoded form."""
    match call:
        case _Statement():
            return Forward(
                id=call.id,
                text=call.text,
                min_position=_decode_position(call.min_position),
            )
        case _Execution():
            return ForwardExecute(
                id=call.id,
                name=call.name,
                arguments=call.arguments,
                min_position=_decode_position(call.min_position),
            )
        case _Opening():
            return OpenTransaction(
                read_only=call.read_only,
                min_position=_decode_position(call.min_position),
            )
        case _Shape():
            access = Access.WRITE if call.writes else Access.READ
            return PrepareShape(name=call.name, access=access, shape=call.shape)
        case _Rollback():
            return RollBack()
        case _Clear():
            return ClearSession()


def encode_reply(reply: Reply) -> WireReply:
    """Returns the encoded form of a reply."""
    position = _encode_position(reply.position)
    match reply.outcome:
        case Done(rows=rows, signature=signature):
            return WireReply(reply.state, position, rows, signature)
        case Failed(code=code, reason=reason, retry_after_ms=retry_after_ms):
            return WireReply(
                reply.state,
                position,
                code=code.value,
                reason=reason,
                retry_after_ms=retry_after_ms,
            )


def decode_reply(reply: WireReply) -> Reply:
    """Returns the reply of an encoded form.

    A code that this build does not know leaves open whether the statement ran.
    """
    outcome: Outcome
    if reply.rows is not None:
        outcome = Done(rows=reply.rows, signature=reply.signature)
    else:
        outcome = Failed(
            code=_decode_code(reply.code),
            reason=reply.reason,
            retry_after_ms=reply.retry_after_ms,
        )
    return Reply(
        outcome=outcome, state=reply.state, position=_decode_position(reply.position)
    )


def _decode_code(text: str) -> Code:
    try:
        return Code(text)
    except ValueError:
        return Code.OUTCOME_UNKNOWN


def _encode_position(position: LogPosition | None) -> WirePosition:
    return None if position is None else (position.term, position.index)


def _decode_position(position: WirePosition) -> LogPosition | None:
    return None if position is None else LogPosition(*position)
