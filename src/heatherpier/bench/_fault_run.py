"""One seeded run of the decision code against a group with faults, in memory."""

import asyncio
import hashlib
import random
from collections.abc import Callable
from dataclasses import dataclass

from heatherpier._session import Session
from heatherpier.bench._checker import GroupLog, Violation, check_group
from heatherpier.bench._cluster import GROUP, MemoryGroup, start_memory_group
from heatherpier.bench._driver import CallerError
from heatherpier.bench._fault_plan import FaultKind, PlannedFault, plan_faults
from heatherpier.bench._history import Outcome
from heatherpier.bench._load import Load, LoadSpec
from heatherpier.bench._memory_callers import MemoryEndpoint
from heatherpier.bench._mixes import BOOKINGS, Mix
from heatherpier.groups import Group
from heatherpier.limits import Admission
from heatherpier.reads import Reader
from heatherpier.sessions import TokenSigner
from heatherpier.timers import LoopTimers, VirtualTimeLoop
from heatherpier.writes import KeyGenerator, Writer

DURATION_S = 14.0
RATE_PER_S = 20.0
PROXIES = 3
DEADLINE_MS = 5000
RECOVERY_S = 10.0
CROSS_DATA_CENTRE_DELAY_S = 0.012
WALL_OFFSET_S = 1_700_000_000
TOKEN_KEY = bytes(range(16))
DEFAULT_LAG_MS = 50
MAX_LAG_MS = 3000
MAX_SLOWDOWN_MS = 400
MAX_EXTRA_FAULTY_ANSWERS = 4


@dataclass(frozen=True, slots=True, kw_only=True)
class FaultRun:
    """Result of the run of one seed.

    Attributes:
        seed: The seed.
        plan: Injected faults, ordered by start.
        violations: Violated guarantees.
        acknowledged: Count of acknowledged writes.
        not_run: Count of writes that were reported as not run.
        unknown: Count of writes whose outcome the callers never learnt.
        recovered: Whether every proxy acknowledged a write after the last fault.
        digest: Hash of the write records; equal for two runs that went the same way.
    """

    seed: int
    plan: tuple[PlannedFault, ...]
    violations: tuple[Violation, ...]
    acknowledged: int
    not_run: int
    unknown: int
    recovered: bool
    digest: str

    def failed(self) -> bool:
        """Returns whether a guarantee was violated or writes did not recover."""
        return bool(self.violations) or not self.recovered


