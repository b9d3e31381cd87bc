"""A bounded pool of connections to one instance."""

import asyncio
import heapq
import itertools
from collections.abc import Coroutine, Mapping
from dataclasses import dataclass
from typing import Any

from heatherpier.pooling._calls import ClearSession, RollBack
from heatherpier.pooling._connection import InstanceConnection
from heatherpier.pooling._crowding import Crowding
from heatherpier.pooling._interface import InstanceConnector
from heatherpier.requests import OverloadedError
from heatherpier.telemetry import get_logger
from heatherpier.timers import Timers
from heatherpier.upstreams import (
    ConnectError,
    Instance,
    TooManyConnectionsError,
    UpstreamError,
)

log = get_logger("lending")
MS_PER_S = 1000
# A connection that was idle for longer is checked before use, because an open
# connection can stop answering for good.
IDLE_CHECK_S = 1.0
IDLE_CHECK_TIMEOUT_S = 0.25
# Twice the slowest handshake on a healthy link, which is 12 ms of work on the instance,
# 4 one-way network delays of 12 ms and the wait in a full queue.
CONNECT_TIMEOUT_S = 0.6
# Pause before the next attempt to open a connection after the instance rejected one as
# too many. An instance keeps the connections of a proxy that lost power for 3 s.
REJECTED_BACKOFF_S = 0.15
# A connection is closed after it was idle for this long, unless the pool has no other.
# If all proxies lose power at once, the instance keeps counting their connections for
# 3 s, and what it accepts beyond these is all that the proxies have after their start.
IDLE_LIMIT_S = 2.0
# A connection beyond the soft limit is opened only for a waiter that would wait at
# least this long, or has: opening takes a slot of the instance for 12 ms, as long as
# most statements.
EXCESS_WAIT_S = 0.1
# Period of the check whether a waiter has waited that long.
GROWTH_PERIOD_S = 0.02
# Weight of the latest use in the moving average of the time in use.
USE_TIME_SMOOTHING = 0.1
# Mean time in use that is assumed before connections have been released.
INITIAL_USE_S = 0.03
MIN_RETRY_MS = 50
ROLLBACK_TIMEOUT_S = 0.5


@dataclass(frozen=True, slots=True, kw_only=True)
class _Waiter:
    """A waiter for a connection.

    Attributes:
        fut: Result of the wait: a connection, or None for the permission to open one.
        organisation: Organisation whose statement waits, or empty.
    """

    fut: asyncio.Future[InstanceConnection | None]
    organisation: str


@dataclass(slots=True)
class PoolLimits:
    """Bounds of a pool, which may change at any time.

    Attributes:
        soft_limit: Number of connections that are opened as soon as they are needed.
        hard_limit: Maximum number of connections, reached only while waiters would
            otherwise wait long.
        idle_s: Time in seconds after which an idle connection is closed, unless the
            pool has no other.
    """

    soft_limit: int
    hard_limit: int
    idle_s: float = IDLE_LIMIT_S


