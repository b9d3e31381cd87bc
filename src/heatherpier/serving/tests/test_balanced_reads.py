"""The order of instances for a read, with and without balancing."""

import random
from dataclasses import replace

import pytest
from prometheus_client import CollectorRegistry

from heatherpier.balancing import BalancingMetrics, LoadEstimates
from heatherpier.bench import SimulatedDeployment, ask
from heatherpier.bench._simulated_link import SimulatedConnector
from heatherpier.discovery import InstanceRecord, InstanceRegistry
from heatherpier.pooling import InstancePools, PoolLimits
from heatherpier.positions import LogPosition
from heatherpier.routing import Organisation
from heatherpier.serving import (
    InstanceHealth,
    PositionSample,
    ReadBalancer,
    ReplicaSelector,
)
from heatherpier.statements import Code, Done, Failed
from heatherpier.upstreams import Instance

SERVICE = "claims"
FLOOR = PositionSample(0.0, LogPosition(term=1, index=5))
FRESH = LogPosition(term=1, index=9)
DISTANCES = {"own": 0, "next": 1, "far": 2}
RUNS = 300


class Setup:
    """A selector with its instances, named after their data centres."""

    def __init__(self, timers, *, active=True):
        self.timers = timers
        self.active = active
        self.registry = InstanceRegistry(timers=timers)
        self.health = InstanceHealth(timers=timers)
        self.estimates = LoadEstimates()
        self.metrics = CollectorRegistry()
        self.balancer = ReadBalancer(
            estimates=self.estimates,
            active=lambda: self.active,
            distance=DISTANCES.__getitem__,
            timers=timers,
            rng=random.Random(3),
            metrics=BalancingMetrics(self.metrics),
        )
        self.selector = ReplicaSelector(
            registry=self.registry,
            pools=InstancePools(
                connector=SimulatedConnector("proxy-0", groups={}, timers=timers),
                timers=timers,
                limits=lambda _: PoolLimits(soft_limit=1, hard_limit=1),
            ),
            health=self.health,
            timers=timers,
            distance=DISTANCES.__getitem__,
            balancer=self.balancer,
        )

    def add(self, name, *, load=0, leaving=False):
        """Adds an instance such as ``far-1`` with a report of its load."""
        instance = Instance(
            name=name, host=name, port=1, data_centre=name.split("-")[0]
        )
        record = InstanceRecord(
            instance=replace(instance, leaving=leaving),
            service=SERVICE,
            claims_primary=False,
        )
        self.registry.put(record)
        self.selector.note_position(name, FRESH)
        self.report(name, load)

    def report(self, name, load):
        now = self.timers.now()
        self.estimates.note_report(name, waiting=load, in_use=0, sent_at=now, now=now)

    def rank(self, primary=None, floor=FLOOR):
        ranked = self.selector.rank(SERVICE, primary=primary, min_position=floor)
        return [record.name for record in ranked]

    def firsts(self, primary=None):
        """Returns how often each instance is first, as shares."""
        names = [self.rank(primary)[0] for _ in range(RUNS)]
        return {name: names.count(name) / RUNS for name in set(names)}


@pytest.fixture
async def setup(timers):
    """Returns a selector without instances, where reads are balanced."""
    return Setup(timers)


def count(setup, **labels):
    return setup.metrics.get_sample_value("heatherpier_balanced_reads_total", labels)


async def test_equal_instances_share_the_reads(setup):
    """Guards against all proxies sending their reads to the first name."""
    for name in ("own-1", "own-2", "own-3"):
        setup.add(name)
    assert all(
        share == pytest.approx(1 / 3, abs=0.1) for share in setup.firsts().values()
    )
    assert len(setup.firsts()) == 3


async def test_ranking_is_by_cost_and_name_where_not_active(timers):
    """Guards against a change for deployments that don't need one."""
    setup = Setup(timers, active=False)
    for name in ("own-1", "own-2", "far-1", "next-1"):
        setup.add(name, load=50 if name == "own-1" else 0)
    expected = ["own-1", "own-2", "next-1", "far-1"]
    assert all(setup.rank() == expected for _ in range(20))
    assert setup.rank(primary="own-1") == ["own-2", "own-1", "next-1", "far-1"]
    assert count(setup, role="replica", nearest="yes") is None


async def test_loaded_instance_gets_fewer_reads_until_the_report_is_old(setup, timers):
    setup.add("own-1", load=40)
    setup.add("own-2")
    assert setup.firsts() == {"own-2": 1.0}
    await timers.sleep(2.0)
    assert setup.firsts()["own-1"] == pytest.approx(0.5, abs=0.1)


