"""Determines the outcome of attempts from the records on the current primary."""

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
    NoPrimaryError,
    fetch_last_commit,
    fetch_status,
)
from heatherpier.limits import Backoff
from heatherpier.positions import LogPosition
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
    renew_refusals,
)

log = get_logger("writes")

T = TypeVar("T")

# Maximum wait for a majority before the primary is looked up again, in seconds.
ACKNOWLEDGE_TIMEOUT_S = 1.0
RETRIABLE_ERRORS = (UpstreamError, GroupError, AttemptLostError)


@dataclass(frozen=True, slots=True, kw_only=True)
class Ran:
    """An attempt of the key has run, and a majority holds it in the current term.

    Attributes:
        record: Record of the attempt that ran.
        position: Position that covers the record.
        instance: Name of the primary that holds the record.
    """

    record: RequestRecord
    position: LogPosition
    instance: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Refused:
    """The attempt never runs, because a majority holds its refusal.

    Attributes:
        position: Position that covers the refusal.
    """

    position: LogPosition


@dataclass(frozen=True, slots=True, kw_only=True)
class NextAttempt:
    """The key has no record on the primary, or its last record is a refusal.

    This log is not proved to be on a majority, and a COMMIT may still arrive. The
    result is only the number to claim: the claim itself fails if that number has a
    record by then, or if an earlier attempt has no refusal.

    Attributes:
        attempt: Number that the next attempt may claim.
    """

    attempt: int


@dataclass(frozen=True, slots=True, kw_only=True)
class _StoredRecord:
    """Last record of a key on the primary, not proved to be on a majority.

    Attributes:
        record: The record, or None if the key has none.
        status: Status of the primary after the read. Its position covers the
            record.
    """

    record: RequestRecord | None
    status: InstanceStatus


