"""Grants between proxies, which keep leases valid while the store does not answer.

A grant is a voter's promise not to release any primary for a bounded time. A change of
primary begins with a row in the store, and normally continues only after half of the
voters (`release_quorum`) have released the old primary. A proxy that cannot read the
store may use the primary while it has grants from more than half of the voters
(`grant_quorum`). The two quorums have a voter in common, and that voter releases only
after its grants have expired. A change that gets no release quorum waits until no voter
can give grants any more, or until the old primary reports that it is a replica.
"""

from heatherpier.leases._view import FleetView
from heatherpier.timers import Timers

# Validity of one grant.
GRANT_S = 1.2
# Time for which a voter keeps a grant: the receiver's clock may be slower by 2%.
GRANT_KEPT_S = GRANT_S * 1.02
# A voter gives grants only while its own copy of the fleet's table is younger than
# this. A change of primary without a release quorum waits for this time and `GRANT_S`,
# so that the last grant on a copy without the change has expired.
GRANT_MAX_STALENESS_S = 8.0
# Maximum relative drift between the clocks of two VMs, as a fraction of the time
# waited for.
MAX_CLOCK_DRIFT = 0.02
# Time from a view until the last grant that rests on it has expired for its receiver.
GRANTS_END_S = (GRANT_MAX_STALENESS_S + GRANT_S) * (1 + MAX_CLOCK_DRIFT)


def grant_quorum(voters: int) -> int:
    """Returns how many voters must grant a lease: more than half of them."""
    return voters // 2 + 1


def release_quorum(voters: int) -> int:
    """Returns how many voters must have released a primary: at least half of them.

    A grant quorum and a release quorum together exceed the number of voters, so they
    have a voter in common.
    """
    return voters - voters // 2


class Grants:
    """Grants that this proxy has received and given.

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
        # The previous incarnation of this process may have given a grant just before it
        # ended. That grant is still to be kept.
        self._given_until = self._began + GRANT_KEPT_S

    def give(self) -> float:
        """Gives a peer a grant: no primary is released here until it expires.

        Returns:
            Validity of the grant in seconds; 0 if this proxy may not give one.
        """
        if not self._may_grant():
            return 0.0
        self._given_until = self._timers.elapsed() + GRANT_KEPT_S
        return GRANT_S

    def _may_grant(self) -> bool:
        """Returns whether this proxy may give grants.

        It has to be a voter, with a copy of the fleet's table that is younger than
        `GRANT_MAX_STALENESS_S`. The copy also has to be complete up to a time after the
        start of this process: an older copy may lack a change for which an earlier
        incarnation has released the primary.
        """
        age_s = self._view.copy.age_s()
        if (
            self._timers.elapsed() - age_s < self._began
            or age_s >= GRANT_MAX_STALENESS_S
        ):
            return False
        return self._me in self._view.voters()

    def given_remaining_s(self) -> float:
        """Returns how long the grants given here remain valid, in seconds."""
        return max(self._given_until - self._timers.elapsed(), 0.0)

    def receive(self, peer: str, *, asked_at: float, grant_s: float) -> None:
        """Records a peer's grant.

        The validity counts from the request, which is earlier than the time at which
        the peer gave the grant. So, apart from clock drift, the grant expires here
        before it does at the peer.

        Args:
            peer: Name of the peer.
            asked_at: Time by `Timers.elapsed` when the request was sent.
            grant_s: Validity of the grant in seconds; 0 if the peer gave none.
        """
        self._received[peer] = asked_at + grant_s

    def granted_until(self) -> float:
        """Returns until when a grant quorum of voters supports leases of this proxy.

        This proxy counts itself, without an expiry, while it may give grants.

        Returns:
            Time by `Timers.elapsed`; in the past if there is no quorum.
        """
        voters = self._view.voters()
        expiries = [
            self._received.get(name, 0.0) for name in voters if name != self._me
        ]
        if self._may_grant():
            expiries.append(float("inf"))
        quorum = grant_quorum(len(voters))
        if len(expiries) < quorum:
            return 0.0
        return sorted(expiries, reverse=True)[quorum - 1]
