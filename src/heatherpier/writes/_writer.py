"""Runs a single write on the primary and waits for a majority."""

from heatherpier.groups import Group, GroupError, NoPrimaryError, fetch_last_commit
from heatherpier.requests import (
    Answer,
    NotRunError,
    OutcomeUnknownError,
    ReadOnlyError,
    RefusedError,
    Request,
)
from heatherpier.timers import Timers
from heatherpier.upstreams import ConnectError, StatementError, UpstreamError

COMMIT_TIMEOUT_S = 1.0


class Writer:
    """Runs writes of callers.

    Args:
        timers: Timer service.
    """

    def __init__(self, *, timers: Timers) -> None:
        self._timers = timers

    async def execute(self, group: Group, req: Request) -> Answer:
        """Runs one write outside a transaction.

        Raises:
            ReadOnlyError: The group has no primary.
            RefusedError: The instance refused the statement.
            NotRunError: The write has no effect.
            OutcomeUnknownError: The write may have taken effect.
        """
        try:
            primary = await group.wait_for_primary(deadline=req.deadline)
        except NoPrimaryError as exc:
            raise ReadOnlyError(str(exc)) from exc
        left = req.deadline - self._timers.now()
        try:
            async with group.pools[primary.instance].borrow(timeout_s=left) as conn:
                result = await conn.execute(req.sql, timeout_s=left)
                position = await fetch_last_commit(conn, timeout_s=COMMIT_TIMEOUT_S)
            await group.acknowledge(
                position, primary=primary.instance, deadline=req.deadline
            )
        except StatementError as exc:
            raise RefusedError(f"{exc.message} ({exc.code})") from exc
        except ConnectError as exc:
            raise NotRunError(str(exc)) from exc
        except (UpstreamError, GroupError) as exc:
            raise OutcomeUnknownError(str(exc), key=req.key or "") from exc
        return Answer(
            result=result,
            position=position,
            instance=primary.instance,
            replica=False,
        )
