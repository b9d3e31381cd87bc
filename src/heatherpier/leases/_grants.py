"""Leases to use primaries that peers support while the store does not answer.

A change of primary begins with a row in the store, and goes on only after half of the
voter set's members have released the old primary. So a proxy that cannot read the store may
go on while more than half of them promise not to release it: the two groups have a
member in common.
"""

from heatherpier.leases._view import FleetView
from heatherpier.timers import Timers

# How long one promise holds.
GRANT_S = 1.2
# A member promises only while its own view of the store is younger than this. A change
# of primary that half of the members don't answer waits for longer than that.
GRANT_MAX_STALENESS_S = 8.0


def grant_quorum(members: int) -> int:
    """Returns how many members must support a lease."""
    return members // 2 + 1


def release_quorum(members: int) -> int:
    """Returns how many members must have released a primary.

    Together with those that support a lease they are more than all members.
    """
    return members - members // 2


class Grants:
    """Promises that this proxy has received and given.

    Args:
        me: Name of this proxy.
        view: Members and leaders.
        timers: Timer service.
    """

    def __init__(self, me: str, *, view: FleetView, timers: Timers) -> None:
        self._me = me
        self._view = view
        self._timers = timers
        self._received: dict[str, float] = {}
        self._began = timers.elapsed()
        # An earlier incarnation of this process may have promised something up to its end.
        self._given_until = self._began + GRANT_S

    def give(self) -> float:
        """Promises a peer not to release primaries yet.

        Returns:
            For how long, in seconds; 0 if this proxy can't promise anything.
        """
        if not self._may_grant():
            return 0.0
        self._given_until = self._timers.elapsed() + GRANT_S
        return GRANT_S

    def _may_grant(self) -> bool:
        """Tells whether this proxy may promise not to release a primary.

        A view from before its start may miss a change for which an earlier incarnation of
        this process has released.
        """
        age_s = self._view.copy.age_s()
        if (
            self._timers.elapsed() - age_s < self._began
            or age_s >= GRANT_MAX_STALENESS_S
        ):
            return False
        return self._me in self._view.voters()

    def given_for(self) -> float:
        """Returns for how long this proxy's promises still hold, in seconds."""
        return max(self._given_until - self._timers.elapsed(), 0.0)

    def receive(self, peer: str, *, asked_at: float, grant_s: float) -> None:
        """Takes in a peer's promise.

        Args:
            peer: Name of the peer.
            asked_at: Time by `Timers.elapsed` when it was asked.
            grant_s: For how long it promises, in seconds.
        """
        self._received[peer] = asked_at + grant_s

    def granted_until(self) -> float:
        """Returns until when enough members support this proxy's leases.

        Returns:
            Time by `Timers.elapsed`; in the past if they don't.
        """
        voters = self._view.voters()
        until = [self._received.get(name, 0.0) for name in voters if name != self._me]
        if self._may_grant():
            until.append(float("inf"))
        quorum = grant_quorum(len(voters))
        if len(until) < quorum:
            return 0.0
        return sorted(until, reverse=True)[quorum - 1]
