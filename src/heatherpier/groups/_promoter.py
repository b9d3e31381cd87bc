"""Changes the primary of a group.

A change has three steps: a majority is fenced by adopting a new term, the instance
with the furthest log of that majority is promoted, and the others are told to follow.

A term has at most one primary: an instance adopts a term for one proposer only, so
only one proposer gets a majority, and it promotes a single instance.

No acknowledged entry is lost, because a majority held it in its own term. That
majority and the fenced one share an instance, which reports its position after
adopting the new term and accepts no entry of a lower term from then on. So the
furthest position is at least that of the entry. The log at that position holds the
entry: its last entry is either of the same term, which has a single log, or of a
later term, whose primary held the entry by the same argument.

The previous primary may append entries until it adopts a higher term itself. The
fenced majority accepts none of those that it appends afterwards, so they are never
acknowledged. An unfinished attempt may still promote its chosen instance until that
instance adopts a higher term.
"""

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
from heatherpier.groups._group import NEW_CONNECTION_TIMEOUT_S, Group
from heatherpier.groups._random import RandomSource
from heatherpier.groups._types import InstanceStatus
from heatherpier.positions import LogPosition
from heatherpier.telemetry import get_logger
from heatherpier.timers import Timers
from heatherpier.upstreams import UpstreamError

log = get_logger("groups")

# Maximum wait for a majority to adopt a term.
FENCE_TIMEOUT_S = 1.0
# Further wait for the other instances once a majority has adopted the term.
FENCE_STRAGGLER_S = 0.1
# Maximum wait for the target of a planned change to reach the primary's position.
CATCH_UP_TIMEOUT_S = 2.0
# Maximum wait for the target to receive the last entries of the fenced primary.
LAST_ENTRIES_TIMEOUT_S = 0.4
NONCE_BITS = 64


