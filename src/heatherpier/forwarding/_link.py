"""A connection to an instance by way of one of its homes."""

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import dataclass

import msgspec

from heatherpier.discovery import InstanceRecord
from heatherpier.fleet import PeerNetwork, PeerUnreachableError
from heatherpier.forwarding._loads import HomeLoads
from heatherpier.forwarding._messages import (
    ForwardAnswer,
    ForwardEnd,
    ForwardRequest,
    UseRecord,
)
from heatherpier.forwarding._metrics import ForwardingMetrics
from heatherpier.forwarding._monitor import HomeMonitor
from heatherpier.forwarding._wire import decode_reply, encode_call
from heatherpier.leases import MemberRecord
from heatherpier.pooling import Call, ConnectionUse, InstanceConnection, SessionNeeds
from heatherpier.requests import OverloadedError
from heatherpier.statements import Reply
from heatherpier.telemetry import get_logger
from heatherpier.timers import Timers
from heatherpier.upstreams import (
    AnswerTimeoutError,
    ConnectError,
    ConnectionLostError,
    InstanceUnreachableError,
    PathLostError,
)

log = get_logger("forwarding")
MS_PER_S = 1000
# The network gives a request up this much later than the connection does. The network
# counts its own time-outs against its socket, which may be fine.
NETWORK_MARGIN_S = 1.0
# A request counts as sent after the start of the home's process if it was sent by more
# than this time later. It covers the drift of both clocks meanwhile.
RESTART_MARGIN_S = 0.05


@dataclass(frozen=True, slots=True, kw_only=True)
class LinkContext:
    """What all links of a proxy share.

    Attributes:
        network: Messages to other proxies.
        incarnation: Incarnation of this process.
        monitor: Which homes answer.
        loads: Load of the homes.
        primary_version: Returns the version of the leadership row under which this
            proxy may use an instance as its service's primary, or None if it may not.
        note_load: Records the load that an answer to a request sent at a time reports.
        end_later: Tells a home in the background that a link has ended.
        metrics: Metrics of forwarding.
        timers: Timer service.
    """

    network: PeerNetwork
    incarnation: int
    monitor: HomeMonitor
    loads: HomeLoads
    primary_version: Callable[[InstanceRecord], int | None]
    note_load: Callable[[InstanceRecord, ForwardAnswer, float], None]
    end_later: Callable[[MemberRecord, ForwardEnd], None]
    metrics: ForwardingMetrics
    timers: Timers


