"""Fixtures: writers of proxies over one group of instances in memory."""

import asyncio
import random
from dataclasses import dataclass, field

import pytest

from heatherpier.groups import Group
from heatherpier.requests import Request
from heatherpier.writes import KeyGenerator, Writer
from heatherpier.writes.tests.faults import (
    FaultConnector,
    InjectedFault,
    bind_fault,
    schedule,
)

GROUP = "assist-core-1"
PROBE_PERIOD_S = 0.1
# Time in seconds after which each fault and the change of primary it causes are over.
MAX_FAULT_DURATION_S = 2.0


@dataclass
class WriteBench:
    """One group of three instances in memory, and the proxies that write to it."""

    memory_group: object
    timers: object
    tasks: list = field(default_factory=list)
    groups: dict = field(default_factory=dict)

    @property
    def instances(self):
        return self.memory_group.instances

    @property
    def primary(self):
        leaders = [i for i in self.instances if i.status().leads()]
        return max(leaders, key=lambda item: item.adopted_term)

    async def proxy(self, name="proxy-1", *, seed=7):
        """Returns a new proxy, which refreshes its view of the group periodically."""
        connector = FaultConnector(self.memory_group.network.connector(name))
        spec = self.memory_group.view(name).spec
        group = Group(spec, connector=connector, timers=self.timers)
        await group.refresh()
        self.tasks.append(asyncio.create_task(self._probe(group)))
        self.groups[name] = group
        rng = random.Random(seed)
        keys = KeyGenerator(proxy=name, rng=rng, timers=self.timers)
        writer = Writer(timers=self.timers, keys=keys, rng=rng)
        return Proxy(self, group, writer, connector, rng)

    async def _probe(self, group):
        async for _ in self.timers.every(PROBE_PERIOD_S):
            await group.refresh()

    def call_later(self, delay_s, action):
        """Runs ``action`` after a delay."""
        self.tasks.append(schedule(self.timers, delay_s, action))

    def fail_over(self, old, *, fence_old=False):
        """Fences all instances but ``old``, and promotes the furthest of them.

        ``fence_old`` fences ``old`` too.
        """
        others = [i for i in self.instances if i is not old]
        term = max(i.adopted_term for i in self.instances) + 1
        for instance in others + [old] * fence_old:
            instance.adopt(term, "test")
        chosen = max(others, key=lambda item: item.position)
        chosen.promote(term, "test")
        for instance in others + [old] * fence_old:
            instance.follow(term, chosen.name)

    def rejoin(self):
        """Removes all faults, and lets each instance follow the current primary."""
        for instance in self.instances:
            instance.resume()
            instance.faults.replication_stopped = False
            self.memory_group.network.restart(instance.name)
            for other in self.instances:
                self.memory_group.network.heal(instance.name, other.name)
            instance.follow(self.primary.adopted_term, self.primary.name)

    def count_runs(self, marker):
        """Counts the primary's log entries with a statement that has ``marker``."""
        return sum(
            any(marker in sql for sql in entry.statements if "requests" not in sql)
            for entry in self.primary.log
        )

    async def converge(self):
        """Removes all faults and waits until all instances hold the same log."""
        await self.timers.sleep(MAX_FAULT_DURATION_S)
        self.rejoin()
        await self.timers.sleep(8)
        logs = [[(e.term, e.index) for e in i.log] for i in self.instances]
        assert logs[0] == logs[1] == logs[2]


@dataclass
class Proxy:
    """One proxy's writer and view of the group."""

    bench: WriteBench
    group: object
    writer: Writer
    connector: FaultConnector
    rng: random.Random
    last_error: Exception | None = None

    def inject(self, fault, prefix, *, after=False):
        """Applies ``fault`` once, when this proxy sends a statement with ``prefix``."""
        apply = bind_fault(fault, self.bench)
        injected = InjectedFault(prefix, after, apply)
        self.connector.injected_faults.append(injected)
        return injected

    def caller(self):
        """Returns a caller without an open transaction."""
        return Caller(self)

    def request(self, sql, *, timeout_s=4.0, **fields):
        deadline = self.bench.timers.now() + timeout_s
        return Request(sql=sql, group=GROUP, deadline=deadline, **fields)

    async def write(self, sql, **fields):
        return await self.writer.execute(self.group, self.request(sql, **fields))


class Caller:
    """One caller of a proxy, with the answers of its commits."""

    def __init__(self, proxy):
        self.proxy = proxy
        self.commits = []
        self.transactions = proxy.writer.open_caller(
            on_commit=lambda answer, group: self.commits.append(answer),
            idle_limit_s=30,
        )

    async def begin(self, *, read_only=False, **fields):
        req = self.proxy.request("BEGIN", **fields)
        await self.transactions.begin(self.proxy.group, req, read_only=read_only)

    async def run(self, sql, **fields):
        changes = not sql.startswith("SELECT")
        req = self.proxy.request(sql, **fields)
        answer = await self.transactions.execute(self.proxy.group, req, changes=changes)
        return answer.result

    async def commit(self, **fields):
        await self.transactions.commit(self.proxy.request("COMMIT", **fields))

    async def execute_savepoint(self, sql):
        await self.transactions.execute_savepoint(self.proxy.request(sql))


@pytest.fixture
async def bench(memory_group, timers):
    """Yields a bench whose group has the tables ``jobs`` (one row) and ``calls``."""
    bench = WriteBench(memory_group, timers)
    setup = await bench.proxy("setup")
    await setup.write("CREATE TABLE jobs (id INT PRIMARY KEY, agent TEXT)")
    await setup.write("INSERT INTO jobs VALUES (0, 'first')")
    await setup.write("CREATE TABLE calls (agent TEXT)")
    await timers.sleep(0.2)
    yield bench
    for task in bench.tasks:
        task.cancel()


@pytest.fixture
async def proxy(bench):
    """Returns a proxy of the bench."""
    return await bench.proxy()
