"""Serves a read from the nearest instance that may answer it."""

from weakref import WeakKeyDictionary

from heatherpier.groups import Group
from heatherpier.limits import Backoff, RandomSource
from heatherpier.reads._attempt import Attempt
from heatherpier.reads._candidates import order_instances
from heatherpier.reads._freshness import Freshness, freshness_of
from heatherpier.reads._knowledge import GroupKnowledge
from heatherpier.reads._outcomes import (
    Failure,
    Rejected,
    Served,
    final_error,
    may_improve,
)
from heatherpier.requests import Answer, Request
from heatherpier.timers import Timers

# While other instances can still be asked, one gets this share of the time left.
TRY_SHARE = 0.5


class Reader:
    """Chooses an instance for each read and checks it on the instance.

    Args:
        timers: Timer service.
        data_centre: Data centre of this proxy; its replicas are asked first.
        rng: Spreads the delays between rounds.
    """

    def __init__(self, *, timers: Timers, data_centre: str, rng: RandomSource) -> None:
        self._timers = timers
        self._data_centre = data_centre
        self._backoff = Backoff(rng=rng)
        self._knowledge: WeakKeyDictionary[Group, GroupKnowledge] = WeakKeyDictionary()

    async def execute(self, group: Group, req: Request) -> Answer:
        """Runs a read.

        Rounds over the instances go on until the deadline while one may still
        end well. When none can, the final answer comes at once.

        Raises:
            StatementRejectedError: The instance rejected the statement.
            TooStaleError: The instances that answer are not fresh enough.
            OverloadedError: Every instance is busy.
            NotRunError: No instance answered.
        """
        freshness = freshness_of(req)
        knowledge = self._knowledge_of(group)
        if req.floor is not None:
            knowledge.note_floor(req.floor)
        attempt = Attempt(
            group=group,
            knowledge=knowledge,
            req=req,
            freshness=freshness,
            timers=self._timers,
        )
        rounds = 0
        while True:
            rounds += 1
            failures = await self._round(group, req, freshness, attempt, rounds=rounds)
            if isinstance(failures, Answer):
                return failures
            delay_s = self._backoff.delay_s(rounds)
            late = self._timers.now() + delay_s >= req.deadline
            if late or not may_improve(failures, group.spec):
                raise final_error(failures, group=req.group)
            await self._timers.sleep(delay_s)

    async def _round(
        self,
        group: Group,
        req: Request,
        freshness: Freshness,
        attempt: Attempt,
        *,
        rounds: int,
    ) -> Answer | list[Failure]:
        failures: list[Failure] = []
        names = order_instances(group, freshness, data_centre=self._data_centre)
        for place, name in enumerate(names, start=1):
            now = self._timers.now()
            left = req.deadline - now
            if left <= 0:
                break
            last = place == len(names)
            until = req.deadline if last else now + left * TRY_SHARE
            outcome = await attempt.run(name, until=until, patience=2.0 ** (rounds - 1))
            match outcome:
                case Served(answer=answer):
                    return answer
                case Rejected(error=error):
                    raise error
                case failure:
                    failures.append(failure)
        return failures

    def _knowledge_of(self, group: Group) -> GroupKnowledge:
        known = self._knowledge.get(group)
        if known is None:
            known = self._knowledge[group] = GroupKnowledge(group)
        return known
