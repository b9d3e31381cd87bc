"""Proxies and their callers on a group in memory, for the tests of reads."""

import random
from dataclasses import dataclass

import pytest

from heatherpier._session import Session
from heatherpier.bench._cluster import DATA_CENTRES, GROUP, MemoryGroup
from heatherpier.groups import Group
from heatherpier.limits import Admission
from heatherpier.positions import LogPosition
from heatherpier.reads import Reader
from heatherpier.requests import Request
from heatherpier.sessions import TokenSigner
from heatherpier.timers import Timers
from heatherpier.writes import KeyGenerator, Writer

DATABASE = GROUP.replace("-", "_")


@dataclass
class ProxyClient:
    """One proxy's view of the group, with a caller's session on that proxy."""

    group: Group
    reader: Reader
    timers: Timers
    session: Session

    async def run(self, sql, **hints):
        result = await self.session.execute(sql, database=DATABASE, hints=hints)
        return list(result.rows)

    async def token(self):
        ((text,),) = await self.run("SELECT @heatherpier_token")
        return text

    async def read(self, sql="SELECT v FROM t", *, within_s=5.0, **fields):
        """Runs a read on the reader, without the session, and returns its answer."""
        req = Request(
            sql=sql, group=GROUP, deadline=self.timers.now() + within_s, **fields
        )
        return await self.reader.execute(self.group, req)


@dataclass
class Cluster:
    """A group in memory that several proxies use."""

    memory: MemoryGroup
    timers: Timers
    initial_position: LogPosition = LogPosition(1, 3)

    def client(self, peer="proxy-1", *, location=0):
        """Returns a client of a new proxy in data centre number ``location``."""
        group = self.memory.view(peer)
        admission = Admission(timers=self.timers)
        reader = Reader(
            timers=self.timers,
            data_centre=DATA_CENTRES[location],
            rng=random.Random(7),
            admission=admission,
        )
        session = Session(
            groups={DATABASE: group},
            reader=reader,
            writer=Writer(
                timers=self.timers,
                keys=KeyGenerator(proxy=peer, rng=random.Random(7), timers=self.timers),
                rng=random.Random(7),
                admission=admission,
            ),
            signer=TokenSigner(deployment="sen-vang", keys=(b"k" * 16,)),
            timers=self.timers,
            deadline_ms=5000,
            user="dispatch",
        )
        return ProxyClient(group, reader, self.timers, session)

    async def change_primary(self, to, *, voters=None):
        """Makes instance number ``to`` the primary of the next term.

        Only ``voters``, by default all instances, adopt the term and follow it.
        """
        instances = self.memory.instances
        term = max(item.adopted_term for item in instances) + 1
        voters = [instances[number] for number in voters or range(len(instances))]
        for item in voters:
            item.adopt(term, "test")
        instances[to].promote(term, "test")
        for item in voters:
            item.follow(term, instances[to].name)


@pytest.fixture
async def cluster(memory_group, timers):
    """Returns a group with a table ``t`` whose only row, 0, is on all instances."""
    built = Cluster(memory_group, timers)
    setup = built.client("setup")
    await setup.group.refresh()
    await setup.run("CREATE TABLE t (v INT)")
    await setup.run("INSERT INTO t VALUES (0)")
    await timers.sleep(1)
    return built
