"""Whole proxies under virtual time limit the operations of organisations together."""

import asyncio
import random
from collections import Counter

import logbook
import pytest

from heatherpier.bench import SimulatedDeployment
from heatherpier.bench._simulated_deployment import ask
from heatherpier.quotas._buckets import Rate
from heatherpier.routing import Organisation
from heatherpier.statements import Code, Failed

PROXIES = 8
REFUSED = "operation refused by its rate limit"
# Time until the rows of members have stood long enough in a new deployment, and until
# that is proven to later incarnations.
SETTLE_S = 4.5
PROVEN_S = 30.0


class Load:
    """Operations of one organisation, at random proxies unless one is given."""

    def __init__(self, deployment, *, rate=100.0, burst=100.0):
        self.deployment, self.timers = deployment, deployment.timers
        self.limit = Rate(rate, burst)
        self.rng = random.Random(1)
        self.outcomes, self.admitted_at, self.refusals = Counter(), [], []
        deployment.configure(
            deployment.routes(),
            organisations=(Organisation(name="acme", rate_per_s=rate, burst=burst),),
            keys={"key": "acme"},
        )

    async def run(self, per_s, seconds, *, proxy=None):
        """Sends evenly spaced reads and returns the share that was served."""
        before = Counter(self.outcomes)
        tasks = []
        for _ in range(int(per_s * seconds)):
            await self.timers.sleep(1 / per_s)
            name = proxy or self.rng.choice(list(self.deployment.engines))
            tasks.append(asyncio.create_task(self._read(name)))
        await asyncio.gather(*tasks)
        served = self.outcomes - before
        return served["served"] / served.total()

    async def _read(self, proxy):
        began = self.timers.now()
        session = self.deployment.open("claims-exact", proxy=proxy, key="key")
        reply = await ask(session, "READ")
        session.close()
        if isinstance(reply.outcome, Failed):
            self.outcomes["refused"] += 1
            self.refusals.append(reply.outcome)
        else:
            self.outcomes["served"] += 1
            self.admitted_at.append(began)

    def worst_excess(self, *, missing=0):
        """Returns by how much the worst window of any length exceeds its bound."""
        times = sorted(self.admitted_at)
        return max(
            count
            + 1
            - self.limit.max_operations(times[first + count] - start, missing=missing)
            for first, start in enumerate(times)
            for count in range(len(times) - first)
        )


@pytest.fixture
async def limited(timers):
    async with SimulatedDeployment(
        timers=timers, proxies=PROXIES, connections=200, limits_rates=True
    ) as running:
        yield running


async def test_hot_organisation_is_held_to_its_limit(limited):
    """Guards against windows above the bound, and limits that are left unused."""
    load = Load(limited, rate=20.0, burst=20.0)
    await limited.timers.sleep(SETTLE_S)
    runs = sum(
        sum(x.text == "READ" for x in item.executed)
        for item in limited.groups["claims"].instances.values()
    )
    await load.run(150.0, 10.0)
    assert load.worst_excess() <= 0
    assert load.outcomes["served"] >= 0.95 * 20 * 10
    after = sum(
        sum(x.text == "READ" for x in item.executed)
        for item in limited.groups["claims"].instances.values()
    )
    # A refused operation never reaches an instance.
    assert after - runs == load.outcomes["served"]
    assert {item.code for item in load.refusals} == {Code.OVERLOADED}
    assert {item.reason for item in load.refusals} == {"rate limit of the organisation"}
    assert all(item.retry_after_ms >= 1 for item in load.refusals)


async def test_organisation_below_its_limit_is_served_wherever_it_is(limited):
    """Guards against refusals below the limit: at one proxy, at all, and moving."""
    load = Load(limited)
    await limited.timers.sleep(SETTLE_S)
    for proxy in ("proxy-3", None, "proxy-6", "proxy-1"):
        # It is served within 1 s after it moved.
        await load.run(95.0, 1.0, proxy=proxy)
        assert await load.run(95.0, 4.0, proxy=proxy) >= 0.98, proxy
    assert load.worst_excess() <= 0


async def test_organisation_far_below_its_limit_is_always_served(limited):
    """Guards against refusals of rare operations, whose proxies hold no rights."""
    load = Load(limited, rate=20.0, burst=20.0)
    await limited.timers.sleep(SETTLE_S)
    assert await load.run(2.0, 10.0) == 1.0


async def test_rights_are_created_soon_after_all_proxies_restart(limited):
    """Guards against an outage of all limited organisations after a loss of power."""
    load = Load(limited)
    await limited.timers.sleep(PROVEN_S)
    for name in list(limited.engines):
        await limited.power_off(name)
    for name in limited.names:
        await limited.start(name)
    await limited.timers.sleep(0.8)
    assert await load.run(50.0, 3.0) >= 0.98
    assert load.worst_excess() <= 0


async def test_transaction_needs_one_right(limited):
    """Guards against a transaction that is cut short by the limit once it has begun."""
    load = Load(limited, rate=0.001, burst=0.0)
    await limited.timers.sleep(SETTLE_S)
    session = limited.open("claims-exact", key="key")
    await ask(session, "BEGIN")
    with logbook.TestHandler().applicationbound() as handler:
        assert (await ask(session, "READ")).outcome.code is Code.OVERLOADED
    assert not session.in_transaction
    [line] = [item for item in handler.records if item.message == REFUSED]
    assert line.kwargs["id"]
    assert line.kwargs["organisation"] == "acme"
    assert line.kwargs["retry_after_ms"] >= 1
    load = Load(limited, rate=1.0, burst=10.0)
    await limited.timers.sleep(10.0)
    for text in (
        "BEGIN",
        "READ",
        "WRITE",
        "READ",
        "WRITE",
        "COMMIT",
        "BEGIN",
        "ROLLBACK",
    ):
        assert not isinstance((await ask(session, text)).outcome, Failed), text
    assert load.limit.stock == 19.5


async def test_right_of_an_operation_that_was_not_run_is_put_back(limited):
    """Guards against limits that failures use up."""
    Load(limited, rate=20.0, burst=20.0)
    await limited.timers.sleep(SETTLE_S)
    for instance in limited.groups["claims"].instances.values():
        instance.running = False
    session = limited.open("claims-exact", key="key")
    outcome = (await ask(session, "READ")).outcome
    assert (outcome.code, outcome.not_run) == (Code.OVERLOADED, True)
    assert not outcome.reason.startswith("rate limit")
    gate = limited.engines["proxy-0"].context.quotas
    assert gate._ledger.held("acme", limited.timers.elapsed()) == 1


async def test_without_the_setting_nothing_is_limited(deployment):
    """Guards against limits, messages or rows where the settings call for none."""
    load = Load(deployment, rate=1.0, burst=0.0)
    await deployment.timers.sleep(SETTLE_S)
    assert await load.run(50.0, 5.0) == 1.0
    assert not deployment.fleet.kind_counts["rights"]
