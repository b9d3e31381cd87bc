"""What happens when a home, a sender, an instance or a message fails."""

import asyncio

import msgspec
import pytest

from heatherpier.bench import _simulated_link, ask
from heatherpier.bench._simulated_deployment import STATEMENT_TIMEOUT_S
from heatherpier.forwarding import ForwardRequest, _link, _queue
from heatherpier.statements import Code, Done


async def test_home_that_dies_leaves_the_outcome_unknown(clubs, timers):
    """Guards against "not run" for a write that the home may have run."""
    home, other = clubs.homes()
    await clubs.write()
    writing = asyncio.create_task(clubs.write())
    await timers.sleep(0.016)
    assert len(clubs.ran("WRITE a")) == 2
    await clubs.power_off(home)
    assert (await writing).code is Code.OUTCOME_UNKNOWN
    assert not clubs.sender.context.health.in_backoff(clubs.primary.name)
    began = timers.now()
    assert isinstance(await clubs.write(), Done)
    assert timers.now() - began < 0.1
    assert clubs.primary.name in clubs.direct_connections(other)


async def test_transaction_aborts_when_its_home_dies(clubs):
    session = clubs.session()
    for text in ("BEGIN", "WRITE a"):
        await ask(session, text)
    await clubs.power_off(clubs.homes()[0])
    assert (await ask(session, "WRITE b")).outcome.code is Code.ABORTED


async def test_silent_home_is_avoided_and_used_again(clubs, timers):
    home, _ = clubs.homes()
    await clubs.write()
    clubs.fleet.stop(home)
    await clubs.write()
    directory = clubs.sender.forwarding.directory
    assert directory.choose(clubs.primary.record, "club").name != home
    clubs.fleet.start(home)
    await timers.sleep(4.0)
    assert directory.choose(clubs.primary.record, "club").name == home


async def test_home_that_does_not_know_the_instance_refuses(clubs):
    home, other = clubs.homes()
    clubs.engines[home].context.registry._records.pop(clubs.primary.name)
    assert isinstance(await clubs.write(), Done)
    assert clubs.primary.name in clubs.direct_connections(other)


async def test_home_without_a_lease_refuses(clubs, monkeypatch):
    """Guards against a write on a primary that a change has replaced for the home."""
    home, other = clubs.homes()
    clubs.engines[home].context.leases.note_registered(-1)
    await clubs.write()
    assert clubs.primary.name not in clubs.direct_connections(home)
    assert clubs.primary.name in clubs.direct_connections(other)


async def test_home_gives_a_leaving_instance_no_new_work(clubs, monkeypatch):
    """Guards against forwarded statements that end with an instance that leaves."""
    home, other = clubs.homes()
    session = clubs.session()
    for text in ("BEGIN", "WRITE b"):
        await ask(session, text)
    # The sender does not know it yet, as one of an older build.
    registry = clubs.engines[home].context.registry
    monkeypatch.setattr(registry, "accepts_new_work", lambda name: False)
    assert isinstance(await clubs.write(), Done)
    assert clubs.primary.name in clubs.direct_connections(other)
    assert isinstance((await ask(session, "COMMIT")).outcome, Done)


async def test_home_gives_a_leaving_instance_no_work_that_has_waited(
    clubs, timers, monkeypatch
):
    """Guards against a statement that is sent after its wait for a connection."""
    home = clubs.homes()[0]
    server = clubs.server(home)
    wait = server._wait_for_connection

    async def wait_long(pool, job):
        conn = await wait(pool, job)
        registry = clubs.engines[home].context.registry
        monkeypatch.setattr(registry, "accepts_new_work", lambda name: False)
        return conn

    monkeypatch.setattr(server, "_wait_for_connection", wait_long)
    assert isinstance(await clubs.write(), Done)
    assert clubs.primary.name in clubs.direct_connections(clubs.homes()[1])
    assert len(clubs.ran("WRITE a")) == 1


async def test_home_gives_a_leaving_instance_no_first_statement(clubs, monkeypatch):
    """Guards against a transaction that was opened in time and begins too late."""
    home, other = clubs.homes()
    server = clubs.server(home)
    exchange = server._exchange

    async def leave_after(pin, job):
        answer = await exchange(pin, job)
        registry = clubs.engines[home].context.registry
        monkeypatch.setattr(registry, "accepts_new_work", lambda name: False)
        return answer

    monkeypatch.setattr(server, "_exchange", leave_after)
    session = clubs.session()
    for text in ("BEGIN", "WRITE b"):
        assert isinstance((await ask(session, text)).outcome, Done)
    assert clubs.primary.name in clubs.direct_connections(other)
    assert not clubs.server(home)._pins.any()
    assert isinstance((await ask(session, "COMMIT")).outcome, Done)


