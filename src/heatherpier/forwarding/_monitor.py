"""Which homes answer, from the side of a proxy that forwards to them."""

import asyncio
from collections.abc import Callable, Coroutine, Mapping
from dataclasses import dataclass, field
from typing import Any

from heatherpier.fleet import Peer, PeerNetwork, PeerUnreachableError
from heatherpier.forwarding._messages import HomeProbe, HomeStatus
from heatherpier.forwarding._metrics import ForwardingMetrics
from heatherpier.leases import MemberRecord
from heatherpier.telemetry import get_logger
from heatherpier.timers import Timers

log = get_logger("forwarding")
# A home is probed if a request has been unanswered for this long and the home has
# answered nothing else meanwhile. Most statements are answered sooner.
PROBE_AFTER_S = 0.25
# Ten times the round trip between regions.
PROBE_TIMEOUT_S = 0.25
# Time for which a home that did not answer is avoided before it is probed again; it
# doubles with each further probe without an answer.
INITIAL_AVOID_S = 1.0
MAX_AVOID_S = 8.0


@dataclass(slots=True, eq=False)
class _State:
    """What is known of one home.

    Attributes:
        peer: Name and address.
        version: Version of its row in the table of members.
        incarnation: Incarnation of its process, or 0 if unknown.
        answered_at: Monotonic time in seconds of its last answer.
        avoided: Whether no request is sent to it.
        sent_at: Monotonic time in seconds at which each request in flight was sent, by
            the function that fails it.
        watch: Task that probes it, or None.
        probe: Probe in flight, or None.
        recovery: Task that probes it while it is avoided, or None.
    """

    peer: Peer
    version: int
    incarnation: int = 0
    answered_at: float = float("-inf")
    avoided: bool = False
    sent_at: dict[Callable[[], None], float] = field(default_factory=dict)
    watch: asyncio.Task[None] | None = None
    probe: asyncio.Task[bool] | None = None
    recovery: asyncio.Task[None] | None = None


