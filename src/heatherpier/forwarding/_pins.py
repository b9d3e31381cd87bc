"""Connections that a home holds for transactions of other proxies."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from heatherpier.forwarding._metrics import ForwardingMetrics
from heatherpier.leases import InFlightWork, Lease
from heatherpier.pooling import ConnectionPool, InstanceConnection
from heatherpier.telemetry import get_logger
from heatherpier.timers import Timers

log = get_logger("forwarding")
CHECK_PERIOD_S = 0.5
# The sender's own idle limit ends first by about a round trip; the home's is for
# senders that can't tell any more.
IDLE_MARGIN_S = 1.0


@dataclass(frozen=True, slots=True, kw_only=True)
class LinkKey:
    """Identity of a link among those of all senders.

    Attributes:
        sender: Name of the sending proxy.
        incarnation: Incarnation of the sending process.
        link: Number of the link.
    """

    sender: str
    incarnation: int
    link: int


@dataclass(slots=True, eq=False)
class Pin:
    """A connection that is held for a link until its transaction ends.

    Attributes:
        key: The link.
        conn: The connection.
        pool: Pool that the connection is returned to.
        service: Service of the instance.
        lease: Lease under which the transaction began, or None on a replica.
        began: Monotonic time in seconds at which the connection was acquired.
        used_at: Monotonic time in seconds of the last answer.
        busy: Whether a request of the link is running.
        opened_only: Whether nothing but the opening of the transaction has run on it.
        abort: Ends the work when the lease is released.
    """

    key: LinkKey
    conn: InstanceConnection
    pool: ConnectionPool
    service: str
    lease: Lease | None
    began: float
    used_at: float
    busy: bool = False
    opened_only: bool = True
    abort: Callable[[], None] = field(default=lambda: None)


class Pins:
    """Keeps the pinned connections, and ends those of senders that are gone.

    Args:
        in_flight: In-flight work on primaries, which pinned transactions belong to.
        idle_limit_s: Returns the longest pause inside a transaction, in seconds.
        metrics: Metrics of forwarding.
        timers: Timer service.
    """

    def __init__(
        self,
        *,
        in_flight: InFlightWork,
        idle_limit_s: Callable[[], float],
        metrics: ForwardingMetrics,
        timers: Timers,
    ) -> None:
        self._in_flight = in_flight
        self._idle_limit_s = idle_limit_s
        self._metrics = metrics
        self._timers = timers
        self._pins: dict[LinkKey, Pin] = {}
        self._checks: asyncio.Task[None] | None = None

    def get(self, key: LinkKey) -> Pin | None:
        """Returns the pin of a link, or None if nothing is held for it."""
        return self._pins.get(key)

    def any(self) -> bool:
        """Returns whether a connection is held for any link."""
        return bool(self._pins)

    def begin(self, pin: Pin) -> None:
        """Counts work on a primary as in flight until `release`."""
        if pin.lease is not None:
            pin.abort = partial(self._abort, pin)
            self._in_flight.begin(pin.service, pin.abort)

    def _abort(self, pin: Pin) -> None:
        pin.conn.abort()
        if not pin.busy:
            self.end(pin.key, cause="lease")

    def add(self, pin: Pin) -> None:
        """Holds a connection for a link."""
        self._pins[pin.key] = pin
        self._metrics.pinned.set(len(self._pins))
        if self._checks is None:
            self._checks = asyncio.create_task(self._end_idle())

    def release(self, pin: Pin) -> None:
        """Returns the connection to its pool, after a rollback if that is needed."""
        if self._pins.get(pin.key) is pin:
            del self._pins[pin.key]
            self._metrics.pinned.set(len(self._pins))
        if pin.lease is not None:
            self._in_flight.end(pin.service, pin.abort)
        held_s = self._timers.now() - pin.began
        if pin.conn.clean or not pin.conn.usable:
            pin.pool.release(pin.conn, held_s=held_s)
        else:
            pin.pool.roll_back_and_release(pin.conn, held_s=held_s)

    def end(self, key: LinkKey, *, cause: str) -> None:
        """Rolls back the transaction of a link, if one is open here.

        Args:
            key: The link.
            cause: Cause, for the log and the metrics.
        """
        pin = self._pins.get(key)
        if pin is None:
            return
        log.info(
            "transaction of another proxy rolled back",
            sender=key.sender,
            link=key.link,
            instance=pin.conn.instance,
            cause=cause,
            idle_s=round(self._timers.now() - pin.used_at, 3),
            busy=pin.busy,
        )
        self._metrics.ended.labels(cause).inc()
        if pin.busy:
            # The running request fails, and then releases the pin.
            pin.conn.abort()
            return
        self.release(pin)

    def end_earlier(self, sender: str, incarnation: int) -> None:
        """Rolls back the transactions of earlier incarnations of a sender."""
        for key in list(self._pins):
            if key.sender == sender and key.incarnation < incarnation:
                self.end(key, cause="restarted")

    def end_idle(self, *, cause: str) -> None:
        """Rolls back the transactions that wait for their next request."""
        for pin in list(self._pins.values()):
            if not pin.busy:
                self.end(pin.key, cause=cause)

    def close(self) -> None:
        """Rolls back all transactions."""
        if self._checks is not None:
            self._checks.cancel()
        for key in list(self._pins):
            self.end(key, cause="closed")

    async def _end_idle(self) -> None:
        """Rolls back transactions beyond the idle limit, while there are any."""
        while self._pins:
            await self._timers.sleep(CHECK_PERIOD_S)
            idle_since = self._timers.now() - self._idle_limit_s() - IDLE_MARGIN_S
            for pin in list(self._pins.values()):
                if not pin.busy and pin.used_at <= idle_since:
                    self.end(pin.key, cause="idle")
        self._checks = None