async def test_restart_of_the_sender_ends_its_transactions(clubs, timers):
    session = clubs.session()
    for text in ("BEGIN", "WRITE a"):
        await ask(session, text)
    pins = clubs.server(clubs.homes()[0])._pins._pins
    assert len(pins) == 1
    await clubs.kill("proxy-1")
    await clubs.start("proxy-1")
    await timers.sleep(1.0)
    assert isinstance(await clubs.write(), Done)
    assert len(pins) == 0


async def test_transaction_of_a_lost_sender_ends_at_the_idle_limit(clubs, timers):
    session = clubs.session()
    for text in ("BEGIN", "WRITE a"):
        await ask(session, text)
    pins = clubs.server(clubs.homes()[0])._pins._pins
    clubs.fleet.stop("proxy-1")
    await timers.sleep(2.5)
    assert len(pins) == 1
    await timers.sleep(1.5)
    assert len(pins) == 0


async def test_stopping_home_refuses_new_work_and_finishes_the_open(clubs):
    home, other = clubs.homes()
    session = clubs.session()
    for text in ("BEGIN", "WRITE a"):
        await ask(session, text)
    clubs.engines[home].forwarding.stop()
    assert isinstance(await clubs.write(), Done)
    assert clubs.primary.name in clubs.direct_connections(other)
    assert isinstance((await ask(session, "COMMIT")).outcome, Done)


async def test_stopping_home_ends_transactions_between_two_statements(clubs, timers):
    """Guards against a home that ends while a forwarded transaction is running."""
    home = clubs.homes()[0]
    session, running = clubs.session(), clubs.session()
    for item in (session, running):
        for text in ("BEGIN", "WRITE a"):
            await ask(item, text)
    forwarding = clubs.engines[home].forwarding
    last = asyncio.create_task(ask(running, "WRITE b"))
    while not clubs.server(home)._running:
        await timers.sleep(0.001)
    forwarding.stop()
    forwarding.end_transactions()
    assert forwarding.is_busy()
    assert isinstance((await last).outcome, Done)
    assert not forwarding.is_busy()
    for item in (session, running):
        reply = await ask(item, "WRITE c")
        assert reply.outcome.code is Code.ABORTED
    await timers.sleep(1.0)
    assert clubs.primary.log == []
    assert clubs.ran("WRITE c") == []


async def test_home_with_a_full_queue_passes_requests_to_the_next(clubs, monkeypatch):
    home, other = clubs.homes()
    monkeypatch.setattr(clubs.server(home)._waiting, "has_room", lambda sender: False)
    assert isinstance(await clubs.write(), Done)
    assert clubs.primary.name in clubs.direct_connections(other)


async def test_full_queues_refuse_at_once_with_a_time(clubs, timers, monkeypatch):
    """Guards against a statement that waits for homes that have no room."""
    monkeypatch.setattr(_queue, "MAX_WAITING_PER_SENDER", 0)
    began = timers.now()
    refused = await clubs.write()
    assert refused.code is Code.OVERLOADED
    assert refused.retry_after_ms
    assert timers.now() - began < 0.1
    assert clubs.primary.executed == []


async def test_direct_path_has_a_small_reserve(clubs, timers):
    for home in clubs.homes():
        clubs.fleet.stop(home)
    await clubs.write()
    await timers.sleep(1.0)
    outcomes = await asyncio.gather(*(clubs.write() for _ in range(8)))
    assert all(isinstance(outcome, Done) for outcome in outcomes)
    pool = clubs.sender.context.pools.direct(clubs.primary.record)
    assert 1 <= pool.open_connections <= 2


async def test_home_reaches_an_instance_that_the_sender_does_not(clubs):
    clubs.primary.cut_from.add("proxy-1")
    assert isinstance(await clubs.write(), Done)


async def test_peer_of_an_older_build_is_passed_over(clubs):
    """Guards against requests to peers that do not know the messages."""
    home, other = clubs.homes()
    clubs.fleet.nodes[(home, 7000)]._handlers.clear()
    assert isinstance(await clubs.write(), Done)
    assert clubs.primary.name in clubs.direct_connections(other)


@pytest.mark.parametrize("restarts", [False, True])
async def test_second_copy_of_a_request_runs_nothing(clubs, timers, restarts):
    """Guards against a write that runs again at the home or at its next process."""
    home, _ = clubs.homes()
    frames = []
    clubs.fleet.on_frame = frames.append
    await clubs.write()
    sent = [clubs.fleet.codec.decode(frame)[1] for frame in frames]
    req = next(item for item in sent if isinstance(item, ForwardRequest))
    if restarts:
        await clubs.kill(home)
        await timers.sleep(0.01)
        await clubs.start(home)
        await timers.sleep(1.0)
    answer = await clubs.server(home)._on_request("proxy-1", req)
    assert answer.lost
    assert len(clubs.ran("WRITE a")) == 1


