"""Finds out, on the current primary, what became of an attempt."""

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass
from functools import partial
from random import Random
from typing import TypeVar

from heatherpier.groups import (
    Group,
    GroupError,
    InstanceStatus,
    LogPosition,
    NoPrimaryError,
    fetch_last_commit,
    fetch_status,
)
from heatherpier.limits import Backoff
from heatherpier.requests import ReadOnlyError, RefusedError
from heatherpier.telemetry import get_logger
from heatherpier.timers import Timers
from heatherpier.upstreams import (
    PooledConnection,
    StatementError,
    UpstreamError,
)
from heatherpier.writes._attempt import CONTROL_TIMEOUT_S, ServerError
from heatherpier.writes._errors import AttemptLostError, UnresolvedError
from heatherpier.writes._primary import find_primary
from heatherpier.writes._records import (
    CREATE_TABLE,
    UNKNOWN_FINGERPRINT,
    RecordState,
    RequestRecord,
    find_record,
    insert_record,
)

log = get_logger("writes")

T = TypeVar("T")

# Longest wait for a majority before the primary is looked for anew, in seconds.
ACKNOWLEDGE_SLICE_S = 1.0
RETRIABLE = (UpstreamError, GroupError, AttemptLostError)


@dataclass(frozen=True, slots=True, kw_only=True)
class Ran:
    """The key has run, and a majority holds that in the current term.

    Attributes:
        record: Record of the attempt that ran.
        position: Position that covers it.
        instance: Name of the primary.
    """

    record: RequestRecord
    position: LogPosition
    instance: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Refused:
    """The attempt never runs: a majority holds its refusal.

    Attributes:
        position: Position that covers the refusal.
    """

    position: LogPosition


@dataclass(frozen=True, slots=True, kw_only=True)
class Free:
    """No attempt of the key is known to have run.

    Attributes:
        attempt: Number that the next attempt may take.
    """

    attempt: int


@dataclass(frozen=True, slots=True, kw_only=True)
class _Finding:
    """A record as the primary has it, acknowledged or not."""

    record: RequestRecord | None
    status: InstanceStatus


