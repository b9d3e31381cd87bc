"""Reads and writes the table of request records."""

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass, replace
from enum import Enum

from heatherpier.groups import UnexpectedAnswerError
from heatherpier.upstreams import PooledConnection, Result

# VARBINARY compares keys byte by byte, independent of the database's collation.
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
# Fingerprint of a transaction whose statements are not all known yet. It is not
# compared with others.
UNKNOWN_FINGERPRINT = ""
# `affected_rows` of a statement that returned rows, which are not stored.
ROWS_NOT_KEPT = -1


class RecordState(Enum):
    """Outcome of an attempt: it ran, or it is refused and never runs."""

    RUN = "run"
    REFUSED = "refused"


@dataclass(frozen=True, slots=True, kw_only=True)
class RequestRecord:
    """One row of the table: the outcome of one attempt.

    Attributes:
        key: Idempotency key.
        attempt: Number of the attempt, from 1. Attempt n + 1 commits only if
            attempt n is refused in the same log, so at most one attempt of a key
            ever runs.
        fingerprint: Hash of the group and the statements, or
            `UNKNOWN_FINGERPRINT`.
        state: Whether the attempt ran or is refused.
        affected_rows: Count of changed rows, or `ROWS_NOT_KEPT`.
        insert_id: Last id that the statement generated, or 0.
    """

    key: str
    attempt: int
    fingerprint: str
    state: RecordState
    affected_rows: int = 0
    insert_id: int = 0

    def with_attempt(self, attempt: int) -> "RequestRecord":
        """Returns the record with another attempt number."""
        return replace(self, attempt=attempt)

    def with_fingerprint(self, fingerprint: str) -> "RequestRecord":
        """Returns the record with the hash of its statements."""
        return replace(self, fingerprint=fingerprint)

    def with_outcome(self, result: Result) -> "RequestRecord":
        """Returns the record with the outcome of the statement."""
        affected_rows = ROWS_NOT_KEPT if result.columns else result.affected_rows
        return replace(
            self, affected_rows=affected_rows, insert_id=result.last_insert_id
        )

    def refusal(self) -> "RequestRecord":
        """Returns the record that refuses the attempt."""
        return replace(self, state=RecordState.REFUSED)

    def result(self) -> Result:
        """Returns the stored outcome as the result of the statement."""
        return Result(affected_rows=self.affected_rows, last_insert_id=self.insert_id)


def fingerprint_of(group: str, statements: Iterable[str]) -> str:
    """Returns the hash that tells apart statements under the same key."""
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


async def renew_refusals(
    conn: PooledConnection, record: RequestRecord, *, created_ms: int, timeout_s: float
) -> bool:
    """Raises the creation time of all refusals before ``record`` to at least its own.

    No refusal then expires before ``record``. Otherwise the refusal of attempt 1
    could be pruned while attempt 2 is still kept as run, and a later request could
    claim number 1 and run the key a second time.

    Returns:
        Whether each earlier attempt has a refusal.
    """
    # MySQL does not count rows that keep their values as affected. Adding 1 changes
    # also a refusal whose time is not before the new one, as a proxy with a clock
    # ahead of this one may have written it.
    sql = (
        "UPDATE heatherpier_requests "
        f"SET created_ms = GREATEST(created_ms + 1, {created_ms}) "
        f"WHERE request_key = '{record.key}' AND state = 'refused' "
        f"AND attempt < {record.attempt}"
    )
    result = await conn.execute(sql, timeout_s=timeout_s)
    return result.affected_rows == record.attempt - 1


async def update_outcome(
    conn: PooledConnection, record: RequestRecord, *, timeout_s: float
) -> None:
    """Stores the outcome of the statement in the record of its attempt."""
    sql = (
        "UPDATE heatherpier_requests "
        f"SET affected_rows = {record.affected_rows}, insert_id = {record.insert_id} "
        f"WHERE request_key = '{record.key}' AND attempt = {record.attempt}"
    )
    await conn.execute(sql, timeout_s=timeout_s)


async def find_record(
    conn: PooledConnection, key: str, *, timeout_s: float
) -> RequestRecord | None:
    """Returns the record of a key's last attempt, or None if the key has no record.

    Raises:
        UnexpectedAnswerError: The row is not a request record.
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
        raise UnexpectedAnswerError(
            f"expected a request record, got {rows[0]!r}"
        ) from exc


async def find_expired_keys(
    conn: PooledConnection, *, before_ms: int, limit: int, timeout_s: float
) -> list[str]:
    """Returns up to ``limit`` keys with records created before ``before_ms``."""
    sql = (
        "SELECT DISTINCT request_key FROM heatherpier_requests "
        f"WHERE created_ms < {before_ms} LIMIT {limit}"
    )
    rows = (await conn.execute(sql, timeout_s=timeout_s)).rows
    return [_text(row[0]) for row in rows]


async def delete_records(
    conn: PooledConnection, keys: list[str], *, before_ms: int, timeout_s: float
) -> None:
    """Deletes the records of ``keys`` that were created before ``before_ms``."""
    listed = ", ".join(f"'{key}'" for key in keys)
    sql = (
        "DELETE FROM heatherpier_requests "
        f"WHERE created_ms < {before_ms} AND request_key IN ({listed})"
    )
    await conn.execute(sql, timeout_s=timeout_s)


def _text(value: str | bytes) -> str:
    # Drivers return VARBINARY values as bytes.
    return value.decode("ascii") if isinstance(value, bytes) else str(value)
