"""The table of request records and the statements that read and write it."""

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from heatherpier.groups import UnexpectedAnswerError
from heatherpier.upstreams import PooledConnection, Result

# VARBINARY compares keys byte by byte, whatever the database's collation is.
CREATE_TABLE = (
    "CREATE TABLE IF NOT EXISTS heatherpier_requests ("
    "request_key VARBINARY(128) NOT NULL, "
    "attempt INT NOT NULL, "
    "fingerprint CHAR(32) NOT NULL, "
    "state VARCHAR(8) NOT NULL, "
    "affected_rows BIGINT NOT NULL, "
    "insert_id BIGINT NOT NULL, "
    "created_ms BIGINT NOT NULL, "
    "PRIMARY KEY (request_key, attempt), "
    "KEY created (created_ms))"
)
FINGERPRINT_CHARS = 32
# Count of a statement that answered with rows, which are not kept.
ROWS_NOT_KEPT = -1


class RecordState(Enum):
    """What became of an attempt."""

    RUN = "run"
    REFUSED = "refused"


@dataclass(frozen=True, slots=True, kw_only=True)
class RequestRecord:
    """What a database keeps of one attempt.

    Attributes:
        key: Idempotency key.
        attempt: Number of the attempt, from 1. Attempt n + 1 runs only where
            attempt n is refused, so at most one attempt of a key ever runs.
        fingerprint: Hash of the group and the statements.
        state: What became of it.
        affected_rows: Count of changed rows, or `ROWS_NOT_KEPT`.
        insert_id: Generated id, or 0.
    """

    key: str
    attempt: int
    fingerprint: str
    state: RecordState
    affected_rows: int = 0
    insert_id: int = 0

    def result(self) -> Result:
        """Returns the outcome as the statement answered it."""
        return Result(affected_rows=self.affected_rows, last_insert_id=self.insert_id)


def fingerprint_of(group: str, statements: Iterable[str]) -> str:
    """Returns the hash by which a key's second use is compared with its first."""
    text = "\0".join([group, *(sql.strip() for sql in statements)])
    return hashlib.sha256(text.encode()).hexdigest()[:FINGERPRINT_CHARS]


async def insert_record(
    conn: PooledConnection, record: RequestRecord, *, created_ms: int, timeout_s: float
) -> None:
    """Inserts the record of an attempt."""
    sql = (
        "INSERT INTO heatherpier_requests VALUES ("
        f"'{record.key}', {record.attempt}, '{record.fingerprint}', "
        f"'{record.state.value}', {record.affected_rows}, {record.insert_id}, "
        f"{created_ms})"
    )
    await conn.execute(sql, timeout_s=timeout_s)


async def keep_refusals(
    conn: PooledConnection, record: RequestRecord, *, created_ms: int, timeout_s: float
) -> bool:
    """Gives the refused attempts before ``record`` its age.

    All records of a key then expire together, so pruning can't free the
    number of an early attempt while a later one is still kept.

    Returns:
        Whether all earlier attempts are there and refused.
    """
    sql = (
        "UPDATE heatherpier_requests "
        f"SET created_ms = GREATEST(created_ms + 1, {created_ms}) "
        f"WHERE request_key = '{record.key}' AND state = 'refused' "
        f"AND attempt < {record.attempt}"
    )
    result = await conn.execute(sql, timeout_s=timeout_s)
    return result.affected_rows == record.attempt - 1


async def update_outcome(
    conn: PooledConnection, record: RequestRecord, result: Result, *, timeout_s: float
) -> None:
    """Adds the outcome of the statement to its record."""
    affected_rows = ROWS_NOT_KEPT if result.columns else result.affected_rows
    sql = (
        "UPDATE heatherpier_requests "
        f"SET affected_rows = {affected_rows}, insert_id = {result.last_insert_id} "
        f"WHERE request_key = '{record.key}' AND attempt = {record.attempt}"
    )
    await conn.execute(sql, timeout_s=timeout_s)


async def find_record(
    conn: PooledConnection, key: str, *, timeout_s: float
) -> RequestRecord | None:
    """Returns the record of a key's last attempt, or None.

    Raises:
        UnexpectedAnswerError: The answer has another form.
    """
    sql = (
        "SELECT attempt, fingerprint, state, affected_rows, insert_id "
        f"FROM heatherpier_requests WHERE request_key = '{key}' "
        "ORDER BY attempt DESC LIMIT 1"
    )
    rows = (await conn.execute(sql, timeout_s=timeout_s)).rows
    if not rows:
        return None
    try:
        attempt, fingerprint, state, affected_rows, insert_id = rows[0]
        return RequestRecord(
            key=key,
            attempt=int(attempt),
            fingerprint=str(fingerprint),
            state=RecordState(state),
            affected_rows=int(affected_rows),
            insert_id=int(insert_id),
        )
    except (ValueError, TypeError) as exc:
        raise UnexpectedAnswerError(f"request record: {rows[0]!r}") from exc