@dataclass(frozen=True, slots=True, kw_only=True)
class Promotion:
    """A completed change of primary.

    Attributes:
        group: Name of the group.
        term: The new term.
        primary: Name of its primary.
        proposer: Name of the attempt that proposed it, unique to the attempt.
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
        rng: Source of the random numbers that make proposers unique.
        directory: Directory that stores promotions, or None to record nothing.
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
        """Promotes the furthest instance of a fenced majority in a new term.

        Args:
            cause: Reason for the change, for the log.
            avoid: Names of instances that are neither asked to adopt the term nor
                promoted. They are told to follow the new primary.

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
        return await self._fence_and_promote(term, proposer, avoid=avoid)

    async def hand_over(self, target: str, *, cause: str) -> Promotion:
        """Changes the primary as planned, once ``target`` has caught up.

        Writes stop only between the fencing of the current primary and the
        promotion. The furthest instance is promoted, which need not be ``target``.

        Args:
            target: Name of a replica of the current primary.
            cause: Reason for the change, for the log.

        Raises:
            NoPrimaryError: No primary is known.
            PromotionError: The target did not catch up, the term was not adopted, or
                the chosen instance did not confirm its promotion.
        """
        primary = self._group.primary()
        if not await self._wait_until_caught_up(
            target, primary.position, timeout_s=CATCH_UP_TIMEOUT_S
        ):
            raise PromotionError(f"{target} did not reach {primary.position}")
        term, proposer = self._next_proposal()
        log.info(
            "planned change of primary started",
            group=self._group.spec.name,
            term=term,
            primary=primary.instance,
            target=target,
            cause=cause,
        )
        fenced = await self._adopt(primary.instance, term, proposer)
        if fenced is None:
            raise NotFencedError(f"{primary.instance} did not adopt term {term}")
        # The fenced primary still serves its log, and the target, which has not
        # adopted the new term yet, still accepts its last entries.
        await self._wait_until_caught_up(
            target, fenced.position, timeout_s=LAST_ENTRIES_TIMEOUT_S
        )
        return await self._fence_and_promote(term, proposer, avoid=())

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
            timeout_s=NEW_CONNECTION_TIMEOUT_S,
        )
        try:
            self._group.learn(await self._group.run_control(name, statement))
        except (UpstreamError, GroupError) as exc:
            log.info(
                "instructing the instance to follow the primary failed",
                group=self._group.spec.name,
                instance=name,
                term=primary.adopted_term,
                cause=str(exc),
            )

    def _next_proposal(self) -> tuple[int, str]:
        # The nonce makes the proposer unique to the attempt. Otherwise a restarted
        # proxy could be granted a term that its earlier attempt had used, and
        # promote a second instance in it.
        nonce = self._rng.getrandbits(NONCE_BITS)
        return self._group.highest_term() + 1, f"{self._proxy}.{nonce:016x}"

    async def _fence_and_promote(
        self, term: int, proposer: str, *, avoid: Collection[str]
    ) -> Promotion:
        granted = await self._fence(term, proposer, avoid=avoid)
        chosen = choose_furthest(granted, leaving=self._group.spec.leaving)
        log.info(
            "new term adopted by a majority",
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
        self._record_in_directory(promotion)
        others = [name for name in self._group.pools if name != primary.instance]
        await asyncio.gather(
            *(self.instruct_follower(name, primary) for name in others)
        )
        return promotion

    async def _fence(
        self, term: int, proposer: str, *, avoid: Collection[str]
    ) -> list[InstanceStatus]:
        names = [name for name in self._group.pools if name not in avoid]
        tasks = [
            asyncio.create_task(self._adopt(name, term, proposer)) for name in names
        ]
        try:
            granted = await self._collect_adoptions(tasks)
        finally:
            for task in tasks:
                task.cancel()
        if len(granted) < self._group.spec.majority:
            raise NotFencedError(
                f"{self._group.spec.name}: term {term} was adopted by "
                f"{len(granted)} of {len(self._group.pools)} instances"
            )
        return granted

    async def _collect_adoptions(
        self, tasks: Sequence[asyncio.Task[InstanceStatus | None]]
    ) -> list[InstanceStatus]:
        granted: list[InstanceStatus] = []
        try:
            async with self._timers.timeout(FENCE_TIMEOUT_S) as limit:
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
            adopt_term, term=term, proposer=proposer, timeout_s=NEW_CONNECTION_TIMEOUT_S
        )
        try:
            adoption = await self._group.run_control(name, statement)
        except (UpstreamError, GroupError):
            return None
        self._group.learn(adoption.status)
        return adoption.status if adoption.granted else None

    async def _promote(
        self, chosen: InstanceStatus, term: int, proposer: str
    ) -> InstanceStatus:
        # If the answer is lost, the instance may have been promoted. Asking it again
        # is safe, but promoting another one could give the term two primaries.
        statement = partial(
            promote, term=term, proposer=proposer, timeout_s=NEW_CONNECTION_TIMEOUT_S
        )
        try:
            primary = await self._group.run_control(chosen.instance, statement)
        except (UpstreamError, GroupError) as exc:
            raise PromotionError(
                f"{chosen.instance} did not confirm term {term}: {exc}"
            ) from exc
        self._group.learn(primary)
        log.warning(
            "instance promoted to primary",
            group=self._group.spec.name,
            term=term,
            primary=primary.instance,
            position=str(chosen.position),
            proposer=proposer,
        )
        return primary

    def _record_in_directory(self, promotion: Promotion) -> None:
        record = DirectoryRecord(
            group=promotion.group,
            term=promotion.term,
            primary=promotion.primary,
            proposer=promotion.proposer,
        )
        self._recorder.submit(record)

    async def _wait_until_caught_up(
        self, name: str, position: LogPosition, *, timeout_s: float
    ) -> bool:
        statement = partial(wait_for_position, position=position, timeout_s=timeout_s)
        try:
            status = await self._group.run_control(
                name, statement, timeout_s=timeout_s + NEW_CONNECTION_TIMEOUT_S
            )
        except (UpstreamError, GroupError):
            return False
        self._group.learn(status)
        return status.position >= position


def choose_furthest(
    granted: Sequence[InstanceStatus], *, leaving: Collection[str]
) -> InstanceStatus:
    """Returns the instance with the furthest position, preferably not a leaving one.

    Args:
        granted: Statuses of a fenced majority, each read after the instance adopted
            the new term.
        leaving: Names of instances that must get no new work.
    """
    furthest = max(item.position for item in granted)
    equal = [item for item in granted if item.position == furthest]
    return min(equal, key=lambda item: (item.instance in leaving, item.instance))
