"""The timer service and its implementation over the running event loop."""

import asyncio
import time
from collections.abc import AsyncIterator
from typing import Protocol

MS_PER_S = 1000


class Timers(Protocol):
    """Clocks, delays and deadlines."""

    def now(self) -> float:
        """Returns monotonic time in seconds."""

    def elapsed(self) -> float:
        """Returns seconds of a clock that keeps running while the VM is suspended.

        The age of information and of grants from other processes is measured by it, so
        they do not seem fresh after a suspension.
        """

    def wall_ms(self) -> int:
        """Returns milliseconds since the Unix epoch.

        Wall time is for records that people read and for coarse expiry. No decision
        about consistency may depend on it.
        """

    async def sleep(self, delay_s: float) -> None:
        """Returns after ``delay_s`` seconds."""

    def timeout(self, delay_s: float) -> asyncio.Timeout:
        """Returns a context manager that raises TimeoutError after ``delay_s`` s."""

    def timeout_at(self, deadline: float) -> asyncio.Timeout:
        """Returns a context manager that raises TimeoutError at ``deadline``.

        Args:
            deadline: Monotonic time in seconds, as returned by `now`.
        """

    def every(self, period_s: float) -> AsyncIterator[float]:
        """Yields the monotonic time in seconds, at once and then after each period.

        Args:
            period_s: Pause in seconds between two values.
        """


class LoopTimers:
    """Timers over the clock of the running event loop.

    In a `VirtualTimeLoop` every delay is virtual, so tests run the production code.

    Args:
        wall_offset_s: Wall time, in seconds since the Unix epoch, at zero of the loop's
            clock. None to read the system clocks.
    """

    def __init__(self, *, wall_offset_s: float | None = None) -> None:
        self._wall_offset_s = wall_offset_s

    def now(self) -> float:
        """Returns monotonic time in seconds."""
        return asyncio.get_running_loop().time()

    def elapsed(self) -> float:
        """Returns seconds of a clock that keeps running while the VM is suspended."""
        if self._wall_offset_s is None:
            return time.clock_gettime(time.CLOCK_BOOTTIME)
        return self.now()

    def wall_ms(self) -> int:
        """Returns milliseconds since the Unix epoch."""
        if self._wall_offset_s is None:
            return int(time.time() * MS_PER_S)
        return int((self._wall_offset_s + self.now()) * MS_PER_S)

    async def sleep(self, delay_s: float) -> None:
        """Returns after ``delay_s`` seconds."""
        await asyncio.sleep(delay_s)

    def timeout(self, delay_s: float) -> asyncio.Timeout:
        """Returns a context manager that raises TimeoutError after ``delay_s`` s."""
        return asyncio.timeout(delay_s)

    def timeout_at(self, deadline: float) -> asyncio.Timeout:
        """Returns a context manager that raises TimeoutError at ``deadline``."""
        return asyncio.timeout_at(deadline)

    async def every(self, period_s: float) -> AsyncIterator[float]:
        """Yields the monotonic time in seconds, at once and then after each period."""
        while True:
            yield self.now()
            await asyncio.sleep(period_s)
