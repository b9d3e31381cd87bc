"""Reads and grants of proxies that have not heard of a change of primary."""

import asyncio

import pytest

from heatherpier.bench import ask
from heatherpier.fleet import Peer
from heatherpier.leases import (
    Changing,
    FleetView,
    Grants,
    Led,
    PeerTableSync,
    SampleExchange,
)
from heatherpier.leases._fence import Fence
from heatherpier.leases._grants import MAX_CLOCK_DRIFT
from heatherpier.leases._messages import CopyAnswer, TableAnswer
from heatherpier.leases._records import encode_leadership, encode_member
from heatherpier.statements import Done
from heatherpier.tables import Changes, Row, TableCopy

REPLICA_LAG_S = 1.0


async def read_exactly(deployment, name, seen, until):
    """Reads through one proxy; records the start and the position of each answer."""
    while deployment.timers.now() < until:
        began = deployment.timers.now()
        reply = await ask(deployment.open("claims-exact", proxy=name), "READ claim")
        if isinstance(reply.outcome, Done):
            seen.append((began, reply.position))
        await deployment.timers.sleep(0.05)


async def write_in_second_term(deployment, name):
    """Writes until the second term acknowledges it; returns the time and position."""
    while True:
        reply = await ask(deployment.open("claims-exact", proxy=name), "WRITE claim")
        if isinstance(reply.outcome, Done) and reply.position.term > 1:
            return deployment.timers.now(), reply.position
        await deployment.timers.sleep(0.02)


async def test_a_demoted_primary_is_not_read_by_a_proxy_that_is_cut_off(
    deployment, timers, monkeypatch
):
    # The others can't reach the primary and replace it. It can be reached again once
    # the change is announced, so they demote it. The proxy that is cut off from the
    # store and its peers still holds its lease and reaches the demoted instance. They
    # would keep a primary that serves again; a takeover, for one, does not.
    async def never_keep(self, term):
        return False

    monkeypatch.setattr(Fence, "_serves_again", never_keep)
    group = deployment.groups["claims"]
    old = group.primary()
    for instance in group.instances.values():
        instance.lag_s = REPLICA_LAG_S
    assert isinstance(
        (await ask(deployment.open("claims-exact"), "WRITE claim")).outcome, Done
    )
    deployment.isolate("proxy-3", instances=False)
    old.cut_from |= {"proxy-0", "proxy-1", "proxy-2"}
    seen = []
    reads = asyncio.create_task(
        read_exactly(deployment, "proxy-3", seen, timers.now() + 6.0)
    )
    writes = [
        asyncio.create_task(write_in_second_term(deployment, name))
        for name in ("proxy-0", "proxy-1", "proxy-2")
    ]
    while deployment.store.row("fleet", "leader/claims") is None:
        await timers.sleep(0.01)
    old.cut_from.clear()
    at, position = min(await asyncio.gather(*writes))
    await reads
    assert [item for item in seen if item[0] > at and item[1] < position] == []


@pytest.fixture
def view(timers):
    return FleetView(TableCopy("fleet", timers=timers), timers=timers)


class AnsweringNetwork:
    """Answers each request with the same message."""

    def __init__(self, answer):
        self.answer = answer

    def handle(self, kind, handler):
        pass

    async def request(self, peer, message, *, timeout_s):
        return self.answer


class NoSamples:
    def newest(self):
        return {}


async def test_a_grant_is_not_counted_without_the_change_that_its_voter_knows(
    timers, view
):
    # The voter learned of the change from a release request, so its copy as a whole is
    # older than that of the proxy that asks.
    me, peer = (
        Peer(name=name, host=name, port=1, data_centre="north") for name in ("a", "b")
    )
    rows = (
        Row(key="member/a", version=1, body=encode_member(me)),
        Row(key="member/b", version=2, body=encode_member(peer)),
    )
    view.copy.replace(Changes(rows=rows, version=57, as_of=timers.elapsed()))
    changing = Changing(previous="claims-0", holder="b", planned=False)
    table = TableAnswer(
        version=55,
        age_s=0.1,
        rows=[("leader/claims", 60, encode_leadership(changing))],
        whole=False,
    )
    sync = PeerTableSync(
        network=AnsweringNetwork(CopyAnswer(tables={"fleet": table}, grant_s=1.2)),
        copies={"fleet": view.copy},
        granted_table="fleet",
        grants=Grants("a", view=view, timers=timers),
        exchange=SampleExchange(NoSamples(), clock_id=1, timers=timers),
        timers=timers,
    )
    await sync.request_grant(peer)
    assert view.leaders["claims"].state == changing
    assert view.copy.version == 57


async def test_a_grant_is_kept_longer_than_a_slower_clock_counts_it(timers, view):
    me = Peer(name="a", host="a", port=1, data_centre="north")
    grants = Grants("a", view=view, timers=timers)
    rows = (Row(key="member/a", version=1, body=encode_member(me)),)
    view.copy.replace(Changes(rows=rows, version=1, as_of=timers.elapsed()))
    granted_s = grants.give()
    assert granted_s > 0
    assert grants.given_remaining_s() >= granted_s * (1 + MAX_CLOCK_DRIFT)


async def test_a_grant_is_not_counted_with_rows_that_cannot_be_read(timers, view):
    me, *peers = (
        Peer(name=name, host=name, port=1, data_centre="north")
        for name in ("a", "b", "c")
    )
    rows = tuple(
        Row(key=f"member/{peer.name}", version=index, body=encode_member(peer))
        for index, peer in enumerate((me, *peers), start=1)
    )
    view.copy.replace(Changes(rows=rows, version=5, as_of=timers.elapsed()))
    table = TableAnswer(
        version=6,
        age_s=0.0,
        rows=[("leader/claims", 6, b"not deflated")],
        whole=False,
        deflated=["leader/claims"],
    )
    grants = Grants("a", view=view, timers=timers)
    sync = PeerTableSync(
        network=AnsweringNetwork(CopyAnswer(tables={"fleet": table}, grant_s=1.2)),
        copies={"fleet": view.copy},
        granted_table="fleet",
        grants=grants,
        exchange=SampleExchange(NoSamples(), clock_id=1, timers=timers),
        timers=timers,
    )
    await sync.request_grant(peers[0])
    assert grants.granted_until() == 0.0


async def test_a_row_of_an_unknown_state_says_no_more_who_leads(view):
    led = Led(instance="claims-0", term=1)
    view.copy.apply_row(
        Row(key="leader/claims", version=3, body=encode_leadership(led))
    )
    assert not view.needs_confirmation("claims")
    view.copy.apply_row(Row(key="leader/claims", version=4, body=b'{"type":"later"}'))
    assert view.needs_confirmation("claims")
    assert view.leadership_version("claims") == 4