class ConnectionPool:
    """Hands out connections to one instance, by priority and then in order of arrival.

    Args:
        instance: The instance to connect to.
        service: Service that the instance belongs to.
        connector: Opens connections.
        timers: Timer service.
        limits: Bounds of the pool.
        crowding: Whether instances have too few connections for all proxies; None if
            that is not observed.

    Attributes:
        instance: The instance that the connections lead to.
        limits: Bounds of the pool; may be replaced at any time.
        scarce: Whether all proxies need connections to the instance, because it is a
            primary.
        opened: Number of connections that were opened so far.
    """

    def __init__(
        self,
        instance: Instance,
        *,
        service: str,
        connector: InstanceConnector,
        timers: Timers,
        limits: PoolLimits,
        crowding: Crowding | None = None,
    ) -> None:
        self.instance = instance
        self.limits = limits
        self.scarce = False
        self.opened = 0
        self._service = service
        self._connector = connector
        self._crowding = crowding
        self._timers = timers
        self._idle: list[InstanceConnection] = []
        self._open = 0
        self._opening = 0
        self._waiters: list[tuple[int, int, _Waiter]] = []
        # Monotonic times in seconds at which the waiters began to wait, by sequence.
        self._waiting_since: dict[int, float] = {}
        self._sequence = itertools.count()
        self._mean_use_s = INITIAL_USE_S
        self._backoff_until = 0.0
        self._closed = False
        self._trimming = False
        self._growing = False
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
        return sum(not waiter.fut.done() for _, _, waiter in self._waiters)

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
    ) -> InstanceConnection:
        """Acquires a connection, to be returned by `release`.

        Args:
            values: Session values; a connection that has exactly them is preferred.
            organisation: Organisation that the connection has to belong to, or empty.
            priority: Priority of the waiter; lower numbers are served first.
            deadline: Monotonic time in seconds at which the wait ends.

        Raises:
            OverloadedError: The waiter would not be served before its deadline.
            ConnectError: No connection can be opened.
        """
        while True:
            conn = self._take_idle(values, organisation)
            conn = conn or await self._try_open(organisation)
            if conn is None:
                conn = await self._wait(priority, deadline, organisation)
                conn = conn or await self._try_open(organisation, offered=True)
            if conn is not None and await self._is_alive(conn):
                return conn

    def _take_idle(
        self, values: Mapping[str, str], organisation: str
    ) -> InstanceConnection | None:
        """Returns an idle connection of the organisation, the last used one first."""
        usable = [conn for conn in self._idle if conn.organisation == organisation]
        if not usable:
            return None
        conn = next((item for item in reversed(usable) if item.values == values), None)
        conn = conn or usable[-1]
        self._idle.remove(conn)
        return conn

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
            self._close_oldest_idle()
        try:
            return await self._open_one(organisation)
        except TooManyConnectionsError as exc:
            self._back_off(str(exc))
            return None

    def _close_oldest_idle(self) -> None:
        """Closes the idle connection that was not used for longest, to make room."""
        conn = min(self._idle, key=lambda item: item.used_at)
        self._idle.remove(conn)
        conn.abort()
        self._open -= 1

    async def _wait(
        self, priority: int, deadline: float, organisation: str
    ) -> InstanceConnection | None:
        """Waits for a connection, or for capacity to open one (then returns None)."""
        wait_s = self.expected_wait_s()
        if self._timers.now() + wait_s >= deadline:
            raise self._overloaded(wait_s)
        fut: asyncio.Future[InstanceConnection | None]
        fut = asyncio.get_running_loop().create_future()
        sequence = next(self._sequence)
        waiter = _Waiter(fut=fut, organisation=organisation)
        heapq.heappush(self._waiters, (priority, sequence, waiter))
        self._waiting_since[sequence] = self._timers.now()
        if not self._growing and self._open < self.limits.hard_limit:
            self._growing = True
            self._start(self._grow())
        try:
            async with self._timers.timeout_at(deadline):
                return await fut
        except TimeoutError as exc:
            self._pass_on(fut)
            raise self._overloaded(wait_s) from exc
        except asyncio.CancelledError:
            self._pass_on(fut)
            raise
        finally:
            del self._waiting_since[sequence]

    def _pass_on(self, fut: asyncio.Future[InstanceConnection | None]) -> None:
        """Hands on what a waiter was given in the turn in which its wait ended."""
        if fut.done() and not fut.cancelled() and not fut.exception():
            self._hand_over(fut.result())

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
        if self._waiters and self._may_open():
            self._hand_over(None)

    async def _grow(self) -> None:
        """Opens connections for those that have waited long, while there are any.

        The estimate of the wait does not show that all connections are held for long,
        as by transactions with pauses: only what is released counts in it.
        """
        while self._waiting_since and not self._closed:
            left_s = EXCESS_WAIT_S - self._longest_wait_s()
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
        wait_s = max(self._queue_wait_s(), self._longest_wait_s())
        return not self._opening and wait_s >= EXCESS_WAIT_S

    def _queue_wait_s(self) -> float:
        """Estimates the wait of a new waiter for an open connection, in seconds."""
        return (self.waiting + 1) * self._mean_use_s / max(self._open, 1)

    def _longest_wait_s(self) -> float:
        """Returns for how long the first of the present waiters has waited."""
        now = self._timers.now()
        return now - next(iter(self._waiting_since.values()), now)

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

    async def _is_alive(self, conn: InstanceConnection) -> bool:
        """Returns whether a connection is usable, after a check if it was idle."""
        if self._timers.now() - conn.used_at <= IDLE_CHECK_S and not conn.has_unread():
            return True
        try:
            await conn.run([ClearSession()], timeout_s=IDLE_CHECK_TIMEOUT_S)
        except UpstreamError as exc:
            log.info(
                "idle check failed, connection closed",
                instance=self.instance.name,
                reason=str(exc),
            )
        except asyncio.CancelledError:
            conn.abort()
            self._note_closed()
            raise
        if conn.usable:
            return True
        self._note_closed()
        return False

    def release(self, conn: InstanceConnection, *, held_s: float) -> None:
        """Returns a connection to the pool; one in an unknown state is closed.

        Args:
            conn: The connection.
            held_s: Time in seconds for which it was in use.
        """
        self._mean_use_s += (held_s - self._mean_use_s) * USE_TIME_SMOOTHING
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
        for conn in self._idle:
            conn.abort()
            self._open -= 1
        self._idle.clear()

    def roll_back_and_release(self, conn: InstanceConnection, *, held_s: float) -> None:
        """Rolls back a connection's transaction, then returns it to the pool.

        Args:
            conn: The connection.
            held_s: Time in seconds for which it was in use.
        """
        self._start(self._roll_back(conn, held_s))

    async def _roll_back(self, conn: InstanceConnection, held_s: float) -> None:
        try:
            if conn.usable:
                await conn.run([RollBack()], timeout_s=ROLLBACK_TIMEOUT_S)
        except UpstreamError as exc:
            # The instance rolls the transaction back when the connection closes.
            log.info(
                "rollback failed, connection closed",
                instance=self.instance.name,
                reason=str(exc),
            )
        finally:
            self.release(conn, held_s=held_s)

    def _hand_over(self, conn: InstanceConnection | None) -> None:
        """Hands a connection to the next waiter; one that nobody needs becomes idle.

        None stands for the capacity to open one.
        """
        while self._waiters:
            _, _, waiter = heapq.heappop(self._waiters)
            if waiter.fut.done():
                continue
            if conn is not None and conn.organisation != waiter.organisation:
                # The waiter opens a connection of its own in place of this one.
                conn.abort()
                self._open -= 1
                conn = None
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
            idle_since = self._timers.now() - idle_s
            for conn in [idle for idle in self._idle if idle.used_at <= idle_since]:
                if self._open <= 1:
                    break
                self._idle.remove(conn)
                conn.abort()
                self._open -= 1
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
        for _, _, waiter in self._waiters:
            if not waiter.fut.done():
                waiter.fut.set_exception(
                    ConnectError(f"{self.instance.name}: the pool is closed")
                )
        self._waiters.clear()
