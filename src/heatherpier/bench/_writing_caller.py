"""A caller that writes continuously and records its acknowledged writes."""

import contextlib
from dataclasses import dataclass

from heatherpier.groups import Group, GroupError, fetch_last_commit
from heatherpier.positions import LogPosition
from heatherpier.timers import Timers
from heatherpier.upstreams import UpstreamError

WRITE_PERIOD_S = 0.02
WRITE_TIMEOUT_S = 5.0
STATEMENT_TIMEOUT_S = 1.0
ACQUIRE_TIMEOUT_S = 0.25


@dataclass(frozen=True, slots=True, kw_only=True)
class AcknowledgedWrite:
    """A write that was acknowledged to its caller.

    Attributes:
        value: Inserted value.
        position: Log position of its commit.
        at: Monotonic time in seconds of the acknowledgement.
    """

    value: str
    position: LogPosition
    at: float


class WritingCaller:
    """Inserts one row after another through one proxy's view of a group.

    Args:
        name: Prefix that makes its rows unique.
        group: The proxy's view of the group.
        timers: Source of time and sleeps.

    Attributes:
        acknowledged: Acknowledged writes, in order.
    """

    def __init__(self, name: str, group: Group, *, timers: Timers) -> None:
        self.acknowledged: list[AcknowledgedWrite] = []
        self._name = name
        self._group = group
        self._timers = timers

    async def run(self) -> None:
        """Inserts rows until it is cancelled."""
        number = 0
        while True:
            number += 1
            with contextlib.suppress(GroupError):
                await self._write(f"{self._name}-{number}")
            await self._timers.sleep(WRITE_PERIOD_S)

    async def _write(self, value: str) -> None:
        group = self._group
        deadline = self._timers.now() + WRITE_TIMEOUT_S
        primary = (await group.wait_for_primary(deadline=deadline)).instance
        try:
            async with group.pools[primary].acquire(
                timeout_s=ACQUIRE_TIMEOUT_S
            ) as conn:
                sql = f"INSERT INTO claims VALUES ('{value}')"
                await conn.execute(sql, timeout_s=STATEMENT_TIMEOUT_S)
                position = await fetch_last_commit(conn, timeout_s=STATEMENT_TIMEOUT_S)
        except UpstreamError:
            group.report_failure(primary)
            return
        await group.acknowledge(position, primary=primary, deadline=deadline)
        self.acknowledged.append(
            AcknowledgedWrite(value=value, position=position, at=self._timers.now())
        )