class Resolver:
    """Looks up request records and refuses attempts.

    An attempt whose COMMIT was sent may still run: that COMMIT may arrive at any
    time, or another request may run the attempt through another proxy. A run and a
    refusal insert the same record (key, attempt), so one log holds only one of them.
    If an open transaction holds the lock on that record, the insert of the refusal
    waits for it. If the transaction commits, the insert fails. If it is rolled back,
    the refusal takes the record's place, and a COMMIT that arrives later has no
    effect.

    Once a majority holds the refusal in the primary's term, each later primary holds
    it too, since a promotion fences a majority and picks its highest position. A run
    may also have committed on an older primary. If its entry is not in the log of
    the refusal, it is never acknowledged, and it is dropped when that instance
    follows the new primary. The refusal holds until its record expires. A key with
    a known creation time is rejected before that; any other key can then run again.

    Args:
        timers: Timer service.
        rng: Random source for retry delays.
    """

    def __init__(self, *, timers: Timers, rng: Random) -> None:
        self._timers = timers
        self._backoff = Backoff(rng=rng)

    async def look_up(
        self, group: Group, record: RequestRecord, *, deadline: float
    ) -> Ran | NextAttempt:
        """Returns whether a key has run, without any change.

        Raises:
            RefusedError: The key was used for another statement.
            UnresolvedError: The outcome could not be determined by the deadline.
        """
        operation = partial(self._look_up_once, group, record, deadline=deadline)
        return await self._retry(operation, deadline=deadline)

    async def refuse(
        self, group: Group, record: RequestRecord, *, deadline: float
    ) -> Ran | Refused:
        """Ensures that an attempt never runs, unless the key's last record is a run.

        Like a claim, the refusal needs the refusals of all attempts before this one in
        the same log: an earlier attempt that ran would make the answer "not run" false.

        Raises:
            RefusedError: The key was used for another statement.
            UnresolvedError: A majority did not hold the refusal by the deadline.
        """
        operation = partial(self._refuse_once, group, record, deadline=deadline)
        return await self._retry(operation, deadline=deadline)

    async def create_table(self, group: Group, *, deadline: float) -> None:
        """Creates the table of request records if it does not exist.

        Raises:
            UnresolvedError: A majority did not hold the table by the deadline.
        """
        operation = partial(self._create_table_once, group, deadline=deadline)
        return await self._retry(operation, deadline=deadline)

    async def acknowledge(
        self, group: Group, position: LogPosition, *, instance: str, deadline: float
    ) -> None:
        """Waits until a majority holds a position.

        The wait is limited to `ACKNOWLEDGE_TIMEOUT_S`, which leaves time to retry on
        another primary.

        Raises:
            NotAcknowledgedError: A majority did not hold the position in time.
        """
        capped_deadline = min(deadline, self._timers.now() + ACKNOWLEDGE_TIMEOUT_S)
        await group.acknowledge(position, primary=instance, deadline=capped_deadline)

    async def _look_up_once(
        self, group: Group, record: RequestRecord, *, deadline: float
    ) -> Ran | NextAttempt:
        async with self._on_primary(group, deadline=deadline) as conn:
            stored = await _fetch_stored_record(conn, record)
        return await self._classify(group, record, stored, deadline=deadline)

    async def _classify(
        self,
        group: Group,
        record: RequestRecord,
        stored: _StoredRecord,
        *,
        deadline: float,
    ) -> Ran | NextAttempt:
        found, status = stored.record, stored.status
        if found is None:
            return NextAttempt(attempt=1)
        known = UNKNOWN_FINGERPRINT not in (record.fingerprint, found.fingerprint)
        if known and record.fingerprint != found.fingerprint:
            raise RefusedError(f"key {record.key!r} was used for another statement")
        if found.state is RecordState.REFUSED:
            return NextAttempt(attempt=found.attempt + 1)
        await self.acknowledge(
            group, status.position, instance=status.instance, deadline=deadline
        )
        log.info("outcome found", key=record.key, attempt=found.attempt)
        return Ran(record=found, position=status.position, instance=status.instance)

    async def _refuse_once(
        self, group: Group, record: RequestRecord, *, deadline: float
    ) -> Ran | Refused:
        async with self._on_primary(group, deadline=deadline) as conn:
            position = None
            if await self._are_earlier_refused(conn, record, deadline=deadline):
                position = await self._insert_refusal(conn, record, deadline=deadline)
            if position is None:
                stored = await _fetch_stored_record(conn, record)
        if position is None:
            found = await self._classify(group, record, stored, deadline=deadline)
            if isinstance(found, Ran):
                return found
            if found.attempt <= record.attempt:
                # An earlier attempt has no refusal. Or a record blocked the insert but
                # is no longer there: it was pruned, or dropped with the log of an old
                # term.
                raise AttemptLostError(
                    f"attempt {record.attempt} of key {record.key!r} can't be refused: "
                    "a record is missing"
                )
            # The attempt is refused already, and this position covers its refusal.
            position = stored.status.position
        await self.acknowledge(group, position, instance=conn.name, deadline=deadline)
        log.info("attempt refused", key=record.key, attempt=record.attempt)
        return Refused(position=position)

    async def _are_earlier_refused(
        self, conn: PooledConnection, record: RequestRecord, *, deadline: float
    ) -> bool:
        if record.attempt == 1:
            return True
        return await renew_refusals(
            conn,
            record,
            created_ms=self._timers.wall_ms(),
            timeout_s=deadline - self._timers.now(),
        )

    async def _insert_refusal(
        self, conn: PooledConnection, record: RequestRecord, *, deadline: float
    ) -> LogPosition | None:
        """Inserts the refusal and returns a position that covers it.

        Returns None if the attempt has a record already.
        """
        try:
            await insert_record(
                conn,
                record.refusal(),
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
        remaining_s = deadline - self._timers.now()
        try:
            async with group.pools[primary.instance].acquire(
                timeout_s=remaining_s
            ) as conn:
                yield conn
        except StatementError:
            raise
        except UpstreamError:
            group.suspect(primary.instance)
            raise

    async def _retry(
        self, operation: Callable[[], Awaitable[T]], *, deadline: float
    ) -> T:
        """Retries an idempotent operation until it succeeds or the deadline comes."""
        attempts = 0
        while True:
            attempts += 1
            try:
                async with self._timers.timeout_at(deadline):
                    return await operation()
            except TimeoutError as exc:
                raise UnresolvedError(
                    "the request record could not be read or written by the deadline"
                ) from exc
            except RETRIABLE_ERRORS as exc:
                delay_s = self._backoff.delay_s(attempts)
                if self._timers.now() + delay_s >= deadline:
                    raise UnresolvedError(str(exc)) from exc
            await self._timers.sleep(delay_s)


async def _fetch_stored_record(
    conn: PooledConnection, record: RequestRecord
) -> _StoredRecord:
    before = await _require_primary(conn)
    try:
        found = await find_record(conn, record.key, timeout_s=CONTROL_TIMEOUT_S)
    except StatementError as exc:
        if exc.code != ServerError.NO_SUCH_TABLE:
            raise
        found = None
    after = await _require_primary(conn)
    if before.adopted_term != after.adopted_term:
        # The record may come from a log that was dropped between the two answers, so
        # that the later position does not cover it.
        raise NoPrimaryError(
            f"{after.instance} moved from term {before.adopted_term} to "
            f"{after.adopted_term}"
        )
    return _StoredRecord(record=found, status=after)


async def _require_primary(conn: PooledConnection) -> InstanceStatus:
    status = await fetch_status(conn, timeout_s=CONTROL_TIMEOUT_S)
    if not status.leads():
        raise NoPrimaryError(f"{status.instance} is no longer the primary")
    return status
