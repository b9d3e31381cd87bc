"""The last commits of a session, which its later reads must see."""

from dataclasses import dataclass

from heatherpier.positions import LogPosition

# Services for which a session's last commit is kept.
MAX_SERVICES = 8


@dataclass(frozen=True, slots=True, kw_only=True)
class SessionCommit:
    """A commit that was acknowledged to a session.

    Attributes:
        position: Position in the log of the service that ran it, or None if the
            position is unknown.
        acknowledged_at: Time in seconds by `Timers.elapsed`, not before the instance's
            answer arrived.
    """

    position: LogPosition | None
    acknowledged_at: float


class SessionCommits:
    """Keeps the last commit of a session on each service.

    Positions of different services cannot be compared, as each service has its own
    log. The number of services is bounded: of a dropped commit only the time is kept.
    """

    __slots__ = ("_commits", "_dropped")

    def __init__(self) -> None:
        # In the order of the acknowledgements.
        self._commits: dict[str, SessionCommit] = {}
        self._dropped: SessionCommit | None = None

    def note(
        self, service: str, position: LogPosition | None, *, acknowledged_at: float
    ) -> None:
        """Records a commit.

        Args:
            service: Service that ran the commit, which need not be the service of the
                route that is active now.
            position: Position in that service's log, or None if it is unknown.
            acknowledged_at: Time in seconds by `Timers.elapsed`, not before the
                instance's answer arrived.
        """
        self._commits.pop(service, None)
        self._commits[service] = SessionCommit(
            position=position, acknowledged_at=acknowledged_at
        )
        if len(self._commits) > MAX_SERVICES:
            oldest = self._commits.pop(next(iter(self._commits)))
            self._dropped = SessionCommit(
                position=None, acknowledged_at=oldest.acknowledged_at
            )

    def last(self, service: str) -> SessionCommit | None:
        """Returns a commit that is not before the session's last one on a service.

        Returns:
            The commit, or None if the session has committed nothing on the service.
        """
        return self._commits.get(service, self._dropped)