class RemoteLink:
    """Implements `InstanceLink` by requests to homes.

    Nothing is open at a home until a transaction is. Without one, each request may go
    to another home, as long as none has run it.

    Args:
        number: Number of the link, unique in this process.
        record: The instance.
        homes: Homes to use, best first.
        organisation: Organisation whose statements are run, or empty.
        priority: Priority of the statements.
        queue_until: Monotonic time in seconds until which the first request may wait
            for a connection.
        use: What the connection is for, or None.
        context: What all links share.

    Attributes:
        needs: Session state that the next request relies on.
        answer_by: Monotonic time in seconds by which the next answer is needed.
        grace_s: Time in seconds after that for which it is still read.
        asked: Home that was asked last, or None.
    """

    def __init__(
        self,
        number: int,
        record: InstanceRecord,
        *,
        homes: Sequence[MemberRecord],
        organisation: str,
        priority: int,
        queue_until: float,
        use: ConnectionUse | None,
        context: LinkContext,
    ) -> None:
        self.needs = SessionNeeds()
        self.answer_by = float("inf")
        self.grace_s = 0.0
        self.asked: MemberRecord | None = None
        self._number = number
        self._record = record
        self._homes = homes
        self._organisation = organisation
        self._priority = priority
        self._queue_until = queue_until
        self._use = use
        self._context = context
        self._step = 0
        self._primary = True
        self._pinned_at: MemberRecord | None = None
        self._home_incarnation = 0
        self._request: asyncio.Task[ForwardAnswer] | None = None
        self._request_failed = False
        self._unanswered = False
        self._closed = False

    async def exchange(self, calls: Sequence[Call]) -> list[Reply]:
        """Has a home run all calls, and returns their replies in order.

        Raises:
            OverloadedError: The homes have no room; nothing ran.
            InstanceUnreachableError: The homes can't connect to the instance; nothing
                ran.
            ConnectError: The homes refused the request; nothing ran.
            PathLostError: A home gave no answer; the calls may have run.
            ConnectionLostError: The instance gave no answer; the calls may have run.
        """
        pinned_at = self._pinned_at
        refusals: list[ForwardAnswer] = []
        for home in self._homes if pinned_at is None else [pinned_at]:
            try:
                answer = await self._ask(home, calls)
            except PeerUnreachableError as exc:
                refusals.append(ForwardAnswer(not_run=str(exc)))
                continue
            if answer.replies is not None:
                self._pinned_at = home if answer.pinned else None
                return [decode_reply(reply) for reply in answer.replies]
            if answer.lost:
                raise ConnectionLostError(answer.lost)
            self._note_refusal(home, answer)
            refusals.append(answer)
        self._pinned_at = None
        raise _refusal_error(self._record.name, refusals)

    async def _ask(self, home: MemberRecord, calls: Sequence[Call]) -> ForwardAnswer:
        """Sends one request to a home and returns its answer.

        Raises:
            PeerUnreachableError: The home does not answer probes; nothing was sent.
            ConnectError: The lease on the primary has ended; nothing was sent.
            PathLostError: No answer came; the request may have run.
        """
        context = self._context
        if self._pinned_at is None:
            self._home_incarnation = await context.monitor.incarnation(home)
        now, sent_at = context.timers.now(), context.timers.elapsed()
        left_s = max(self.answer_by - now, 0.0)
        self._step += 1
        req = self._make_request(calls, now=now, left_s=left_s)
        self.asked = home
        self._unanswered = True
        self._request_failed = False
        self._request = asyncio.ensure_future(
            self._send(home, req, timeout_s=left_s + self.grace_s + NETWORK_MARGIN_S)
        )
        answered = False
        result = "lost"
        context.monitor.begin(home, self._fail_request)
        try:
            answer = await self._request
            answered = True
            self._unanswered = False
            result = _result_label(answer)
        except PeerUnreachableError as exc:
            raise PathLostError(f"{self._record.name} by {exc}") from exc
        except asyncio.CancelledError:
            if not self._request_failed:
                raise
            raise PathLostError(
                f"{self._record.name} by {home.peer.name}: given up"
            ) from None
        finally:
            self._request = None
            context.metrics.forwarded.labels(result).inc()
            context.monitor.end(home, self._fail_request, answered=answered)
        self._note_answer(home, answer, sent_at=now)
        if answer.restarted and self._followed_restart(answer, sent_at):
            # The process that the request names had ended before, and its successor
            # refuses each copy.
            return msgspec.structs.replace(
                answer, lost="", not_run="the home had restarted before"
            )
        return answer

    def _followed_restart(self, answer: ForwardAnswer, sent_at: float) -> bool:
        """Returns whether a request was sent after the home's process had started.

        Args:
            answer: The home's answer.
            sent_at: Time in seconds by `Timers.elapsed` at which the request was sent.
        """
        began_by = self._context.timers.elapsed() - answer.running_ms / MS_PER_S
        return sent_at > began_by + RESTART_MARGIN_S

    async def _send(
        self, home: MemberRecord, req: ForwardRequest, *, timeout_s: float
    ) -> ForwardAnswer:
        answer = await self._context.network.request(
            home.peer, req, timeout_s=timeout_s
        )
        if not isinstance(answer, ForwardAnswer):
            raise PeerUnreachableError(f"{home.peer.name}: unexpected answer")
        return answer

    def _make_request(
        self, calls: Sequence[Call], *, now: float, left_s: float
    ) -> ForwardRequest:
        record, needs = self._record, self.needs
        if self._pinned_at is None:
            self._primary = _requires_primary(calls)
        version = self._context.primary_version(record) if self._primary else 0
        if version is None and self._pinned_at is None:
            raise ConnectError(f"the lease on {record.name} as primary has ended")
        return ForwardRequest(
            link=self._number,
            step=self._step,
            incarnation=self._context.incarnation,
            home=self._home_incarnation,
            instance=record.name,
            started_ms=record.started_ms,
            service=record.service,
            organisation=self._organisation,
            priority=self._priority,
            left_ms=left_s * MS_PER_S,
            queue_ms=max(self._queue_until - now, 0.0) * MS_PER_S,
            grace_ms=self.grace_s * MS_PER_S,
            primary=self._primary,
            term_version=version or 0,
            continues=self._pinned_at is not None,
            values=dict(needs.values),
            prepared=None if needs.prepared is None else encode_call(needs.prepared),
            calls=[encode_call(call) for call in calls],
            use=None if self._use is None else _encode_use(self._use, now),
        )

    def _note_answer(
        self, home: MemberRecord, answer: ForwardAnswer, *, sent_at: float
    ) -> None:
        context = self._context
        if answer.replies is not None:
            context.note_load(self._record, answer, sent_at)
        context.loads.note(
            home.peer.name,
            self._record.name,
            waiting=answer.waiting,
            in_use=answer.in_use,
        )
        if answer.restarted:
            context.monitor.note_restarted(home)
        if answer.stopping:
            context.monitor.note_stopping(home)

    def _note_refusal(self, home: MemberRecord, answer: ForwardAnswer) -> None:
        log.info(
            "home refused a request",
            home=home.peer.name,
            instance=self._record.name,
            link=self._number,
            step=self._step,
            reason=answer.not_run,
            overloaded=answer.overloaded,
            retry_after_ms=answer.retry_after_ms,
            waiting=answer.waiting,
            in_use=answer.in_use,
        )
        self._context.loads.note_refused(
            home.peer.name,
            self._record.name,
            retry_after_ms=answer.retry_after_ms if answer.overloaded else None,
        )

    def _fail_request(self) -> None:
        """Ends the wait for an answer; the request may have run."""
        if self._request is not None:
            self._request_failed = True
            self._request.cancel()

    def has_unread(self) -> bool:
        """Returns whether the link is closed."""
        return self._closed

    def abort(self) -> None:
        """Closes the link; a home rolls back and releases what it holds for it."""
        if self._closed:
            return
        self._closed = True
        self._fail_request()
        if self.asked is not None and (self._unanswered or self._pinned_at is not None):
            # The home may still run the request, or hold a transaction that it opened.
            end = ForwardEnd(link=self._number, incarnation=self._context.incarnation)
            self._context.end_later(self.asked, end)


