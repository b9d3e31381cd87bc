"""A listener on loopback in front of a scripted session."""

import asyncio
import contextlib

import pytest

from heatherpier.bench._deployment import hash_password
from heatherpier.callers import CallerLimits, Listener
from heatherpier.requests import RefusedError
from heatherpier.timers import LoopTimers
from heatherpier.upstreams import Column, Result

LONGLONG = 8


@pytest.fixture(scope="session")
def event_loop_policy():
    return asyncio.DefaultEventLoopPolicy()


class ScriptedSession:
    """Answers a statement by its first word and records it.

    ``HOLD`` waits until `release` is set, ``BEGIN`` and ``COMMIT`` open and end a
    transaction, ``SET`` and ``ROLLBACK`` return nothing, ``UPDATE`` returns counts
    and ``REFUSE`` fails. Anything else returns the row ``(1,)``, unless `answers`
    has a result for the whole statement.
    """

    def __init__(self, script):
        self.script = script
        self.databases = {"assist", "claims"}
        self.in_transaction = False
        self.autocommit = True
        self.closed = False

    async def execute(self, sql, *, database, hints):
        self.script.ran.append(sql)
        self.script.hints.append(dict(hints))
        self.script.databases.append(database)
        if sql in self.script.answers:
            return self.script.answers[sql]
        match sql.split()[0]:
            case "HOLD":
                self.script.holding.set()
                await self.script.release.wait()
            case "BEGIN":
                self.in_transaction = True
                return Result()
            case "COMMIT":
                self.in_transaction = False
                return Result()
            case "SET" | "ROLLBACK":
                return Result()
            case "UPDATE":
                return Result(affected_rows=2, last_insert_id=7)
            case "REFUSE":
                raise RefusedError("no such thing 'x'")
        return Result(columns=(Column(name="n", type_code=LONGLONG),), rows=((1,),))

    async def close(self):
        self.closed = True


class Script:
    """Controls the scripted sessions and records their statements."""

    def __init__(self):
        self.ran = []
        self.hints = []
        self.databases = []
        self.sessions = []
        self.answers = {}
        self.holding = asyncio.Event()
        self.release = asyncio.Event()

    def open_session(self, user):
        self.sessions.append(ScriptedSession(self))
        return self.sessions[-1]


@pytest.fixture
def script():
    return Script()


@pytest.fixture
def limits():
    return CallerLimits(linger_s=0.3)


@pytest.fixture
def tls():
    return None


@pytest.fixture
async def listener(script, limits, tls):
    listener = Listener(
        open_session=script.open_session,
        password_hashes={"dispatch": hash_password("secret")},
        timers=LoopTimers(),
        limits=limits,
        ssl=tls,
    )
    await listener.start(host="127.0.0.1", port=0)
    yield listener
    script.release.set()
    await listener.close()
    with contextlib.suppress(asyncio.CancelledError):
        await listener.drain(transactions_s=0, statements_s=1)


@pytest.fixture
def address(listener):
    return {
        "host": "127.0.0.1",
        "port": listener.port,
        "user": "dispatch",
        "password": "secret",
    }
