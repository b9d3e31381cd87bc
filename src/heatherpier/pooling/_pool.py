"""A bounded pool of connections to one instance."""

import asyncio
from collections.abc import Coroutine, Mapping
from typing import Any

from heatherpier.pooling._connection import InstanceConnection
from heatherpier.pooling._crowding import Crowding
from heatherpier.pooling._idle import IdleConnections, passes_check, roll_back
from heatherpier.pooling._interface import InstanceConnector
from heatherpier.pooling._limits import PoolLimits
from heatherpier.pooling._uses import (
    INITIAL_USE_S,
    USE_TIME_SMOOTHING,
    ConnectionUse,
    UseMeter,
)
from heatherpier.pooling._waiters import FairOrder, Grant, Waiter, Waiters, make_waiter
from heatherpier.requests import OverloadedError
from heatherpier.telemetry import get_logger
from heatherpier.timers import Timers
from heatherpier.upstreams import (
    ConnectError,
    Instance,
    TooManyConnectionsError,
)

log = get_logger("lending")
MS_PER_S = 1000
# Twice the slowest handshake on a healthy link, which is 12 ms of work on the instance,
# 4 one-way network delays of 12 ms and the wait in a full queue.
CONNECT_TIMEOUT_S = 0.6
# Pause before the next attempt to open a connection after the instance rejected one as
# too many. An instance keeps the connections of a proxy that lost power for 3 s.
REJECTED_BACKOFF_S = 0.15
# A connection beyond the soft limit is opened only for a waiter that would wait at
# least this long, or has: opening takes a slot of the instance for 12 ms, as long as
# most statements.
EXCESS_WAIT_S = 0.1
# Period of the check whether a waiter has waited that long.
GROWTH_PERIOD_S = 0.02
# Period in which waiters in fair order that have become hopeless are refused.
TEND_PERIOD_S = 0.05
MIN_RETRY_MS = 50


