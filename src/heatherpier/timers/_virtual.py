"""An event loop whose clock jumps to the next timer instead of waiting."""

import asyncio
import selectors
from typing import Any


class _JumpingSelector(selectors.SelectSelector):
    """Selector that advances the virtual clock by the time it should block."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0

    def select(self, timeout: float | None = None) -> Any:
        ready = super().select(0)
        if ready:
            return ready
        if timeout is None:
            # Nothing is scheduled and no socket is ready: the test has deadlocked.
            raise RuntimeError("virtual time: every task waits and no timer is set")
        self.now_s += timeout
        return ready


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Event loop for tests that do not touch the network.

    Time stands still while tasks run and jumps when all of them wait, so a
    verdict never depends on the speed of the machine.
    """

    def __init__(self) -> None:
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self) -> float:
        """Returns virtual seconds since the loop was made."""
        return self._jumping.now_s
