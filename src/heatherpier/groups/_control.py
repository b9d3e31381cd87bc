"""The statements that read and change an instance's place in its group.

Instances answer these statements over the ordinary MySQL protocol:

- ``CALL group_status()``
- ``CALL group_adopt_term(term, 'proposer')``
- ``CALL group_promote(term, 'proposer')``
- ``CALL group_follow(term, 'primary')``
- ``CALL group_wait(term, index, timeout_ms)``
- ``CALL group_last_commit()``

All but the last return a status row; see `InstanceStatus`.
"""

from heatherpier.groups._errors import UnexpectedAnswerError
from heatherpier.groups._types import Adoption, InstanceStatus, LogPosition, Role
from heatherpier.upstreams import PooledConnection, Result

MS_PER_S = 1000
# An instance may answer a wait this much later than the wait's own time limit.
WAIT_GRACE_S = 0.25


async def fetch_status(conn: PooledConnection, *, timeout_s: float) -> InstanceStatus:
    """Asks an instance for its status.

    Args:
        conn: Connection to the instance.
        timeout_s: Longest wait for the answer, in seconds.

    Raises:
        UpstreamError: No usable answer came.
        UnexpectedAnswerError: The answer has another form.
    """
    return _status(await conn.execute("CALL group_status()", timeout_s=timeout_s))


async def adopt_term(
    conn: PooledConnection, *, term: int, proposer: str, timeout_s: float
) -> Adoption:
    """Asks an instance to adopt ``term`` for ``proposer``.

    An instance adopts a term once, only upwards, for one proposer. Asking
    again is idempotent. An instance that adopted a term accepts no entry and
    no commit of a lower one.
    """
    result = await conn.execute(
        f"CALL group_adopt_term({term}, '{proposer}')", timeout_s=timeout_s
    )
    status = _status(result)
    granted = status.adopted_term == term and status.proposer == proposer
    return Adoption(granted=granted, status=status)


async def promote(
    conn: PooledConnection, *, term: int, proposer: str, timeout_s: float
) -> InstanceStatus:
    """Makes an instance the primary of a term it adopted for ``proposer``.

    The new primary opens its term with an empty log entry. Asking again is
    idempotent.

    Raises:
        StatementError: The instance did not adopt the term for this proposer.
    """
    sql = f"CALL group_promote({term}, '{proposer}')"
    return _status(await conn.execute(sql, timeout_s=timeout_s))


async def follow_primary(
    conn: PooledConnection, *, term: int, primary: str, timeout_s: float
) -> InstanceStatus:
    """Tells an instance which instance is the primary of ``term``.

    It adopts the term if that is higher than its own, and drops entries that
    the primary's log does not have.
    """
    sql = f"CALL group_follow({term}, '{primary}')"
    return _status(await conn.execute(sql, timeout_s=timeout_s))


async def wait_for_position(
    conn: PooledConnection, position: LogPosition, *, timeout_s: float
) -> InstanceStatus:
    """Waits until an instance has applied ``position`` or the time is over.

    Returns:
        The instance's status at the end of the wait. The caller compares its
        position; a wait that ran out of time is not an error.
    """
    wait_ms = max(int(timeout_s * MS_PER_S), 0)
    sql = f"CALL group_wait({position.term}, {position.index}, {wait_ms})"
    return _status(await conn.execute(sql, timeout_s=timeout_s + WAIT_GRACE_S))


async def fetch_last_commit(conn: PooledConnection, *, timeout_s: float) -> LogPosition:
    """Returns the log position of the last commit on this connection."""
    result = await conn.execute("CALL group_last_commit()", timeout_s=timeout_s)
    try:
        ((term, index),) = result.rows
        return LogPosition(int(term), int(index))
    except (ValueError, TypeError) as exc:
        raise UnexpectedAnswerError(f"last commit: {result.rows!r}") from exc


def _status(result: Result) -> InstanceStatus:
    try:
        (row,) = result.rows
        name, role, adopted, proposer, primary, term, index, age, contact = row
        return InstanceStatus(
            instance=str(name),
            role=Role(role),
            adopted_term=int(adopted),
            proposer=str(proposer),
            primary=str(primary),
            position=LogPosition(int(term), int(index)),
            age_ms=int(age),
            contact_ms=int(contact),
        )
    except (ValueError, TypeError) as exc:
        raise UnexpectedAnswerError(f"status: {result.rows!r}") from exc
