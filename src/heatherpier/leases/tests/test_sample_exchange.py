"""Load pattern: proxies that have little work on a primary, or no connection to it.

They learn its positions from the proxies that do, so that replicas can serve their reads.
No sample may claim a later time than that at which it was taken.
"""

import random

import pytest

from heatherpier.bench import SimulatedDeployment, ask
from heatherpier.leases import SampleExchange
from heatherpier.leases._messages import SampleReport, SharedSample
from heatherpier.positions import LogPosition
from heatherpier.statements import Done

PROXIES = 12
POSITION = LogPosition(3, 120)


class Samples:
    """Keeps the newest sample of each service."""

    def __init__(self):
        self.known = {}

    def newest(self):
        return self.known

    def note(self, service, position, *, taken_at):
        needed = service not in self.known
        self.known[service] = position, taken_at
        return needed


class SkewedTimers:
    """Tells the time of a VM whose clock started at another time."""

    def __init__(self, timers, offset_s):
        self.timers = timers
        self.offset_s = offset_s

    def elapsed(self):
        return self.timers.elapsed() + self.offset_s


class Proxy:
    def __init__(self, timers, *, offset_s, clock_id):
        self.timers = SkewedTimers(timers, offset_s)
        self.samples = Samples()
        self.exchange = SampleExchange(
            self.samples, clock_id=clock_id, timers=self.timers
        )

    def true_time(self, service):
        """Returns the time of a sample by the clock of the test."""
        return self.samples.known[service][1] - self.timers.offset_s


@pytest.fixture
def follower(timers):
    return Proxy(timers, offset_s=-500.0, clock_id=1)


@pytest.fixture
def voter(timers):
    return Proxy(timers, offset_s=7000.0, clock_id=2)


async def exchange(timers, follower, voter, rng, *, held_s=0.0):
    """Runs one exchange with random delays in both directions."""
    sent_at = follower.timers.elapsed()
    report = follower.exchange.report_to("voter")
    await timers.sleep(rng.random() * 0.2)
    voter.exchange.take_report(report)
    await timers.sleep(held_s)
    answer = voter.exchange.answer_to("follower")
    await timers.sleep(rng.random() * 0.2)
    follower.exchange.take_answer("voter", answer, sent_after=sent_at + held_s)


async def test_a_sample_of_a_follower_never_gets_a_later_time(timers, follower, voter):
    rng = random.Random(4)
    await exchange(timers, follower, voter, rng)
    for number in range(200):
        service = f"service-{number}"
        taken_at = timers.elapsed() - rng.random() * 3.0
        follower.samples.note(service, POSITION, taken_at=taken_at - 500.0)
        await exchange(timers, follower, voter, rng, held_s=rng.random())
        assert voter.samples.known[service][0] == POSITION
        assert taken_at - 0.5 < voter.true_time(service) <= taken_at


async def test_a_sample_of_a_voter_never_gets_a_later_time(timers, follower, voter):
    rng = random.Random(5)
    for number in range(200):
        service = f"service-{number}"
        taken_at = timers.elapsed() - rng.random() * 3.0
        voter.samples.note(service, POSITION, taken_at=taken_at + 7000.0)
        await exchange(timers, follower, voter, rng, held_s=rng.random())
        assert taken_at - 0.6 < follower.true_time(service) <= taken_at


async def test_a_report_in_times_of_another_incarnation_is_ignored(timers, voter):
    sample = SharedSample(3, 120, voter.timers.elapsed() - 1.0)
    report = SampleReport(clock_id=77, samples={"claims": sample})
    assert not voter.exchange.take_report(report)
    assert voter.samples.known == {}


async def test_a_time_in_the_future_is_ignored(timers, voter):
    sample = SharedSample(3, 120, voter.timers.elapsed() + 1.0)
    report = SampleReport(clock_id=2, samples={"claims": sample})
    assert not voter.exchange.take_report(report)
    assert voter.samples.known == {}


async def test_a_sample_is_sent_once(timers, follower, voter):
    voter.samples.note("claims", POSITION, taken_at=voter.timers.elapsed())
    assert voter.exchange.answer_to("follower").samples.keys() == {"claims"}
    assert voter.exchange.answer_to("follower").samples == {}


@pytest.fixture
async def deployment(timers):
    async with SimulatedDeployment(
        timers=timers, proxies=PROXIES, connections=60
    ) as running:
        await timers.sleep(4.0)
        yield running


async def test_reads_go_to_replicas_without_a_connection_to_the_primary(
    deployment, timers
):
    voters = deployment.engines["proxy-0"].view.voters()
    without = [name for name in deployment.names if name not in voters]
    primary = deployment.groups["claims"].primary()
    primary.cut_from |= set(without)
    served = []
    until = timers.now() + 6.0
    while timers.now() < until:
        for name in deployment.names:
            database = "claims-exact" if name in voters else "claims-aged"
            reply = await ask(deployment.open(database, proxy=name), "READ claim")
            if name in without:
                served.append(isinstance(reply.outcome, Done))
        await timers.sleep(0.05)
    # The first polls of the voters take up to a second.
    settled = served[len(served) // 4 :]
    assert all(settled)


async def test_a_started_proxy_gets_the_positions_of_its_voter_at_once(
    deployment, timers
):
    voters = deployment.engines["proxy-0"].view.voters()
    name = next(name for name in deployment.names if name not in voters)
    for voter in voters:
        await ask(deployment.open("claims-exact", proxy=voter), "READ claim")
    await deployment.kill(name)
    engine = await deployment.start(name)
    await timers.sleep(0.6)
    assert engine.context.positions_of("claims").newest is not None
