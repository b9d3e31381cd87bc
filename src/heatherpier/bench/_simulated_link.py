"""Simulates connections to the instances of a `SimulatedGroup`."""

import asyncio
import itertools
from collections.abc import Sequence

from heatherpier.bench._simulated_group import (
    EXECUTION_S,
    HANDSHAKE_S,
    ExecutedStatement,
    SimulatedGroup,
    SimulatedInstance,
)
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
from heatherpier.timers import Timers
from heatherpier.upstreams import (
    ConnectError,
    ConnectionLostError,
    Instance,
    TooManyConnectionsError,
)

_connection_numbers = itertools.count(1)


class SimulatedConnector:
    """Implements `InstanceConnector` for one proxy.

    Args:
        proxy: Name of the proxy, by which instances decide whether they answer.
        groups: Groups by service.
        timers: Timer service.
    """

    def __init__(
        self, proxy: str, *, groups: dict[str, SimulatedGroup], timers: Timers
    ) -> None:
        self._proxy = proxy
        self._groups = groups
        self._timers = timers

    async def connect(
        self, instance: Instance, *, service: str, organisation: str = ""
    ) -> "SimulatedLink":
        """Opens a connection to the instance of this name and service.

        Blocks until cancelled if the instance does not answer the proxy.

        Raises:
            ConnectError: The instance does not run.
            TooManyConnectionsError: The instance accepts no more connections.
        """
        group = self._groups[service]
        target = group.instances[instance.name]
        if not target.running:
            raise ConnectError(f"{instance.name}: connection refused")
        if target.is_unresponsive_to(self._proxy):
            await asyncio.Event().wait()
        await self._timers.sleep(HANDSHAKE_S)
        if not target.may_connect():
            target.rejected += 1
            raise TooManyConnectionsError(instance.name)
        target.connections += 1
        target.open_connections += 1
        return SimulatedLink(
            group,
            target,
            proxy=self._proxy,
            timers=self._timers,
            organisation=organisation,
        )


class SimulatedLink:
    """Implements `InstanceLink` by running calls on a simulated instance.

    Args:
        group: Group that the instance belongs to.
        instance: Instance that the connection leads to.
        proxy: Name of the proxy that opened the connection.
        timers: Timer service.
        organisation: Organisation that the connection was opened for, or empty.

    Attributes:
        number: Number of the connection, unique in the process.
        closed: Whether the proxy has closed the connection.
    """

    def __init__(
        self,
        group: SimulatedGroup,
        instance: SimulatedInstance,
        *,
        proxy: str,
        timers: Timers,
        organisation: str = "",
    ) -> None:
        self._organisation = organisation
        self.number = next(_connection_numbers)
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
        """Runs all calls and returns their replies in order.

        Blocks until cancelled if the instance does not answer the proxy.

        Raises:
            ConnectionLostError: The connection or the process ended, or an answer is
                lost.
        """
        return [await self.run(call) for call in calls]

    def has_unread(self) -> bool:
        """Returns whether unexpected input, here the end of the connection, arrived."""
        return self.closed or not self._instance.running

    def abort(self) -> None:
        """Closes the connection; an open transaction is rolled back."""
        if not self.closed:
            self._instance.open_connections -= 1
        self.closed = True

    async def run(self, call: Call) -> Reply:
        """Runs one call, as `exchange` does."""
        instance = self._instance
        if instance.is_unresponsive_to(self._proxy):
            await asyncio.Event().wait()
        if self.closed or not instance.running:
            raise ConnectionLostError(f"{instance.name}: closed")
        outcome = await self._execute(call)
        if instance.lose_answers and isinstance(call, Forward | ForwardExecute):
            instance.lose_answers -= 1
            raise ConnectionLostError(f"{instance.name}: answer lost")
        state = SessionState.OPEN if self._transaction else SessionState.IDLE
        return Reply(
            outcome=outcome, state=state, position=instance.applied(self._timers.now())
        )

    async def _execute(self, call: Call) -> Outcome:
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
            case Forward(id=id_, text=text, min_position=min_position):
                return await self._forward(id_, text, min_position)
            case ForwardExecute(
                id=id_, name=name, arguments=arguments, min_position=min_position
            ):
                if name not in self._prepared:
                    return Failed(code=Code.UNKNOWN_STATEMENT, reason=name)
                access, shape = self._prepared[name]
                word = "WRITE" if access is Access.WRITE else "READ"
                return await self._forward(
                    id_, f"{word} {shape} {arguments}", min_position
                )
            case FetchStatus():
                return Done(rows=("status",))
            case Demote(term=term):
                self._group.demote(self._instance, term)
        return Done()

    def _open(self, call: OpenTransaction) -> Outcome:
        failure = self._lagging_failure(call.min_position)
        if failure is not None:
            return failure
        if not call.read_only and not self._instance.leads:
            return Failed(code=Code.READ_ONLY, reason=self._instance.name)
        self._transaction = call
        return Done()

    def _lagging_failure(self, min_position: LogPosition | None) -> Failed | None:
        if (
            min_position is None
            or self._instance.applied(self._timers.now()) >= min_position
        ):
            return None
        return Failed(code=Code.LAGGING, reason=str(min_position))

    async def _forward(
        self, id_: str, text: str, min_position: LogPosition | None
    ) -> Outcome:
        instance = self._instance
        if instance.busy:
            instance.busy -= 1
            return Failed(code=Code.BUSY, reason="no slot")
        failure = self._lagging_failure(min_position)
        if failure is not None:
            return failure
        writes = text.startswith("WRITE")
        if writes and not instance.leads:
            return Failed(code=Code.READ_ONLY, reason=instance.name)
        self._record(id_, text)
        await self._timers.sleep(EXECUTION_S)
        if self.closed or not instance.running:
            raise ConnectionLostError(f"{instance.name}: closed")
        return self._finish(text, writes=writes)

    def _record(self, id_: str, text: str) -> None:
        self._instance.executed.append(
            ExecutedStatement(
                id=id_,
                text=text,
                values=dict(self._values),
                in_transaction=self._transaction is not None,
                connection=self.number,
                at=self._timers.now(),
                organisation=self._organisation,
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
