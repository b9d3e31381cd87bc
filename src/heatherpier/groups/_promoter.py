"""Changes the primary of a group: fence a majority, promote the furthest, tell all."""

import asyncio
from collections.abc import Collection, Sequence
from dataclasses import dataclass
from functools import partial

from heatherpier.groups._control import (
    adopt_term,
    follow_primary,
    promote,
    wait_for_position,
)
from heatherpier.groups._directory import (
    Directory,
    DirectoryRecord,
    DirectoryRecorder,
)
from heatherpier.groups._errors import GroupError, NotFencedError, PromotionError
from heatherpier.groups._group import NEW_ANSWER_S, Group
from heatherpier.groups._random import RandomSource
from heatherpier.groups._types import InstanceStatus, LogPosition
from heatherpier.telemetry import get_logger
from heatherpier.timers import Timers
from heatherpier.upstreams import UpstreamError

log = get_logger("groups")

FENCE_S = 1.0
# Time in seconds for the instances beyond the first majority to answer.
FENCE_STRAGGLER_S = 0.1
CATCH_UP_S = 2.0
LAST_ENTRIES_S = 0.4
NONCE_BITS = 64


@dataclass(frozen=True, slots=True, kw_only=True)
class Promotion:
    """A completed change of primary.

    Attributes:
        group: Name of the group.
        term: The new term.
        primary: Name of its primary.
        proposer: Who proposed it.
    """

    group: str
    term: int
    primary: str
    proposer: str


