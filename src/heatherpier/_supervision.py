"""Keeps the tasks of a proxy running after errors that nobody expected."""

from collections.abc import Awaitable, Callable

from heatherpier.telemetry import get_logger
from heatherpier.timers import Timers

log = get_logger("engine")
# Pause before a task that failed runs again, so that one that always fails costs little.
RESTART_PAUSE_S = 0.5

# Starts one run of a task.
Run = Callable[[], Awaitable[None]]


async def run_supervised(run: Run, *, timers: Timers) -> None:
    """Runs a task until it ends or is cancelled, and again after an unexpected error.

    Without it, an error would end one duty of the proxy for good, while the process
    goes on and looks healthy.

    Args:
        run: Starts one run; the state of the task outlives it.
        timers: Timer service.
    """
    while True:
        try:
            await run()
        except Exception:
            name = getattr(run, "__qualname__", repr(run))
            log.exception("task failed, it runs again", task=name)
            await timers.sleep(RESTART_PAUSE_S)
        else:
            return
