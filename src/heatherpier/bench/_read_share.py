"""Measures the share of reads that replicas serve, under virtual time."""

import asyncio
import random
from dataclasses import dataclass

from heatherpier._session import Session
from heatherpier.bench._memory_proxies import DATABASE, MemoryFleet, memory_fleet
from heatherpier.requests import FinalError
from heatherpier.timers import LoopTimers, VirtualTimeLoop
from heatherpier.upstreams import Result

MS_PER_S = 1000
READ_SQL = "SELECT COUNT(*) FROM t"
DURATION_S = 30.0


@dataclass(frozen=True, slots=True, kw_only=True)
class ReadMix:
    """Mix of statements that the callers of one deployment send.

    Attributes:
        name: Name of the deployment.
        callers: Count of sessions.
        connections: Connections that an instance accepts.
        pause_s: Mean time between the statements of a session, in seconds.
        write_share: Share of statements that write, from 0 to 1.
        weighted_ages: Pairs of a stated maximum age in milliseconds and its weight;
            None stands for reads that must see the session's writes.
        proxy_change_share: Share of statements before which a session moves to a
            random proxy, from 0 to 1.
    """

    name: str
    callers: int
    connections: int
    pause_s: float
    write_share: float
    weighted_ages: tuple[tuple[int | None, float], ...]
    proxy_change_share: float = 0.1


# Agents and supervisors read the board and claim items in between.
SEN_VANG_READS = ReadMix(
    name="sen-vang",
    callers=60,
    connections=20,
    pause_s=1.0,
    write_share=0.1,
    weighted_ages=((None, 1.0),),
)
# Caseworkers browse, district offices check at night; some file a claim and then
# read it again.
LANTERN_LEDGER_READS = ReadMix(
    name="lantern-ledger",
    callers=60,
    connections=40,
    pause_s=1.0,
    write_share=0.05,
    weighted_ages=((5000, 0.8), (30_000, 0.2)),
)
READ_MIXES = {mix.name: mix for mix in (SEN_VANG_READS, LANTERN_LEDGER_READS)}


@dataclass(slots=True)
class ReadFigures:
    """Figures of one run.

    Attributes:
        reads: Count of reads that an instance ran.
        on_replicas: Count of reads that ran on a replica.
        refused: Count of statements that ended with an error.
        read_ms: Delays of the reads in milliseconds, in ascending order.
        write_ms: Delays of the writes in milliseconds, in ascending order.
    """

    reads: int
    on_replicas: int
    refused: int
    read_ms: list[float]
    write_ms: list[float]

    @property
    def share(self) -> float:
        """Share of reads that ran on replicas, from 0 to 1."""
        return self.on_replicas / max(self.reads, 1)


def measure_reads(
    mix: ReadMix,
    *,
    proxies: int,
    seed: int,
    baseline: bool,
    duration_s: float = DURATION_S,
) -> ReadFigures:
    """Runs a mix under virtual time and returns its figures.

    Args:
        mix: Mix of statements.
        proxies: Count of proxies.
        seed: Seed of all random choices.
        baseline: Whether all reads go to the primary.
        duration_s: Time over which callers send statements, in seconds.
    """
    loop = VirtualTimeLoop()
    try:
        return loop.run_until_complete(
            _measure(
                mix,
                proxies=proxies,
                seed=seed,
                baseline=baseline,
                duration_s=duration_s,
            )
        )
    finally:
        loop.close()


