"""A caller's statement that has no final answer yet."""

from dataclasses import dataclass, replace

from heatherpier.pooling import ConnectionUse, Forward, ForwardExecute, SessionNeeds
from heatherpier.positions import LogPosition
from heatherpier.routing import Route
from heatherpier.serving._session_commits import SessionCommit

# Fraction of the latency objective for which a statement queues for a connection.
# After that, a refusal serves the caller better: it can retry elsewhere.
QUEUE_FRACTION = 0.5
# Fraction of the statement timeout for which a statement waits while no instance can
# be attempted. Its caller keeps most of the time for an attempt through another proxy.
UNATTEMPTED_FRACTION = 0.45


@dataclass(frozen=True, slots=True, kw_only=True)
class PendingStatement:
    """A caller's statement with its route, session state and deadline.

    Attributes:
        call: The call that is sent to an instance.
        needs: Session values and prepared statement that it relies on.
        route: Route of its database.
        deadline: Monotonic time in seconds by which it must be answered.
        writes: Whether it may change data.
        own_commit: The session's last commit on the route's service, or None if the
            session has not committed anything there.
        organisation: Organisation whose statement it is, or empty if callers are not
            identified.
    """

    call: Forward | ForwardExecute
    needs: SessionNeeds
    route: Route
    deadline: float
    writes: bool
    own_commit: SessionCommit | None = None
    organisation: str = ""

    @property
    def id(self) -> str:
        """Id that the caller gave the statement."""
        return self.call.id

    @property
    def kind(self) -> str:
        """Kind of statement; statements of one kind take similar times."""
        return f"{self.route.database} {'write' if self.writes else 'read'}"

    def connection_use(self, *, in_transaction: bool) -> ConnectionUse:
        """Returns what the statement needs a connection for.

        Args:
            in_transaction: Whether a transaction begins with it, which holds the
                connection for longer than the statement.
        """
        route = self.route
        kind = "transaction" if in_transaction else "write" if self.writes else "read"
        arrived_at = self.deadline - route.statement_timeout_s
        return ConnectionUse(
            class_name=f"{type(route.consistency).__name__} {kind}",
            reads=kind == "read",
            objective_at=arrived_at + route.objective_s,
            objective_s=route.objective_s,
        )

    def queue_until(self, now: float) -> float:
        """Returns until when the statement queues for a connection.

        Args:
            now: Monotonic time in seconds.

        Returns:
            Monotonic time in seconds.
        """
        return min(self.deadline, now + self.route.objective_s * QUEUE_FRACTION)

    def unattempted_until(self) -> float:
        """Returns until when the statement waits while no instance can be attempted.

        Returns:
            Monotonic time in seconds.
        """
        return self.deadline - self.route.statement_timeout_s * (
            1 - UNATTEMPTED_FRACTION
        )

    def with_min_position(
        self, min_position: LogPosition | None
    ) -> Forward | ForwardExecute:
        """Returns the call with the position that the instance's log must include."""
        return (
            self.call
            if min_position is None
            else replace(self.call, min_position=min_position)
        )
