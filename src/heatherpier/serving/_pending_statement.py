"""One statement on its way to an instance."""

from dataclasses import dataclass, replace

from heatherpier.groups import LogPosition
from heatherpier.pooling import Forward, ForwardExecute, SessionNeeds
from heatherpier.routing import Route

# Part of the latency objective for which a statement queues for a connection. Who has
# not had its turn by then is better off with a refusal and another try elsewhere.
QUEUE_SHARE = 0.5
# Part of its time for which a statement is held that no instance was offered yet. Its
# caller has most of the time left for another proxy.
UNATTEMPTED_SHARE = 0.45


@dataclass(frozen=True, slots=True, kw_only=True)
class PendingStatement:
    """A caller's statement with everything that decides how it is served.

    Attributes:
        call: What the instance gets.
        needs: Session state that it relies on.
        route: How its database is reached.
        deadline: Monotonic time in seconds by which it must be answered.
        writes: Whether it may change data.
        own_commit: Position of the session's last commit, or None.
    """

    call: Forward | ForwardExecute
    needs: SessionNeeds
    route: Route
    deadline: float
    writes: bool
    own_commit: LogPosition | None = None

    @property
    def id(self) -> str:
        """The caller's id of the statement."""
        return self.call.id

    def queue_until(self, now: float) -> float:
        """Returns until when it queues for a connection.

        Args:
            now: Monotonic time in seconds.
        """
        return min(self.deadline, now + self.route.objective_s * QUEUE_SHARE)

    def unattempted_until(self) -> float:
        """Returns until when it is held while no instance could be offered it.

        Returns:
            Monotonic time in seconds.
        """
        return self.deadline - self.route.statement_timeout_s * (1 - UNATTEMPTED_SHARE)

    def with_min_position(
        self, min_position: LogPosition | None
    ) -> Forward | ForwardExecute:
        """Returns the call for an instance whose log must hold ``min_position``."""
        return (
            self.call
            if min_position is None
            else replace(self.call, min_position=min_position)
        )
