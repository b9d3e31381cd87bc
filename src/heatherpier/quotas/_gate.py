"""Admits operations within the rate limits of their organisations."""

import asyncio
from collections import deque
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field

from heatherpier.fleet import Message, Peer, PeerNetwork
from heatherpier.quotas._allocators import RIGHT_VALIDITY_S, peers_to_ask
from heatherpier.quotas._buckets import Buckets, QuotaWindow, Rate
from heatherpier.quotas._demand import DEFAULT_RETRY_S, Arrivals, Supply, ahead
from heatherpier.quotas._fleet_rows import FleetRows
from heatherpier.quotas._issuer import MS_PER_S, RightsIssuer
from heatherpier.quotas._ledger import Ledger
from heatherpier.quotas._links import AllocatorLinks, Answered
from heatherpier.quotas._messages import RightsAnswer, RightsRequest
from heatherpier.quotas._metrics import QuotaMetrics
from heatherpier.quotas._policies import QuotaPolicy
from heatherpier.quotas._right import Refusal, Right
from heatherpier.routing import ActiveRoutes
from heatherpier.telemetry import get_logger
from heatherpier.timers import Timers

log = get_logger("quotas")
# Period in seconds at which the role of this proxy and the allocators are decided anew.
UPDATE_PERIOD_S = 0.25
# Period in seconds at which allocators are asked again while operations wait.
WAIT_PERIOD_S = 0.02


@dataclass(frozen=True, slots=True, eq=False)
class _Waiter:
    """An operation that waits for a right until a monotonic time in seconds."""

    future: asyncio.Future[Right | Refusal]
    deadline: float


@dataclass(slots=True)
class _Demand:
    """What operations of one organisation need.

    Attributes:
        waiting: Operations that wait for a right, in order of arrival.
        asked: Rights that are asked for in requests in flight.
        arrivals: Average of arrivals.
        supply: What the allocators have.
    """

    waiting: deque[_Waiter] = field(default_factory=deque)
    asked: float = 0.0
    arrivals: Arrivals = field(default_factory=Arrivals)
    supply: Supply = field(default_factory=Supply)


