"""Health of instances, derived from their answers and failures."""

from dataclasses import dataclass, field

from heatherpier.telemetry import get_logger
from heatherpier.timers import Timers

log = get_logger("serving")
# An instance is unresponsive if a request has been unanswered for this long and
# nothing else was answered meanwhile. The slowest statement behind a full queue takes
# less than this.
UNRESPONSIVE_AFTER_S = 0.4
# For this long after a failure other instances are preferred. Each further failure
# doubles the time.
INITIAL_BACKOFF_S = 0.25
# Upper bound of the doubled back-off.
MAX_BACKOFF_S = 2.0


@dataclass(slots=True)
class _State:
    answered_at: float
    failing_since: float | None = None
    failures: int = 0
    backoff_until: float = 0.0
    reason: str = ""
    unanswered: list[float] = field(default_factory=list)


class InstanceHealth:
    """Tracks which instances answer requests.

    Args:
        timers: Timer service.
    """

    def __init__(self, *, timers: Timers) -> None:
        self._timers = timers
        self._states: dict[str, _State] = {}

    def note_sent(self, name: str, sent_at: float) -> None:
        """Records that a request was sent to an instance.

        Args:
            name: Name of the instance.
            sent_at: Monotonic time in seconds.
        """
        state = self._states.setdefault(name, _State(answered_at=float("-inf")))
        state.unanswered.append(sent_at)

    def note_settled(self, name: str, sent_at: float) -> None:
        """Records that a sent request was answered, failed or timed out."""
        state = self._states.get(name)
        if state is not None and sent_at in state.unanswered:
            state.unanswered.remove(sent_at)

    def _unresponsive_since(self, state: _State) -> float | None:
        """Returns since when an instance is unresponsive, or None if it is not."""
        if not state.unanswered:
            return None
        since = max(state.unanswered[0], state.answered_at)
        return since if self._timers.now() - since >= UNRESPONSIVE_AFTER_S else None

    def note_answer(self, name: str) -> None:
        """Records that an instance answered, with success or failure."""
        now = self._timers.now()
        state = self._states.get(name)
        if state is None:
            self._states[name] = _State(answered_at=now)
            return
        if state.failing_since is not None:
            log.info(
                "instance answers again",
                instance=name,
                failures=state.failures,
                failed_s=round(now - state.failing_since, 3),
            )
        state.answered_at = now
        state.failing_since = None
        state.failures = 0
        state.backoff_until = 0.0

    def note_failed_probe(self, name: str, reason: str) -> None:
        """Records that an instance failed a probe that has just ended."""
        self.note_failure(name, reason=reason, sent_at=self._timers.now())

    def note_failure(self, name: str, *, reason: str, sent_at: float) -> None:
        """Records that an instance gave no answer.

        Args:
            name: Name of the instance.
            reason: Cause of the failure.
            sent_at: Monotonic time in seconds when the request was sent. If the
                instance has answered since, the failure concerns one connection
                only and is ignored.
        """
        now = self._timers.now()
        state = self._states.setdefault(name, _State(answered_at=float("-inf")))
        if sent_at < state.answered_at:
            return
        state.failures += 1
        state.reason = reason
        if state.failing_since is None:
            state.failing_since = sent_at
            log.info("instance does not answer", instance=name, reason=reason)
        backoff_s = min(INITIAL_BACKOFF_S * 2.0 ** (state.failures - 1), MAX_BACKOFF_S)
        state.backoff_until = now + backoff_s

    def in_backoff(self, name: str) -> bool:
        """Returns whether other instances go first, since this one failed recently."""
        state = self._states.get(name)
        if state is None:
            return False
        if self._timers.now() < state.backoff_until:
            return True
        return self._unresponsive_since(state) is not None

    def failing_since(self, name: str) -> float | None:
        """Returns since when an instance has been failing, or None if it is healthy.

        Returns:
            Monotonic time in seconds.
        """
        state = self._states.get(name)
        if state is None:
            return None
        if state.failing_since is not None:
            return state.failing_since
        return self._unresponsive_since(state)

    def answered_at(self, name: str) -> float | None:
        """Returns the time of an instance's last answer, or None without any.

        Returns:
            Monotonic time in seconds.
        """
        state = self._states.get(name)
        if state is None or state.answered_at == float("-inf"):
            return None
        return state.answered_at

    def forget(self, name: str) -> None:
        """Drops the state of an instance that was removed."""
        self._states.pop(name, None)
