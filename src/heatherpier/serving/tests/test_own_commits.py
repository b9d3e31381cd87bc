"""Reads of sessions whose commits are on several services."""

from dataclasses import replace

import pytest

from heatherpier.bench import SimulatedDeployment, ask
from heatherpier.bench._simulated_link import SimulatedLink
from heatherpier.forwarding.tests._clubs import KEY, Clubs
from heatherpier.positions import LogPosition
from heatherpier.routing import AnyCommit, Organisation, ReadOwnWrites
from heatherpier.serving._session_commits import MAX_SERVICES, SessionCommits
from heatherpier.statements import Done

# The proxy learns positions in this order, so that those of `claims` are the newest.
SERVICES = ("archive", "ledger", "claims")
DATABASE = "claims-own"
# A proxy in the data centre of a replica.
PROXY = "proxy-1"
CLUB = {"organisations": (Organisation(name="club"),), "keys": {KEY: "club"}}
# Time in which all proxies activate a configuration.
APPLY_S = 0.3
# Longer than the maximum age of all routes.
LAG_S = 30.0


class Moves:
    """A deployment whose replicas lag, and the route of one database that moves."""

    def __init__(self, deployment, timers, *, session, **configuration):
        self.deployment = deployment
        self.timers = timers
        self.session = session
        self.configuration = configuration

    async def let_replicas_lag(self):
        """Has the proxy learn positions, and then replicas apply nothing for a while.

        The log of `claims` is the longest, so that a position of another service never
        covers one of its own.
        """
        for service in self.deployment.groups:
            text = "WRITE other" if service == "claims" else "READ other"
            other = self.deployment.open(f"{service}-exact", proxy=PROXY, key=KEY)
            for _ in range(5):
                assert isinstance((await ask(other, text)).outcome, Done)
                await self.timers.sleep(0.1)
        for group in self.deployment.groups.values():
            for instance in group.instances.values():
                instance.lag_s = LAG_S

    async def move(self, service, *, kind=None):
        """Has a service serve the database, and waits until proxies know that.

        Without a service the route is removed.
        """
        routes = self.deployment.routes()
        if kind is not None:
            routes[DATABASE] = kind
        if service is None:
            del routes[DATABASE]
        served_by = {} if service is None else {DATABASE: service}
        self.deployment.configure(routes, served_by=served_by, **self.configuration)
        await self.timers.sleep(APPLY_S)

    async def run(self, *texts):
        """Runs statements that have to succeed; returns the last position."""
        for text in texts:
            reply = await ask(self.session, text)
            assert isinstance(reply.outcome, Done), reply
        return reply.position

    async def assert_reads_include(self, position, *, texts=("READ claim",)):
        """Checks that no read runs on a log without the position."""
        for _ in range(6):
            assert await self.run(*texts) >= position
            await self.timers.sleep(0.05)


@pytest.fixture
async def moves(timers):
    """Returns a session of a route that can move between three services."""
    async with SimulatedDeployment(timers=timers, services=SERVICES) as deployment:
        running = Moves(
            deployment, timers, session=deployment.open(DATABASE, proxy=PROXY)
        )
        await running.let_replicas_lag()
        yield running


# Guards against a commit that is forgotten when the session commits on another service.
@pytest.mark.parametrize(
    "away", [("archive",), ("archive", "ledger"), ("archive",) * 3]
)
async def test_a_session_sees_its_commit_after_its_route_moved_away_and_back(
    moves, away
):
    committed = await moves.run("WRITE claim")
    for service in away:
        await moves.move(service)
        await moves.run("WRITE note")
    await moves.move("claims")
    await moves.assert_reads_include(committed)


# Guards against a commit that is recorded for the service of the active route.
async def test_a_commit_belongs_to_the_service_on_which_its_transaction_ran(moves):
    await moves.run("BEGIN", "WRITE claim")
    await moves.move("archive")
    committed = await moves.run("COMMIT")
    await moves.run("BEGIN", "WRITE note")
    await moves.move("claims")
    noted = await moves.run("COMMIT")
    await moves.assert_reads_include(committed)
    await moves.move("archive")
    await moves.assert_reads_include(noted)


# Guards against a commit that is recorded only if the route needs it at that moment.
async def test_a_commit_counts_although_its_route_read_on_the_primary_then(moves):
    await moves.move("claims", kind=AnyCommit())
    committed = await moves.run("WRITE claim")
    await moves.move("archive", kind=AnyCommit())
    await moves.run("WRITE note")
    await moves.move("claims", kind=ReadOwnWrites(max_age_s=2.5))
    await moves.assert_reads_include(committed)


# Guards against a commit that is forgotten with the route.
async def test_a_commit_counts_after_its_database_was_removed_and_added(moves):
    committed = await moves.run("WRITE claim")
    await moves.move(None)
    assert not isinstance((await ask(moves.session, "READ claim")).outcome, Done)
    await moves.move("claims")
    await moves.assert_reads_include(committed)


# Guards against a read-only transaction on a replica without the session's commit.
async def test_a_read_only_transaction_sees_the_commit_after_moves(moves):
    committed = await moves.run("BEGIN", "WRITE claim", "COMMIT")
    await moves.move("archive")
    await moves.run("BEGIN", "WRITE note", "COMMIT")
    await moves.move("claims")
    texts = ("BEGIN READ", "READ claim", "COMMIT")
    await moves.assert_reads_include(committed, texts=texts)


# Guards against a lost position of a commit that ran on a connection of another proxy.
async def test_a_commit_through_a_home_counts_after_moves(timers):
    async with Clubs(timers=timers, proxies=7, services=SERVICES) as clubs:
        moves = Moves(clubs, timers, session=clubs.session("own"), **CLUB)
        await moves.let_replicas_lag()
        committed = await moves.run("WRITE claim")
        await moves.move("archive")
        await moves.run("BEGIN", "WRITE note", "COMMIT")
        await moves.move("claims")
        await moves.assert_reads_include(committed)
        assert clubs.direct_connections() == {}


# Guards against a bound that drops what reads still have to include.
def test_a_commit_on_one_service_too_many_is_kept_by_its_time():
    commits = SessionCommits()
    for number in range(MAX_SERVICES + 2):
        commits.note(
            f"service-{number}", LogPosition(1, number), acknowledged_at=float(number)
        )
    assert len(commits._commits) == MAX_SERVICES
    assert commits.last("service-1").position is None
    assert commits.last("service-1").acknowledged_at == 1.0
    assert commits.last("service-2").position == LogPosition(1, 2)


# Guards against a read that relies on an older sample than a dropped commit.
async def test_a_session_with_commits_on_many_services_sees_the_first_one(moves):
    committed = await moves.run("WRITE claim")
    now = moves.timers.elapsed()
    for number in range(MAX_SERVICES):
        moves.session._commits.note(
            f"other-{number}", LogPosition(1, 1), acknowledged_at=now
        )
    await moves.assert_reads_include(committed)


# Guards against an acknowledged commit that counts for nothing as its answer has no
# position.
@pytest.mark.parametrize(
    "texts", [("WRITE claim",), ("BEGIN", "WRITE claim", "COMMIT")]
)
async def test_a_commit_whose_answer_has_no_position_counts(moves, monkeypatch, texts):
    run = SimulatedLink.run

    async def run_without_position(self, call):
        return replace(await run(self, call), position=None)

    with monkeypatch.context() as patch:
        patch.setattr(SimulatedLink, "run", run_without_position)
        await moves.run(*texts)
    committed = moves.deployment.groups["claims"].primary().received()
    await moves.assert_reads_include(committed)
