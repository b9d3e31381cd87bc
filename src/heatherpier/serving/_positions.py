"""Log positions of primaries at known times, which bound the age of reads."""

import asyncio
from collections import deque
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass

from heatherpier.positions import LogPosition
from heatherpier.timers import Timers

# Samples closer together than this do not improve the choice of a minimum position.
MIN_SAMPLE_SPACING_S = 0.05
# Samples are kept for this long; no route allows a greater age.
SAMPLE_RETENTION_S = 30.0
# Time that a read may spend on the way to the instance. The instance compares positions
# when the read arrives, so the sample must still be young enough then.
TRANSIT_ALLOWANCE_S = 0.1
# Reads of one service that go to the primary for want of a sample at the same time.
# One is enough if its answer arrives; the second bridges a lost answer.
MAX_SEEKERS = 2


@dataclass(frozen=True, slots=True)
class PositionSample:
    """Records that a primary's log had reached ``position`` at ``taken_at``.

    Attributes:
        taken_at: Time in seconds by `Timers.elapsed` when the request that returned
            the position was sent. The position covers all commits that were
            acknowledged before then.
        position: Position of the log.
    """

    taken_at: float
    position: LogPosition


class PositionHistory:
    """Position samples of one service's primary.

    Args:
        timers: Timer service.
    """

    def __init__(self, *, timers: Timers) -> None:
        self._timers = timers
        self._samples: deque[PositionSample] = deque()
        self._seekers = 0
        self._changed = asyncio.Event()

    @property
    def is_sought(self) -> bool:
        """Whether enough reads are on their way to the primary for a sample."""
        return self._seekers >= MAX_SEEKERS

    @contextmanager
    def seeking(self) -> Iterator[None]:
        """Counts a read that goes to the primary for want of a sample."""
        self._seekers += 1
        try:
            yield
        finally:
            self._seekers -= 1
            self._wake()

    async def wait_for_change(self, *, until: float) -> bool:
        """Waits for a sample, or for the end of a read that seeks one.

        Args:
            until: Monotonic time in seconds at which the wait ends.

        Returns:
            Whether there was a change in time.
        """
        try:
            async with self._timers.timeout_at(until):
                await self._changed.wait()
        except TimeoutError:
            return False
        return True

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    @property
    def newest(self) -> PositionSample | None:
        """The newest sample, or None if there is none."""
        return self._samples[-1] if self._samples else None

    def note(self, position: LogPosition, *, taken_at: float) -> None:
        """Records a sample; the instance must have been the primary then.

        Args:
            position: Position of the primary's log.
            taken_at: Time in seconds by `Timers.elapsed` when the request that
                returned the position was sent.
        """
        newest = self.newest
        if newest is not None:
            if position.term < newest.position.term:
                if taken_at - newest.taken_at < SAMPLE_RETENTION_S:
                    return
                # Terms of a log only rise, so the service has another log now.
                self._samples.clear()
            elif position.term > newest.position.term:
                # Positions of the old term may have been rolled back.
                self._samples.clear()
            elif (
                position < newest.position
                or taken_at - newest.taken_at < MIN_SAMPLE_SPACING_S
            ):
                return
        self._samples.append(PositionSample(taken_at, position))
        self._wake()
        while self._samples[0].taken_at < taken_at - SAMPLE_RETENTION_S:
            self._samples.popleft()

    def clear(self) -> None:
        """Drops all samples; waiting reads no longer wait for this history."""
        self._samples.clear()
        self._wake()

    def min_position(
        self, max_age_s: float, *, not_before: float = float("-inf")
    ) -> PositionSample | None:
        """Returns the oldest sample that keeps a read within a maximum age.

        Args:
            max_age_s: Time in seconds; the read must see all commits that were
                acknowledged earlier than this before it.
            not_before: Time in seconds by `Timers.elapsed`; earlier samples are passed
                over.

        Returns:
            The sample, or None if no sample is recent enough.
        """
        oldest_allowed = self._timers.elapsed() - max_age_s + TRANSIT_ALLOWANCE_S
        earliest = max(oldest_allowed, not_before)
        for sample in self._samples:
            if sample.taken_at >= earliest:
                return sample
        return None
