"""One attempt of a write, in one database transaction with its record."""

from dataclasses import dataclass, replace
from enum import IntEnum

from heatherpier.groups import GroupError, LogPosition, fetch_last_commit
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
    RecordState,
    RequestRecord,
    insert_record,
    keep_refusals,
)

# Longest wait for the answer to a control statement, in seconds.
CONTROL_TIMEOUT_S = 1.0


class ServerError(IntEnum):
    """MySQL error numbers that decide how an attempt goes on."""

    DUPLICATE_KEY = 1062
    NO_SUCH_TABLE = 1146
    LOCK_WAIT_TIMEOUT = 1205
    DEADLOCK = 1213
    READ_ONLY = 1290


@dataclass(frozen=True, slots=True, kw_only=True)
class Committed:
    """A commit whose answer arrived.

    Attributes:
        result: Answer of the statement.
        position: Position of the commit.
    """

    result: Result
    position: LogPosition


async def begin(conn: PooledConnection, *, sql: str = "BEGIN") -> None:
    """Opens a transaction; the pool closes the connection if it is not ended."""
    conn.in_transaction = True
    try:
        await conn.execute(sql, timeout_s=CONTROL_TIMEOUT_S)
    except UpstreamError as exc:
        raise AttemptLostError(f"BEGIN: {exc}") from exc


async def rollback(conn: PooledConnection) -> None:
    """Ends a transaction without effect. A connection that fails here is closed."""
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

    Raises:
        RecordExistsError: The attempt ran, is refused, or its number is free
            no more.
        MissingTableError: There is no table of records.
        AttemptLostError: The connection or the primary's role was lost.
    """
    now_ms = timers.wall_ms()
    try:
        await insert_record(conn, record, created_ms=now_ms, timeout_s=timeout_s)
        if record.attempt == 1:
            return
        kept = await keep_refusals(
            conn, record, created_ms=now_ms, timeout_s=CONTROL_TIMEOUT_S
        )
    except StatementError as exc:
        await rollback(conn)
        raise _claim_error(record, exc) from exc
    except UpstreamError as exc:
        raise AttemptLostError(str(exc)) from exc
    if not kept:
        await rollback(conn)
        raise RecordExistsError(f"{record.key}: attempts before {record.attempt}")


def _claim_error(
    record: RequestRecord, exc: StatementError
) -> RecordExistsError | MissingTableError | AttemptLostError:
    match exc.code:
        case ServerError.DUPLICATE_KEY:
            return RecordExistsError(f"{record.key}: attempt {record.attempt}")
        case ServerError.NO_SUCH_TABLE:
            return MissingTableError(exc.message)
        case ServerError.READ_ONLY:
            return AttemptLostError(str(exc))
        case _:
            return ContendedError(str(exc))


async def commit(
    conn: PooledConnection, result: Result, *, timeout_s: float = CONTROL_TIMEOUT_S
) -> Committed:
    """Commits the open transaction.

    Raises:
        AttemptLostError: The instance refused the commit, so it has no effect.
        CommitUnknownError: The answer or the position was lost.
    """
    try:
        await conn.execute("COMMIT", timeout_s=timeout_s)
        conn.in_transaction = False
        position = await fetch_last_commit(conn, timeout_s=CONTROL_TIMEOUT_S)
    except StatementError as exc:
        if exc.code == ServerError.READ_ONLY and conn.in_transaction:
            await rollback(conn)
            raise AttemptLostError(f"COMMIT: {exc}") from exc
        raise CommitUnknownError(f"COMMIT: {exc}") from exc
    except (UpstreamError, GroupError) as exc:
        raise CommitUnknownError(f"COMMIT: {exc}") from exc
    return Committed(result=result, position=position)


def refusal_of(record: RequestRecord) -> RequestRecord:
    """Returns the record that refuses an attempt."""
    return replace(record, state=RecordState.REFUSED)
