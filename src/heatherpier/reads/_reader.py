"""Serves a read from the nearest instance that is fresh enough."""

from weakref import WeakKeyDictionary

from heatherpier.groups import Group
from heatherpier.limits import Admission, Backoff, RandomSource, RetryBudget
from heatherpier.reads._attempt import Attempt
from heatherpier.reads._candidates import order_instances
from heatherpier.reads._freshness import freshness_of
from heatherpier.reads._knowledge import GroupKnowledge
from heatherpier.reads._metrics import READS, READS_GIVEN_UP
from heatherpier.reads._outcomes import (
    Failure,
    Rejected,
    Served,
    Unreachable,
    final_error,
    may_improve,
)
from heatherpier.requests import Answer, FinalError, Request
from heatherpier.telemetry import get_logger
from heatherpier.timers import Timers

log = get_logger("reads")

# An attempt gets this fraction of the time left if further instances remain, so that
# an unresponsive instance leaves time for the others.
ATTEMPT_FRACTION = 0.5


class Reader:
    """Chooses an instance for each read and checks its freshness on the instance.

    Args:
        timers: Timer service.
        data_centre: Data centre of this proxy; its replicas are asked first.
        rng: Source of the jitter of the delays between rounds.
        admission: Grants slots on instances; None creates one for this reader.
    """

    def __init__(
        self,
        *,
        timers: Timers,
        data_centre: str,
        rng: RandomSource,
        admission: Admission | None = None,
    ) -> None:
        self._timers = timers
        self._data_centre = data_centre
        self._admission = admission or Admission(timers=timers)
        self._backoff = Backoff(rng=rng)
        self._retry_budgets: WeakKeyDictionary[Group, RetryBudget] = WeakKeyDictionary()
        self._knowledge: WeakKeyDictionary[Group, GroupKnowledge] = WeakKeyDictionary()

    async def execute(self, group: Group, req: Request) -> Answer:
        """Runs a read.

        Repeats rounds over the instances until the deadline, as long as another round
        may serve the read. Raises the final error at once if none can.

        Raises:
            StatementRejectedError: The instance rejected the statement.
            TooStaleError: The instances that answer are not fresh enough.
            OverloadedError: No instance served the read, and at least one has no
                capacity for it.
            NotRunError: No instance gave an answer that could be proved.
        """
        knowledge = self._knowledge_of(group)
        if req.min_position is not None:
            knowledge.note_min_position(req.min_position)
        attempt = Attempt(
            group=group,
            knowledge=knowledge,
            req=req,
            freshness=freshness_of(req),
            admission=self._admission,
            timers=self._timers,
        )
        budget = self._retry_budgets.setdefault(group, RetryBudget())
        budget.record_first_attempt()
        rounds = 0
        while True:
            rounds += 1
            outcome = await self._run_round(attempt, budget, rounds=rounds)
            if isinstance(outcome, Answer):
                role = "replica" if outcome.replica else "primary"
                READS.labels(group.spec.name, role).inc()
                return outcome
            delay_s = self._backoff.delay_s(rounds)
            is_late = self._timers.now() + delay_s >= req.deadline
            if is_late or not may_improve(outcome, group.spec):
                raise self._record_failure(req, outcome, rounds=rounds)
            await self._timers.sleep(delay_s)

    def _record_failure(
        self, req: Request, failures: list[Failure], *, rounds: int
    ) -> FinalError:
        error = final_error(failures, group=req.group)
        READS_GIVEN_UP.labels(req.group, error.label).inc()
        log.info(
            "read failed",
            group=req.group,
            answer=error.label,
            reason=error.reason,
            rounds=rounds,
            session=req.session,
            trace=req.trace,
        )
        return error

    async def _run_round(
        self, attempt: Attempt, budget: RetryBudget, *, rounds: int
    ) -> Answer | list[Failure]:
        """Attempts the read once per instance; returns the answer or the failures."""
        deadline = attempt.req.deadline
        failures: list[Failure] = []
        names = order_instances(
            attempt.group,
            attempt.req,
            attempt.freshness,
            admission=self._admission,
            data_centre=self._data_centre,
        )
        for number, name in enumerate(names, start=1):
            now = self._timers.now()
            if now >= deadline:
                break
            is_last = number == len(names)
            until = deadline if is_last else now + (deadline - now) * ATTEMPT_FRACTION
            outcome = await attempt.run(
                name, until=until, timeout_factor=2.0 ** (rounds - 1)
            )
            match outcome:
                case Served(answer=answer):
                    return answer
                case Rejected(error=error):
                    raise error
                case failure:
                    failures.append(failure)
            if isinstance(outcome, Unreachable) and not budget.try_acquire():
                break
        return failures

    def _knowledge_of(self, group: Group) -> GroupKnowledge:
        known = self._knowledge.get(group)
        if known is None:
            known = self._knowledge[group] = GroupKnowledge(group)
        return known
