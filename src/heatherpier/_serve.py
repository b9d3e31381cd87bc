"""Entry point of a proxy on the users' platform: settings, log output and the process.

It is separate from `_cli` so that such a process loads nothing of the MySQL protocol.
"""

import asyncio
import os
import signal
import sys
from collections.abc import Sequence
from pathlib import Path
from types import FrameType
from typing import NoReturn

from logbook.compat import redirected_logging

from heatherpier._platform_proxy import PlatformProxy
from heatherpier.platform import MalformedRecordError, load_vm_settings
from heatherpier.telemetry import BoundedOutput, JsonHandler, LogRateLimiter

# Environment variable that holds the path of the settings file.
SETTINGS_VARIABLE = "HEATHERPIER_SETTINGS"
EXIT_INVALID = 2


def serve(
    path: Path,
    *,
    started_at: float | None = None,
    early_hang_ups: Sequence[int] = (),
) -> int:
    """Runs a proxy until it is stopped and returns its exit code.

    Args:
        path: Path of the settings file that the platform writes.
        started_at: Time of `CLOCK_BOOTTIME` in seconds at which the process was
            started; None for now.
        early_hang_ups: Each SIGHUP since the start, up to the time when the proxy
            handles them itself.

    Raises:
        MalformedRecordError: The file can't be read or is malformed.
    """
    cfg = load_vm_settings(path)
    output = BoundedOutput(sys.stdout.fileno())
    handler = JsonHandler(
        stream=output,
        fields={"proxy": cfg.name, "data_centre": cfg.data_centre},
        rate_limiter=LogRateLimiter(),
    )
    with handler.applicationbound(), redirected_logging():
        proxy = PlatformProxy(
            cfg,
            reload=lambda: load_vm_settings(path),
            output=output,
            log_handler=handler,
            started_at=started_at,
            early_hang_ups=early_hang_ups,
        )
        return asyncio.run(proxy.run())


def _note_hang_ups() -> list[int]:
    """Returns a list to which each SIGHUP is added from now on."""
    numbers: list[int] = []

    def note(number: int, frame: FrameType | None) -> None:
        numbers.append(number)

    signal.signal(signal.SIGHUP, note)
    return numbers


def main(
    path: str | None = None,
    *,
    started_at: float | None = None,
    early_hang_ups: list[int] | None = None,
) -> NoReturn:
    """Runs a proxy and exits with its code.

    Args:
        path: Path of the settings file; by default that in `SETTINGS_VARIABLE`.
        started_at: Time of `CLOCK_BOOTTIME` in seconds at which the process was
            started; None for now.
        early_hang_ups: List to which the caller's handler adds each SIGHUP; None if
            there is no handler yet.
    """
    if early_hang_ups is None:
        early_hang_ups = _note_hang_ups()
    path = path or os.environ.get(SETTINGS_VARIABLE)
    if not path:
        print(f"heatherpier: {SETTINGS_VARIABLE} is not set", file=sys.stderr)
        sys.exit(EXIT_INVALID)
    try:
        code = serve(Path(path), started_at=started_at, early_hang_ups=early_hang_ups)
    except MalformedRecordError as exc:
        print(f"heatherpier: {exc}", file=sys.stderr)
        code = EXIT_INVALID
    sys.exit(code)
