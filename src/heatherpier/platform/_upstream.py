"""Connections to instances by the line protocol."""

import asyncio
from collections.abc import Sequence

from heatherpier.platform._channel import LineChannel
from heatherpier.platform._errors import MalformedLineError, PlatformError
from heatherpier.platform._line import (
    PROXY_STATEMENT_ID,
    format_begin,
    format_execute,
    format_min_position,
    format_prepare,
    format_set,
    parse_failure,
    parse_ready,
)
from heatherpier.pooling import (
    ApplyValue,
    Call,
    ClearSession,
    Demote,
    FetchStatus,
    Forward,
    ForwardExecute,
    InstanceLink,
    OpenTransaction,
    PrepareShape,
    RollBack,
)
from heatherpier.statements import Code, Done, Outcome, Reply
from heatherpier.upstreams import (
    ConnectError,
    ConnectionLostError,
    Instance,
    TooManyConnectionsError,
)


class LineConnector:
    """Implements `InstanceConnector` by the line protocol.

    Args:
        caller: Name of this proxy, as which it connects to instances for statements of
            its own and of callers without an organisation.
    """

    def __init__(self, *, caller: str) -> None:
        self._caller = caller

    async def connect(
        self, instance: Instance, *, service: str, organisation: str = ""
    ) -> InstanceLink:
        """Opens a connection to the instance of that name and service.

        Raises:
            ConnectError: Nothing answers at the address, or another instance does.
            TooManyConnectionsError: The instance is at its connection limit.
        """
        try:
            _, channel = await asyncio.get_running_loop().create_connection(
                LineChannel, instance.host, instance.port
            )
        except (OSError, ValueError, OverflowError) as exc:
            # The event loop raises ValueError for a host that it can't encode, and
            # OverflowError for a port that is too large.
            raise ConnectError(f"{instance.name}: {exc}") from exc
        link = LineLink(channel, name=instance.name)
        try:
            await link.start(service=service, caller=organisation or self._caller)
        except BaseException:
            link.abort()
            raise
        return link


class LineLink:
    """Implements `InstanceLink` by the line protocol.

    Args:
        channel: Connection to the instance.
        name: Name of the instance.
    """

    def __init__(self, channel: LineChannel, *, name: str) -> None:
        self._channel = channel
        self._name = name

    async def start(self, *, service: str, caller: str) -> None:
        """Opens the session.

        The message names the instance, because addresses are reused: another instance
        at the same address then rejects the session.

        Raises:
            ConnectError: Nothing answers at the address, or another instance does.
            TooManyConnectionsError: The instance is at its connection limit.
        """
        try:
            self._channel.write(f"START {service} {caller} {self._name}\r\n")
            word, fields = await self._read_message()
        except ConnectionLostError as exc:
            raise ConnectError(str(exc)) from exc
        except UnicodeEncodeError as exc:
            raise ConnectError(f"{self._name}: {exc}") from exc
        if word == "READY":
            return
        failure = parse_failure(fields)
        if failure.code is Code.OVERLOADED:
            raise TooManyConnectionsError(f"{self._name}: {failure.reason}")
        raise ConnectError(f"{self._name}: {failure.code.value} {failure.reason}")

    async def exchange(self, calls: Sequence[Call]) -> list[Reply]:
        """Sends all calls at once and returns their answers in order."""
        data = "".join(f"QUERY {_format_call(call)}\r\n" for call in calls)
        self._channel.write(data)
        return [await self._read_reply() for _ in calls]

    async def _read_reply(self) -> Reply:
        rows: list[str] = []
        outcome: Outcome | None = None
        while True:
            word, fields = await self._read_message()
            match word:
                case "ROW" if outcome is None:
                    rows.append(fields)
                case "DONE" if outcome is None:
                    outcome = Done(rows=tuple(rows), signature=fields)
                case "ERR" if outcome is None:
                    outcome = parse_failure(fields)
                case "READY" if outcome is not None:
                    return self._finish_reply(outcome, fields)
                case _:
                    raise ConnectionLostError(
                        f"{self._name}: unexpected message {word!r:.40}"
                    )

    def _finish_reply(self, outcome: Outcome, fields: str) -> Reply:
        try:
            ready = parse_ready(fields)
        except MalformedLineError as exc:
            raise ConnectionLostError(f"{self._name}: {exc}") from exc
        return Reply(outcome=outcome, state=ready.state, position=ready.position)

    async def _read_message(self) -> tuple[str, str]:
        try:
            text = await self._channel.read()
        except PlatformError as exc:
            raise ConnectionLostError(f"{self._name}: {exc}") from exc
        word, _, fields = text.partition(" ")
        return word, fields

    def has_unread(self) -> bool:
        """Returns whether data has arrived that no call waits for."""
        return self._channel.has_unread()

    def abort(self) -> None:
        """Closes the connection immediately."""
        self._channel.abort()


def _format_call(call: Call) -> str:
    """Returns the fields of the QUERY message for a call: id and statement."""
    match call:
        case Forward(id=id_, text=text, min_position=min_position):
            return f"{id_} {format_min_position(min_position, text)}"
        case ForwardExecute(id=id_, name=name, arguments=args, min_position=position):
            return f"{id_} {format_min_position(position, format_execute(name, args))}"
        case OpenTransaction(read_only=read_only, min_position=min_position):
            text = format_begin(read_only=read_only)
            return f"{PROXY_STATEMENT_ID} {format_min_position(min_position, text)}"
        case RollBack():
            return f"{PROXY_STATEMENT_ID} ROLLBACK"
        case ApplyValue(name=name, value=value):
            return f"{PROXY_STATEMENT_ID} {format_set(name, value)}"
        case PrepareShape(name=name, access=access, shape=shape):
            return f"{PROXY_STATEMENT_ID} {format_prepare(name, access, shape)}"
        case ClearSession():
            return f"{PROXY_STATEMENT_ID} RESET"
        case FetchStatus():
            return f"{PROXY_STATEMENT_ID} STATUS"
        case Demote(term=term):
            return f"{PROXY_STATEMENT_ID} DEMOTE {term}"