class RemoteConnection(InstanceConnection):
    """An `InstanceConnection` over a `RemoteLink`.

    The home applies the session state, so it is sent with each request.

    Args:
        link: The link.
        instance: Name of the instance.
        monitor: Which homes answer.
        timers: Timer service.
        organisation: Organisation whose statements are run, or empty.
    """

    def __init__(
        self,
        link: RemoteLink,
        *,
        instance: str,
        monitor: HomeMonitor,
        timers: Timers,
        organisation: str,
    ) -> None:
        super().__init__(
            link, instance=instance, timers=timers, organisation=organisation
        )
        self._remote = link
        self._monitor = monitor

    def setup_calls(self, needs: SessionNeeds) -> list[Call]:
        """Records the needed session state, which the home sets up; returns no calls."""
        self._remote.needs = needs
        return []

    async def run(
        self, calls: Sequence[Call], *, timeout_s: float, grace_s: float = 0.0
    ) -> list[Reply]:
        """Has a home run the calls in one batch and returns their answers.

        Raises:
            PathLostError: The home has not answered anything since the calls were
                sent.
        """
        sent_at = self._timers.now()
        self._remote.answer_by = sent_at + timeout_s
        self._remote.grace_s = grace_s
        try:
            return await super().run(calls, timeout_s=timeout_s, grace_s=grace_s)
        except AnswerTimeoutError as exc:
            home = self._remote.asked
            if home is None or self._monitor.has_answered_since(home, sent_at):
                raise
            raise PathLostError(f"{exc} by {home.peer.name}") from exc


def _encode_use(use: ConnectionUse, now: float) -> UseRecord:
    return UseRecord(
        class_name=use.class_name,
        reads=use.reads,
        left_ms=(use.objective_at - now) * MS_PER_S,
        objective_ms=use.objective_s * MS_PER_S,
    )


def _requires_primary(calls: Sequence[Call]) -> bool:
    """Returns whether calls outside of a transaction run under a lease on a primary.

    A replica is used only with a position that its log must include.
    """
    return getattr(calls[-1], "min_position", None) is None


def _refusal_error(
    instance: str, refusals: Sequence[ForwardAnswer]
) -> OverloadedError | ConnectError:
    """Returns the error for a request that no home ran."""
    reasons = "; ".join(refusal.not_run for refusal in refusals) or "no home"
    reason = f"{instance}: {reasons}"
    overloaded = [refusal for refusal in refusals if refusal.overloaded]
    if overloaded:
        waits = [refusal.retry_after_ms or 0 for refusal in overloaded]
        return OverloadedError(reason, retry_after_ms=min(waits) or None)
    if any(refusal.unreachable for refusal in refusals):
        return InstanceUnreachableError(reason)
    return ConnectError(reason)


def _result_label(answer: ForwardAnswer) -> str:
    if answer.replies is not None:
        return "replied"
    if answer.lost:
        return "lost"
    return "overloaded" if answer.overloaded else "refused"
