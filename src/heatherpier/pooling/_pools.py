"""One connection pool per instance."""

from collections.abc import Callable

from heatherpier.discovery import InstanceRecord
from heatherpier.pooling._crowding import Crowding
from heatherpier.pooling._interface import InstanceConnector, Pool
from heatherpier.pooling._limits import PoolLimits
from heatherpier.pooling._pool import ConnectionPool
from heatherpier.pooling._waiters import FairOrder
from heatherpier.timers import Timers


class InstancePools:
    """Keeps one connection pool for the current incarnation of each instance.

    Args:
        connector: Opens connections.
        timers: Timer service.
        limits: Returns how many connections this proxy may open to an instance.
        remote: Returns the pool through which statements of an organisation reach an
            instance by way of another proxy, or None if this proxy's own is to be used.
        order: Fair order of waiters; None for priority and then arrival.
    """

    def __init__(
        self,
        *,
        connector: InstanceConnector,
        timers: Timers,
        limits: Callable[[InstanceRecord], PoolLimits],
        remote: Callable[[InstanceRecord, str], Pool | None] = lambda *_: None,
        order: FairOrder | None = None,
    ) -> None:
        self._connector = connector
        self._timers = timers
        self._limits = limits
        self._remote = remote
        self._order = order
        self._pools: dict[str, tuple[InstanceRecord, ConnectionPool]] = {}
        self._crowding = Crowding(timers=timers, on_begin=self._close_idle_scarce)

    @property
    def fair(self) -> bool:
        """Whether waiters are in fair order, and hopeless ones are refused at once."""
        return self._order is not None and self._order.active()

    def of(self, record: InstanceRecord, organisation: str = "") -> Pool:
        """Returns the pool for statements of an organisation to an instance.

        Args:
            record: The instance.
            organisation: Name of the organisation, or empty.
        """
        remote = self._remote(record, organisation)
        return self.direct(record) if remote is None else remote

    def direct(self, record: InstanceRecord) -> ConnectionPool:
        """Returns this proxy's own pool of an instance, with its current limits.

        The pool of an earlier incarnation is closed and replaced.
        """
        pool = self._current_pool(record)
        pool.scarce = record.claims_primary
        return pool

    def _current_pool(self, record: InstanceRecord) -> ConnectionPool:
        entry = self._pools.get(record.name)
        if entry is not None and _same_incarnation(entry[0], record):
            entry[1].limits = self._limits(record)
            return entry[1]
        if entry is not None:
            entry[1].close()
        pool = ConnectionPool(
            record.instance,
            service=record.service,
            connector=self._connector,
            timers=self._timers,
            limits=self._limits(record),
            crowding=self._crowding,
            order=self._order,
        )
        self._pools[record.name] = (record, pool)
        return pool

    def _close_idle_scarce(self) -> None:
        for pool in self.all():
            if pool.scarce:
                pool.close_idle()

    def close_idle(self, name: str) -> None:
        """Closes the idle connections to an instance, if there are any."""
        entry = self._pools.get(name)
        if entry is not None:
            entry[1].close_idle()

    def drop(self, name: str) -> None:
        """Closes the pool of a removed instance; does nothing if it has none."""
        entry = self._pools.pop(name, None)
        if entry is not None:
            entry[1].close()

    def all(self) -> list[ConnectionPool]:
        """Returns all pools."""
        return [pool for _, pool in self._pools.values()]

    def close(self) -> None:
        """Closes all pools."""
        for name in list(self._pools):
            self.drop(name)


def _same_incarnation(known: InstanceRecord, record: InstanceRecord) -> bool:
    same_address = (known.instance.host, known.instance.port) == (
        record.instance.host,
        record.instance.port,
    )
    same_start = known.started_ms == record.started_ms
    return same_address and same_start
