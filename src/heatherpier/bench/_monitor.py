"""Reads logs and read counters directly from the instances."""

import asyncio
import json
from dataclasses import dataclass

from heatherpier.bench._engine import LogEntry
from heatherpier.positions import LogPosition
from heatherpier.upstreams import (
    Connection,
    Connector,
    Instance,
    UpstreamError,
)

LOG_BATCH_ENTRIES = 500
LOG_TIMEOUT_S = 5.0
COUNTER_PERIOD_S = 0.5


class NoMajorityError(Exception):
    """The logs of a majority of a group's instances could not be read."""


@dataclass(frozen=True, slots=True)
class ReadCounts:
    """Counts of callers' reads that instances ran, by role of the instance."""

    primary: int = 0
    replica: int = 0

    def __add__(self, other: "ReadCounts") -> "ReadCounts":
        return ReadCounts(self.primary + other.primary, self.replica + other.replica)

    def replica_share(self) -> float:
        """Returns the share of reads that replicas served, from 0 to 1."""
        return self.replica / max(self.primary + self.replica, 1)


async def read_log(connector: Connector, instance: Instance) -> list[LogEntry]:
    """Returns the whole log of one instance.

    Raises:
        UpstreamError: The instance does not answer.
    """
    entries: list[LogEntry] = []
    try:
        async with asyncio.timeout(LOG_TIMEOUT_S):
            conn = await connector.connect(instance)
            try:
                while batch := await _read_batch(conn, after=len(entries)):
                    entries.extend(batch)
            finally:
                conn.abort()
    except TimeoutError as exc:
        raise UpstreamError(
            f"{instance.name}: log not read within {LOG_TIMEOUT_S} s"
        ) from exc
    return entries


async def _read_batch(conn: Connection, *, after: int) -> list[LogEntry]:
    result = await conn.execute(f"CALL group_log({after}, {LOG_BATCH_ENTRIES})")
    return [LogEntry(t, i, tuple(s)) for t, i, s in json.loads(result.rows[0][0])]


async def read_group_log(
    connector: Connector, instances: list[Instance]
) -> list[LogEntry]:
    """Returns the log of the instance furthest ahead among those that answer.

    Raises:
        NoMajorityError: No majority of the instances answers.
    """
    answers = await asyncio.gather(
        *(read_log(connector, item) for item in instances), return_exceptions=True
    )
    logs = [item for item in answers if not isinstance(item, BaseException)]
    if len(logs) <= len(instances) // 2:
        raise NoMajorityError(
            f"only {len(logs)} of {len(instances)} logs could be read: {answers!r:.300}"
        )
    return max(logs, key=_last_position)


def _last_position(entries: list[LogEntry]) -> LogPosition:
    if not entries:
        return LogPosition(0, 0)
    return LogPosition(entries[-1].term, entries[-1].index)


class ReadMonitor:
    """Polls the read counts of instances and keeps the last, as instances may die.

    Args:
        connector: Opens connections to the instances.
        instances: Instances to poll.
    """

    def __init__(self, connector: Connector, instances: list[Instance]) -> None:
        self._connector = connector
        self._instances = instances
        self._counts: dict[str, ReadCounts] = {}

    async def run(self) -> None:
        """Polls all instances periodically until it is cancelled."""
        async with asyncio.TaskGroup() as tasks:
            for instance in self._instances:
                tasks.create_task(self._poll(instance))

    async def _poll(self, instance: Instance) -> None:
        while True:
            try:
                conn = await self._connector.connect(instance)
                try:
                    while True:
                        result = await conn.execute("CALL group_reads()")
                        primary, replica = result.rows[0]
                        counts = ReadCounts(int(primary), int(replica))
                        self._counts[instance.name] = counts
                        await asyncio.sleep(COUNTER_PERIOD_S)
                finally:
                    conn.abort()
            except UpstreamError:
                await asyncio.sleep(COUNTER_PERIOD_S)

    async def settle(self) -> None:
        """Waits long enough for every live instance to be polled once more."""
        await asyncio.sleep(2 * COUNTER_PERIOD_S)

    def total(self) -> ReadCounts:
        """Returns the sum of the last known counts of all instances."""
        return sum(self._counts.values(), ReadCounts())