class Promoter:
    """Changes the primary of one group.

    Args:
        group: The group.
        proxy: Name of this proxy.
        timers: Timer service.
        rng: Source of the numbers that make proposers unique.
        directory: Where promotions are recorded, or None for nowhere.
    """

    def __init__(
        self,
        group: Group,
        *,
        proxy: str,
        timers: Timers,
        rng: RandomSource,
        directory: Directory | None = None,
    ) -> None:
        self._group = group
        self._proxy = proxy
        self._timers = timers
        self._rng = rng
        self._recorder = DirectoryRecorder(directory, timers=timers, start=group.start)

    async def replace_primary(
        self, *, cause: str, avoid: Collection[str] = ()
    ) -> Promotion:
        """Makes the instance with the furthest log the primary of a new term.

        Args:
            cause: Why, for the log.
            avoid: Names of instances that are neither fenced first nor promoted.

        Raises:
            NotFencedError: No majority adopted the term.
            PromotionError: The chosen instance did not confirm its promotion.
        """
        term, proposer = self._next_proposal()
        log.warning(
            "proposing a change of primary",
            group=self._group.spec.name,
            term=term,
            proposer=proposer,
            cause=cause,
        )
        return await self._complete(term, proposer, avoid=avoid)

    async def hand_over(self, target: str, *, cause: str) -> Promotion:
        """Moves the primary to ``target`` after that has caught up.

        Writes stop only from the fencing of the present primary until the
        promotion.

        Args:
            target: Name of a replica of the present primary.
            cause: Why, for the log.

        Raises:
            NoPrimaryError: No primary is known.
            PromotionError: The target did not catch up, or was not promoted.
        """
        primary = self._group.primary()
        if not await self._caught_up(target, primary.position, timeout_s=CATCH_UP_S):
            raise PromotionError(f"{target} did not reach {primary.position}")
        term, proposer = self._next_proposal()
        log.info(
            "handing the primary over",
            group=self._group.spec.name,
            term=term,
            primary=primary.instance,
            target=target,
            cause=cause,
        )
        fenced = await self._adopt(primary.instance, term, proposer)
        if fenced is None:
            raise NotFencedError(f"{primary.instance} did not adopt term {term}")
        # The fenced primary still serves its last entries to the target, which
        # has not adopted the new term yet.
        await self._caught_up(target, fenced.position, timeout_s=LAST_ENTRIES_S)
        return await self._complete(term, proposer, avoid=())

    async def instruct_follower(self, name: str, primary: InstanceStatus) -> None:
        """Tells an instance to follow ``primary``.

        Args:
            name: Name of the instance.
            primary: Status of the primary.
        """
        statement = partial(
            follow_primary,
            term=primary.adopted_term,
            primary=primary.instance,
            timeout_s=NEW_ANSWER_S,
        )
        try:
            self._group.learn(await self._group.ask(name, statement))
        except (UpstreamError, GroupError) as exc:
            log.info(
                "instance not told to follow",
                group=self._group.spec.name,
                instance=name,
                term=primary.adopted_term,
                cause=str(exc),
            )

    def _next_proposal(self) -> tuple[int, str]:
        # Two attempts never share a proposer, or a restarted proxy could promote
        # a second instance in a term that an earlier attempt already used.
        nonce = self._rng.getrandbits(NONCE_BITS)
        return self._group.highest_term() + 1, f"{self._proxy}.{nonce:016x}"

    async def _complete(
        self, term: int, proposer: str, *, avoid: Collection[str]
    ) -> Promotion:
        granted = await self._fence(term, proposer, avoid=avoid)
        chosen = choose_furthest(granted, leaving=self._group.spec.leaving)
        log.info(
            "fenced a majority",
            group=self._group.spec.name,
            term=term,
            proposer=proposer,
            instances=[item.instance for item in granted],
            positions=[str(item.position) for item in granted],
        )
        primary = await self._promote(chosen, term, proposer)
        promotion = Promotion(
            group=self._group.spec.name,
            term=term,
            primary=primary.instance,
            proposer=proposer,
        )
        self._record(promotion)
        others = [name for name in self._group.pools if name != primary.instance]
        await asyncio.gather(
            *(self.instruct_follower(name, primary) for name in others)
        )
        return promotion

    # Fencing

    async def _fence(
        self, term: int, proposer: str, *, avoid: Collection[str]
    ) -> list[InstanceStatus]:
        names = [name for name in self._group.pools if name not in avoid]
        tasks = [
            asyncio.create_task(self._adopt(name, term, proposer)) for name in names
        ]
        try:
            granted = await self._collect(tasks)
        finally:
            for task in tasks:
                task.cancel()
        if len(granted) < self._group.spec.majority:
            raise NotFencedError(
                f"{self._group.spec.name}: term {term} was adopted by "
                f"{len(granted)} of {len(self._group.pools)} instances"
            )
        return granted

    async def _collect(
        self, tasks: Sequence[asyncio.Task[InstanceStatus | None]]
    ) -> list[InstanceStatus]:
        granted: list[InstanceStatus] = []
        try:
            async with self._timers.timeout(FENCE_S) as limit:
                for answer in asyncio.as_completed(tasks):
                    status = await answer
                    if status is None:
                        continue
                    granted.append(status)
                    if len(granted) == self._group.spec.majority:
                        limit.reschedule(self._timers.now() + FENCE_STRAGGLER_S)
        except TimeoutError:
            pass
        return granted

    async def _adopt(
        self, name: str, term: int, proposer: str
    ) -> InstanceStatus | None:
        statement = partial(
            adopt_term, term=term, proposer=proposer, timeout_s=NEW_ANSWER_S
        )
        try:
            adoption = await self._group.ask(name, statement)
        except (UpstreamError, GroupError):
            return None
        self._group.learn(adoption.status)
        return adoption.status if adoption.granted else None

    # Promotion

    async def _promote(
        self, chosen: InstanceStatus, term: int, proposer: str
    ) -> InstanceStatus:
        # A lost answer leaves the promotion open. The same instance may be asked
        # again, but no other one may be promoted in this term.
        statement = partial(
            promote, term=term, proposer=proposer, timeout_s=NEW_ANSWER_S
        )
        try:
            primary = await self._group.ask(chosen.instance, statement)
        except (UpstreamError, GroupError) as exc:
            raise PromotionError(
                f"{chosen.instance} did not confirm term {term}: {exc}"
            ) from exc
        self._group.learn(primary)
        log.warning(
            "promoted",
            group=self._group.spec.name,
            term=term,
            primary=primary.instance,
            position=str(chosen.position),
            proposer=proposer,
        )
        return primary

    def _record(self, promotion: Promotion) -> None:
        record = DirectoryRecord(
            group=promotion.group,
            term=promotion.term,
            primary=promotion.primary,
            proposer=promotion.proposer,
        )
        self._recorder.submit(record)

    async def _caught_up(
        self, name: str, position: LogPosition, *, timeout_s: float
    ) -> bool:
        statement = partial(wait_for_position, position=position, timeout_s=timeout_s)
        try:
            status = await self._group.ask(
                name, statement, timeout_s=timeout_s + NEW_ANSWER_S
            )
        except (UpstreamError, GroupError):
            return False
        self._group.learn(status)
        return status.position >= position


def choose_furthest(
    granted: Sequence[InstanceStatus], *, leaving: Collection[str]
) -> InstanceStatus:
    """Returns the instance to promote: the furthest, if possible not a leaving one.

    Args:
        granted: Statuses of a fenced majority, each read after its fencing.
        leaving: Names of instances that must get no new work.
    """
    furthest = max(item.position for item in granted)
    equal = [item for item in granted if item.position == furthest]
    return min(equal, key=lambda item: (item.instance in leaving, item.instance))
