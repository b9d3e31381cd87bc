"""What answers and failures tell about instances."""

from dataclasses import dataclass, field

from heatherpier.telemetry import get_logger
from heatherpier.timers import Timers

log = get_logger("serving")
# An instance that leaves work unanswered for this long, and has answered nothing else
# meanwhile, is taken for silent. Longer than the slowest statement behind a full queue.
SILENCE_S = 0.4
# An instance that failed is asked last for this long, doubled with each failure.
INITIAL_BACKOFF_S = 0.25
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
    """Judges instances by their answers to work.

    Args:
        timers: Timer service.
    """

    def __init__(self, *, timers: Timers) -> None:
        self._timers = timers
        self._states: dict[str, _State] = {}

    def note_sent(self, name: str, sent_at: float) -> None:
        """Takes in that work was sent to an instance.

        Args:
            name: Name of the instance.
            sent_at: Monotonic time in seconds.
        """
        state = self._states.setdefault(name, _State(answered_at=float("-inf")))
        state.unanswered.append(sent_at)

    def note_settled(self, name: str, sent_at: float) -> None:
        """Takes in that work that was sent has an answer or was given up."""
        state = self._states.get(name)
        if state is not None and sent_at in state.unanswered:
            state.unanswered.remove(sent_at)

    def _silent_since(self, state: _State) -> float | None:
        """Returns since when an instance has been silent, or None if it is not."""
        if not state.unanswered:
            return None
        since = max(state.unanswered[0], state.answered_at)
        return since if self._timers.now() - since >= SILENCE_S else None

    def note_answer(self, name: str) -> None:
        """Takes in that an instance answered, whatever it said."""
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

    def note_failure(self, name: str, *, reason: str, sent_at: float) -> None:
        """Takes in that an instance gave no answer.

        Args:
            name: Name of the instance.
            reason: What happened.
            sent_at: Monotonic time in seconds when it was asked. A failure of work
                that began before the last answer tells of one connection only.
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
        """Tells whether an instance failed so lately that others go first."""
        state = self._states.get(name)
        if state is None:
            return False
        if self._timers.now() < state.backoff_until:
            return True
        return self._silent_since(state) is not None

    def failing_since(self, name: str) -> float | None:
        """Returns since when an instance has not answered, or None if it does."""
        state = self._states.get(name)
        if state is None:
            return None
        if state.failing_since is not None:
            return state.failing_since
        return self._silent_since(state)

    def answered_at(self, name: str) -> float | None:
        """Returns the monotonic time in seconds of an instance's last answer."""
        state = self._states.get(name)
        if state is None or state.answered_at == float("-inf"):
            return None
        return state.answered_at

    def forget(self, name: str) -> None:
        """Drops what is known of an instance that is gone."""
        self._states.pop(name, None)
