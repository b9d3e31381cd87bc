"""How long and by how many connections each class of statements uses an instance."""

from collections import Counter
from dataclasses import dataclass

from heatherpier.pooling._connection import InstanceConnection

# Mean time in use that is assumed before connections have been released.
INITIAL_USE_S = 0.03
# Weight of the latest use in the moving average of the time in use.
USE_TIME_SMOOTHING = 0.1
# A class of reads counts as long if its mean use is this multiple of another's. Aged
# reads (26 and 55 ms) take five times as long as writes (5.1 and 11 ms), session reads
# three times. At a ratio of 3, aged reads on time in a burst fell from 0.99 to 0.84
# without a gain for the writes.
LONG_USE_RATIO = 4.0
# A class counts for this long after its last use.
RECENT_S = 5.0


@dataclass(frozen=True, slots=True, kw_only=True)
class ConnectionUse:
    """What a connection is acquired for.

    Attributes:
        class_name: Class of the statement.
        reads: Whether it is a single read, so the reserve for short work limits it.
        objective_at: Monotonic time in seconds by which it should be answered.
        objective_s: Latency objective of its class, in seconds.
    """

    class_name: str
    reads: bool
    objective_at: float
    objective_s: float


class UseMeter:
    """Mean time in use and present number of uses, by class."""

    def __init__(self) -> None:
        self._means_s: dict[str, float] = {}
        self._used_at: dict[str, float] = {}
        self._reads: set[str] = set()
        self._present: Counter[str] = Counter()
        self._assigned: dict[InstanceConnection, ConnectionUse] = {}

    def mean_s(self, class_name: str) -> float:
        """Returns the mean time in use of a class, in seconds."""
        return self._means_s.get(class_name, INITIAL_USE_S)

    def begin(self, use: ConnectionUse) -> None:
        """Records that a connection is used, or opened for use."""
        self._present[use.class_name] += 1
        if use.reads:
            self._reads.add(use.class_name)

    def end(self, use: ConnectionUse) -> None:
        """Records that a use has ended, or did not come about."""
        self._present[use.class_name] -= 1

    def assign(self, conn: InstanceConnection, use: ConnectionUse) -> None:
        """Records which connection a use that has begun got."""
        self._assigned[conn] = use

    def release(self, conn: InstanceConnection, *, held_s: float, now: float) -> None:
        """Ends the use of a connection.

        Args:
            conn: The connection; one without a use is ignored.
            held_s: Time in seconds for which it was in use.
            now: Monotonic time in seconds.
        """
        use = self._assigned.pop(conn, None)
        if use is None:
            return
        name = use.class_name
        mean_s = self._means_s.setdefault(name, held_s)
        self._means_s[name] = mean_s + (held_s - mean_s) * USE_TIME_SMOOTHING
        self._used_at[name] = now
        self.end(use)

    def limited(self, limit: int, now: float) -> frozenset[str]:
        """Returns the classes that may not use a further connection.

        Long reads together use at most all connections but one while there is shorter
        work, which would otherwise wait for them to end.

        Args:
            limit: Number of connections that may be open.
            now: Monotonic time in seconds.
        """
        recent = {
            name: mean_s
            for name, mean_s in self._means_s.items()
            if now - self._used_at[name] <= RECENT_S
        }
        if len(recent) < 2:
            return frozenset()
        shortest_s = min(recent.values())
        long = {
            name
            for name, mean_s in recent.items()
            if name in self._reads and mean_s >= LONG_USE_RATIO * shortest_s
        }
        if sum(self._present[name] for name in long) < max(limit - 1, 1):
            return frozenset()
        return frozenset(long)
