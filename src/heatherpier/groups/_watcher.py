"""Probes a group's instances, replaces a lost primary and redirects replicas."""

import asyncio
from collections.abc import Callable

from heatherpier.groups._condition import (
    Condition,
    PrimaryHealthy,
    PrimaryIsolated,
    PrimaryLeaving,
    PrimaryLost,
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

# Period of probes of an instance while the primary is healthy.
PROBE_PERIOD_S = 0.5
# Period of probes while the primary is not healthy. An instance that answered within
# this time is not probed again.
FAST_PROBE_PERIOD_S = 0.1
# Period of decisions while the primary is not healthy, and minimum pause between two
# probes of an instance.
DECISION_PERIOD_S = 0.05
# Period of decisions while the primary is healthy.
HEALTHY_DECISION_PERIOD_S = 0.2
# Each proposer waits this much longer than the one ranked before it.
RANK_STEP_S = 0.25
# Maximum random delay that is added to a proposer's wait.
MAX_JITTER_S = 0.05
# Time for another proposer to complete its change after a new term was seen.
PROPOSAL_GRACE_S = 0.5
# Delay of the replacement of a primary that is cut off from its replicas.
ISOLATED_HOLD_OFF_S = 0.3
# Time for the replicas of a new primary to find it.
NEW_PRIMARY_GRACE_S = 1.5
# Delay of the planned replacement of a leaving primary.
LEAVING_HOLD_OFF_S = 0.25
# Pause after the first failed change. Each further failure doubles it.
INITIAL_BACKOFF_S = 0.2
# Maximum pause after a failed change, before jitter.
MAX_BACKOFF_S = 5.0


class Watcher:
    """Watches one group and changes its primary when needed.

    Args:
        group: The group.
        promoter: Changes the group's primary.
        timers: Timer service.
        rng: Source of jitter.
        rank: Returns this proxy's rank among the proposers, from 0.
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
        self._condition: Condition = PrimaryHealthy(primary="")
        self._condition_since = 0.0
        self._unresponsive: set[str] = set()
        self._backoff_until = 0.0
        self._backoff_s = INITIAL_BACKOFF_S
        self._misdirected_since: dict[str, float] = {}

    async def run(self) -> None:
        """Watches the group until the task is cancelled."""
        async with asyncio.TaskGroup() as tasks:
            for name in self._group.pools:
                tasks.create_task(self._probe_forever(name))
            tasks.create_task(self._decide_forever())

    async def _probe_forever(self, name: str) -> None:
        while True:
            if not self._heard_recently(name):
                await self._probe(name)
            await self._timers.sleep(DECISION_PERIOD_S)
            await self._pause(name)

    def _heard_recently(self, name: str) -> bool:
        if name not in self._group.statuses or name in self._unresponsive:
            return False
        heard_at = self._group.heard_at[name]
        return self._timers.now() - heard_at < FAST_PROBE_PERIOD_S

    async def _probe(self, name: str) -> None:
        self._group.suspicions[name].clear()
        if await self._group.probe(name):
            if name in self._unresponsive:
                log.info("instance answers again", group=self._name, instance=name)
            self._unresponsive.discard(name)
            return
        if name not in self._unresponsive:
            log.warning("instance does not answer", group=self._name, instance=name)
        self._unresponsive.add(name)

    async def _pause(self, name: str) -> None:
        healthy = isinstance(self._condition, PrimaryHealthy)
        period_s = (
            PROBE_PERIOD_S if healthy else FAST_PROBE_PERIOD_S
        ) - DECISION_PERIOD_S
        try:
            async with self._timers.timeout(period_s):
                await self._group.suspicions[name].wait()
        except TimeoutError:
            return

    async def _decide_forever(self) -> None:
        while True:
            self._observe()
            if self._is_due():
                await self._act()
            await self._redirect_followers()
            healthy = isinstance(self._condition, PrimaryHealthy)
            await self._timers.sleep(
                HEALTHY_DECISION_PERIOD_S if healthy else DECISION_PERIOD_S
            )

    def _observe(self) -> None:
        now = self._timers.now()
        self._evidence.observe(now)
        condition = assess(self._group)
        if condition == self._condition:
            return
        if not isinstance(condition, PrimaryHealthy):
            for name in self._group.pools:
                self._group.suspect(name)
        lost = isinstance(condition, PrimaryLost)
        if not (lost and isinstance(self._condition, PrimaryLost)):
            self._condition_since = now
        self._condition = condition

    def _is_due(self) -> bool:
        now = self._timers.now()
        earliest = self._earliest_action_at(now)
        if earliest is None:
            return False
        start = max(
            earliest,
            self._evidence.term_seen_at + PROPOSAL_GRACE_S,
            self._backoff_until,
        )
        rank_delay_s = self._rank() * RANK_STEP_S + self._rng.random() * MAX_JITTER_S
        return now >= start + rank_delay_s

    def _earliest_action_at(self, now: float) -> float | None:
        """Returns when to act on the condition, or None if there is nothing to do.

        The result is monotonic time in seconds, before the delay by rank.
        """
        if not self._majority_answers():
            return None
        match self._condition:
            case PrimaryHealthy():
                return None
            case PrimaryLost(expected=expected):
                known = not expected or expected in self._group.statuses
                if not (known or expected in self._unresponsive):
                    return None
                return self._evidence.earliest_takeover(self._condition_since, now)
            case PrimaryIsolated():
                grace_s = NEW_PRIMARY_GRACE_S * self._evidence.hold_off_factor(now)
                return max(
                    self._condition_since + ISOLATED_HOLD_OFF_S,
                    self._evidence.primary_seen_at + grace_s,
                )
            case TermUnfinished():
                return self._condition_since + PROPOSAL_GRACE_S
            case PrimaryLeaving():
                return self._condition_since + LEAVING_HOLD_OFF_S

    def _majority_answers(self) -> bool:
        # Without a majority, a proposal would fail and only raise terms.
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
        self._backoff_until = self._timers.now() + self._backoff_s * (
            1 + self._rng.random()
        )
        self._backoff_s = min(self._backoff_s * 2, MAX_BACKOFF_S)
        log.warning(
            "change of primary failed",
            group=self._name,
            kind=type(exc).__name__,
            cause=str(exc),
        )

    async def _redirect_followers(self) -> None:
        """Tells instances that follow an old primary or none to follow the current one.

        The proxy of rank 0 acts first; the others act if that had no effect.
        """
        try:
            primary = self._group.primary()
        except NoPrimaryError:
            self._misdirected_since.clear()
            return
        now = self._timers.now()
        rank_delay_s = (1 + self._rank()) * RANK_STEP_S
        for name, status in list(self._group.statuses.items()):
            follows = status.primary == primary.instance
            if status.adopted_term > primary.adopted_term or (
                follows and status.adopted_term == primary.adopted_term
            ):
                self._misdirected_since.pop(name, None)
                continue
            if now - self._misdirected_since.setdefault(name, now) < rank_delay_s:
                continue
            del self._misdirected_since[name]
            log.info(
                "instructing the instance to follow the primary",
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
    """Starts a task that watches a group until the group is closed.

    Args:
        group: The group.
        promoter: Changes the group's primary.
        timers: Timer service.
        rng: Source of jitter.
        rank: Returns this proxy's rank among the proposers, from 0.
    """
    watcher = Watcher(group, promoter=promoter, timers=timers, rng=rng, rank=rank)
    return group.start(watcher.run())
