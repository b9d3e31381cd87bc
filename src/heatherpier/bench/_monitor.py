"""Reads logs and counters straight from the instances."""

import asyncio
import json
from dataclasses import dataclass

from heatherpier.bench._engine import LogEntry
from heatherpier.groups import LogPosition
from heatherpier.upstreams import (
    Connection,
    Connector,
    Instance,
    UpstreamError,
)

LOG_BATCH = 500
ANSWER_TIMEOUT_S = 5.0
COUNTER_PERIOD_S = 0.5


class NoMajorityError(Exception):
    """Too few instances of a group can be read."""


@dataclass(frozen=True, slots=True)
class ReadCounts:
    """Callers' reads that instances ran, by their role."""

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
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            conn = await connector.connect(instance)
            try:
                while batch := await _read_batch(conn, after=len(entries)):
                    entries.extend(batch)
            finally:
                conn.abort()
    except TimeoutError as exc:
        raise UpstreamError(f"{instance.name}: no answer") from exc
    return entries


async def _read_batch(conn: Connection, *, after: int) -> list[LogEntry]:
    result = await conn.execute(f"CALL group_log({after}, {LOG_BATCH})")
    return [LogEntry(t, i, tuple(s)) for t, i, s in json.loads(result.rows[0][0])]


async def read_group_log(
    connector: Connector, instances: list[Instance]
) -> list[LogEntry]:
    """Returns the log of the instance furthest ahead on a majority.

    Raises:
        NoMajorityError: Fewer than a majority answer.
    """
    answers = await asyncio.gather(
        *(read_log(connector, item) for item in instances), return_exceptions=True
    )
    logs = [item for item in answers if not isinstance(item, BaseException)]
    if len(logs) <= len(instances) // 2:
        raise NoMajorityError(f"{len(logs)} of {len(instances)} logs: {answers!r:.300}")
    return max(logs, key=_end)


def _end(entries: list[LogEntry]) -> LogPosition:
    if not entries:
        return LogPosition(0, 0)
    return LogPosition(entries[-1].term, entries[-1].index)


class ReadMonitor:
    """Keeps the last known read counts of instances that may die.

    Args:
        connector: Reaches the instances.
        instances: Whom to ask.
    """

    def __init__(self, connector: Connector, instances: list[Instance]) -> None:
        self._connector = connector
        self._instances = instances
        self._counts: dict[str, ReadCounts] = {}

    async def run(self) -> None:
        """Asks all instances again and again until it is cancelled."""
        async with asyncio.TaskGroup() as tasks:
            for instance in self._instances:
                tasks.create_task(self._watch(instance))

    async def _watch(self, instance: Instance) -> None:
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

    def total(self) -> ReadCounts:
        """Returns the sum over all instances."""
        return sum(self._counts.values(), ReadCounts())
