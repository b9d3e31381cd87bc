"""Positions of primaries at known times, by which reads prove their freshness."""

from collections import deque
from dataclasses import dataclass

from heatherpier.groups import LogPosition
from heatherpier.timers import Timers

# Samples closer together than this add nothing to the choice of a minimum position.
SPACING_S = 0.05
# Longest time that samples are kept; no route states a greater age.
KEPT_S = 30.0
# A read may wait on its way to the instance, where its age is judged.
TRANSIT_S = 0.1


@dataclass(frozen=True, slots=True)
class PositionSample:
    """The primary stood at ``position`` or further at ``taken_at``.

    Attributes:
        taken_at: Time in seconds by `Timers.elapsed` when the request that showed
            it was sent. All commits acknowledged before then are covered.
        position: The position.
    """

    taken_at: float
    position: LogPosition


class PositionHistory:
    """Samples of one service's primary.

    Args:
        timers: Timer service.
    """

    def __init__(self, *, timers: Timers) -> None:
        self._timers = timers
        self._samples: deque[PositionSample] = deque()

    @property
    def newest(self) -> PositionSample | None:
        """The newest sample, or None."""
        return self._samples[-1] if self._samples else None

    def note(self, position: LogPosition, *, taken_at: float) -> None:
        """Takes in a sample; the instance must have been the primary then.

        Args:
            position: Where the primary stood.
            taken_at: Time in seconds by `Timers.elapsed` when it was asked.
        """
        newest = self.newest
        if newest is not None:
            if position.term < newest.position.term:
                return
            if position.term > newest.position.term:
                # Positions of the old term may have been rolled back.
                self._samples.clear()
            elif position < newest.position or taken_at - newest.taken_at < SPACING_S:
                return
        self._samples.append(PositionSample(taken_at, position))
        while self._samples[0].taken_at < taken_at - KEPT_S:
            self._samples.popleft()

    def min_position(self, max_age_s: float) -> PositionSample | None:
        """Returns the oldest sample that proves a read to be no older than stated.

        Args:
            max_age_s: Largest age in seconds of what the read may miss.
        """
        earliest = self._timers.elapsed() - max_age_s + TRANSIT_S
        for sample in self._samples:
            if sample.taken_at >= earliest:
                return sample
        return None
