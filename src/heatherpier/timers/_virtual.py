"""An event loop whose clock advances to the next timer instead of waiting."""

import asyncio
import selectors
from typing import Any


class _VirtualTimeSelector(selectors.SelectSelector):
    """Selector that advances the virtual clock instead of blocking."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0

    def select(self, timeout: float | None = None) -> Any:
        ready = super().select(0)
        if ready:
            return ready
        if timeout is None:
            # No timer is set and no socket is ready, so the test is deadlocked.
            raise RuntimeError("virtual time: every task waits and no timer is set")
        self.now_s += timeout
        return ready


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Event loop for tests that do not touch the network.

    The clock stands still while tasks run and advances to the next timer when all of
    them wait, so results do not depend on the speed of the machine.
    """

    def __init__(self) -> None:
        self._virtual_selector = _VirtualTimeSelector()
        super().__init__(self._virtual_selector)

    def time(self) -> float:
        """Returns virtual seconds since the loop was created."""
        return self._virtual_selector.now_s
