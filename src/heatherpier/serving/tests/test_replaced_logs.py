"""Reads of a service that left the configuration and came back with another log."""

import pytest

from heatherpier.bench import SimulatedDeployment, ask
from heatherpier.positions import LogPosition
from heatherpier.serving import SharedPositions
from heatherpier.serving._positions import SAMPLE_RETENTION_S, PositionHistory
from heatherpier.statements import Done

APPLY_S = 0.3
# A proxy in the data centre of a replica.
PROXY = "proxy-1"


@pytest.fixture
async def deployment(timers):
    """Returns a deployment whose service is in a later term than the first one."""
    running = SimulatedDeployment(timers=timers, services=("claims", "archive"))
    for instance in running.groups["claims"].instances.values():
        instance.term = 5
    async with running:
        yield running


def replace_log(deployment):
    """Gives the service an empty log, whose terms begin anew."""
    for instance in deployment.groups["claims"].instances.values():
        instance.term, instance.log = 1, []


async def write_and_read(deployment, timers, sessions):
    """Commits and reads in each session for a second; all have to succeed."""
    for _ in range(10):
        for session in sessions:
            written = await ask(session, "WRITE claim")
            read = await ask(session, "READ claim")
            assert isinstance(written.outcome, Done), written
            assert isinstance(read.outcome, Done), read
            assert read.position >= written.position
        await timers.sleep(0.1)


def reads_on_replicas(deployment):
    return sum(
        item.text == "READ claim"
        for instance in deployment.groups["claims"].instances.values()
        if not instance.leads
        for item in instance.executed
    )


# Guards against reads that only the primary serves, since positions of the former log
# are kept and never reached.
async def test_replicas_serve_reads_of_a_service_that_is_back_with_another_log(
    deployment, timers
):
    sessions = [deployment.open("claims-own", proxy=PROXY) for _ in range(3)]
    await write_and_read(deployment, timers, sessions)
    deployment.configure({}, without=("claims",))
    await timers.sleep(APPLY_S)
    replace_log(deployment)
    deployment.configure(deployment.routes())
    await timers.sleep(APPLY_S)
    sessions.append(deployment.open("claims-own", proxy=PROXY))
    await write_and_read(deployment, timers, sessions)
    before = reads_on_replicas(deployment)
    await timers.sleep(0.2)
    for session in sessions:
        assert isinstance((await ask(session, "READ claim")).outcome, Done)
    assert reads_on_replicas(deployment) > before


# Guards against a sample of a removed service that a peer with an older configuration
# brings back.
async def test_samples_of_services_that_are_not_configured_are_ignored(timers):
    histories = {}
    shared = SharedPositions(
        histories,
        positions_of=lambda service: histories.setdefault(
            service, PositionHistory(timers=timers)
        ),
        is_configured=lambda service: service == "claims",
        timers=timers,
    )
    assert not shared.note("archive", LogPosition(5, 100), taken_at=1.0)
    assert shared.note("claims", LogPosition(1, 1), taken_at=1.0)
    assert list(histories) == ["claims"]


# Guards against positions of a log that has been replaced unseen, which would keep
# replicas from reads for good.
async def test_a_lower_term_counts_once_all_samples_are_too_old_to_be_used(timers):
    history = PositionHistory(timers=timers)
    history.note(LogPosition(5, 100), taken_at=0.0)
    # An old primary's answer may arrive late.
    history.note(LogPosition(4, 99), taken_at=SAMPLE_RETENTION_S - 1)
    assert history.newest.position == LogPosition(5, 100)
    history.note(LogPosition(1, 3), taken_at=SAMPLE_RETENTION_S)
    assert history.newest.position == LogPosition(1, 3)
    assert history.min_position(60.0).position == LogPosition(1, 3)
