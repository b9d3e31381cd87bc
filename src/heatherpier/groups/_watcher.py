"""Watches a group's instances, replaces a lost primary and repairs the rest."""

import asyncio
from collections.abc import Callable

from heatherpier.groups._condition import (
    Condition,
    PrimaryIsolated,
    PrimaryLeaving,
    PrimaryLost,
    PrimaryWorks,
    TermUnfinished,
    assess,
)
from heatherpier.groups._errors import GroupError, NoPrimaryError
from heatherpier.groups._evidence import Evidence
from heatherpier.groups._group import Group
from heatherpier.groups._promoter import Promoter
from heatherpier.groups._random import RandomSource
from heatherpier.telemetry import get_logger
from heatherpier.timers import Timers

log = get_logger("groups")

PROBE_PERIOD_S = 0.5
# Period while the group has no working primary, and least time between two probes.
FAST_PROBE_PERIOD_S = 0.1
TICK_S = 0.05
# Time in seconds between two assessments while the primary works.
CALM_TICK_S = 0.2
# Each proposer waits this much longer than the one before it, in seconds.
RANK_STEP_S = 0.25
JITTER_S = 0.05
# Time in seconds that another proposer gets to complete a change.
PROPOSAL_GRACE_S = 0.5
ISOLATED_HOLD_OFF_S = 0.3
# Time in seconds that the replicas of a new primary get to find it.
NEW_PRIMARY_S = 1.5
LEAVING_HOLD_OFF_S = 0.25
INITIAL_BACKOFF_S = 0.2
MAX_BACKOFF_S = 5.0


