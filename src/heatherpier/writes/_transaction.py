"""One caller's open transaction on one upstream connection."""

from collections.abc import Iterator
from contextlib import AsyncExitStack, contextmanager

from heatherpier.groups import (
    Group,
    GroupError,
    LogPosition,
    NoPrimaryError,
    fetch_status,
)
from heatherpier.requests import (
    Answer,
    FinalError,
    NotRunError,
    RefusedError,
    Request,
    StatementRejectedError,
)
from heatherpier.telemetry import get_logger
from heatherpier.timers import Timers
from heatherpier.upstreams import PooledConnection, StatementError, UpstreamError
from heatherpier.writes._attempt import CONTROL_TIMEOUT_S, ServerError, rollback

log = get_logger("writes")

# After these errors the instance has rolled the whole transaction back.
ENDING_ERRORS = frozenset({ServerError.DEADLOCK, ServerError.READ_ONLY})


class Transaction:
    """Holds one connection from BEGIN to the end.

    A transaction that lost its connection never takes effect. It refuses all
    statements until the caller ends it, so that none of them can run outside.

    Args:
        group: Group that it runs on.
        conn: Connection that has begun it.
        lease: Gives the connection back to its pool.
        timers: Timer service.
        idle_limit_s: Longest time in seconds between two statements.
        reserve_s: Time in seconds before each deadline that is left for settling
            what became of the transaction.

    Attributes:
        group: Group that it runs on.
        conn: Its connection.
        statements: Statements that ran and may have changed something.
        lost: Why it can't go on, or None.
        final: Answer to all further statements, once it is settled.
    """

    def __init__(
        self,
        group: Group,
        conn: PooledConnection,
        lease: AsyncExitStack,
        *,
        timers: Timers,
        idle_limit_s: float,
        reserve_s: float,
    ) -> None:
        self.group = group
        self.conn = conn
        self.statements: list[str] = []
        self.lost: str | None = None
        self.final: FinalError | None = None
        self._lease = lease
        self._timers = timers
        self._idle_limit_s = idle_limit_s
        self.reserve_s = reserve_s
        self._busy = False
        self._used_at = timers.now()
        self._watch = group.start(self._watch_idle())

    def require_open(self) -> None:
        """Raises the final answer if the transaction can't go on."""
        if self.final is not None:
            raise self.final
        if self.lost is not None:
            raise NotRunError(f"the transaction was rolled back: {self.lost}")

    async def execute(self, req: Request, *, changes: bool) -> Answer:
        """Runs one statement inside the transaction.

        Args:
            req: The statement.
            changes: Whether it may change something.

        Raises:
            NotRunError: The transaction is lost and never takes effect.
            StatementRejectedError: The instance rejected the statement.
            RefusedError: The statement is for another group.
        """
        self.require_open()
        if req.group != self.group.spec.name:
            raise RefusedError(
                f"the transaction is open on {self.group.spec.name}, not {req.group}"
            )
        with self._working():
            try:
                left = req.deadline - self._timers.now() - self.reserve_s
                result = await self.conn.execute(req.sql, timeout_s=left)
            except StatementError as exc:
                raise await self._classify(req, exc) from exc
            except UpstreamError as exc:
                self.group.suspect(self.conn.name)
                raise await self.lose(str(exc)) from exc
        if changes:
            self.statements.append(req.sql)
        return Answer(
            result=result, position=None, instance=self.conn.name, replica=False
        )

    async def confirm(self, *, deadline: float) -> LogPosition:
        """Proves that what the transaction read is of the current primary.

        Returns:
            A position that covers all that it read, held by a majority.

        Raises:
            UpstreamError: The instance did not answer.
            GroupError: The instance is not the primary that a majority follows.
        """
        status = await fetch_status(self.conn, timeout_s=CONTROL_TIMEOUT_S)
        if not status.leads():
            raise NoPrimaryError(f"{status.instance} is no longer the primary")
        await self.group.acknowledge(
            status.position, primary=status.instance, deadline=deadline
        )
        return status.position

    async def _classify(self, req: Request, exc: StatementError) -> FinalError:
        rejection = StatementRejectedError(
            code=exc.code, sqlstate=exc.sqlstate, message=exc.message
        )
        if exc.code in ENDING_ERRORS:
            lost = await self.lose(str(exc))
            return lost if exc.code == ServerError.READ_ONLY else rejection
        try:
            await self.confirm(deadline=req.deadline)
        except (UpstreamError, GroupError) as lost_exc:
            return await self.lose(str(lost_exc))
        return rejection

    async def lose(self, reason: str) -> NotRunError:
        """Ends the transaction without effect and returns the answer to its caller."""
        self.lost = reason
        self.conn.abort()
        log.warning("transaction lost", group=self.group.spec.name, reason=reason)
        await self.release()
        return NotRunError(f"the transaction was rolled back: {reason}")

    async def rollback(self) -> None:
        """Ends the transaction without effect."""
        if self.lost is None:
            self._watch.cancel()
            await rollback(self.conn)
        await self.release()

    async def release(self) -> None:
        """Gives the connection back; inside a transaction it is closed."""
        await self._lease.aclose()

    def stop_watch(self) -> None:
        """Ends the idle limit, for the time of the commit."""
        self._watch.cancel()

    @contextmanager
    def _working(self) -> Iterator[None]:
        self._busy = True
        try:
            yield
        finally:
            self._busy = False
            self._used_at = self._timers.now()

    async def _watch_idle(self) -> None:
        while self.lost is None:
            idle_s = self._timers.now() - self._used_at
            if self._busy:
                idle_s = 0.0
            if idle_s >= self._idle_limit_s:
                await self.lose(f"no statement came for {self._idle_limit_s:g} s")
                return
            await self._timers.sleep(self._idle_limit_s - idle_s)
