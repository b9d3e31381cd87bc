"""Load of homes, as their answers report it."""

from dataclasses import dataclass

from heatherpier.telemetry import get_logger
from heatherpier.timers import Timers

log = get_logger("forwarding")
# Age up to which a reported queue influences the choice of a home. Queues of instances
# change within tens of milliseconds.
MAX_AGE_S = 0.5
# Waiting requests per connection in use from which the next home is chosen. Two
# statements ahead on each connection delay a statement by about 60 ms.
BURDENED_WAITERS = 2
# A home with fewer connections in use counts as if it had this many, so that a few
# waiters during the opening of its connections don't turn statements away.
MIN_IN_USE = 4
# Mean time in seconds that a statement is assumed to hold a connection.
MEAN_USE_S = 0.03
# Time in seconds for which a home ranks last for an instance after it refused a request
# without a time for the retry, such as without a lease or a connection.
REFUSED_S = 0.25


@dataclass(frozen=True, slots=True, kw_only=True)
class HomeLoad:
    """Load of one home for one instance.

    Attributes:
        waiting: Requests that wait for a connection.
        in_use: Connections in use.
        at: Monotonic time in seconds at which the answer came.
    """

    waiting: int
    in_use: int
    at: float


class HomeLoads:
    """Keeps the last reported load and refusal of each home and instance.

    Args:
        timers: Timer service.
    """

    def __init__(self, *, timers: Timers) -> None:
        self._timers = timers
        self._loads: dict[tuple[str, str], HomeLoad] = {}
        self._refused_until: dict[tuple[str, str], float] = {}

    def note(self, home: str, instance: str, *, waiting: int, in_use: int) -> None:
        """Records the load that an answer reports."""
        self._loads[(home, instance)] = HomeLoad(
            waiting=waiting, in_use=in_use, at=self._timers.now()
        )

    def note_refused(
        self, home: str, instance: str, *, retry_after_ms: int | None
    ) -> None:
        """Records that a home refused a request.

        Args:
            home: Name of the home.
            instance: Name of the instance.
            retry_after_ms: Time in milliseconds until it expects to have room, or None
                if it refused for another reason.
        """
        wait_s = REFUSED_S if retry_after_ms is None else retry_after_ms / 1000
        self._refused_until[(home, instance)] = self._timers.now() + wait_s

    def load(self, home: str, instance: str) -> HomeLoad | None:
        """Returns the last reported load of a home, or None if there is none."""
        return self._loads.get((home, instance))

    def of_instance(self, instance: str) -> dict[str, HomeLoad]:
        """Returns the last reported load for an instance by home."""
        return {
            home: load for (home, name), load in self._loads.items() if name == instance
        }

    def burdened(self, home: str, instance: str) -> bool:
        """Returns whether another home should be preferred for an instance."""
        now = self._timers.now()
        if now < self._refused_until.get((home, instance), 0.0):
            return True
        load = self._loads.get((home, instance))
        if load is None or now - load.at > MAX_AGE_S:
            return False
        return load.waiting >= BURDENED_WAITERS * max(load.in_use, MIN_IN_USE)

    def expected_wait_s(self, home: str, instance: str) -> float:
        """Returns how long a statement is expected to wait at a home, in seconds."""
        load = self._loads.get((home, instance))
        if load is None or self._timers.now() - load.at > MAX_AGE_S:
            return 0.0
        return load.waiting * MEAN_USE_S / max(load.in_use, 1)

    def forget_instance(self, instance: str) -> None:
        """Drops what is known for an instance that was removed."""
        for key in [key for key in self._loads if key[1] == instance]:
            del self._loads[key]
        for key in [key for key in self._refused_until if key[1] == instance]:
            del self._refused_until[key]
