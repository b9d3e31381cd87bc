"""Steps of an attempt: one transaction with the write and its request record."""

from dataclasses import dataclass
from enum import IntEnum

from heatherpier.groups import GroupError, fetch_last_commit
from heatherpier.positions import LogPosition
from heatherpier.timers import Timers
from heatherpier.upstreams import (
    PooledConnection,
    Result,
    StatementError,
    UpstreamError,
)
from heatherpier.writes._errors import (
    AttemptLostError,
    CommitUnknownError,
    ContendedError,
    MissingTableError,
    RecordExistsError,
)
from heatherpier.writes._records import (
    RequestRecord,
    insert_record,
    renew_refusals,
)

# Maximum wait for the answer to a control statement, in seconds.
CONTROL_TIMEOUT_S = 1.0
# Time before the deadline that is reserved for refusing the attempt, in seconds.
REFUSAL_RESERVE_S = 0.3


class ServerError(IntEnum):
    """MySQL error numbers that determine the next step of an attempt."""

    DUPLICATE_KEY = 1062
    NO_SUCH_TABLE = 1146
    LOCK_WAIT_TIMEOUT = 1205
    DEADLOCK = 1213
    READ_ONLY = 1290


@dataclass(frozen=True, slots=True, kw_only=True)
class Committed:
    """A commit that the instance confirmed; a majority may not hold it yet.

    Attributes:
        result: Result of the statement.
        position: Position that covers the commit.
    """

    result: Result
    position: LogPosition


def control_timeout_s(deadline: float, *, timers: Timers) -> float:
    """Returns the timeout of a control statement in seconds; ends at the deadline."""
    return min(deadline - timers.now(), CONTROL_TIMEOUT_S)


async def begin(
    conn: PooledConnection, *, timeout_s: float, sql: str = "BEGIN"
) -> None:
    """Opens a transaction.

    Unless the transaction ends, the pool closes the connection on release.

    Raises:
        AttemptLostError: BEGIN failed.
    """
    conn.in_transaction = True
    try:
        await conn.execute(sql, timeout_s=timeout_s)
    except UpstreamError as exc:
        raise AttemptLostError(f"BEGIN: {exc}") from exc


async def rollback(conn: PooledConnection) -> None:
    """Rolls the open transaction back; closes the connection if that fails."""
    try:
        await conn.execute("ROLLBACK", timeout_s=CONTROL_TIMEOUT_S)
    except UpstreamError:
        conn.abort()
        return
    conn.in_transaction = False


async def claim_attempt(
    conn: PooledConnection, record: RequestRecord, *, timers: Timers, timeout_s: float
) -> None:
    """Inserts the record of an attempt into the open transaction.

    The primary key (key, attempt) lets at most one transaction commit with this
    record: the run of the attempt or its refusal. An insert waits for the lock of
    an open transaction with the same record. Attempt n is claimed only if all
    attempts before it are refused in the same log, so none of them can commit.

    Raises:
        RecordExistsError: The attempt has run or is refused, or not all attempts
            before it are refused.
        MissingTableError: The table of request records does not exist.
        AttemptLostError: The connection was lost, the instance is no longer the
            primary, or the insert failed, as by a lock wait timeout.
    """
    now_ms = timers.wall_ms()
    try:
        await insert_record(conn, record, created_ms=now_ms, timeout_s=timeout_s)
        if record.attempt == 1:
            return
        all_refused = await renew_refusals(
            conn, record, created_ms=now_ms, timeout_s=CONTROL_TIMEOUT_S
        )
    except StatementError as exc:
        await rollback(conn)
        raise _claim_error(record, exc) from exc
    except UpstreamError as exc:
        raise AttemptLostError(str(exc)) from exc
    if not all_refused:
        await rollback(conn)
        raise RecordExistsError(
            f"key {record.key!r}: not all attempts before {record.attempt} are refused"
        )


def _claim_error(
    record: RequestRecord, exc: StatementError
) -> RecordExistsError | MissingTableError | AttemptLostError:
    match exc.code:
        case ServerError.DUPLICATE_KEY:
            return RecordExistsError(
                f"key {record.key!r}: attempt {record.attempt} already has a record"
            )
        case ServerError.NO_SUCH_TABLE:
            return MissingTableError(exc.message)
        case ServerError.READ_ONLY:
            return AttemptLostError(str(exc))
        case _:
            return ContendedError(str(exc))


async def commit(
    conn: PooledConnection, result: Result, *, timers: Timers, deadline: float
) -> Committed:
    """Commits the open transaction.

    Args:
        conn: Connection of the transaction.
        result: Result of the statement in the transaction.
        timers: Timer service.
        deadline: Monotonic time in seconds; no COMMIT is sent after it.

    Raises:
        AttemptLostError: COMMIT was not sent, or the instance refused it because it
            is read-only.
        CommitUnknownError: COMMIT was sent, and its answer or the position of the
            commit did not arrive.
    """
    timeout_s = control_timeout_s(deadline, timers=timers)
    if timeout_s <= 0:
        await rollback(conn)
        raise AttemptLostError("the deadline passed before COMMIT")
    try:
        await conn.execute("COMMIT", timeout_s=timeout_s)
        conn.in_transaction = False
        position = await fetch_last_commit(conn, timeout_s=timeout_s)
    except StatementError as exc:
        if exc.code == ServerError.READ_ONLY and conn.in_transaction:
            await rollback(conn)
            raise AttemptLostError(f"COMMIT: {exc}") from exc
        raise CommitUnknownError(f"COMMIT: {exc}") from exc
    except (UpstreamError, GroupError) as exc:
        raise CommitUnknownError(f"COMMIT: {exc}") from exc
    return Committed(result=result, position=position)
