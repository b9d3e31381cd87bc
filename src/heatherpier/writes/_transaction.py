"""Runs one caller's transaction on one upstream connection."""

from collections.abc import Iterator
from contextlib import AsyncExitStack, contextmanager

from heatherpier.groups import (
    Group,
    GroupError,
    NoPrimaryError,
    fetch_status,
)
from heatherpier.positions import LogPosition
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

# Errors after which the instance has rolled back the whole transaction.
ENDING_ERRORS = frozenset({ServerError.DEADLOCK, ServerError.READ_ONLY})


class Transaction:
    """Holds one connection from BEGIN to the end of the transaction.

    A transaction that loses its connection before COMMIT never takes effect. It
    rejects all further statements until the caller ends it, so that none of them
    runs outside a transaction.

    Args:
        group: Group that the transaction runs on.
        conn: Connection on which the transaction is open.
        resources: Releases the connection to its pool when closed.
        timers: Timer service.
        idle_limit_s: Maximum time in seconds between two statements.
        reserve_s: Time in seconds before each deadline that is reserved for refusing
            the attempt.

    Attributes:
        group: Group that the transaction runs on.
        conn: Connection of the transaction.
        statements: Statements that ran and may have changed data.
        lost_reason: Why the transaction was lost, or None while it can continue.
        final_error: Answer to all further statements, or None until it is
            determined.
    """

    def __init__(
        self,
        group: Group,
        conn: PooledConnection,
        resources: AsyncExitStack,
        *,
        timers: Timers,
        idle_limit_s: float,
        reserve_s: float,
    ) -> None:
        self.group = group
        self.conn = conn
        self.statements: list[str] = []
        self.lost_reason: str | None = None
        self.final_error: FinalError | None = None
        self._resources = resources
        self._timers = timers
        self._idle_limit_s = idle_limit_s
        self.reserve_s = reserve_s
        self._busy = False
        self._last_used_at = timers.now()
        self._idle_task = group.start(self._watch_idle())

    def require_open(self) -> None:
        """Checks that the transaction can continue.

        Raises:
            FinalError: The transaction is lost.
        """
        if self.final_error is not None:
            raise self.final_error
        if self.lost_reason is not None:
            raise NotRunError(f"the transaction was rolled back: {self.lost_reason}")

    async def execute(self, req: Request, *, changes: bool) -> Answer:
        """Runs one statement inside the transaction.

        Args:
            req: The statement.
            changes: Whether the statement may change data.

        Raises:
            FinalError: The final answer of a transaction that was lost before.
            NotRunError: The transaction is lost and never takes effect.
            StatementRejectedError: The instance rejected the statement.
            RefusedError: The statement is for another group.
        """
        self.require_open()
        if req.group != self.group.spec.name:
            raise RefusedError(
                f"the transaction is open on {self.group.spec.name}, not {req.group}"
            )
        with self._running_statement():
            try:
                remaining_s = req.deadline - self._timers.now() - self.reserve_s
                result = await self.conn.execute(req.sql, timeout_s=remaining_s)
            except StatementError as exc:
                raise await self._classify_error(req, exc) from exc
            except UpstreamError as exc:
                self.group.suspect(self.conn.name)
                raise await self.mark_lost(str(exc)) from exc
        if changes:
            self.statements.append(req.sql)
        return Answer(
            result=result, position=None, instance=self.conn.name, replica=False
        )

    async def confirm_reads(self, *, deadline: float) -> LogPosition:
        """Verifies that the transaction read from the current primary.

        An instance that was replaced may have served data that is dropped. Once a
        majority holds the instance's position in its term, all that was read lasts.

        Returns:
            Position that covers all data read, held by a majority.

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

    async def _classify_error(self, req: Request, exc: StatementError) -> FinalError:
        rejection = StatementRejectedError(
            code=exc.code, sqlstate=exc.sqlstate, message=exc.message
        )
        if exc.code in ENDING_ERRORS:
            lost = await self.mark_lost(str(exc))
            return lost if exc.code == ServerError.READ_ONLY else rejection
        try:
            await self.confirm_reads(deadline=req.deadline)
        except (UpstreamError, GroupError) as lost_exc:
            return await self.mark_lost(str(lost_exc))
        return rejection

    async def mark_lost(self, reason: str) -> NotRunError:
        """Closes the connection, which rolls back, and returns the caller's answer.

        COMMIT has not been sent, so the transaction never takes effect.
        """
        self.lost_reason = reason
        self.conn.abort()
        log.warning("transaction lost", group=self.group.spec.name, reason=reason)
        await self.release()
        return NotRunError(f"the transaction was rolled back: {reason}")

    async def rollback(self) -> None:
        """Rolls the transaction back and releases the connection."""
        if self.lost_reason is None:
            self._idle_task.cancel()
            await rollback(self.conn)
        await self.release()

    async def release(self) -> None:
        """Releases the connection; the pool closes it if a transaction is open."""
        await self._resources.aclose()

    def stop_idle_limit(self) -> None:
        """Stops the idle limit, so that it can't end the transaction during COMMIT."""
        self._idle_task.cancel()

    @contextmanager
    def _running_statement(self) -> Iterator[None]:
        self._busy = True
        try:
            yield
        finally:
            self._busy = False
            self._last_used_at = self._timers.now()

    async def _watch_idle(self) -> None:
        while self.lost_reason is None:
            idle_s = self._timers.now() - self._last_used_at
            if self._busy:
                idle_s = 0.0
            if idle_s >= self._idle_limit_s:
                await self.mark_lost(f"no statement came for {self._idle_limit_s:g} s")
                return
            await self._timers.sleep(self._idle_limit_s - idle_s)