class ConnectionPool:
    """Hands out connections to one instance, in order of arrival or in fair order.

    Args:
        instance: The instance to connect to.
        service: Service that the instance belongs to.
        connector: Opens connections.
        timers: Timer service.
        limits: Bounds of the pool.
        crowding: Whether instances have too few connections for all proxies; None if
            that is not observed.
        order: Fair order of waiters; None for priority and then arrival.

    Attributes:
        instance: The instance that the connections lead to.
        limits: Bounds of the pool; may be replaced at any time.
        scarce: Whether all proxies need connections to the instance, because it is a
            primary.
        opened: Number of connections that were opened so far.
        may_abandon: Whether an exchange may end early; it would close the connection.
    """

    may_abandon = False

    def __init__(
        self,
        instance: Instance,
        *,
        service: str,
        connector: InstanceConnector,
        timers: Timers,
        limits: PoolLimits,
        crowding: Crowding | None = None,
        order: FairOrder | None = None,
    ) -> None:
        self.instance = instance
        self.limits = limits
        self.scarce = False
        self.opened = 0
        self._service = service
        self._connector = connector
        self._crowding = crowding
        self._timers = timers
        self._idle = IdleConnections(timers=timers)
        self._open = 0
        self._opening = 0
        self._waiters = Waiters(instance.name, timers=timers, order=order)
        self._meter = UseMeter()
        self._mean_use_s = INITIAL_USE_S
        self._backoff_until = 0.0
        self._closed = False
        self._trimming = False
        self._growing = False
        self._tending = False
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def open_connections(self) -> int:
        """Number of connections that are acquired, idle or being opened."""
        return self._open

    @property
    def in_use(self) -> int:
        """Number of connections that are acquired or being opened."""
        return self._open - len(self._idle)

    @property
    def waiting(self) -> int:
        """Number of waiters without a connection."""
        return len(self._waiters)

    @property
    def fair(self) -> bool:
        """Whether waiters are in fair order, and hopeless ones are refused at once."""
        return self._waiters.fair

    def expected_wait_s(self) -> float:
        """Returns how long a new waiter would wait, in seconds."""
        if self._idle or self._may_open():
            return 0.0
        if not self._open:
            return max(self._backoff_until - self._timers.now(), 0.0)
        return self._queue_wait_s()

    async def acquire(
        self,
        values: Mapping[str, str],
        *,
        priority: int,
        deadline: float,
        organisation: str = "",
        use: ConnectionUse | None = None,
    ) -> InstanceConnection:
        """Acquires a connection, to be returned by `release`.

        Args:
            values: Session values; a connection that has exactly them is preferred.
            organisation: Organisation that the connection has to belong to, or empty.
            priority: Priority of the waiter; lower numbers are served first.
            deadline: Monotonic time in seconds at which the wait ends.
            use: What the connection is for; None for a use with the deadline as its
                objective.

        Raises:
            OverloadedError: The waiter would not be served before its deadline.
            ConnectError: No connection can be opened.
        """
        use = use or ConnectionUse(
            class_name="",
            reads=False,
            objective_at=deadline,
            objective_s=deadline - self._timers.now(),
        )
        while True:
            conn: InstanceConnection | None = None
            if self._may_take(use):
                self._meter.begin(use)
                conn = self._idle.take(values, organisation)
                if conn is None:
                    conn = await self._open_counted(use, organisation)
            if conn is None:
                conn = await self._wait(use, priority, deadline, organisation)
                if conn is None:
                    conn = await self._open_counted(use, organisation, offered=True)
            if conn is not None and await self._is_usable(conn, use):
                return conn

    def _may_take(self, use: ConnectionUse) -> bool:
        """Returns whether a newcomer may take a connection before it has waited."""
        if not self._waiters.fair:
            return True
        limited = self._limited()
        taken = use.class_name in limited or self._waiters.has_any(without=limited)
        return not taken

    def _limited(self) -> frozenset[str]:
        """Returns the classes that must leave a connection to shorter work."""
        if not (self.scarce and self._waiters.fair):
            return frozenset()
        limit = min(max(self._open, self.limits.soft_limit), self.limits.hard_limit)
        return self._meter.limited(limit, self._timers.now())

    async def _open_counted(
        self, use: ConnectionUse, organisation: str, *, offered: bool = False
    ) -> InstanceConnection | None:
        """Opens a connection for a use, which no longer counts if that fails."""
        try:
            conn = await self._try_open(organisation, offered=offered)
        except BaseException:
            self._end_use(use)
            raise
        if conn is None:
            self._meter.end(use)
        return conn

    async def _is_usable(self, conn: InstanceConnection, use: ConnectionUse) -> bool:
        """Returns whether a connection is usable; if so, assigns it to its use."""
        try:
            usable = await passes_check(conn, timers=self._timers)
        except BaseException:
            conn.abort()
            self._end_use(use)
            self._note_closed()
            raise
        if usable:
            self._meter.assign(conn, use)
        else:
            self._end_use(use)
            self._note_closed()
        return usable

    def _end_use(self, use: ConnectionUse) -> None:
        """Ends a use, after which a waiter that it kept waiting may be served."""
        self._meter.end(use)
        self._serve_idle()

    def _serve_idle(self) -> None:
        """Hands idle connections to waiters that had to leave them to shorter work."""
        if self._timers.now() < self._backoff_until:
            # A waiter of another organisation could not open its own connection.
            return
        while self._idle and self._waiters.has_any(without=self._limited()):
            self._hand_over(self._idle.pop())

    async def _try_open(
        self, organisation: str, *, offered: bool = False
    ) -> InstanceConnection | None:
        """Opens a connection; returns None if the pool or the instance is full.

        Args:
            organisation: Organisation that it is opened for, or empty.
            offered: Whether a waiter was told that it may open one.
        """
        if not (self._has_room() if offered else self._may_open()):
            if not self._idle or self._timers.now() < self._backoff_until:
                return None
            self._idle.close_oldest()
            self._open -= 1
        try:
            return await self._open_one(organisation)
        except TooManyConnectionsError as exc:
            self._back_off(str(exc))
            return None

    async def _wait(
        self, use: ConnectionUse, priority: int, deadline: float, organisation: str
    ) -> Grant:
        """Waits for a connection, or for capacity to open one (then returns None)."""
        wait_s = self.expected_wait_s()
        fair = self._waiters.fair
        if not fair and self._timers.now() + wait_s >= deadline:
            raise self._overloaded(wait_s)
        waiter = make_waiter(
            use,
            organisation=organisation,
            priority=priority,
            deadline=deadline,
            cost_s=self._meter.mean_s(use.class_name),
            now=self._timers.now(),
        )
        self._waiters.push(waiter, connections=self._open)
        if not self._growing and self._open < self.limits.hard_limit:
            self._growing = True
            self._start(self._grow())
        if fair and not self._tending:
            self._tending = True
            self._start(self._tend())
        try:
            async with self._timers.timeout_at(deadline):
                return await waiter.fut
        except TimeoutError as exc:
            self._pass_on(waiter)
            self._waiters.leave(waiter)
            raise self._late(waiter, wait_s) from exc
        except asyncio.CancelledError:
            self._pass_on(waiter)
            raise
        finally:
            self._waiters.leave(waiter)

    def _late(self, waiter: Waiter, wait_s: float) -> OverloadedError:
        """Returns the refusal of a waiter whose deadline has passed."""
        if not self._waiters.fair:
            return self._overloaded(wait_s)
        return self._waiters.refusal(waiter, "deadline", wait_s)

    def _pass_on(self, waiter: Waiter) -> None:
        """Hands on what a waiter was given in the turn in which its wait ended."""
        fut = waiter.fut
        if fut.done() and not fut.cancelled() and not fut.exception():
            self._meter.end(waiter.use)
            self._hand_over(fut.result())

    async def _tend(self) -> None:
        """Refuses waiters without a chance; serves those whose reserve has ended."""
        while self._waiters.present and not self._closed:
            await self._timers.sleep(TEND_PERIOD_S)
            if self._open:
                self._waiters.shed()
            self._serve_idle()
            self._offer_capacity()
        self._tending = False

    def _back_off(self, reason: str) -> None:
        """Opens no connection for `REJECTED_BACKOFF_S`, then lets one waiter try."""
        if not self._open and self._crowding is not None:
            self._crowding.note_rejected()
        now = self._timers.now()
        if now >= self._backoff_until:
            self._backoff_until = now + REJECTED_BACKOFF_S
            log.info(
                "connection rejected, instance is full",
                instance=self.instance.name,
                open=self._open,
                reason=reason,
            )
            self._start(self._end_backoff())

    async def _end_backoff(self) -> None:
        await self._timers.sleep(self._backoff_until - self._timers.now())
        self._offer_capacity()

    def _start(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _offer_capacity(self) -> None:
        """Lets the next waiter open a connection if the limits allow it."""
        if self._waiters.present and self._may_open():
            self._hand_over(None)

    async def _grow(self) -> None:
        """Opens connections for those that have waited long, while there are any.

        The estimate of the wait does not show that all connections are held for long,
        as by transactions with pauses: only what is released counts in it.
        """
        while self._waiters.present and not self._closed:
            left_s = EXCESS_WAIT_S - self._waiters.longest_wait_s()
            await self._timers.sleep(max(left_s, GROWTH_PERIOD_S))
            self._offer_capacity()
        self._growing = False

    def _overloaded(self, wait_s: float) -> OverloadedError:
        return OverloadedError(
            f"{self.instance.name}: {self.waiting} waiters, {self._open} connections",
            retry_after_ms=max(int(wait_s * MS_PER_S), MIN_RETRY_MS),
        )

    def _has_room(self) -> bool:
        full = self._closed or self._open >= self.limits.hard_limit
        return not full and self._timers.now() >= self._backoff_until

    def _may_open(self) -> bool:
        if not self._has_room():
            return False
        if self._open < self.limits.soft_limit:
            return True
        wait_s = max(self._queue_wait_s(), self._waiters.longest_wait_s())
        return not self._opening and wait_s >= EXCESS_WAIT_S

    def _queue_wait_s(self) -> float:
        """Estimates the wait of a new waiter for an open connection, in seconds."""
        return (self.waiting + 1) * self._mean_use_s / max(self._open, 1)

    async def _open_one(self, organisation: str) -> InstanceConnection:
        if self._closed:
            raise ConnectError(f"{self.instance.name}: the pool is closed")
        self._open += 1
        self._opening += 1
        try:
            async with self._timers.timeout(CONNECT_TIMEOUT_S):
                link = await self._connector.connect(
                    self.instance, service=self._service, organisation=organisation
                )
        except TimeoutError as exc:
            self._note_closed()
            raise ConnectError(
                f"{self.instance.name}: no connection within {CONNECT_TIMEOUT_S:.1f} s"
            ) from exc
        except BaseException:
            self._note_closed()
            raise
        finally:
            self._opening -= 1
        self.opened += 1
        self._offer_capacity()
        return InstanceConnection(
            link,
            instance=self.instance.name,
            timers=self._timers,
            organisation=organisation,
        )

    def release(self, conn: InstanceConnection, *, held_s: float) -> None:
        """Returns a connection to the pool; one in an unknown state is closed.

        Args:
            conn: The connection.
            held_s: Time in seconds for which it was in use.
        """
        self._mean_use_s += (held_s - self._mean_use_s) * USE_TIME_SMOOTHING
        self._meter.release(conn, held_s=held_s, now=self._timers.now())
        if self._closed or not conn.clean or self._open > self.limits.hard_limit:
            conn.abort()
            self._note_closed()
            return
        if self._shares_in_turn() and not self.waiting:
            conn.abort()
            self._note_closed()
            return
        self._hand_over(conn)

    def _shares_in_turn(self) -> bool:
        """Returns whether proxies take turns with connections to the instance."""
        crowded = self._crowding is not None and self._crowding.active
        return crowded and self.scarce

    def close_idle(self) -> None:
        """Closes the idle connections, so that other proxies can open some."""
        self._open -= self._idle.close_all()

    def roll_back_and_release(self, conn: InstanceConnection, *, held_s: float) -> None:
        """Rolls back a connection's transaction, then returns it to the pool.

        Args:
            conn: The connection.
            held_s: Time in seconds for which it was in use.
        """
        self._start(self._roll_back(conn, held_s))

    async def _roll_back(self, conn: InstanceConnection, held_s: float) -> None:
        try:
            await roll_back(conn)
        finally:
            self.release(conn, held_s=held_s)

    def _hand_over(self, conn: InstanceConnection | None) -> None:
        """Hands a connection to the next waiter; one that nobody needs becomes idle.

        None stands for the capacity to open one.
        """
        preferred = None if conn is None else conn.organisation
        waiter = self._waiters.pop(preferred, without=self._limited())
        if waiter is not None:
            if conn is not None and conn.organisation != waiter.organisation:
                # The waiter opens a connection of its own in place of this one.
                conn.abort()
                self._open -= 1
                conn = None
            self._meter.begin(waiter.use)
            waiter.fut.set_result(conn)
            return
        if conn is not None:
            self._idle.append(conn)
            if self._open > 1 and not self._trimming:
                self._trimming = True
                self._start(self._trim())

    async def _trim(self) -> None:
        """Closes connections that have become needless, while there are several."""
        while self._open > 1 and not self._closed:
            idle_s = self.limits.idle_s
            await self._timers.sleep(idle_s)
            self._open -= self._idle.close_unused(
                idle_s=idle_s, at_most=max(self._open - 1, 0)
            )
        self._trimming = False

    def _note_closed(self) -> None:
        self._open -= 1
        self._offer_capacity()

    async def warm(self) -> None:
        """Opens a connection ahead of use if the pool has none.

        Raises:
            ConnectError: The instance does not answer.
        """
        if not self._open and not self._shares_in_turn():
            conn = await self._try_open("")
            if conn is not None:
                self._hand_over(conn)

    def close(self) -> None:
        """Closes idle connections now and acquired ones when they are released."""
        self._closed = True
        self.close_idle()
        for waiter in self._waiters.drain():
            waiter.fut.set_exception(
                ConnectError(f"{self.instance.name}: the pool is closed")
            )