class HomeMonitor:
    """Probes homes that do not answer, and avoids them until they do.

    Args:
        network: Messages to other proxies.
        members: Returns the registered proxies by name.
        metrics: Metrics of forwarding.
        timers: Timer service.
    """

    def __init__(
        self,
        *,
        network: PeerNetwork,
        members: Callable[[], Mapping[str, MemberRecord]],
        metrics: ForwardingMetrics,
        timers: Timers,
    ) -> None:
        self._network = network
        self._members = members
        self._metrics = metrics
        self._timers = timers
        self._states: dict[str, _State] = {}
        self._tasks: set[asyncio.Task[Any]] = set()

    def usable(self, home: MemberRecord) -> bool:
        """Returns whether requests may be sent to a home."""
        return not self._state(home).avoided

    async def incarnation(self, home: MemberRecord) -> int:
        """Returns the incarnation of a home, after a probe if it is unknown.

        Raises:
            PeerUnreachableError: The home does not answer, or is stopping.
        """
        state = self._state(home)
        if not state.incarnation and not await self._probe(state):
            self._avoid(state, "no answer to a probe")
        if state.avoided:
            raise PeerUnreachableError(f"{home.peer.name}: no answer to a probe")
        return state.incarnation

    def begin(self, home: MemberRecord, fail: Callable[[], None]) -> None:
        """Records a request in flight.

        Args:
            home: Receiver of the request.
            fail: Called if the home turns out to be unreachable. It also identifies the
                request in `end`.
        """
        state = self._state(home)
        state.sent_at[fail] = self._timers.now()
        if state.watch is None:
            state.watch = self._start(self._watch(state))

    def end(
        self, home: MemberRecord, fail: Callable[[], None], *, answered: bool
    ) -> None:
        """Records the end of a request in flight, with or without an answer."""
        state = self._state(home)
        sent_at = state.sent_at.pop(fail, None)
        if answered:
            state.answered_at = self._timers.now()
        elif sent_at is not None and state.answered_at < sent_at:
            # It was given up before it was due to be probed.
            self._start(self._check(state))

    def has_answered_since(self, home: MemberRecord, at: float) -> bool:
        """Returns whether a home has answered anything since a monotonic time."""
        return self._state(home).answered_at >= at

    def note_restarted(self, home: MemberRecord) -> None:
        """Records that another incarnation of a home has answered."""
        state = self._state(home)
        log.info(
            "home has restarted", home=state.peer.name, incarnation=state.incarnation
        )
        state.incarnation = 0

    def note_stopping(self, home: MemberRecord) -> None:
        """Records that a home has answered that it is about to end."""
        self._avoid(self._state(home), "stopping")

    def close(self) -> None:
        """Ends all probes."""
        for task in self._tasks:
            task.cancel()

    def _state(self, home: MemberRecord) -> _State:
        """Returns the state of a home, renewed if the home has registered again."""
        state = self._states.get(home.peer.name)
        if state is None:
            state = _State(peer=home.peer, version=home.version)
            self._states[home.peer.name] = state
        elif state.version != home.version:
            # The row was written anew, so another process may have started.
            state.peer = home.peer
            state.version = home.version
            state.incarnation = 0
            state.avoided = False
        return state

    def _start(self, coroutine: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _watch(self, state: _State) -> None:
        """Probes a home while its answers are overdue."""
        try:
            while state.sent_at and not state.avoided:
                oldest = next(iter(state.sent_at.values()))
                due = max(oldest, state.answered_at) + PROBE_AFTER_S
                if due > self._timers.now():
                    await self._timers.sleep(due - self._timers.now())
                else:
                    await self._check(state)
        finally:
            state.watch = None

    async def _check(self, state: _State) -> None:
        """Probes a home; without answers, avoids it and fails its requests.

        Requests in flight fail after a second probe, because a home that is short of
        processor time may be late once, and their callers are told that they may have
        run.
        """
        if state.avoided or await self._probe(state):
            return
        self._avoid(state, "no answer to a probe")
        if await self._probe(state):
            return
        failed = list(state.sent_at)
        if failed:
            log.info(
                "requests to a home given up, they may have run",
                home=state.peer.name,
                requests=len(failed),
            )
        for fail in failed:
            fail()

    async def _probe(self, state: _State) -> bool:
        """Returns whether a home answers a probe and goes on running.

        Callers at the same time share one probe.
        """
        if state.probe is None:
            state.probe = self._start(self._send_probe(state))
        return await asyncio.shield(state.probe)

    async def _send_probe(self, state: _State) -> bool:
        try:
            answer = await self._network.request(
                state.peer, HomeProbe(), timeout_s=PROBE_TIMEOUT_S
            )
        except PeerUnreachableError:
            return False
        finally:
            state.probe = None
        if not isinstance(answer, HomeStatus) or answer.stopping:
            return False
        state.answered_at = self._timers.now()
        if answer.incarnation != state.incarnation:
            log.info(
                "home found",
                home=state.peer.name,
                incarnation=answer.incarnation,
                known=state.incarnation,
            )
        state.incarnation = answer.incarnation
        return True

    def _avoid(self, state: _State, reason: str) -> None:
        if state.avoided:
            return
        state.avoided = True
        self._metrics.unreachable.inc()
        log.info(
            "home marked as unreachable",
            home=state.peer.name,
            reason=reason,
            avoid_s=INITIAL_AVOID_S,
            in_flight=len(state.sent_at),
        )
        if state.recovery is None:
            state.recovery = self._start(self._recover(state))

    async def _recover(self, state: _State) -> None:
        """Probes an avoided home until it answers or is no longer a member."""
        pause_s = INITIAL_AVOID_S
        try:
            while state.avoided:
                await self._timers.sleep(pause_s)
                if state.peer.name not in self._members():
                    self._states.pop(state.peer.name, None)
                    return
                if state.avoided and await self._probe(state):
                    state.avoided = False
                    log.info(
                        "home answers again",
                        home=state.peer.name,
                        incarnation=state.incarnation,
                    )
                pause_s = min(2 * pause_s, MAX_AVOID_S)
        finally:
            state.recovery = None
