"""Forwarded writes, reads and transactions under random faults of homes and messages."""

import asyncio
import random

from heatherpier.bench import SimulatedDeployment, ask
from heatherpier.bench._call_history import (
    CallHistory,
    find_false_refusals,
    find_old_commits,
    find_repeated_writes,
    find_stale_reads,
)
from heatherpier.bench._fault_injector import FaultInjector
from heatherpier.bench._simulated_deployment import MAX_AGE_S, query
from heatherpier.routing import CallerLimits, Organisation
from heatherpier.statements import Code, Done

ORGANISATIONS = tuple(Organisation(name=f"club-{number}") for number in range(6))
KEYS = {f"key-{item.name}": item.name for item in ORGANISATIONS}
PROXIES = 12
CONNECTIONS = 20
FAULTS_S = 12.0
MAX_FAULT_S = 4.0
FAULT_INTERVAL_S = 1.0
RECOVERY_S = 4.0
PAUSE_S = 0.05
# Homes end transactions beyond this limit and a margin; some pauses are longer.
IDLE_LIMIT_S = 0.2
LONG_PAUSE_RATE = 0.1
LONG_PAUSE_S = 3.0
DOUBLE_RATE = 0.1
LOSS_RATE = 0.01
EXTRA_DELAY_S = 0.03


class Caller:
    """Sends writes, reads and transactions through one proxy, and checks the answers.

    Attributes:
        commits: Id of each commit that was sent, with its outcome.
    """

    def __init__(self, deployment, name, history, rng):
        self.deployment = deployment
        self.name = name
        self.history = history
        self.rng = rng
        self.commits = {}
        self.inside = set()
        self.step = None

    async def run(self, stop):
        while not stop.is_set():
            key = self.rng.choice(list(KEYS))
            step = self.rng.choice([self.write, self.read, self.transact])
            engine = self.deployment.engines.get(self.name)
            if engine is not None and engine.can_serve():
                self.step = asyncio.create_task(step(engine, key))
                await asyncio.wait({self.step})
                if not self.step.cancelled():
                    self.step.result()
            await self.deployment.timers.sleep(PAUSE_S * self.rng.random() * 2)

    def end_with_proxy(self):
        """Ends what runs in the proxy when its process ends; it gets no answer."""
        if self.step is not None:
            self.step.cancel()

    async def send(self, session, text):
        statement = query(text)
        reply = await session.execute(statement)
        if not isinstance(reply.outcome, Done) and reply.outcome.not_run:
            self.history.not_run.append(statement.id)
        return statement.id, reply

    async def write(self, engine, key):
        session = engine.open_session("claims-exact", key)
        if not hasattr(session, "execute"):
            return
        began = self.deployment.timers.now()
        _, reply = await self.send(session, "WRITE claim")
        if isinstance(reply.outcome, Done):
            ended = self.deployment.timers.now()
            self.history.writes.append((began, ended, reply.position))

    async def read(self, engine, key):
        kind, max_age_s = self.rng.choice([("exact", 0.0), ("aged", MAX_AGE_S)])
        session = engine.open_session(f"claims-{kind}", key)
        if not hasattr(session, "execute"):
            return
        began = self.deployment.timers.now()
        _, reply = await self.send(session, "READ claim")
        if isinstance(reply.outcome, Done):
            self.history.reads.append((began - max_age_s, began, reply.position))

    async def transact(self, engine, key):
        session = engine.open_session("claims-exact", key)
        if not hasattr(session, "execute"):
            return
        await ask(session, "BEGIN")
        for text in ("WRITE one", "WRITE two"):
            id_, reply = await self.send(session, text)
            self.inside.add(id_)
            if not isinstance(reply.outcome, Done):
                return
            if self.rng.random() < LONG_PAUSE_RATE:
                await self.deployment.timers.sleep(LONG_PAUSE_S * self.rng.random())
        began = self.deployment.timers.now()
        id_, reply = await self.send(session, "COMMIT")
        self.inside.add(id_)
        self.commits[id_] = reply.outcome
        if isinstance(reply.outcome, Done):
            ended = self.deployment.timers.now()
            self.history.writes.append((began, ended, reply.position))


