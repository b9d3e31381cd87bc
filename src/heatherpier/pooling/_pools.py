"""The pools of all instances."""

from collections.abc import Callable

from heatherpier.discovery import InstanceRecord
from heatherpier.pooling._interface import InstanceConnector
from heatherpier.pooling._pool import ConnectionPool, PoolLimits
from heatherpier.timers import Timers


class InstancePools:
    """Keeps one pool for each incarnation of an instance.

    Args:
        connector: Opens connections.
        timers: Timer service.
        limits: Tells how many connections this proxy may open to one instance of a
            service.
    """

    def __init__(
        self,
        *,
        connector: InstanceConnector,
        timers: Timers,
        limits: Callable[[str], PoolLimits],
    ) -> None:
        self._connector = connector
        self._timers = timers
        self._limits = limits
        self._pools: dict[str, tuple[InstanceRecord, ConnectionPool]] = {}

    def of(self, record: InstanceRecord) -> ConnectionPool:
        """Returns the pool of an instance."""
        known = self._pools.get(record.name)
        if known is not None and _same_incarnation(known[0], record):
            known[1].limits = self._limits(record.service)
            return known[1]
        if known is not None:
            known[1].close()
        pool = ConnectionPool(
            record.instance,
            service=record.service,
            connector=self._connector,
            timers=self._timers,
            limits=self._limits(record.service),
        )
        self._pools[record.name] = (record, pool)
        return pool

    def drop(self, name: str) -> None:
        """Closes the pool of an instance that is gone."""
        known = self._pools.pop(name, None)
        if known is not None:
            known[1].close()

    def all(self) -> list[ConnectionPool]:
        """Returns all pools."""
        return [pool for _, pool in self._pools.values()]

    def close(self) -> None:
        """Closes all pools."""
        for name in list(self._pools):
            self.drop(name)


def _same_incarnation(known: InstanceRecord, record: InstanceRecord) -> bool:
    same_place = (known.instance.host, known.instance.port) == (
        record.instance.host,
        record.instance.port,
    )
    same_start = known.started_ms == record.started_ms
    return same_place and same_start
