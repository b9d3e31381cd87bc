"""Signs that a primary which does not answer this proxy is still alive."""

from collections import deque

from heatherpier.groups._condition import expected_primary
from heatherpier.groups._errors import NoPrimaryError
from heatherpier.groups._group import Group
from heatherpier.groups._types import ORIGIN

# A primary that a replica heard from more recently is taken for alive, in seconds.
CONTACT_S = 0.5
# Its log counts as growing for this long after the last new entry, in seconds.
GROWTH_S = 1.0
# Hold-off while the primary lives and nobody is seen to write to it, in seconds.
IDLE_HOLD_OFF_S = 1.2
# Hold-off while others are seen to write to it, in seconds.
BUSY_HOLD_OFF_S = 5.0
# Each change of primary within this time doubles the hold-off, in seconds.
RECENT_S = 30.0
MAX_DOUBLINGS = 3


class Evidence:
    """What a group's replicas tell about their primary, over time.

    Args:
        group: The group as this proxy knows it.

    Attributes:
        term_seen_at: Monotonic time in seconds at which the highest term was seen.
        led_at: The same for the highest term that has a primary.
    """

    def __init__(self, group: Group) -> None:
        self._group = group
        self._furthest = ORIGIN
        self._grew_at = -GROWTH_S
        self._term = 0
        self._led_term = 0
        self._changes: deque[float] = deque(maxlen=MAX_DOUBLINGS)
        self.term_seen_at = -RECENT_S
        self.led_at = -RECENT_S

    def observe(self, now: float) -> None:
        """Takes in the group's present statuses.

        Args:
            now: Monotonic time in seconds.
        """
        statuses = self._group.statuses.values()
        furthest = max((item.position for item in statuses), default=ORIGIN)
        if furthest > self._furthest:
            self._furthest = furthest
            self._grew_at = now
        term = self._group.highest_term()
        if term > self._term:
            self._term = term
            self.term_seen_at = now
        self._note_change(now)

    def _note_change(self, now: float) -> None:
        try:
            term = self._group.primary().adopted_term
        except NoPrimaryError:
            return
        if term <= self._led_term:
            return
        if self._led_term > 0:
            self._changes.append(now)
        self._led_term = term
        self.led_at = now

    def earliest(self, lost_at: float, now: float) -> float:
        """Returns when a lost primary may be replaced, in seconds.

        Args:
            lost_at: Monotonic time in seconds since which it does not answer.
            now: Monotonic time in seconds.
        """
        silent_at = self._last_contact() + CONTACT_S
        if now >= silent_at:
            return max(lost_at, silent_at)
        growing = now - self._grew_at < GROWTH_S
        hold_off_s = BUSY_HOLD_OFF_S if growing else IDLE_HOLD_OFF_S
        return lost_at + hold_off_s * self.caution(now)

    def caution(self, now: float) -> int:
        """Returns the factor on hold-offs that recent changes of primary demand.

        Args:
            now: Monotonic time in seconds.
        """
        recent = sum(1 for changed_at in self._changes if now - changed_at < RECENT_S)
        return int(2**recent)

    def _last_contact(self) -> float:
        statuses = self._group.statuses
        expected = expected_primary(statuses.values())
        contacts = [
            self._group.heard_at[name] - item.contact_ms / 1000
            for name, item in statuses.items()
            if expected and item.primary == expected and name != expected
        ]
        return max(contacts, default=-RECENT_S)