def find_faults(deployment, history, callers):
    """Returns what the run found, by kind of violation."""
    group = deployment.groups["claims"]
    executed = [
        statement
        for instance in group.instances.values()
        for statement in instance.executed
    ]
    ran = {statement.id for statement in executed}
    inside = set().union(*(caller.inside for caller in callers))
    aborted = {
        id_
        for caller in callers
        for id_, outcome in caller.commits.items()
        if not isinstance(outcome, Done) and outcome.code is Code.ABORTED
    }
    found = {
        "twice": find_repeated_writes(group),
        "false not run": sorted(find_false_refusals(group, history)),
        "aborted but committed": sorted(aborted & ran),
        "outside of its transaction": [
            statement.id
            for statement in executed
            if statement.id in inside and not statement.in_transaction
        ],
        "old commits": find_old_commits(group, history),
        "stale reads": find_stale_reads(group, history),
        "wrong organisation": find_mixed_connections(executed),
    }
    return {kind: items for kind, items in found.items() if items}


def find_mixed_connections(executed):
    """Returns connections on which statements of several organisations ran."""
    owners = {}
    for statement in executed:
        owners.setdefault(statement.connection, set()).add(statement.organisation)
    return [number for number, names in owners.items() if len(names) > 1]


class HomeFaults:
    """Faults of proxies and of their tables, each for a limited time."""

    def __init__(self, deployment, rng, callers):
        self.deployment = deployment
        self.rng = rng
        self.callers = callers

    def kinds(self):
        return [self.end_home, self.end_home, self.cut_off, self.hide_members]

    async def end_home(self, for_s):
        """Ends a proxy, preferably one that is running a forwarded request."""
        engines = self.deployment.engines
        running = [
            name
            for name, engine in engines.items()
            if engine.forwarding._server._running
        ]
        if not engines:
            return
        name = self.rng.choice(running or list(engines))
        if self.rng.random() < 0.5:
            # The next process starts while messages to the ended one are under way.
            for_s = 0.01
        for caller in self.callers:
            if caller.name == name:
                caller.end_with_proxy()
        await self.deployment.kill(name)
        await self.deployment.timers.sleep(for_s)
        await self.deployment.start(name)

    async def cut_off(self, for_s):
        name = self.rng.choice(self.deployment.names)
        self.deployment.fleet.stop(name)
        await self.deployment.timers.sleep(for_s)
        self.deployment.fleet.start(name)

    async def hide_members(self, for_s):
        """Makes half of the proxies choose homes from another table of members."""
        hidden = set(self.rng.sample(self.deployment.names, 4))
        changed = self.rng.sample(list(self.deployment.engines.values()), 6)
        for engine in changed:
            directory = engine.forwarding.directory
            members = directory._members
            directory._members = lambda members=members: {
                name: item for name, item in members().items() if name not in hidden
            }
            directory.forget()
        await self.deployment.timers.sleep(for_s)
        for engine in changed:
            directory = engine.forwarding.directory
            directory._members = lambda engine=engine: engine.view.members
            directory.forget()


async def run_faulty(timers, seed):
    """Returns the faults found in a run with a seed, and its history."""
    history = CallHistory()
    rng = random.Random(seed)
    async with SimulatedDeployment(
        timers=timers, seed=seed, proxies=PROXIES, connections=CONNECTIONS
    ) as deployment:
        deployment.configure(
            deployment.routes(),
            organisations=ORGANISATIONS,
            keys=KEYS,
            limits=CallerLimits(transaction_idle_s=IDLE_LIMIT_S),
        )
        await timers.sleep(2.0)
        stop = asyncio.Event()
        callers = [
            Caller(deployment, name, history, random.Random(rng.random()))
            for name in deployment.names
        ]
        load = [asyncio.create_task(caller.run(stop)) for caller in callers]
        fleet = deployment.fleet
        fleet.double_rate, fleet.extra_delay_s = DOUBLE_RATE, EXTRA_DELAY_S
        fleet.loss_rate = LOSS_RATE
        await _inject(deployment, rng, callers)
        fleet.loss_rate = 0.0
        await timers.sleep(RECOVERY_S)
        stop.set()
        await asyncio.gather(*load)
        return find_faults(deployment, history, callers), history


async def _inject(deployment, rng, callers):
    group = deployment.groups["claims"]
    faults = FaultInjector(
        group,
        store=deployment.store,
        names=deployment.names,
        rng=rng,
        timers=deployment.timers,
        register=deployment.register,
    )
    kinds = [
        faults.crash,
        faults.hang,
        faults.partition,
        faults.drain,
        *HomeFaults(deployment, rng, callers).kinds() * 2,
    ]
    await faults.inject(
        kinds, duration_s=FAULTS_S, max_fault_s=MAX_FAULT_S, interval_s=FAULT_INTERVAL_S
    )
    for instance in group.instances.values():
        instance.cut_from.clear()
        instance.unresponsive = False
