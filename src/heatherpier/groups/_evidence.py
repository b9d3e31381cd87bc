"""Collects evidence that a primary which does not answer this proxy is alive.

Such a primary may still serve others, so the evidence delays its replacement. The
delay only avoids needless changes of primary: a replacement is safe at any time,
because it fences a majority first (see `_promoter`).
"""

from collections import deque

from heatherpier.groups._condition import expected_primary
from heatherpier.groups._errors import NoPrimaryError
from heatherpier.groups._group import Group
from heatherpier.positions import ORIGIN

# A primary counts as alive for this long after a replica heard from it.
ALIVE_CONTACT_S = 0.5
# The group's log counts as growing for this long after the last new entry.
GROWTH_WINDOW_S = 1.0
# Delay of a replacement while the primary is alive and its log does not grow.
IDLE_HOLD_OFF_S = 1.2
# Delay of a replacement while the primary is alive and its log grows, which shows
# that others can write to it.
BUSY_HOLD_OFF_S = 5.0
# Each change of primary within this time doubles the hold-offs.
RECENT_CHANGE_S = 30.0
# Maximum number of changes that double the hold-offs.
MAX_DOUBLINGS = 3


class Evidence:
    """Tracks over time what a group's replicas report about their primary.

    Args:
        group: The group as seen by this proxy.

    Attributes:
        term_seen_at: Monotonic time in seconds at which the highest adopted term was
            first seen.
        primary_seen_at: Monotonic time in seconds at which the highest term with a
            primary was first seen.
    """

    def __init__(self, group: Group) -> None:
        self._group = group
        self._furthest = ORIGIN
        self._last_growth_at = -GROWTH_WINDOW_S
        self._term = 0
        self._primary_term = 0
        self._change_times: deque[float] = deque(maxlen=MAX_DOUBLINGS)
        self.term_seen_at = -RECENT_CHANGE_S
        self.primary_seen_at = -RECENT_CHANGE_S

    def observe(self, now: float) -> None:
        """Records the group's current statuses.

        Args:
            now: Monotonic time in seconds.
        """
        statuses = self._group.statuses.values()
        furthest = max((item.position for item in statuses), default=ORIGIN)
        if furthest > self._furthest:
            self._furthest = furthest
            self._last_growth_at = now
        term = self._group.highest_term()
        if term > self._term:
            self._term = term
            self.term_seen_at = now
        self._record_change(now)

    def _record_change(self, now: float) -> None:
        try:
            term = self._group.primary().adopted_term
        except NoPrimaryError:
            return
        if term <= self._primary_term:
            return
        if self._primary_term > 0:
            self._change_times.append(now)
        self._primary_term = term
        self.primary_seen_at = now

    def earliest_takeover(self, lost_since: float, now: float) -> float:
        """Returns the monotonic time in seconds from which to replace a lost primary.

        Args:
            lost_since: Monotonic time in seconds since which the primary is lost; see
                `PrimaryLost`.
            now: Monotonic time in seconds.
        """
        unresponsive_at = self._last_contact() + ALIVE_CONTACT_S
        if now >= unresponsive_at:
            return max(lost_since, unresponsive_at)
        growing = now - self._last_growth_at < GROWTH_WINDOW_S
        hold_off_s = BUSY_HOLD_OFF_S if growing else IDLE_HOLD_OFF_S
        return lost_since + hold_off_s * self.hold_off_factor(now)

    def hold_off_factor(self, now: float) -> int:
        """Returns the factor by which recent changes of primary lengthen hold-offs.

        Args:
            now: Monotonic time in seconds.
        """
        recent = sum(
            1 for changed_at in self._change_times if now - changed_at < RECENT_CHANGE_S
        )
        return int(2**recent)

    def _last_contact(self) -> float:
        statuses = self._group.statuses
        expected = expected_primary(statuses.values())
        contacts = [
            self._group.heard_at[name] - item.contact_ms / 1000
            for name, item in statuses.items()
            if expected and item.primary == expected and name != expected
        ]
        return max(contacts, default=-RECENT_CHANGE_S)