class QuotaGate:
    """Takes a right for each operation, and asks allocators for rights.

    Args:
        me: This proxy.
        network: Messages between proxies.
        rows: This proxy's standing in the fleet.
        routes: The active routing table, with the rate limits.
        distance: Distance to a data centre.
        timers: Timer service.
        metrics: Counters.
        window: Windows in which the limits hold.
        policy: How allocators begin and make up for each other.
        started_at: Time in seconds by `Timers.elapsed` at which the process was
            started; None for now.
    """

    def __init__(
        self,
        me: Peer,
        *,
        network: PeerNetwork,
        rows: FleetRows,
        routes: ActiveRoutes,
        distance: Callable[[str], int],
        timers: Timers,
        metrics: QuotaMetrics,
        window: QuotaWindow | None = None,
        policy: QuotaPolicy | None = None,
        started_at: float | None = None,
    ) -> None:
        self._me = me
        self._rows = rows
        self._routes = routes
        self._distance = distance
        self._timers = timers
        self._metrics = metrics
        self._window = window or QuotaWindow()
        self._ledger = Ledger()
        self._demands: dict[str, _Demand] = {}
        self._allocators: dict[str, Peer] = {}
        self._watch: asyncio.Task[None] | None = None
        self._version = 0
        self._buckets = Buckets(self.rate)
        self._issuer = RightsIssuer(
            me.name,
            rows=rows,
            buckets=self._buckets,
            timers=timers,
            policy=policy or QuotaPolicy(),
            started_at=timers.elapsed() if started_at is None else started_at,
        )
        self._links = AllocatorLinks(
            network=network, on_answer=self._take_answer, timers=timers, metrics=metrics
        )
        network.handle(RightsRequest, self._on_request)

    def rate(self, organisation: str) -> Rate | None:
        """Returns the rate limit of an organisation, or None if it has none."""
        organisations = self._routes.table.organisations
        known = None if organisations is None else organisations.get(organisation)
        if known is None or known.rate_per_s is None:
            return None
        return Rate(known.rate_per_s, known.burst, self._window)

    @property
    def in_use(self) -> bool:
        """Whether the configuration limits the rate of any organisation."""
        organisations = self._routes.table.organisations or {}
        return any(item.rate_per_s is not None for item in organisations.values())

    async def run(self) -> None:
        """Keeps the role of this proxy and its list of allocators up to date."""
        async for _ in self._timers.every(UPDATE_PERIOD_S):
            if not self.in_use:
                continue
            self._issuer.update()
            self._issuer.note_silent(self._links.silent(self._timers.elapsed()))
            if self._version != self._routes.table.version:
                self._version = self._routes.table.version
                self._buckets.update_rates(self._timers.elapsed())
            self._update_allocators()
            self._forget_organisations()
            self._note_expired()

    def _update_allocators(self) -> None:
        first, members = self._rows.first(), self._rows.members()
        peers = peers_to_ask(first, members, distance=self._distance)
        self._allocators = {peer.name: peer for peer in peers}

    def close(self) -> None:
        """Cancels all requests and refuses the operations that wait."""
        self._links.close()
        if self._watch is not None:
            self._watch.cancel()
        for name, demand in self._demands.items():
            self._refuse(name, demand, keep=0, cause="stopping")

    async def admit(
        self, organisation: str, *, deadline: float, statement_id: str = ""
    ) -> Right | Refusal:
        """Takes a right for an operation, and waits for one if none is held.

        Args:
            organisation: Name of the organisation, or empty.
            deadline: Monotonic time in seconds until which it may wait.
            statement_id: Id of the operation's statement, for the log.
        """
        if self.rate(organisation) is None:
            return Right(organisation, float("inf"))
        answer = await self._take_or_wait(organisation, deadline)
        match answer:
            case Right():
                self._metrics.note_admitted(organisation)
            case Refusal(cause=cause, retry_s=retry_s):
                self._metrics.note_refused(organisation)
                log.info(
                    "operation refused by its rate limit",
                    id=statement_id,
                    organisation=organisation,
                    cause=cause,
                    retry_after_ms=round(retry_s * MS_PER_S),
                    configuration=self._routes.table.version,
                )
        return answer

    async def _take_or_wait(self, name: str, deadline: float) -> Right | Refusal:
        if not self._allocators:
            self._update_allocators()
        demand = self._demands.get(name)
        if demand is None:
            demand = self._demands[name] = _Demand()
        now = self._timers.elapsed()
        demand.arrivals.note(now)
        right = None if demand.waiting else self._take(name)
        if right is not None:
            self._ask([name])
            return right
        future = asyncio.get_running_loop().create_future()
        waiter = _Waiter(future, deadline)
        demand.waiting.append(waiter)
        self._ask([name])
        if future.done():
            return _result(future)
        self._watch_waiting()
        return await self._wait(name, demand, waiter)

    async def _wait(
        self, name: str, demand: _Demand, waiter: _Waiter
    ) -> Right | Refusal:
        try:
            async with self._timers.timeout_at(waiter.deadline):
                return await waiter.future
        except TimeoutError:
            if waiter.future.done() and not waiter.future.cancelled():
                return _result(waiter.future)
            return self._refusal(demand, position=0, cause="no right in time")
        except asyncio.CancelledError:
            # The caller has gone; a right that has just been taken serves another one.
            if waiter.future.done() and not waiter.future.cancelled():
                answer = _result(waiter.future)
                if isinstance(answer, Right):
                    answer.put_back()
            raise
        finally:
            if waiter in demand.waiting:
                demand.waiting.remove(waiter)

    def _take(self, name: str) -> Right | None:
        expires_at = self._ledger.take(name, self._timers.elapsed())
        if expires_at is None:
            return None
        return Right(name, expires_at, self._put_back)

    def _put_back(self, right: Right) -> None:
        self._add(right.organisation, 1.0, expires_at=right.expires_at)
        self._serve(right.organisation)

    def _add(self, name: str, amount: float, *, expires_at: float) -> None:
        now = self._timers.elapsed()
        self._ledger.add(name, amount, expires_at=expires_at, now=now)

    def _serve(self, name: str) -> None:
        """Gives rights that are held to operations that wait."""
        demand = self._demands.get(name)
        while demand is not None and demand.waiting:
            if demand.waiting[0].future.done():
                demand.waiting.popleft()
                continue
            right = self._take(name)
            if right is None:
                return
            demand.waiting.popleft().future.set_result(right)

    def _ask(self, names: Iterable[str]) -> None:
        """Asks allocators for what is missing, and refuses what none can give."""
        needing = [name for name in names if name in self._demands]
        self._ask_here(needing)
        now = self._timers.elapsed()
        allocators = self._links.available(list(self._allocators), now)
        others = [name for name in allocators if name != self._me.name]
        requests: dict[str, dict[str, float]] = {}
        for name in needing:
            for allocator, part in self._split(name, others, now).items():
                requests.setdefault(allocator, {})[name] = part
        for allocator, asks in requests.items():
            self._links.send(
                self._allocators[allocator], asks, version=self._routes.table.version
            )
        for name in needing:
            self._refuse_hopeless(name, allocators, now)

    def _ask_here(self, names: list[str]) -> None:
        """Takes rights from this proxy's own allocator."""
        me = self._me.name
        if me not in self._allocators:
            return
        now = self._timers.elapsed()
        if me not in self._links.available([me], now):
            return
        asks = {
            name: parts[me] for name in names if (parts := self._split(name, [me], now))
        }
        if asks:
            self._take_answer(
                Answered(
                    allocator=me,
                    asks=asks,
                    sent_at=now,
                    answer=self._issuer.give(me, asks),
                    discounted=False,
                ),
                again=False,
            )

    def _split(self, name: str, allocators: list[str], now: float) -> dict[str, float]:
        demand = self._demands[name]
        balance = self._ledger.held(name, now) + demand.asked - len(demand.waiting)
        need = max(-balance, 0.0)
        need += ahead(demand.arrivals.per_s(now), max(balance, 0.0))
        if need <= 0:
            return {}
        parts = demand.supply.split(
            need,
            allocators,
            busy=self._links.busy,
            slow=self._links.slow,
            now=now,
        )
        asked = sum(parts.values())
        self._metrics.asked.inc(asked)
        demand.asked += asked
        return parts

    def _take_answer(self, item: Answered, *, again: bool = True) -> None:
        """Adds the rights of an answer, and asks others for what is missing."""
        answer = item.answer or RightsAnswer(given={}, retry_ms={}, active=False)
        now = self._timers.elapsed()
        for name, asked in item.asks.items():
            demand = self._demands.get(name)
            if demand is None:
                continue
            if not item.discounted:
                demand.asked = max(demand.asked - asked, 0.0)
            given = answer.given.get(name, 0.0)
            if answer.active:
                demand.supply.note_answer(
                    item.allocator,
                    asked=asked,
                    given=given,
                    retry_s=answer.retry_ms.get(name, 0.0) / MS_PER_S,
                    now=now,
                )
            self._metrics.received.inc(given)
            self._add(name, given, expires_at=item.sent_at + RIGHT_VALIDITY_S)
            self._serve(name)
        if again:
            self._ask(item.asks)

    def _refuse_hopeless(self, name: str, allocators: list[str], now: float) -> None:
        """Refuses the operations that get no right before they stop waiting.

        The first ones go on waiting for what allocators will have created by then.
        """
        demand = self._demands[name]
        if not demand.waiting or demand.asked > 0:
            return
        if demand.supply.can_ask(allocators, busy=self._links.busy, now=now):
            return
        left_s = demand.waiting[0].deadline - self._timers.now()
        keep = int(demand.supply.expected(allocators, now, now + max(left_s, 0.0)))
        cause = "no right left" if allocators else "no allocator answers"
        self._refuse(name, demand, keep=keep, cause=cause)

    def _refuse(self, name: str, demand: _Demand, *, keep: int, cause: str) -> None:
        refused = list(demand.waiting)[keep:]
        for index, waiter in enumerate(refused):
            if not waiter.future.done():
                waiter.future.set_result(
                    self._refusal(demand, position=keep + index, cause=cause)
                )
            demand.waiting.remove(waiter)

    def _refusal(self, demand: _Demand, *, position: int, cause: str) -> Refusal:
        if not self._allocators:
            return Refusal(cause="no allocator is known", retry_s=DEFAULT_RETRY_S)
        retry_s = demand.supply.retry_s(list(self._allocators), position + 1)
        return Refusal(cause=cause, retry_s=retry_s)

    def _watch_waiting(self) -> None:
        if self._watch is None or self._watch.done():
            self._watch = asyncio.create_task(self._ask_while_waiting())

    async def _ask_while_waiting(self) -> None:
        while waiting := [name for name, item in self._demands.items() if item.waiting]:
            await self._timers.sleep(WAIT_PERIOD_S)
            for asks in self._links.discount_slow():
                self._discount(asks)
            self._ask(waiting)

    def _discount(self, asks: Mapping[str, float]) -> None:
        for name, asked in asks.items():
            demand = self._demands.get(name)
            if demand is not None:
                demand.asked = max(demand.asked - asked, 0.0)

    async def _on_request(self, sender: str, req: RightsRequest) -> Message | None:
        answer = self._issuer.give(sender, req.asks)
        self._metrics.given.inc(sum(answer.given.values()))
        return answer

    def _forget_organisations(self) -> None:
        """Forgets organisations that no longer have a limit and nothing waiting."""
        gone = [
            name
            for name, demand in self._demands.items()
            if not demand.waiting and not demand.asked and self.rate(name) is None
        ]
        for name in gone:
            del self._demands[name]

    def _note_expired(self) -> None:
        self._ledger.expire_all(self._timers.elapsed())
        self._metrics.expired.inc(self._ledger.expired)
        self._ledger.expired = 0.0


def _result(future: asyncio.Future[Right | Refusal]) -> Right | Refusal:
    return future.result()
