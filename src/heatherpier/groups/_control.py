"""Control statements that read and change an instance's role in its group.

Instances run these statements over the ordinary MySQL protocol:

- ``CALL group_status()``
- ``CALL group_adopt_term(term, 'proposer')``
- ``CALL group_promote(term, 'proposer')``
- ``CALL group_follow(term, 'primary')``
- ``CALL group_wait(term, index, timeout_ms)``
- ``CALL group_last_commit()``

All but the last return a status row; see `InstanceStatus`.
"""

from heatherpier.groups._errors import UnexpectedAnswerError
from heatherpier.groups._types import Adoption, InstanceStatus, Role
from heatherpier.positions import LogPosition
from heatherpier.upstreams import PooledConnection, Result

MS_PER_S = 1000
# Time for the answer to a wait to arrive after the wait's own time limit.
WAIT_GRACE_S = 0.25


async def fetch_status(conn: PooledConnection, *, timeout_s: float) -> InstanceStatus:
    """Returns the current status of an instance.

    Args:
        conn: Connection to the instance.
        timeout_s: Maximum wait for the answer, in seconds.

    Raises:
        UpstreamError: The instance did not answer, or returned an error.
        UnexpectedAnswerError: The answer is not a status row.
    """
    return _parse_status(await conn.execute("CALL group_status()", timeout_s=timeout_s))


async def adopt_term(
    conn: PooledConnection, *, term: int, proposer: str, timeout_s: float
) -> Adoption:
    """Asks an instance to adopt ``term`` for ``proposer``.

    An instance adopts only terms above its own, and each for one proposer. The
    statement is idempotent. An instance that has adopted a term accepts no
    entries and no commits of lower terms.
    """
    result = await conn.execute(
        f"CALL group_adopt_term({term}, '{proposer}')", timeout_s=timeout_s
    )
    status = _parse_status(result)
    granted = status.adopted_term == term and status.proposer == proposer
    return Adoption(granted=granted, status=status)


async def promote(
    conn: PooledConnection, *, term: int, proposer: str, timeout_s: float
) -> InstanceStatus:
    """Makes an instance the primary of a term it adopted for ``proposer``.

    The new primary begins its term with an empty log entry. The statement is
    idempotent.

    Raises:
        StatementError: The term adopted by the instance is another one, or was
            adopted for another proposer.
    """
    sql = f"CALL group_promote({term}, '{proposer}')"
    return _parse_status(await conn.execute(sql, timeout_s=timeout_s))


async def follow_primary(
    conn: PooledConnection, *, term: int, primary: str, timeout_s: float
) -> InstanceStatus:
    """Tells an instance which instance is the primary of ``term``.

    The instance adopts the term if it is above its own, and drops entries that
    are not in the primary's log.
    """
    sql = f"CALL group_follow({term}, '{primary}')"
    return _parse_status(await conn.execute(sql, timeout_s=timeout_s))


async def wait_for_position(
    conn: PooledConnection, position: LogPosition, *, timeout_s: float
) -> InstanceStatus:
    """Waits until an instance has applied ``position``, up to ``timeout_s``.

    Returns:
        The instance's status at the end of the wait. A wait that times out is not
        an error, so the caller compares the position.
    """
    wait_ms = max(int(timeout_s * MS_PER_S), 0)
    sql = f"CALL group_wait({position.term}, {position.index}, {wait_ms})"
    return _parse_status(await conn.execute(sql, timeout_s=timeout_s + WAIT_GRACE_S))


async def fetch_last_commit(conn: PooledConnection, *, timeout_s: float) -> LogPosition:
    """Returns the log position of the last commit on this connection."""
    result = await conn.execute("CALL group_last_commit()", timeout_s=timeout_s)
    try:
        ((term, index),) = result.rows
        return LogPosition(int(term), int(index))
    except (ValueError, TypeError) as exc:
        raise UnexpectedAnswerError(
            f"expected one row with the last commit's position, got {result.rows!r}"
        ) from exc


def _parse_status(result: Result) -> InstanceStatus:
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
        raise UnexpectedAnswerError(
            f"expected one status row, got {result.rows!r}"
        ) from exc
