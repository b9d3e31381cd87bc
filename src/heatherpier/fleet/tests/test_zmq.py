"""Requests between peers over encrypted sockets."""

import asyncio

import pytest
import zmq
import zmq.asyncio

from heatherpier.bench import free_ports
from heatherpier.fleet import Codec, CurveKeys, Peer, PeerUnreachableError, ZmqPeers
from heatherpier.fleet._membership import MEMBERSHIP_MESSAGES, Ping, Pong

PING = Ping(updates=(), version=3)


@pytest.fixture(scope="module")
def event_loop_policy():
    return asyncio.DefaultEventLoopPolicy()


def new_keys():
    public, secret = zmq.curve_keypair()
    return CurveKeys(public=public, secret=secret)


def make(name, timers, *, keys):
    (port,) = free_ports(1)
    me = Peer(name=name, host="127.0.0.1", port=port, data_centre="north-a")
    return ZmqPeers(me, keys=keys, codec=Codec(MEMBERSHIP_MESSAGES), timers=timers)


async def answer_ping(sender, ping):
    return Pong(updates=(), version=ping.version + 1)


@pytest.fixture
async def server(timers):
    keys = new_keys()
    async with make("proxy-2", timers, keys=keys) as peers:
        peers.handle(Ping, answer_ping)
        yield peers, keys


async def test_request_is_answered(server, timers):
    peers, keys = server
    async with make("proxy-1", timers, keys=keys) as client:
        answer = await client.request(peers.me, PING, timeout_s=5)
    assert answer.version == 4


async def test_answers_match_their_requests(server, timers):
    peers, keys = server
    async with make("proxy-1", timers, keys=keys) as client:
        pings = [Ping(updates=(), version=number) for number in range(50)]
        answers = await asyncio.gather(
            *(client.request(peers.me, ping, timeout_s=5) for ping in pings)
        )
    assert [answer.version for answer in answers] == list(range(1, 51))


async def test_peer_with_another_key_gets_no_answer(server, timers):
    peers, _ = server
    async with make("stranger", timers, keys=new_keys()) as client:
        with pytest.raises(PeerUnreachableError):
            await client.request(peers.me, PING, timeout_s=0.5)
    assert peers.counters.received == 0


async def test_malformed_frame_is_counted_and_does_not_disturb_requests(server, timers):
    peers, keys = server
    async with make("proxy-1", timers, keys=keys) as client:
        await client._link(peers.me).socket.send(b"garbage")
        answer = await client.request(peers.me, PING, timeout_s=5)
    assert (answer.version, peers.counters.dropped) == (4, 1)


async def test_peer_that_does_not_listen_is_unreachable(timers):
    keys = new_keys()
    (port,) = free_ports(1)
    absent = Peer(name="x", host="127.0.0.1", port=port, data_centre="north-a")
    async with make("proxy-1", timers, keys=keys) as client:
        with pytest.raises(PeerUnreachableError):
            await client.request(absent, PING, timeout_s=0.3)


async def test_timeouts_on_a_replaced_link_leave_no_socket_open(timers):
    # Requests on a replaced link time out while its successor is in use. If such a
    # timeout removed the successor from the table of links without closing its socket,
    # the context would wait for that socket when it is terminated.
    made = []
    unresponsive = Peer(name="gone", host="127.0.0.1", port=1, data_centre="north-a")
    async with make("proxy-1", timers, keys=new_keys()) as client:
        connect = client._connect
        client._connect = lambda peer: made.append(connect(peer)) or made[-1]

        async def ask(after_s, timeout_s):
            await asyncio.sleep(after_s)
            with pytest.raises(PeerUnreachableError):
                await client.request(unresponsive, PING, timeout_s=timeout_s)

        await asyncio.gather(
            ask(0.0, 0.1), ask(0.0, 0.1), ask(0.0, 0.3), ask(0.2, 1.0), ask(0.4, 0.1)
        )
        in_use = {link.socket for link in client._links.values()}
        leaked = {socket for socket in made if not socket.closed} - in_use
        for socket in leaked:
            socket.close(linger=0)
    assert leaked == set()


async def test_peer_whose_address_is_none_is_unreachable(timers):
    # Guards against one member's row that ends what is asked of all members.
    keys = new_keys()
    odd = Peer(name="x", host="h\u00f6st", port=7440, data_centre="north-a")
    async with make("proxy-1", timers, keys=keys) as client:
        with pytest.raises(PeerUnreachableError, match="x: "):
            await client.request(odd, PING, timeout_s=0.5)
        assert not await client.refuses(odd, timeout_s=0.5)
