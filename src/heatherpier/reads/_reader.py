"""Serves a read from a replica where its floor or age allows."""

from heatherpier.groups import (
    Group,
    GroupError,
    InstanceStatus,
    LogPosition,
    Role,
    fetch_status,
    wait_for_position,
)
from heatherpier.requests import (
    Answer,
    NotRunError,
    RefusedError,
    Request,
    TooStaleError,
)
from heatherpier.timers import Timers
from heatherpier.upstreams import PooledConnection, StatementError, UpstreamError

BORROW_S = 0.25
FLOOR_WAIT_S = 0.1


class Reader:
    """Chooses an instance for each read and checks it on the instance.

    Args:
        timers: Timer service.
        data_centre: Data centre of this proxy; its replicas are asked first.
    """

    def __init__(self, *, timers: Timers, data_centre: str) -> None:
        self._timers = timers
        self._data_centre = data_centre

    async def execute(self, group: Group, req: Request) -> Answer:
        """Runs a read.

        Raises:
            TooStaleError: No instance was fresh enough in time.
            RefusedError: The instance refused the statement.
            NotRunError: No instance answered in time.
        """
        ages: list[int] = []
        for name in self._candidates(group):
            left = req.deadline - self._timers.now()
            if left <= 0:
                break
            try:
                answer = await self._try(group, name, req, left=left, ages=ages)
            except StatementError as exc:
                raise RefusedError(f"{exc.message} ({exc.code})") from exc
            except (UpstreamError, GroupError):
                group.statuses.pop(name, None)
                continue
            if answer is not None:
                return answer
        if ages and req.max_age_ms is not None:
            raise TooStaleError(
                f"no instance within {req.max_age_ms} ms", available_age_ms=min(ages)
            )
        raise NotRunError(f"no instance of {req.group} could serve the read")

    def _candidates(self, group: Group) -> list[str]:
        def rank(name: str) -> tuple[bool, bool, str]:
            status = group.statuses.get(name)
            primary = status is not None and status.leads()
            near = group.pools[name].instance.data_centre == self._data_centre
            return (primary, not near, name)

        return sorted(group.pools, key=rank)

    async def _try(
        self, group: Group, name: str, req: Request, *, left: float, ages: list[int]
    ) -> Answer | None:
        async with group.pools[name].borrow(timeout_s=min(left, BORROW_S)) as conn:
            before = await self._check(conn, req, left=left)
            group.learn(before)
            ages.append(before.age_ms)
            if not _satisfies(before, req):
                return None
            result = await conn.execute(
                req.sql, timeout_s=req.deadline - self._timers.now()
            )
            after = await fetch_status(
                conn, timeout_s=req.deadline - self._timers.now()
            )
            group.learn(after)
        replica = after.role is Role.REPLICA
        if not replica:
            await group.acknowledge(after.position, primary=name, deadline=req.deadline)
        return Answer(
            result=result, position=after.position, instance=name, replica=replica
        )

    async def _check(
        self, conn: PooledConnection, req: Request, *, left: float
    ) -> InstanceStatus:
        if req.floor is None or req.max_age_ms is not None:
            return await fetch_status(conn, timeout_s=left)
        return await wait_for_position(
            conn, req.floor, timeout_s=min(left, FLOOR_WAIT_S)
        )


def _satisfies(status: InstanceStatus, req: Request) -> bool:
    floor = req.floor or LogPosition(0, 0)
    if req.max_age_ms is not None:
        return status.age_ms <= req.max_age_ms
    if req.floor is None:
        return status.leads()
    return status.position >= floor and status.adopted_term >= floor.term
