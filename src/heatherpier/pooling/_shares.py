"""This proxy's share of the connections that an instance accepts."""

from collections import deque

from heatherpier.pooling._limits import PoolLimits
from heatherpier.timers import Timers

# Connections that an instance keeps free for control statements.
CONTROL_CONNECTIONS = 2
# The shares follow the largest count of proxies within this time: a proxy that is only
# partitioned keeps its connections, and an instance takes seconds to drop those of a
# crashed one.
COUNT_WINDOW_S = 10.0
# Largest fraction of an instance's connections that one proxy may open, unless its even
# share is larger.
MAX_FRACTION = 0.25


class ConnectionShares:
    """Divides connections by the largest count of proxies that was known recently.

    Args:
        timers: Timer service.
    """

    def __init__(self, *, timers: Timers) -> None:
        self._timers = timers
        self._counts: deque[tuple[float, int]] = deque()

    def share(self, *, accepted: int, proxies: int) -> PoolLimits:
        """Returns how many connections this proxy may open to one instance.

        A proxy may open more than its even share while it needs them: not all proxies
        need all of theirs at once, and the instance rejects what exceeds its limit.

        Args:
            accepted: Connections that the instance accepts from all proxies.
            proxies: Count of proxies that are known now.
        """
        recent = self._recent_maximum(max(proxies, 1))
        share = max((accepted - CONTROL_CONNECTIONS) // recent, 1)
        ceiling = max(share, int(accepted * MAX_FRACTION))
        return PoolLimits(soft_limit=share, hard_limit=min(2 * share + 2, ceiling))

    def _recent_maximum(self, proxies: int) -> int:
        """Records a count of proxies and returns the largest in the window."""
        now = self._timers.now()
        counts = self._counts
        while counts and counts[0][0] <= now - COUNT_WINDOW_S:
            counts.popleft()
        while counts and counts[-1][1] <= proxies:
            counts.pop()
        counts.append((now, proxies))
        return counts[0][1]