class Resolver:
    """Looks request records up and refuses attempts.

    Args:
        timers: Timer service.
        rng: Random source for retry delays.
    """

    def __init__(self, *, timers: Timers, rng: Random) -> None:
        self._timers = timers
        self._backoff = Backoff(rng=rng)

    async def look_up(
        self, group: Group, work: RequestRecord, *, deadline: float
    ) -> Ran | Free:
        """Tells whether a key has run, without changing anything.

        Raises:
            RefusedError: The key was used for another statement.
            UnresolvedError: That can't be told by the deadline.
        """
        step = partial(self._look_up_once, group, work, deadline=deadline)
        return await self._repeat(step, deadline=deadline)

    async def refuse(
        self, group: Group, work: RequestRecord, *, deadline: float
    ) -> Ran | Refused:
        """Makes sure that an attempt never runs, unless its key has run.

        Raises:
            RefusedError: The key was used for another statement.
            UnresolvedError: That can't be told by the deadline.
        """
        step = partial(self._refuse_once, group, work, deadline=deadline)
        return await self._repeat(step, deadline=deadline)

    async def create_table(self, group: Group, *, deadline: float) -> None:
        """Creates the table of records if it does not exist.

        Raises:
            UnresolvedError: That can't be done by the deadline.
        """
        step = partial(self._create_table_once, group, deadline=deadline)
        return await self._repeat(step, deadline=deadline)

    async def acknowledge(
        self, group: Group, position: LogPosition, *, instance: str, deadline: float
    ) -> None:
        """Waits for a majority, but not so long that nothing else can be tried.

        Raises:
            NotAcknowledgedError: A majority did not hold the position in time.
        """
        limit = min(deadline, self._timers.now() + ACKNOWLEDGE_SLICE_S)
        await group.acknowledge(position, primary=instance, deadline=limit)

    async def _look_up_once(
        self, group: Group, work: RequestRecord, *, deadline: float
    ) -> Ran | Free:
        async with self._on_primary(group, deadline=deadline) as conn:
            finding = await _find(conn, work)
        return await self._classify(group, work, finding, deadline=deadline)

    async def _classify(
        self,
        group: Group,
        work: RequestRecord,
        finding: _Finding,
        *,
        deadline: float,
    ) -> Ran | Free:
        record, status = finding.record, finding.status
        if record is None:
            return Free(attempt=1)
        known = UNKNOWN_FINGERPRINT not in (work.fingerprint, record.fingerprint)
        if known and work.fingerprint != record.fingerprint:
            raise RefusedError(f"key {work.key!r} was used for another statement")
        if record.state is RecordState.REFUSED:
            return Free(attempt=record.attempt + 1)
        await self.acknowledge(
            group, status.position, instance=status.instance, deadline=deadline
        )
        log.info("outcome found", key=work.key, attempt=record.attempt)
        return Ran(record=record, position=status.position, instance=status.instance)

    async def _refuse_once(
        self, group: Group, work: RequestRecord, *, deadline: float
    ) -> Ran | Refused:
        async with self._on_primary(group, deadline=deadline) as conn:
            position = await self._insert_refusal(conn, work, deadline=deadline)
            if position is None:
                finding = await _find(conn, work)
        if position is None:
            found = await self._classify(group, work, finding, deadline=deadline)
            if isinstance(found, Ran):
                return found
            if found.attempt <= work.attempt:
                raise AttemptLostError(f"the record of {work.key} is gone")
            position = finding.status.position
        await self.acknowledge(group, position, instance=conn.name, deadline=deadline)
        log.info("attempt refused", key=work.key, attempt=work.attempt)
        return Refused(position=position)

    async def _insert_refusal(
        self, conn: PooledConnection, work: RequestRecord, *, deadline: float
    ) -> LogPosition | None:
        """Returns the refusal's position, or None if the attempt has a record."""
        try:
            await insert_record(
                conn,
                work.refusal(),
                created_ms=self._timers.wall_ms(),
                timeout_s=deadline - self._timers.now(),
            )
        except StatementError as exc:
            if exc.code == ServerError.DUPLICATE_KEY:
                return None
            if exc.code == ServerError.NO_SUCH_TABLE:
                await conn.execute(CREATE_TABLE, timeout_s=CONTROL_TIMEOUT_S)
            raise
        return await fetch_last_commit(conn, timeout_s=CONTROL_TIMEOUT_S)

    async def _create_table_once(self, group: Group, *, deadline: float) -> None:
        async with self._on_primary(group, deadline=deadline) as conn:
            await conn.execute(CREATE_TABLE, timeout_s=deadline - self._timers.now())
            position = await fetch_last_commit(conn, timeout_s=CONTROL_TIMEOUT_S)
        await self.acknowledge(group, position, instance=conn.name, deadline=deadline)

    @asynccontextmanager
    async def _on_primary(
        self, group: Group, *, deadline: float
    ) -> AsyncIterator[PooledConnection]:
        try:
            primary = await find_primary(group, timers=self._timers, deadline=deadline)
        except ReadOnlyError as exc:
            raise UnresolvedError(exc.reason) from exc
        left = deadline - self._timers.now()
        try:
            async with group.pools[primary.instance].acquire(timeout_s=left) as conn:
                yield conn
        except StatementError:
            raise
        except UpstreamError:
            group.suspect(primary.instance)
            raise

    async def _repeat(self, step: Callable[[], Awaitable[T]], *, deadline: float) -> T:
        """Repeats a step that changes nothing when it is done twice."""
        attempts = 0
        while True:
            attempts += 1
            try:
                async with self._timers.timeout_at(deadline):
                    return await step()
            except TimeoutError as exc:
                raise UnresolvedError("the deadline passed") from exc
            except RETRIABLE as exc:
                delay_s = self._backoff.delay_s(attempts)
                if self._timers.now() + delay_s >= deadline:
                    raise UnresolvedError(str(exc)) from exc
            await self._timers.sleep(delay_s)


async def _find(conn: PooledConnection, work: RequestRecord) -> _Finding:
    before = await _require_primary(conn)
    try:
        record = await find_record(conn, work.key, timeout_s=CONTROL_TIMEOUT_S)
    except StatementError as exc:
        if exc.code != ServerError.NO_SUCH_TABLE:
            raise
        record = None
    after = await _require_primary(conn)
    if before.adopted_term != after.adopted_term:
        # The record may be of a log that was dropped in between.
        raise NoPrimaryError(f"{after.instance} changed its term")
    return _Finding(record=record, status=after)


async def _require_primary(conn: PooledConnection) -> InstanceStatus:
    status = await fetch_status(conn, timeout_s=CONTROL_TIMEOUT_S)
    if not status.leads():
        raise NoPrimaryError(f"{status.instance} is no longer the primary")
    return status
