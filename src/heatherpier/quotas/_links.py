"""Requests to allocators: one in flight to each."""

import asyncio
from collections.abc import Callable, Collection, Mapping, Sequence
from dataclasses import dataclass

from heatherpier.fleet import Peer, PeerNetwork, PeerUnreachableError
from heatherpier.quotas._messages import RightsAnswer, RightsRequest
from heatherpier.quotas._metrics import QuotaMetrics
from heatherpier.telemetry import get_logger
from heatherpier.timers import Timers

log = get_logger("quotas")
# Answers after this time are dropped: little of the rights' validity would be left.
ANSWER_TIMEOUT_S = 0.3
# Without an answer after this time, other allocators are asked too. It is more than the
# way to the farthest region and back.
SLOW_S = 0.08
# Time for which an allocator that did not answer is not asked; it doubles with each
# further failure.
AVOID_S = 0.25
MAX_AVOID_S = 4.0
# Time for which a proxy is not asked after it said that it is no allocator.
INACTIVE_S = 0.2
# Time after that for which it still counts as silent, unless it is asked again.
SILENT_KNOWN_S = 2.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Answered:
    """What became of a request.

    Attributes:
        allocator: Name of the allocator.
        asks: Number of rights asked for, by organisation.
        sent_at: Time in seconds at which the request was sent.
        answer: The allocator's answer, or None if there is none in time.
        discounted: Whether the rights no longer counted as asked for, since the answer
            took long.
    """

    allocator: str
    asks: Mapping[str, float]
    sent_at: float
    answer: RightsAnswer | None
    discounted: bool


@dataclass(slots=True)
class _InFlight:
    asks: Mapping[str, float]
    sent_at: float
    discounted: bool = False


@dataclass(slots=True)
class _Avoided:
    until: float
    failures: int


class AllocatorLinks:
    """Sends requests to allocators and remembers which of them do not answer.

    Times are in seconds by `Timers.elapsed`.

    Args:
        network: Messages between proxies.
        on_answer: Takes what became of each request.
        timers: Timer service.
        metrics: Counters.
    """

    def __init__(
        self,
        *,
        network: PeerNetwork,
        on_answer: Callable[[Answered], None],
        timers: Timers,
        metrics: QuotaMetrics,
    ) -> None:
        self._network = network
        self._on_answer = on_answer
        self._timers = timers
        self._metrics = metrics
        self._in_flight: dict[str, _InFlight] = {}
        self._avoided: dict[str, _Avoided] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def busy(self) -> Collection[str]:
        """Names of the allocators with a request in flight."""
        return self._in_flight.keys()

    @property
    def slow(self) -> Collection[str]:
        """Names of the allocators whose answer takes long."""
        return {name for name, item in self._in_flight.items() if item.discounted}

    def available(self, names: Sequence[str], now: float) -> list[str]:
        """Returns the allocators that can be asked, in the given order."""
        return [
            name
            for name in names
            if (avoided := self._avoided.get(name)) is None or now >= avoided.until
        ]

    def silent(self, now: float) -> list[str]:
        """Returns the allocators that lately did not answer or created no rights."""
        return [
            name
            for name, avoided in self._avoided.items()
            if now < avoided.until + SILENT_KNOWN_S
        ]

    def send(self, peer: Peer, asks: Mapping[str, float], *, version: int) -> None:
        """Sends a request in the background.

        Args:
            peer: The allocator; it has no request in flight.
            asks: Number of rights by organisation.
            version: Version of this proxy's configuration.
        """
        link = _InFlight(asks=asks, sent_at=self._timers.elapsed())
        self._in_flight[peer.name] = link
        req = RightsRequest(asks=dict(asks), version=version)
        task = asyncio.create_task(self._exchange(peer, req, link))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def discount_slow(self) -> list[Mapping[str, float]]:
        """Returns what was asked in requests that have become slow since the last call.

        The rights may be asked of others.
        """
        now = self._timers.elapsed()
        slow = [
            item
            for item in self._in_flight.values()
            if not item.discounted and now - item.sent_at > SLOW_S
        ]
        for item in slow:
            item.discounted = True
        return [item.asks for item in slow]

    def close(self) -> None:
        """Cancels all requests."""
        for task in self._tasks:
            task.cancel()

    async def _exchange(self, peer: Peer, req: RightsRequest, link: _InFlight) -> None:
        answer = await self._request(peer, req)
        if answer is not None and self._timers.elapsed() - link.sent_at > (
            ANSWER_TIMEOUT_S
        ):
            # The timeout does not run while the VM is suspended.
            answer = None
        self._note_result(peer.name, answer)
        del self._in_flight[peer.name]
        self._on_answer(
            Answered(
                allocator=peer.name,
                asks=link.asks,
                sent_at=link.sent_at,
                answer=answer,
                discounted=link.discounted,
            )
        )

    async def _request(self, peer: Peer, req: RightsRequest) -> RightsAnswer | None:
        try:
            answer = await self._network.request(peer, req, timeout_s=ANSWER_TIMEOUT_S)
        except PeerUnreachableError:
            return None
        return answer if isinstance(answer, RightsAnswer) else None

    def _note_result(self, name: str, answer: RightsAnswer | None) -> None:
        now = self._timers.elapsed()
        if answer is None:
            known = self._avoided.get(name)
            failures = 0 if known is None else known.failures
            avoid_s = min(AVOID_S * 2**failures, MAX_AVOID_S)
            self._avoided[name] = _Avoided(until=now + avoid_s, failures=failures + 1)
            self._metrics.requests.labels("no answer").inc()
            log.info("allocator did not answer", allocator=name, avoided_s=avoid_s)
        elif not answer.active:
            self._avoided[name] = _Avoided(until=now + INACTIVE_S, failures=0)
            self._metrics.requests.labels("inactive").inc()
        else:
            self._avoided.pop(name, None)
            result = "partial" if answer.retry_ms else "full"
            self._metrics.requests.labels(result).inc()
