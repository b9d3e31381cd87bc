"""Spreads reads over instances by what is known of their load."""

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from heatherpier.balancing import BalancingMetrics, Candidate, LoadEstimates, choose
from heatherpier.discovery import InstanceRecord
from heatherpier.statements import Code, Done, Failed, Outcome
from heatherpier.timers import Timers

# Wait that a rejection as busy stands for: the queue of an instance that rejects takes
# about this long to run.
BUSY_WAIT_S = 0.1


@dataclass(frozen=True, slots=True, kw_only=True)
class ReadOption:
    """An instance that may serve a read.

    Attributes:
        name: Name of the instance.
        is_primary: Whether it is the primary.
        pool_wait_s: Expected wait for a connection of this proxy, in seconds.
        distance_cost_s: Cost of its distance, in seconds.
        role_cost_s: Cost of its role, in seconds.
    """

    name: str
    is_primary: bool
    pool_wait_s: float
    distance_cost_s: float
    role_cost_s: float


class ReadBalancer:
    """Orders instances for a read and records what statements show of their load.

    Nothing is recorded while it is not active.

    Args:
        estimates: What is known of the load of the instances.
        active: Returns whether reads are balanced.
        distance: Returns the distance of a data centre.
        timers: Timer service.
        rng: Random source.
        metrics: Metrics of the choices.
    """

    def __init__(
        self,
        *,
        estimates: LoadEstimates,
        active: Callable[[], bool],
        distance: Callable[[str], int],
        timers: Timers,
        rng: random.Random,
        metrics: BalancingMetrics,
    ) -> None:
        self._estimates = estimates
        self._active = active
        self._distance = distance
        self._timers = timers
        self._rng = rng
        self._metrics = metrics

    @property
    def active(self) -> bool:
        """Whether reads are balanced."""
        return self._active()

    def order(self, options: Sequence[ReadOption]) -> list[str]:
        """Returns the names of all instances in the order in which to attempt them."""
        if not options:
            return []
        now = self._timers.now()
        by_name = {option.name: option for option in options}
        waits_s = self._estimates.expected_waits_s(list(by_name), now)
        candidates = [
            Candidate(
                name=option.name,
                wait_s=option.pool_wait_s + wait_s,
                extra_s=option.distance_cost_s + option.role_cost_s,
            )
            for option, wait_s in zip(options, waits_s, strict=True)
        ]
        names = [item.name for item in choose(candidates, self._rng)]
        if names:
            chosen = by_name[names[0]]
            nearest_s = min(option.distance_cost_s for option in options)
            self._metrics.observe(
                role="primary" if chosen.is_primary else "replica",
                nearest=chosen.distance_cost_s <= nearest_s,
                report_age_s=self._estimates.report_age_s(chosen.name, now),
            )
        return names

    def note_sent(self, name: str, sent_at: float) -> None:
        """Records that a statement was sent to an instance.

        Args:
            name: Name of the instance.
            sent_at: Monotonic time in seconds.
        """
        if self._active():
            self._estimates.note_sent(name, sent_at)

    def note_settled(self, name: str, sent_at: float) -> None:
        """Records that a sent statement was answered, failed or timed out."""
        self._estimates.note_settled(name, sent_at)

    def note_outcome(
        self, record: InstanceRecord, outcome: Outcome, *, kind: str, sent_at: float
    ) -> None:
        """Records the answer to a statement outside of transactions.

        The times of instances at different distances are not compared, since distance
        has a cost of its own.

        Args:
            record: The instance.
            outcome: The answer's outcome.
            kind: Kind of statement; only times of one kind are compared.
            sent_at: Monotonic time in seconds at which it was sent.
        """
        if not self._active():
            return
        now, name = self._timers.now(), record.name
        match outcome:
            case Done():
                self._estimates.note_answer(
                    name,
                    kind=f"{kind} at {self._distance(record.instance.data_centre)}",
                    took_s=now - sent_at,
                    now=now,
                )
            case Failed(code=Code.BUSY):
                self._estimates.note_rejected(name, wait_s=BUSY_WAIT_S, now=now)
            case _:
                # Other failures say nothing of the time that work takes.
                return

    def forget(self, name: str) -> None:
        """Drops the state of an instance that was removed."""
        self._estimates.forget(name)
