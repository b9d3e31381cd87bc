"""Sessions whose routes move at random between services whose replicas lag.

Each read must include all commits of its session on the service that ran it. Seeded
faults, which replace one rule of `SessionCommits` each, have to be found.
"""

import asyncio
import random
from dataclasses import replace

import pytest

from heatherpier.bench import SimulatedDeployment
from heatherpier.bench._simulated_deployment import query
from heatherpier.bench._simulated_link import SimulatedLink
from heatherpier.pooling import Forward
from heatherpier.routing import AnyCommit, ReadOwnWrites
from heatherpier.serving import _session_commits
from heatherpier.serving._session import CallerSession
from heatherpier.serving._session_commits import SessionCommits
from heatherpier.statements import Done

SERVICES = ("claims", "archive", "ledger", "notes")
DATABASES = ("claims-own", "archive-own", "ledger-own")
# Routes that show a session all of its commits.
KINDS = (ReadOwnWrites(max_age_s=2.5), ReadOwnWrites(max_age_s=5.0), AnyCommit())
LAGS_S = (0.01, 1.0, 30.0)
OPERATIONS = (
    ("READ claim",),
    ("READ claim",),
    ("WRITE claim",),
    ("BEGIN", "WRITE claim", "READ claim", "COMMIT"),
    ("BEGIN READ", "READ claim", "READ claim", "COMMIT"),
)
DURATION_S = 15.0
MAX_PAUSE_S = 0.1
# Share of the answers to commits that name no position.
UNNAMED_SHARE = 0.2
SEEDS = range(6)


class RandomMoves:
    """Plays sessions while their routes move, and checks what their reads include.

    Args:
        deployment: Deployment of `SERVICES`.
        rng: Source of all random choices.

    Attributes:
        reads_on_replicas: Number of reads that replicas ran.
        missed: Reads on a log without a commit of their session.
    """

    def __init__(self, deployment, rng):
        self.reads_on_replicas = 0
        self.missed = []
        self._deployment = deployment
        self._rng = rng
        self._timers = deployment.timers
        self._until = self._timers.now() + DURATION_S
        # Position of the log on which each statement ran, also if no answer names it.
        self._positions = {}

    async def run(self):
        """Plays until the end."""
        users = [
            self._use(self._deployment.open(database, proxy=proxy))
            for database in DATABASES
            for proxy in ("proxy-0", "proxy-1", "proxy-2")
        ]
        await asyncio.gather(self._move(), self._change_lags(), *users)

    def hide_positions(self, patch):
        """Has some answers to commits name no position."""
        run = SimulatedLink.run

        async def run_and_hide(link, call):
            reply = await run(link, call)
            if isinstance(call, Forward):
                self._positions[call.id] = reply.position
                commits = call.text in ("WRITE claim", "COMMIT")
                if commits and self._rng.random() < UNNAMED_SHARE:
                    return replace(reply, position=None)
            return reply

        patch.setattr(SimulatedLink, "run", run_and_hide)

    async def _move(self):
        served_by, kinds = {}, dict.fromkeys(DATABASES, KINDS[0])
        while self._timers.now() < self._until:
            database = self._rng.choice(DATABASES)
            served_by[database] = self._rng.choice(SERVICES)
            kinds[database] = self._rng.choice(KINDS)
            routes = self._deployment.routes() | kinds
            if self._rng.random() < 0.1:
                del routes[database]
            self._deployment.configure(routes, served_by=served_by)
            await self._timers.sleep(self._rng.uniform(0.05, 0.6))

    async def _change_lags(self):
        while self._timers.now() < self._until:
            group = self._deployment.groups[self._rng.choice(SERVICES)]
            lag_s = self._rng.choice(LAGS_S)
            for instance in group.instances.values():
                instance.lag_s = lag_s
            await self._timers.sleep(0.5)

    async def _use(self, session):
        # Position of the session's last commit, by service.
        commits = {}
        while self._timers.now() < self._until:
            before = dict(commits)
            texts = self._rng.choice(OPERATIONS)
            for text in texts:
                statement = query(text)
                reply = await session.execute(statement)
                if not isinstance(reply.outcome, Done):
                    break
                if position := self._positions.get(statement.id):
                    instance = reply.outcome.signature.removeprefix("signed by ")
                    service, _, number = instance.rpartition("-")
                    if text == "READ claim":
                        # Number 0 is the primary.
                        self.reads_on_replicas += number != "0"
                        if service in before and position < before[service]:
                            self.missed.append((service, position, before[service]))
                    elif text == texts[-1] and "WRITE claim" in texts:
                        commits[service] = position
            if session.in_transaction:
                await session.execute(query("ROLLBACK"))
            await self._timers.sleep(self._rng.random() * MAX_PAUSE_S)


async def play(timers, patch, *, seed):
    """Returns the reads on replicas and the missed commits of one seed."""
    rng = random.Random(seed)
    async with SimulatedDeployment(timers=timers, services=SERVICES) as deployment:
        moves = RandomMoves(deployment, rng)
        moves.hide_positions(patch)
        await moves.run()
    return moves.reads_on_replicas, moves.missed


def forget_the_service(patch):
    note = SessionCommits.note

    def note_for_all(self, service, position, **arguments):
        for item in SERVICES:
            note(self, item, position, **arguments)

    patch.setattr(SessionCommits, "note", note_for_all)


def use_the_active_route(patch):
    note = CallerSession._note_commit

    def note_for_active(self, route, reply):
        note(self, self._context.routes.route(self.database) or route, reply)

    patch.setattr(CallerSession, "_note_commit", note_for_active)


def ignore_unnamed_positions(patch):
    note = SessionCommits.note

    def note_named(self, service, position, **arguments):
        if position is not None:
            note(self, service, position, **arguments)

    patch.setattr(SessionCommits, "note", note_named)


def forget_dropped_commits(patch):
    patch.setattr(_session_commits, "MAX_SERVICES", 1)
    patch.setattr(
        SessionCommits, "last", lambda self, service: self._commits.get(service)
    )


# Guards against a read on a log without a commit of its session, whatever moves.
@pytest.mark.parametrize("kept", [_session_commits.MAX_SERVICES, 1])
@pytest.mark.parametrize("seed", SEEDS)
async def test_sessions_see_their_commits_while_routes_move(
    timers, monkeypatch, seed, kept
):
    monkeypatch.setattr(_session_commits, "MAX_SERVICES", kept)
    on_replicas, missed = await play(timers, monkeypatch, seed=seed)
    assert missed == []
    # Otherwise the run proves little.
    assert on_replicas > 10


@pytest.mark.parametrize(
    "seed_fault",
    [
        forget_the_service,
        use_the_active_route,
        ignore_unnamed_positions,
        forget_dropped_commits,
    ],
)
async def test_a_seeded_fault_in_the_commits_is_found(timers, monkeypatch, seed_fault):
    for seed in SEEDS:
        with monkeypatch.context() as patch:
            seed_fault(patch)
            _, missed = await play(timers, patch, seed=seed)
        if missed:
            print(f"{seed_fault.__name__}: found by seed {seed}, {len(missed)} reads")
            return
    pytest.fail(f"no seed found {seed_fault.__name__}")
