"""Opens callers' transactions on the primary."""

from contextlib import AsyncExitStack
from random import Random

from heatherpier.groups import Group, GroupError, InstanceStatus, wait_for_position
from heatherpier.limits import Admission, Backoff, StatementKind
from heatherpier.requests import NotRunError, Request
from heatherpier.timers import Timers
from heatherpier.upstreams import (
    ConnectError,
    PoolBusyError,
    PooledConnection,
    UpstreamError,
)
from heatherpier.writes._attempt import REFUSAL_RESERVE_S, begin, control_timeout_s
from heatherpier.writes._errors import AttemptLostError
from heatherpier.writes._primary import RETRY_AFTER_MS, find_primary
from heatherpier.writes._transaction import Transaction

# Maximum wait for the primary to hold the session's minimum position, and for a
# majority to confirm a primary of an earlier term than that, in seconds.
MIN_POSITION_WAIT_S = 0.5


class TransactionOpener:
    """Opens transactions on the primary, with retries until the deadline.

    Args:
        timers: Timer service.
        rng: Random source for retry delays.
        admission: Limits the concurrent statements on each instance.
    """

    def __init__(self, *, timers: Timers, rng: Random, admission: Admission) -> None:
        self._timers = timers
        self._admission = admission
        self._backoff = Backoff(rng=rng)

    async def open(
        self, group: Group, req: Request, *, read_only: bool, idle_limit_s: float
    ) -> Transaction:
        """Opens a transaction; on failure, nothing has run.

        Args:
            group: Group that the transaction runs on.
            req: Statement that opens the transaction.
            read_only: Whether the transaction is opened as READ ONLY.
            idle_limit_s: Maximum time in seconds between two statements.

        Raises:
            ReadOnlyError: The group has no primary.
            NotRunError: No transaction could be opened by the deadline.
            OverloadedError: The instance has no capacity by the deadline.
        """
        attempts = 0
        while True:
            attempts += 1
            primary = await find_primary(
                group, timers=self._timers, deadline=req.deadline
            )
            try:
                async with self._admission.admit(
                    primary.instance,
                    priority=req.priority,
                    deadline=req.deadline,
                    user=req.user,
                    kind=StatementKind.WRITE,
                ):
                    return await self._open_on(
                        group,
                        req,
                        primary,
                        read_only=read_only,
                        idle_limit_s=idle_limit_s,
                    )
            except (UpstreamError, GroupError, AttemptLostError) as exc:
                self._report_failure(group, primary.instance, exc)
                delay_s = self._backoff.delay_s(attempts)
                if self._timers.now() + delay_s >= req.deadline:
                    raise NotRunError(str(exc), retry_after_ms=RETRY_AFTER_MS) from exc
            await self._timers.sleep(delay_s)

    def _report_failure(self, group: Group, name: str, exc: Exception) -> None:
        match exc:
            case PoolBusyError():
                return
            case ConnectError():
                group.report_failure(name)
            case _:
                group.suspect(name)

    async def _open_on(
        self,
        group: Group,
        req: Request,
        primary: InstanceStatus,
        *,
        read_only: bool,
        idle_limit_s: float,
    ) -> Transaction:
        remaining_s = req.deadline - self._timers.now()
        async with AsyncExitStack() as stack:
            pool = group.pools[primary.instance]
            conn = await stack.enter_async_context(pool.acquire(timeout_s=remaining_s))
            await self._require_min_position(group, conn, req)
            sql = "START TRANSACTION READ ONLY" if read_only else "BEGIN"
            timeout_s = control_timeout_s(req.deadline, timers=self._timers)
            await begin(conn, timeout_s=timeout_s, sql=sql)
            return Transaction(
                group,
                conn,
                stack.pop_all(),
                timers=self._timers,
                idle_limit_s=idle_limit_s,
                reserve_s=0.0 if req.key is None else REFUSAL_RESERVE_S,
            )

    async def _require_min_position(
        self, group: Group, conn: PooledConnection, req: Request
    ) -> None:
        """Checks that the primary holds the session's minimum position.

        A primary of an earlier term than that of the position has to be confirmed by a
        majority, which shows that the group has another log now.

        Raises:
            AttemptLostError: The instance is not a primary that holds the position.
            GroupError: No majority confirmed its term.
            UpstreamError: The instance did not answer.
        """
        if req.min_position is None:
            return
        status = await wait_for_position(
            conn, req.min_position, timeout_s=MIN_POSITION_WAIT_S
        )
        if status.leads_before(req.min_position):
            until = min(req.deadline, self._timers.now() + MIN_POSITION_WAIT_S)
            await group.confirm_primary(status, deadline=until)
        elif not status.leads() or status.position < req.min_position:
            raise AttemptLostError(
                f"{conn.name} is not a primary that holds {req.min_position}"
            )