async def test_request_after_a_restart_of_the_home_is_served_by_another(clubs, timers):
    """Load: proxies restart in turn, and their senders have not noticed yet.

    Guards against "may have run" for a write that no process of the home received.
    """
    home, other = clubs.homes()
    await clubs.write()
    await clubs.kill(home)
    await timers.sleep(0.01)
    await clubs.start(home)
    await timers.sleep(0.1)
    assert isinstance(await clubs.write(), Done)
    assert len(clubs.ran("WRITE a")) == 2
    assert clubs.primary.name in clubs.direct_connections(other)


@pytest.mark.parametrize("checks_age", [True, False])
async def test_copy_that_reaches_the_next_process_of_the_home_is_not_run_again(
    clubs, timers, monkeypatch, checks_age
):
    """Guards against "not run" for a write that the ended process of the home ran.

    Without the check of the home's age, the write is sent again and runs twice.
    """
    home, _ = clubs.homes()
    await clubs.write()
    if not checks_age:
        monkeypatch.setattr(
            _link.RemoteLink, "_followed_restart", lambda self, answer, sent_at: True
        )
    clubs.fleet.double_rate = 1.0
    delays = iter([0.0, 0.04])
    monkeypatch.setattr(clubs.fleet, "draw_extra_delay_s", lambda: next(delays, 0.0))
    writing = asyncio.create_task(clubs.write())
    await timers.sleep(0.016)
    assert len(clubs.ran("WRITE a")) == 2
    clubs.fleet.double_rate = 0.0
    await clubs.kill(home)
    await timers.sleep(0.01)
    await clubs.start(home)
    outcome = await writing
    if checks_age:
        assert outcome.code is Code.OUTCOME_UNKNOWN
    assert len(clubs.ran("WRITE a")) == (2 if checks_age else 3)


async def test_commit_after_a_restart_of_the_home_is_aborted(clubs, timers):
    """Guards against an unknown outcome of a transaction that was surely rolled back."""
    home, _ = clubs.homes()
    session = clubs.session()
    for text in ("BEGIN", "WRITE a"):
        await ask(session, text)
    await clubs.kill(home)
    await timers.sleep(0.01)
    await clubs.start(home)
    await timers.sleep(0.1)
    assert (await ask(session, "COMMIT")).outcome.code is Code.ABORTED


async def test_answer_of_an_older_build_after_a_restart_leaves_the_outcome_unknown(
    clubs, timers, monkeypatch
):
    """Guards against "not run" without the age of the home's process."""
    home, _ = clubs.homes()
    await clubs.write()
    await clubs.kill(home)
    await timers.sleep(0.01)
    await clubs.start(home)
    await timers.sleep(0.1)
    answered = clubs.server(home)._answered
    monkeypatch.setattr(
        clubs.server(home),
        "_answered",
        lambda key, req, answer: answered(
            key, req, msgspec.structs.replace(answer, running_ms=0)
        ),
    )
    assert (await clubs.write()).code is Code.OUTCOME_UNKNOWN


async def test_late_answer_leaves_the_connection_of_the_home_usable(
    clubs, timers, monkeypatch
):
    """Guards against connections that are closed because an answer was late."""
    pools = clubs.engines[clubs.homes()[0]].context.pools
    pool = pools.direct(clubs.primary.record)
    before = pool.open_connections
    monkeypatch.setattr(_simulated_link, "EXECUTION_S", STATEMENT_TIMEOUT_S + 0.1)
    assert (await clubs.write()).code is Code.OUTCOME_UNKNOWN
    await timers.sleep(0.3)
    assert (pool.open_connections, pool.in_use) == (before + 1, 0)


async def test_request_waits_longer_for_the_first_connection(clubs, timers):
    """Guards against refusals while an instance still counts lost connections."""
    for home in clubs.homes():
        clubs.engines[home].context.pools.close_idle(clubs.primary.name)
    clubs.primary.full = True
    writing = asyncio.create_task(clubs.write())
    await timers.sleep(0.3)
    clubs.primary.full = False
    assert isinstance(await writing, Done)


async def test_opening_without_an_answer_holds_nothing_at_the_home(clubs, timers):
    """Guards against a connection that is held for a transaction nobody knows of."""
    await clubs.write()
    server = clubs.server(clubs.homes()[0])
    delays = iter([0.0, 0.9])
    clubs.fleet.draw_extra_delay_s = lambda: next(delays, 0.0)
    session = clubs.session()
    await ask(session, "BEGIN")
    await ask(session, "WRITE a")
    await timers.sleep(0.2)
    assert not server._pins._pins