async def _measure(
    mix: ReadMix, *, proxies: int, seed: int, baseline: bool, duration_s: float
) -> ReadFigures:
    timers = LoopTimers(wall_offset_s=1_700_000_000)
    async with memory_fleet(
        timers, proxies=proxies, connections=mix.connections, seed=seed
    ) as fleet:
        callers = [
            _Caller(mix, fleet, timers, random.Random(seed * 1000 + n), baseline)
            for n in range(mix.callers)
        ]
        before = fleet.read_counts
        await asyncio.gather(*(caller.run(duration_s) for caller in callers))
        after = fleet.read_counts
    on_primary, on_replicas = (
        late - early for late, early in zip(after, before, strict=True)
    )
    return ReadFigures(
        reads=on_primary + on_replicas,
        on_replicas=on_replicas,
        refused=sum(caller.refused for caller in callers),
        read_ms=sorted(ms for caller in callers for ms in caller.read_ms),
        write_ms=sorted(ms for caller in callers for ms in caller.write_ms),
    )


class _Caller:
    """A session that passes its token on when it moves to another proxy."""

    def __init__(
        self,
        mix: ReadMix,
        fleet: MemoryFleet,
        timers: LoopTimers,
        rng: random.Random,
        baseline: bool,
    ) -> None:
        self._mix = mix
        self._fleet = fleet
        self._timers = timers
        self._rng = rng
        self._baseline = baseline
        self._session = self._connect()
        self.refused = 0
        self.read_ms: list[float] = []
        self.write_ms: list[float] = []

    def _connect(self) -> Session:
        return self._rng.choice(self._fleet.proxies).open_session()

    async def run(self, duration_s: float) -> None:
        end = self._timers.now() + duration_s
        while True:
            await self._timers.sleep(self._rng.expovariate(1 / self._mix.pause_s))
            if self._timers.now() >= end:
                return
            try:
                await self._step()
            except FinalError:
                self.refused += 1

    async def _step(self) -> None:
        if self._rng.random() < self._mix.proxy_change_share:
            await self._change_proxy()
        began = self._timers.now()
        if self._rng.random() < self._mix.write_share:
            await self._execute(f"INSERT INTO t VALUES ({self._rng.randrange(100)})")
            self.write_ms.append((self._timers.now() - began) * MS_PER_S)
            return
        await self._execute(READ_SQL, **self._read_hints())
        self.read_ms.append((self._timers.now() - began) * MS_PER_S)

    def _read_hints(self) -> dict[str, str]:
        if self._baseline:
            # A session name without a token sends each read to a confirmed primary.
            return {"session": "baseline"}
        ages, weights = zip(*self._mix.weighted_ages, strict=True)
        (age_ms,) = self._rng.choices(ages, weights)
        return {} if age_ms is None else {"max_age_ms": str(age_ms)}

    async def _change_proxy(self) -> None:
        result = await self._execute("SELECT @heatherpier_token")
        self._session = self._connect()
        if not self._baseline:
            token = result.rows[0][0]
            await self._execute(f"SET @heatherpier_token = '{token}'")

    async def _execute(self, sql: str, **hints: str) -> Result:
        return await self._session.execute(sql, database=DATABASE, hints=hints)


def run_reads(mix: ReadMix, *, proxies: int, seed: int) -> bool:
    """Prints the figures with and without reads on replicas.

    Returns:
        Whether all statements were served.
    """
    print(f"{mix.name}: {proxies} proxies, lag 50 ms, {DURATION_S:.0f} s, seed {seed}")
    refused = 0
    for baseline in (True, False):
        label = "all on the primary" if baseline else "by floor and age"
        figures = measure_reads(mix, proxies=proxies, seed=seed, baseline=baseline)
        refused += figures.refused
        print(
            f"  {label:20} replicas {figures.share:6.1%} of {figures.reads} reads, "
            f"read p50 {_quantile(figures.read_ms, 0.5):.0f} ms "
            f"p99 {_quantile(figures.read_ms, 0.99):.0f} ms, "
            f"write p50 {_quantile(figures.write_ms, 0.5):.0f} ms "
            f"p99 {_quantile(figures.write_ms, 0.99):.0f} ms, "
            f"refused {figures.refused}"
        )
    return refused == 0


def _quantile(values: list[float], fraction: float) -> float:
    return values[min(int(len(values) * fraction), len(values) - 1)]
