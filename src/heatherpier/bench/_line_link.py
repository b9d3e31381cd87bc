"""Connections in memory to the instances of a `LineGroup`."""

import asyncio
import itertools
from collections.abc import Sequence

from heatherpier.bench._line_group import (
    HANDSHAKE_S,
    WORK_S,
    LineGroup,
    LineInstance,
    Run,
)
from heatherpier.groups import LogPosition
from heatherpier.pooling import (
    ApplyValue,
    Call,
    ClearSession,
    Demote,
    FetchStatus,
    Forward,
    ForwardExecute,
    OpenTransaction,
    PrepareShape,
    RollBack,
)
from heatherpier.statements import (
    Access,
    Code,
    Done,
    Failed,
    Outcome,
    Reply,
    SessionState,
)
from heatherpier.timers import Timers
from heatherpier.upstreams import (
    ConnectError,
    ConnectionLostError,
    Instance,
    TooManyConnectionsError,
)

_numbers = itertools.count(1)


class LineGroupConnector:
    """Implements `InstanceConnector` for one proxy.

    Args:
        proxy: Name of the proxy.
        groups: Groups by service.
        timers: Timer service.
    """

    def __init__(
        self, proxy: str, *, groups: dict[str, LineGroup], timers: Timers
    ) -> None:
        self._proxy = proxy
        self._groups = groups
        self._timers = timers

    async def connect(self, instance: Instance, *, service: str) -> "MemoryLineLink":
        """Opens a connection to the instance of that name and service."""
        group = self._groups[service]
        target = group.instances[instance.name]
        if not target.running:
            raise ConnectError(f"{instance.name}: refused")
        if target.keeps_silent(self._proxy):
            await asyncio.Event().wait()
        await self._timers.sleep(HANDSHAKE_S)
        if target.full:
            raise TooManyConnectionsError(instance.name)
        target.connections += 1
        return MemoryLineLink(group, target, proxy=self._proxy, timers=self._timers)


class MemoryLineLink:
    """Implements `InstanceLink`.

    Args:
        group: The group.
        instance: The instance.
        proxy: Name of the proxy.
        timers: Timer service.
    """

    def __init__(
        self, group: LineGroup, instance: LineInstance, *, proxy: str, timers: Timers
    ) -> None:
        self.number = next(_numbers)
        self.closed = False
        self._group = group
        self._instance = instance
        self._proxy = proxy
        self._timers = timers
        self._values: dict[str, str] = {}
        self._prepared: dict[str, tuple[Access, str]] = {}
        self._transaction: OpenTransaction | None = None
        self._wrote = False

    async def exchange(self, calls: Sequence[Call]) -> list[Reply]:
        """Runs all calls and returns their answers in order."""
        return [await self._run(call) for call in calls]

    def has_unread(self) -> bool:
        """Tells whether something has arrived that no call waits for."""
        return self.closed or not self._instance.running

    def abort(self) -> None:
        """Closes the connection; an open transaction is rolled back."""
        self.closed = True

    async def _run(self, call: Call) -> Reply:
        instance = self._instance
        if instance.keeps_silent(self._proxy):
            await asyncio.Event().wait()
        if self.closed or not instance.running:
            raise ConnectionLostError(f"{instance.name}: closed")
        outcome = await self._serve(call)
        if instance.lose_answers and isinstance(call, Forward | ForwardExecute):
            instance.lose_answers -= 1
            raise ConnectionLostError(f"{instance.name}: answer lost")
        state = SessionState.OPEN if self._transaction else SessionState.IDLE
        return Reply(
            outcome=outcome, state=state, position=instance.applied(self._timers.now())
        )

    async def _serve(self, call: Call) -> Outcome:
        match call:
            case ApplyValue(name=name, value=value):
                self._values[name] = value
            case PrepareShape(name=name, access=access, shape=shape):
                self._prepared[name] = (access, shape)
            case ClearSession():
                self._values, self._prepared = {}, {}
            case OpenTransaction():
                return self._open(call)
            case RollBack():
                self._transaction, self._wrote = None, False
            case Forward(id=id_, text=text, min_position=floor):
                return await self._forward(id_, text, floor)
            case ForwardExecute(
                id=id_, name=name, arguments=arguments, min_position=floor
            ):
                if name not in self._prepared:
                    return Failed(code=Code.UNKNOWN_STATEMENT, reason=name)
                access, shape = self._prepared[name]
                word = "WRITE" if access is Access.WRITE else "READ"
                return await self._forward(id_, f"{word} {shape} {arguments}", floor)
            case FetchStatus():
                return Done(rows=("status",))
            case Demote(term=term):
                self._group.demote(self._instance, term)
        return Done()

    def _open(self, call: OpenTransaction) -> Outcome:
        failure = self._lacks(call.min_position)
        if failure is not None:
            return failure
        if not call.read_only and not self._instance.leads:
            return Failed(code=Code.READ_ONLY, reason=self._instance.name)
        self._transaction = call
        return Done()

    def _lacks(self, floor: LogPosition | None) -> Failed | None:
        if floor is None or self._instance.applied(self._timers.now()) >= floor:
            return None
        return Failed(code=Code.LAGGING, reason=str(floor))

    async def _forward(self, id_: str, text: str, floor: LogPosition | None) -> Outcome:
        instance = self._instance
        if instance.busy:
            instance.busy -= 1
            return Failed(code=Code.BUSY, reason="no slot")
        failure = self._lacks(floor)
        if failure is not None:
            return failure
        writes = text.startswith("WRITE")
        if writes and not instance.leads:
            return Failed(code=Code.READ_ONLY, reason=instance.name)
        self._note(id_, text)
        await self._timers.sleep(WORK_S)
        if self.closed or not instance.running:
            raise ConnectionLostError(f"{instance.name}: closed")
        return self._finish(text, writes=writes)

    def _note(self, id_: str, text: str) -> None:
        self._instance.runs.append(
            Run(
                id=id_,
                text=text,
                values=dict(self._values),
                in_transaction=self._transaction is not None,
                connection=self.number,
                at=self._timers.now(),
            )
        )

    def _finish(self, text: str, *, writes: bool) -> Outcome:
        if text == "COMMIT":
            if self._wrote:
                self._group.append(self._instance)
            self._transaction, self._wrote = None, False
        elif writes and self._transaction is not None:
            self._wrote = True
        elif writes:
            self._group.append(self._instance)
        return Done(rows=("row",), signature=f"signed by {self._instance.name}")
