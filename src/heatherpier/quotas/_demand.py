"""How many rights of one organisation a proxy asks for, and of which allocators."""

import math
from collections.abc import Collection, Sequence
from dataclasses import dataclass

from heatherpier.quotas._allocators import RIGHT_VALIDITY_S

# Time constant of the moving average of arrivals, in seconds.
AVERAGE_S = 0.5
# Time for whose expected arrivals rights are asked for ahead.
AHEAD_S = 0.25
# More rights are asked for when those held last for less than this time. It covers the
# way to a distant allocator and back.
LOW_S = 0.06
# Standard deviations by which the rights asked for ahead stay below the arrivals that
# are expected within their validity. What expires unspent is lost to the organisation.
SPREAD = 1.5
# An allocator that gave less than it was asked for is not asked again before a third of
# the time in which it creates one right for this proxy, within these bounds in seconds.
# A shorter pause costs messages; a longer one leaves rights unused in full buckets.
PAUSE_FRACTION = 1 / 3
MIN_PAUSE_S = 0.06
MAX_PAUSE_S = 1.0
# Time after which what is known of an allocator's supply is out of date.
SUPPLY_KNOWN_S = 2.0
# Retry time while no allocator says when it has rights again.
DEFAULT_RETRY_S = 0.5
MAX_RETRY_S = 30.0


class Arrivals:
    """Moving average of the operations that arrive per second."""

    def __init__(self) -> None:
        self._per_s = 0.0
        self._at = 0.0

    def note(self, now: float) -> None:
        """Counts an operation that arrives now."""
        self._per_s = self.per_s(now) + 1 / AVERAGE_S
        self._at = now

    def per_s(self, now: float) -> float:
        """Returns the average at a time in seconds."""
        return self._per_s * math.exp(-max(now - self._at, 0.0) / AVERAGE_S)


@dataclass(slots=True)
class _Source:
    """What is known of the rights that one allocator has for this proxy.

    Attributes:
        per_s: Rights per second.
        asked_at: Time of the last request.
        paused_until: Time until which it is not asked.
    """

    per_s: float
    asked_at: float
    paused_until: float


class Supply:
    """Shares what a proxy asks for one organisation among the allocators."""

    def __init__(self) -> None:
        self._sources: dict[str, _Source] = {}

    def split(
        self,
        need: float,
        allocators: Sequence[str],
        *,
        busy: Collection[str],
        slow: Collection[str],
        now: float,
    ) -> dict[str, float]:
        """Returns how many rights to ask of which allocator now.

        The nearest is asked first. One that gave less lately is asked for about what it
        has created since, and the next one for the rest.

        Args:
            need: Number of rights that are needed.
            allocators: Names of the allocators, nearest first.
            busy: Those that have not answered the last request yet.
            slow: Those of them that take longer than usual.
            now: Time in seconds.
        """
        parts: dict[str, float] = {}
        for name in allocators:
            source = self._known(name, now)
            if source is not None and now < source.paused_until:
                continue
            if name in busy:
                if source is None and name not in slow:
                    return parts
                continue
            part = need
            if source is not None:
                created = source.per_s * (now - source.asked_at)
                part = min(need, max(math.ceil(created), 1))
                source.asked_at = now
            parts[name] = part
            need -= part
            if need <= 0:
                break
        return parts

    def _known(self, name: str, now: float) -> _Source | None:
        source = self._sources.get(name)
        if source is None or now - source.asked_at > SUPPLY_KNOWN_S:
            self._sources.pop(name, None)
            return None
        return source

    def note_answer(
        self, name: str, *, asked: float, given: float, retry_s: float, now: float
    ) -> None:
        """Records an allocator's answer.

        Args:
            name: Name of the allocator.
            asked: Number of rights that it was asked for.
            given: Number that it gave.
            retry_s: Time in which it creates one right for this proxy.
            now: Time in seconds.
        """
        if given >= asked:
            source = self._sources.get(name)
            if source is not None:
                # It may have more than it was asked for.
                source.per_s *= 2
            return
        pause_s = min(max(retry_s * PAUSE_FRACTION, MIN_PAUSE_S), MAX_PAUSE_S)
        self._sources[name] = _Source(
            per_s=1 / max(retry_s, 1e-3), asked_at=now, paused_until=now + pause_s
        )

    def can_ask(
        self, allocators: Sequence[str], *, busy: Collection[str], now: float
    ) -> bool:
        """Returns whether an allocator may be asked now, or after its answer."""
        return any(
            name in busy
            or (source := self._known(name, now)) is None
            or now >= source.paused_until
            for name in allocators
        )

    def expected(self, allocators: Sequence[str], now: float, until: float) -> float:
        """Returns how many rights allocators that are paused will give until a time."""
        return sum(
            source.per_s * (until - now)
            for name in allocators
            if (source := self._sources.get(name)) is not None
            and source.paused_until <= until
        )

    def retry_s(self, allocators: Sequence[str], count: int) -> float:
        """Returns the time in which this proxy can expect a number of rights."""
        per_s = sum(
            source.per_s
            for name in allocators
            if (source := self._sources.get(name)) is not None
        )
        if per_s <= 0:
            return DEFAULT_RETRY_S
        return min(count / per_s, MAX_RETRY_S)


def ahead(per_s: float, held: float) -> float:
    """Returns how many rights to ask for ahead of the expected arrivals.

    Args:
        per_s: Operations that arrive per second.
        held: Rights that are held or asked for already.
    """
    if held > per_s * LOW_S:
        return 0.0
    arriving = per_s * RIGHT_VALIDITY_S
    certain = arriving - SPREAD * math.sqrt(arriving)
    return float(max(math.floor(min(per_s * (AHEAD_S + LOW_S), certain) - held), 0))