async def test_reads_stay_in_the_region_up_to_the_stated_wait(setup):
    """Guards against traffic between regions for a small gain."""
    setup.add("own-1", load=15)
    setup.add("far-1")
    assert setup.firsts() == {"own-1": 1.0}
    setup.report("own-1", 60)
    assert setup.firsts() == {"far-1": 1.0}
    assert count(setup, role="replica", nearest="no") == RUNS


async def test_primary_is_chosen_only_if_replicas_have_longer_waits(setup):
    """Guards against reads in the slots that only writes can't do without."""
    setup.add("own-1", load=1)
    setup.add("own-2")
    assert setup.firsts(primary="own-2") == {"own-1": 1.0}
    setup.report("own-1", 20)
    assert setup.firsts(primary="own-2") == {"own-2": 1.0}


async def test_replica_of_the_region_is_preferred_to_a_nearer_primary(setup):
    """Guards against a primary that serves the reads of its data centre."""
    setup.add("own-1")
    setup.add("next-1")
    setup.add("far-1")
    assert setup.firsts(primary="own-1") == {"next-1": 1.0}
    assert setup.rank(primary="next-1") == ["own-1", "next-1", "far-1"]
    assert setup.rank(primary="far-1")[-1] == "far-1"


async def test_failing_and_leaving_instances_rank_last(setup, timers):
    """Guards against an unloaded instance that does not serve."""
    setup.add("own-1")
    setup.add("own-2", leaving=True)
    setup.add("far-1", load=90)
    setup.health.note_failure("own-1", reason="down", sent_at=timers.now())
    assert setup.rank() == ["far-1", "own-1", "own-2"]


async def test_replicas_below_the_floor_are_not_offered(setup):
    """Guards against balancing that overrides what a read must see."""
    setup.add("own-1", load=90)
    setup.add("own-2")
    ahead = PositionSample(setup.timers.elapsed(), LogPosition(term=1, index=20))
    setup.selector.note_position("own-1", ahead.position)
    setup.selector.note_lagging("own-2", min_position_age_s=5.0)
    setup.rank(floor=ahead)  # Takes the probe of the lagging replica.
    assert setup.rank(floor=ahead) == ["own-1"]
    assert setup.rank(primary="own-2", floor=None) == ["own-2"]


async def test_busy_answer_counts_against_an_instance(setup, timers):
    """Guards against a full instance that attracts reads by quick rejections."""
    for name in ("own-1", "own-2"):
        setup.add(name)
    busy = Failed(code=Code.BUSY, reason="full")
    setup.balancer.note_outcome(
        setup.registry.get("own-1"), busy, kind="aged read", sent_at=timers.now()
    )
    assert setup.firsts() == {"own-2": 1.0}


async def test_reads_of_identified_callers_use_all_replicas(timers):
    """Guards against one replica that serves all reads of a data centre's proxies."""
    async with SimulatedDeployment(timers=timers) as deployment:
        deployment.configure(
            deployment.routes(),
            organisations=(Organisation(name="n"),),
            keys={"k": "n"},
        )
        await timers.sleep(5.0)
        writer = deployment.open("claims-exact", key="k")
        engine = deployment.engines["proxy-0"]
        reader = deployment.open("claims-aged", key="k")
        near = engine.context.registry.get("claims-0")
        for number in range(30):
            await ask(writer, "READ sample")
            await timers.sleep(0.2)
            now = timers.now()
            engine.load_estimates.note_report(
                near.name, waiting=60 * (number % 2), in_use=0, sent_at=now, now=now
            )
            assert isinstance((await ask(reader, "READ a")).outcome, Done)
    ran = {
        name: sum(run.text == "READ a" for run in instance.executed)
        for name, instance in deployment.groups["claims"].instances.items()
    }
    assert ran["claims-0"] == 15
    assert ran["claims-1"]
    assert ran["claims-2"]


@pytest.mark.parametrize(
    ("connections", "active"), [(22, False), (6, False), (5, True)]
)
async def test_balancing_is_active_where_a_share_is_below_one_connection(
    timers, connections, active
):
    """Guards against a feature that starts, or stays off, by the wrong count."""
    async with SimulatedDeployment(
        timers=timers, proxies=4, connections=connections
    ) as deployment:
        engine = deployment.engines["proxy-0"]
        assert len(engine.view.members) == 4
        assert engine.context.balancer.active is active


async def test_nothing_is_recorded_where_not_active(deployment, timers):
    """Guards against state that grows in deployments without balancing."""
    await ask(deployment.open("claims-exact"), "READ sample")
    assert isinstance(
        (await ask(deployment.open("claims-aged"), "READ a")).outcome, Done
    )
    assert not deployment.engines["proxy-0"].load_estimates._instances