class Watcher:
    """Keeps one group under a working primary.

    Args:
        group: The group.
        promoter: Changes its primary.
        timers: Timer service.
        rng: Source of jitter.
        rank: Returns this proxy's place among the proposers, from 0.
    """

    def __init__(
        self,
        group: Group,
        *,
        promoter: Promoter,
        timers: Timers,
        rng: RandomSource,
        rank: Callable[[], int],
    ) -> None:
        self._group = group
        self._promoter = promoter
        self._timers = timers
        self._rng = rng
        self._rank = rank
        self._evidence = Evidence(group)
        self._condition: Condition = PrimaryWorks(primary="")
        self._since = 0.0
        self._down: set[str] = set()
        self._not_before = 0.0
        self._backoff_s = INITIAL_BACKOFF_S
        self._astray_since: dict[str, float] = {}

    async def run(self) -> None:
        """Watches the group for as long as the task runs."""
        async with asyncio.TaskGroup() as tasks:
            for name in self._group.pools:
                tasks.create_task(self._probe_forever(name))
            tasks.create_task(self._decide_forever())

    # Probes

    async def _probe_forever(self, name: str) -> None:
        while True:
            if not self._heard_lately(name):
                await self._probe(name)
            await self._timers.sleep(TICK_S)
            await self._pause(name)

    def _heard_lately(self, name: str) -> bool:
        if name not in self._group.statuses or name in self._down:
            return False
        heard_at = self._group.heard_at[name]
        return self._timers.now() - heard_at < FAST_PROBE_PERIOD_S

    async def _probe(self, name: str) -> None:
        self._group.suspicions[name].clear()
        if await self._group.probe(name):
            if name in self._down:
                log.info("instance answers again", group=self._name, instance=name)
            self._down.discard(name)
            return
        if name not in self._down:
            log.warning("instance does not answer", group=self._name, instance=name)
        self._down.add(name)

    async def _pause(self, name: str) -> None:
        works = isinstance(self._condition, PrimaryWorks)
        period_s = (PROBE_PERIOD_S if works else FAST_PROBE_PERIOD_S) - TICK_S
        try:
            async with self._timers.timeout(period_s):
                await self._group.suspicions[name].wait()
        except TimeoutError:
            return

    # Decisions

    async def _decide_forever(self) -> None:
        while True:
            self._observe()
            if self._is_due():
                await self._act()
            await self._repair()
            calm = isinstance(self._condition, PrimaryWorks)
            await self._timers.sleep(CALM_TICK_S if calm else TICK_S)

    def _observe(self) -> None:
        now = self._timers.now()
        self._evidence.observe(now)
        condition = assess(self._group)
        if condition == self._condition:
            return
        if not isinstance(condition, PrimaryWorks):
            for name in self._group.pools:
                self._group.suspect(name)
        lost = isinstance(condition, PrimaryLost)
        if not (lost and isinstance(self._condition, PrimaryLost)):
            self._since = now
        self._condition = condition

    def _is_due(self) -> bool:
        now = self._timers.now()
        earliest = self._earliest(now)
        if earliest is None:
            return False
        start = max(
            earliest, self._evidence.term_seen_at + PROPOSAL_GRACE_S, self._not_before
        )
        turn_s = self._rank() * RANK_STEP_S + self._rng.random() * JITTER_S
        return now >= start + turn_s

    def _earliest(self, now: float) -> float | None:
        """Returns when the condition may be acted on, or None for not at all."""
        if not self._majority_answers():
            return None
        match self._condition:
            case PrimaryWorks():
                return None
            case PrimaryLost(expected=expected):
                known = not expected or expected in self._group.statuses
                if not (known or expected in self._down):
                    return None
                return self._evidence.earliest(self._since, now)
            case PrimaryIsolated():
                new_s = NEW_PRIMARY_S * self._evidence.caution(now)
                return max(
                    self._since + ISOLATED_HOLD_OFF_S, self._evidence.led_at + new_s
                )
            case TermUnfinished():
                return self._since + PROPOSAL_GRACE_S
            case PrimaryLeaving():
                return self._since + LEAVING_HOLD_OFF_S

    def _majority_answers(self) -> bool:
        # A proposal that can't succeed would only raise terms.
        answering = set(self._group.statuses)
        if isinstance(self._condition, PrimaryIsolated):
            answering.discard(self._condition.primary)
        return len(answering) >= self._group.spec.majority

    async def _act(self) -> None:
        try:
            match self._condition:
                case PrimaryLost(expected=expected):
                    cause = f"primary {expected or 'of the highest term'} is lost"
                    await self._promoter.replace_primary(cause=cause)
                case PrimaryIsolated(primary=primary):
                    cause = f"replicas do not hear from {primary}"
                    await self._promoter.replace_primary(cause=cause, avoid=(primary,))
                case TermUnfinished(primary=primary):
                    cause = f"an instance adopted a term above that of {primary}"
                    await self._promoter.replace_primary(cause=cause)
                case PrimaryLeaving(primary=primary, target=target):
                    cause = f"{primary} is leaving"
                    await self._promoter.hand_over(target, cause=cause)
        except GroupError as exc:
            self._back_off(exc)
            return
        self._backoff_s = INITIAL_BACKOFF_S
        self._observe()

    def _back_off(self, exc: GroupError) -> None:
        self._not_before = self._timers.now() + self._backoff_s * (
            1 + self._rng.random()
        )
        self._backoff_s = min(self._backoff_s * 2, MAX_BACKOFF_S)
        log.warning(
            "change of primary not completed",
            group=self._name,
            kind=type(exc).__name__,
            cause=str(exc),
        )

    # Repairs

    async def _repair(self) -> None:
        """Tells instances that follow an old primary or none about the present one."""
        try:
            primary = self._group.primary()
        except NoPrimaryError:
            self._astray_since.clear()
            return
        now = self._timers.now()
        turn_s = (1 + self._rank()) * RANK_STEP_S
        for name, status in list(self._group.statuses.items()):
            follows = status.primary == primary.instance
            if status.adopted_term > primary.adopted_term or (
                follows and status.adopted_term == primary.adopted_term
            ):
                self._astray_since.pop(name, None)
                continue
            if now - self._astray_since.setdefault(name, now) < turn_s:
                continue
            del self._astray_since[name]
            log.info(
                "instance told to follow",
                group=self._name,
                instance=name,
                primary=primary.instance,
                term=primary.adopted_term,
                old_term=status.adopted_term,
            )
            await self._promoter.instruct_follower(name, primary)

    @property
    def _name(self) -> str:
        return self._group.spec.name


def start_watcher(
    group: Group,
    *,
    promoter: Promoter,
    timers: Timers,
    rng: RandomSource,
    rank: Callable[[], int],
) -> asyncio.Task[None]:
    """Watches a group until it is closed.

    Args:
        group: The group.
        promoter: Changes its primary.
        timers: Timer service.
        rng: Source of jitter.
        rank: Returns this proxy's place among the proposers, from 0.
    """
    watcher = Watcher(group, promoter=promoter, timers=timers, rng=rng, rank=rank)
    return group.start(watcher.run())
