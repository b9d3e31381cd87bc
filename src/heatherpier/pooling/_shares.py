"""This proxy's share of what an instance accepts from all proxies."""

from collections import deque

from heatherpier.pooling._pool import PoolLimits
from heatherpier.timers import Timers

# Connections that an instance keeps free for control statements.
CONTROL_CONNECTIONS = 2
# Proxies that were counted within this time still count: those that are only cut off
# keep their connections, and instances take seconds to drop those of lost ones.
MEMORY_S = 10.0
# One proxy never takes more than this part of what an instance accepts.
MAX_PART = 0.25


class ConnectionShares:
    """Divides connections by the most proxies that were lately known.

    Args:
        timers: Timer service.
    """

    def __init__(self, *, timers: Timers) -> None:
        self._timers = timers
        self._counts: deque[tuple[float, int]] = deque()

    def share(self, *, accepted: int, proxies: int) -> PoolLimits:
        """Returns how many connections this proxy may open to one instance.

        Beyond its even share a proxy may open some more while it needs them: not all
        proxies need all of theirs at once, and the instance refuses what is too much.

        Args:
            accepted: Connections that the instance accepts from all proxies.
            proxies: Count of proxies that are known now.
        """
        counted = self._note(max(proxies, 1))
        share = max((accepted - CONTROL_CONNECTIONS) // counted, 1)
        part = max(share, int(accepted * MAX_PART))
        return PoolLimits(soft_limit=share, hard_limit=min(2 * share + 2, part))

    def _note(self, proxies: int) -> int:
        now = self._timers.now()
        counts = self._counts
        while counts and counts[0][0] <= now - MEMORY_S:
            counts.popleft()
        while counts and counts[-1][1] <= proxies:
            counts.pop()
        counts.append((now, proxies))
        return counts[0][1]