def run_seed(seed: int, *, mix: Mix = BOOKINGS) -> FaultRun:
    """Runs the load and the faults of one seed under virtual time."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(_run(seed, mix))


async def _run(seed: int, mix: Mix) -> FaultRun:
    scenario = _FaultScenario(seed)
    plan = plan_faults(seed, duration_s=DURATION_S)
    spec = LoadSpec(
        mix=mix,
        groups={GROUP: GROUP.replace("-", "_")},
        rate=RATE_PER_S,
        duration_s=DURATION_S,
        seed=seed,
    )
    load = Load(spec, proxies=list(scenario.proxies))
    await load.prepare()
    async with asyncio.TaskGroup() as tasks:
        load_task = tasks.create_task(load.run())
        for fault in plan:
            tasks.create_task(scenario.inject(fault))
    history = load_task.result().history
    await asyncio.sleep(RECOVERY_S)
    recovered = await scenario.all_proxies_serve_writes(mix)
    entries = max(
        (instance.log for instance in scenario.group.instances),
        key=lambda log: (log[-1].term, log[-1].index),
    )
    log = GroupLog(entries, mix=mix)
    violations = check_group(history, GROUP, log, mix=mix)
    await scenario.close()
    outcomes = [item.outcome for item in history.writes]
    return FaultRun(
        seed=seed,
        plan=tuple(plan),
        violations=tuple(violations),
        acknowledged=outcomes.count(Outcome.ACKNOWLEDGED),
        not_run=outcomes.count(Outcome.NOT_RUN),
        unknown=outcomes.count(Outcome.UNKNOWN),
        recovered=recovered,
        digest=hashlib.sha256(repr(history.writes).encode()).hexdigest()[:12],
    )


class _FaultScenario:
    """A database group in memory, its proxies, and the injection of faults."""

    def __init__(self, seed: int) -> None:
        self.timers = LoopTimers(wall_offset_s=WALL_OFFSET_S)
        self.group: MemoryGroup = start_memory_group(self.timers, lag_ms=DEFAULT_LAG_MS)
        self.group.network.remote_delay_s = CROSS_DATA_CENTRE_DELAY_S
        self._rng = random.Random(f"{seed}/bench")
        self._views: dict[str, Group] = {}
        self.proxies = [self._add_proxy(number) for number in range(PROXIES)]

    def _add_proxy(self, number: int) -> MemoryEndpoint:
        name = f"proxy-{number + 1}"
        return MemoryEndpoint(
            name,
            start=lambda: self._start_proxy(name, number),
            stop=lambda: self._views[name].close(),
            rng=random.Random(self._rng.random()),
        )

    def _start_proxy(self, name: str, rank: int) -> Callable[[], Session]:
        view = self.group.watch(name, rank=rank)
        self._views[name] = view
        address = self.group.instances[rank].address
        self.group.network.data_centres[name] = address.data_centre
        rng = random.Random(f"{name}/{self._rng.random()}")
        admission = Admission(timers=self.timers, proxies=PROXIES)
        reader = Reader(
            timers=self.timers,
            data_centre=address.data_centre,
            rng=rng,
            admission=admission,
        )
        keys = KeyGenerator(proxy=name, rng=rng, timers=self.timers)
        writer = Writer(timers=self.timers, keys=keys, rng=rng, admission=admission)
        signer = TokenSigner(deployment="faults", keys=(TOKEN_KEY,))

        def open_session() -> Session:
            return Session(
                groups={view.spec.database: view},
                reader=reader,
                writer=writer,
                signer=signer,
                timers=self.timers,
                deadline_ms=DEADLINE_MS,
            )

        return open_session

    async def inject(self, fault: PlannedFault) -> None:
        """Causes one planned fault at its time and undoes it after its duration."""
        await asyncio.sleep(fault.at_s)
        undo = self._start_fault(fault)
        await asyncio.sleep(fault.duration_s)
        undo()

    def _start_fault(self, fault: PlannedFault) -> Callable[[], None]:
        instance = self.group.instances[fault.target]
        proxy = self.proxies[fault.target]
        network, faults = self.group.network, instance.faults
        match fault.kind:
            case FaultKind.CRASH:
                network.crash(instance.name)
                return lambda: network.restart(instance.name)
            case FaultKind.PAUSE:
                instance.pause()
                return instance.resume
            case FaultKind.CUT_FROM_PROXIES:
                count = 1 + round(fault.size * (PROXIES - 1))
                return self._cut(instance.name, [p.name for p in self.proxies[:count]])
            case FaultKind.CUT_FROM_PEERS:
                peers = [p.name for p in self.group.instances if p is not instance]
                return self._cut(instance.name, peers)
            case FaultKind.LAG:
                faults.lag_ms = round(fault.size * MAX_LAG_MS)
                return lambda: setattr(faults, "lag_ms", DEFAULT_LAG_MS)
            case FaultKind.REPLICATION_STOPPED:
                faults.replication_stopped = True
                return lambda: setattr(faults, "replication_stopped", False)
            case FaultKind.ANSWERS_LOST:
                faults.drop_answers = 1 + round(fault.size * MAX_EXTRA_FAULTY_ANSWERS)
                return lambda: setattr(faults, "drop_answers", 0)
            case FaultKind.ANSWERS_DOUBLED:
                faults.double_answers = 1 + round(fault.size * MAX_EXTRA_FAULTY_ANSWERS)
                return lambda: setattr(faults, "double_answers", 0)
            case FaultKind.SILENT:
                for conn in network.open[instance.name]:
                    conn.silent = True
                return lambda: None
            case FaultKind.SLOW:
                faults.slow_ms = round(fault.size * MAX_SLOWDOWN_MS)
                return lambda: setattr(faults, "slow_ms", 0)
            case FaultKind.PROXY_KILLED:
                proxy.kill()
                return proxy.restart
            case FaultKind.CALLER_ANSWERS_LOST:
                proxy.answer_loss_rate = fault.size / 2
                return lambda: setattr(proxy, "answer_loss_rate", 0.0)

    def _cut(self, instance: str, peers: list[str]) -> Callable[[], None]:
        for peer in peers:
            self.group.network.cut(peer, instance)

        def heal() -> None:
            for peer in peers:
                self.group.network.heal(peer, instance)

        return heal

    async def all_proxies_serve_writes(self, mix: Mix) -> bool:
        """Returns whether every proxy acknowledges a write."""
        for proxy in self.proxies:
            conn = await proxy.connect(GROUP.replace("-", "_"))
            try:
                await conn.execute(mix.insert(f"last-{proxy.name}", "last"))
            except CallerError:
                return False
            finally:
                conn.close()
        return True

    async def close(self) -> None:
        """Closes the group and all views of it."""
        await self.group.close()
