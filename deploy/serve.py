"""Runs a proxy on the users' platform from the source tree, without installing it.

Callers of a VM that lost power wait for this start, so nothing is loaded that the proxy
does not need.
"""

import gc
import os
import signal
import sys
import time
from pathlib import Path

# SIGHUP ends a process that doesn't handle it. One that comes during the imports is
# handled when they are done.
early_hang_ups: list[int] = []
signal.signal(signal.SIGHUP, lambda number, _: early_hang_ups.append(number))
# The imports take longer than the rest of the start.
started_at = time.clock_gettime(time.CLOCK_BOOTTIME)
# No connection of the proxy uses TLS, but a library reads the system's certificates
# when it is imported, unless there are none.
os.environ["SSL_CERT_FILE"] = os.devnull
# Modules stay loaded, so a collection while they are imported frees nothing.
gc.disable()
sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "src"))

from heatherpier._serve import main  # noqa: E402

gc.freeze()
gc.enable()
main(started_at=started_at, early_hang_ups=early_hang_ups)
