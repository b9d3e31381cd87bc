"""Runs the statements that other proxies forward to this one."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

import msgspec

from heatherpier.discovery import InstanceRecord, InstanceRegistry
from heatherpier.fleet import Message, PeerNetwork
from heatherpier.forwarding._messages import (
    ForwardAnswer,
    ForwardEnd,
    ForwardRequest,
    HomeProbe,
    HomeStatus,
)
from heatherpier.forwarding._metrics import ForwardingMetrics
from heatherpier.forwarding._pins import LinkKey, Pin, Pins
from heatherpier.forwarding._queue import WaitingRequests
from heatherpier.forwarding._receipts import Receipts
from heatherpier.forwarding._wire import decode_call, encode_reply
from heatherpier.leases import InFlightWork, Lease, PrimaryLeases
from heatherpier.pooling import (
    ConnectionPool,
    ConnectionUse,
    InstanceConnection,
    InstancePools,
    PrepareShape,
    SessionNeeds,
)
from heatherpier.requests import OverloadedError
from heatherpier.statements import Code, Done, Failed, Reply
from heatherpier.telemetry import get_logger
from heatherpier.timers import Timers
from heatherpier.upstreams import (
    ConnectError,
    ConnectionLostError,
    TooManyConnectionsError,
)

log = get_logger("forwarding")
MS_PER_S = 1000
# A statement is not sent if less time than this is left for its answer.
MIN_EXECUTION_S = 0.05
MIN_RETRY_MS = 50
# Fraction of the time left for which a request waits for the first connection to an
# instance, as statements of the own callers do: the instance may be full of connections
# of lost proxies, which it drops within seconds.
UNOPENED_FRACTION = 0.45
# Maximum size of the rows of an answer, in characters of up to 4 bytes, so that the
# answer fits into a frame.
MAX_ANSWER_CHARS = 1_000_000


class InstanceNotes(Protocol):
    """Records how instances answer."""

    def note_answer(self, name: str) -> None:
        """Records that an instance answered, with success or failure."""

    def note_failure(self, name: str, *, reason: str, sent_at: float) -> None:
        """Records that an instance gave no answer."""


class _NotRunError(Exception):
    """The request is refused; nothing was written to the instance."""

    def __init__(self, answer: ForwardAnswer) -> None:
        super().__init__(answer.not_run)
        self.answer = answer


@dataclass(frozen=True, slots=True, kw_only=True)
class _Job:
    """A request with what was found out at its receipt.

    Attributes:
        key: The link.
        req: The request.
        received_at: Monotonic time in seconds of the receipt.
    """

    key: LinkKey
    req: ForwardRequest
    received_at: float

    @property
    def send_until(self) -> float:
        """Monotonic time in seconds after which nothing is sent to the instance."""
        left_s = self.req.left_ms / MS_PER_S - MIN_EXECUTION_S
        return self.received_at + left_s

    def queue_until(self, *, connected: bool) -> float:
        """Returns until when it may wait for a connection.

        Args:
            connected: Whether any connection to the instance is open.

        Returns:
            Monotonic time in seconds.
        """
        queue_ms = self.req.queue_ms
        if not connected:
            queue_ms = max(queue_ms, self.req.left_ms * UNOPENED_FRACTION)
        return min(self.received_at + queue_ms / MS_PER_S, self.send_until)

    @property
    def use(self) -> ConnectionUse | None:
        """What the connection is for, or None if the sender does not say."""
        use = self.req.use
        if use is None:
            return None
        return ConnectionUse(
            class_name=use.class_name,
            reads=use.reads,
            objective_at=self.received_at + use.left_ms / MS_PER_S,
            objective_s=use.objective_ms / MS_PER_S,
        )

    @property
    def answer_until(self) -> float:
        """Monotonic time in seconds until which an answer is of use."""
        limit_ms = self.req.left_ms + self.req.grace_ms
        return self.received_at + limit_ms / MS_PER_S


class ForwardingServer:
    """Answers forwarded requests on connections of this proxy's own pools.

    It never forwards a request again, also if this proxy is not a home by its own
    table.

    Args:
        network: Messages to and from other proxies.
        incarnation: Incarnation of this process.
        registry: The registered instances.
        pools: Connection pools of the instances.
        leases: Leases on primaries.
        in_flight: In-flight work on primaries.
        notes: Records how instances answer.
        idle_limit_s: Returns the longest pause inside a transaction, in seconds.
        metrics: Metrics of forwarding.
        timers: Timer service.
    """

    def __init__(
        self,
        *,
        network: PeerNetwork,
        incarnation: int,
        registry: InstanceRegistry,
        pools: InstancePools,
        leases: PrimaryLeases,
        in_flight: InFlightWork,
        notes: InstanceNotes,
        idle_limit_s: Callable[[], float],
        metrics: ForwardingMetrics,
        timers: Timers,
    ) -> None:
        self._incarnation = incarnation
        self._registry = registry
        self._pools = pools
        self._leases = leases
        self._notes = notes
        self._metrics = metrics
        self._timers = timers
        self._began = timers.elapsed()
        self._stopping = False
        self._ends_transactions = False
        self._waiting = WaitingRequests()
        # Waits for a connection, by link. A link has one request at a time.
        self._acquiring: dict[LinkKey, asyncio.Task[InstanceConnection]] = {}
        # By sender and its incarnation.
        self._receipts: dict[str, dict[int, Receipts]] = {}
        self._running: dict[tuple[LinkKey, int], asyncio.Future[ForwardAnswer]] = {}
        self._pins = Pins(
            in_flight=in_flight,
            idle_limit_s=idle_limit_s,
            metrics=metrics,
            timers=timers,
        )
        network.handle(ForwardRequest, self._on_request)
        network.handle(ForwardEnd, self._on_end)
        network.handle(HomeProbe, self._on_probe)

    def stop(self) -> None:
        """Refuses new requests from now on; open transactions may go on."""
        if not self._stopping:
            log.info("forwarded statements are refused, this proxy stops")
        self._stopping = True

    def end_transactions(self) -> None:
        """Rolls back open transactions, each once no request of it is running."""
        self._ends_transactions = True
        self._pins.end_idle(cause="stopping")

    def is_busy(self) -> bool:
        """Returns whether a request is running or a transaction is open here."""
        return bool(self._running) or self._pins.any()

    def close(self) -> None:
        """Rolls back the transactions that are still open."""
        self._pins.close()

    async def _on_probe(self, sender: str, probe: HomeProbe) -> Message:
        return HomeStatus(incarnation=self._incarnation, stopping=self._stopping)

    async def _on_end(self, sender: str, end: ForwardEnd) -> None:
        key = LinkKey(sender=sender, incarnation=end.incarnation, link=end.link)
        self._receipts_of(sender, end.incarnation).end(end.link)
        acquiring = self._acquiring.get(key)
        if acquiring is not None:
            acquiring.cancel()
        self._pins.end(key, cause="end")

    async def _on_request(self, sender: str, req: ForwardRequest) -> Message:
        key = LinkKey(sender=sender, incarnation=req.incarnation, link=req.link)
        if req.home != self._incarnation:
            # The process that the request was for may have run it already.
            return self._answered(
                key,
                req,
                ForwardAnswer(
                    lost="the home has restarted",
                    restarted=True,
                    running_ms=(self._timers.elapsed() - self._began) * MS_PER_S,
                ),
            )
        running = self._running.get((key, req.step))
        if running is not None:
            return await asyncio.shield(running)
        if not self._admit(key, req):
            return self._answered(
                key, req, ForwardAnswer(lost="the request was received before")
            )
        fut: asyncio.Future[ForwardAnswer] = asyncio.get_running_loop().create_future()
        self._running[(key, req.step)] = fut
        job = _Job(key=key, req=req, received_at=self._timers.now())
        answer = ForwardAnswer(lost="the home has ended")
        try:
            answer = await self._run(job)
        except Exception as exc:
            log.exception("forwarded request failed", sender=sender, link=req.link)
            answer = ForwardAnswer(lost=f"unexpected {type(exc).__name__} at the home")
        finally:
            del self._running[(key, req.step)]
            fut.set_result(answer)
        return self._answered(key, req, answer)

    def _admit(self, key: LinkKey, req: ForwardRequest) -> bool:
        """Returns whether a request has not been received before."""
        held = self._pins.get(key) is not None
        receipts = self._receipts_of(key.sender, key.incarnation)
        return receipts.admit(req.link, req.step, held=held)

    def _receipts_of(self, sender: str, incarnation: int) -> Receipts:
        known = self._receipts.setdefault(sender, {})
        receipts = known.get(incarnation)
        if receipts is None:
            for number, earlier in known.items():
                if number < incarnation:
                    earlier.close()
            receipts = known[incarnation] = Receipts()
            self._pins.end_earlier(sender, incarnation)
        return receipts

    def _answered(
        self, key: LinkKey, req: ForwardRequest, answer: ForwardAnswer
    ) -> ForwardAnswer:
        """Counts an answer, and logs it unless the instance replied."""
        result = "replied"
        if answer.replies is None:
            result = "lost" if answer.lost else "refused"
            if answer.overloaded:
                result = "overloaded"
            log.info(
                "forwarded request not served",
                sender=key.sender,
                link=key.link,
                step=req.step,
                instance=req.instance,
                organisation=req.organisation,
                primary=req.primary,
                term_version=req.term_version,
                left_ms=round(req.left_ms),
                result=result,
                reason=answer.not_run or answer.lost,
                waiting=answer.waiting,
                in_use=answer.in_use,
            )
        self._metrics.served.labels(result).inc()
        return answer

    async def _run(self, job: _Job) -> ForwardAnswer:
        try:
            pin = self._pins.get(job.key)
            if pin is None:
                pin = await self._acquire(job)
            else:
                self._check_pin(pin, job)
        except _NotRunError as exc:
            return exc.answer
        pin.busy = True
        answer = await self._exchange(pin, job)
        pin.busy = False
        pin.used_at = self._timers.now()
        if pin.conn.usable and not pin.conn.clean and not self._has_ended(job):
            self._pins.add(pin)
            if self._ends_transactions:
                # The sender is told that the transaction is still held, so that its
                # next request is refused here and is not run outside of it.
                self._pins.end(job.key, cause="stopping")
            return self._with_load(pin.pool, answer, pinned=True)
        self._pins.release(pin)
        return self._with_load(pin.pool, answer, pinned=False)

    def _check_pin(self, pin: Pin, job: _Job) -> None:
        """Checks that the next statement of an open transaction may run.

        The first one is new work, as the opening alone binds nothing.

        Raises:
            _NotRunError: It may not, and the transaction is rolled back.
        """
        if pin.lease is not None and not self._leases.is_valid_or_draining(pin.lease):
            self._pins.end(job.key, cause="lease")
            raise _refused("the lease of the home on the primary has ended")
        if pin.opened_only and not self._registry.accepts_new_work(job.req.instance):
            self._pins.end(job.key, cause="leaving")
            raise _refused(f"{job.req.instance} is leaving")
        if pin.opened_only:
            self._registry.note_new_work(job.req.instance)
        pin.opened_only = False

    async def _acquire(self, job: _Job) -> Pin:
        """Acquires a connection for a request outside of an open transaction.

        Raises:
            _NotRunError: The request is refused.
        """
        req = job.req
        if self._stopping:
            raise _refused("the home is stopping", stopping=True)
        if req.continues:
            raise _refused("the home does not hold the transaction")
        record = self._record(req)
        self._check_lease(req)
        pool = self._pools.direct(record)
        if not self._waiting.has_room(job.key.sender):
            raise _NotRunError(
                self._overloaded_answer(pool, "the home's queue is full")
            )
        with self._waiting.enter(job.key.sender):
            conn = await self._wait_for_connection(pool, job)
        began = self._timers.now()
        try:
            # The state may have changed during the wait.
            lease = self._check_lease(req)
            self._check_accepts_work(req)
            self._check_wanted(job)
            self._registry.note_new_work(req.instance)
        except _NotRunError:
            pool.release(conn, held_s=0.0)
            raise
        pin = Pin(
            key=job.key,
            conn=conn,
            pool=pool,
            service=req.service,
            lease=lease,
            began=began,
            used_at=began,
        )
        self._pins.begin(pin)
        return pin

    def _record(self, req: ForwardRequest) -> InstanceRecord:
        record = self._registry.get(req.instance)
        if record is None or record.service != req.service:
            raise _refused(f"the home does not know {req.instance}")
        if record.started_ms != req.started_ms:
            raise _refused(
                f"the home knows {req.instance} as started at {record.started_ms},"
                f" not at {req.started_ms}"
            )
        self._check_accepts_work(req)
        return record

    def _check_accepts_work(self, req: ForwardRequest) -> None:
        if not self._registry.accepts_new_work(req.instance):
            raise _refused(f"{req.instance} is leaving")

    def _check_lease(self, req: ForwardRequest) -> Lease | None:
        """Returns this proxy's lease on the instance; None if it is used as a replica.

        Raises:
            _NotRunError: The instance is to be used as the primary without a lease.
        """
        if not req.primary:
            return None
        lease = self._leases.lease(req.service)
        if isinstance(lease, Lease) and lease.instance == req.instance:
            return lease
        reason = lease.instance if isinstance(lease, Lease) else lease.reason
        raise _refused(f"the home has no lease on {req.instance}: {reason}")

    def _check_wanted(self, job: _Job) -> None:
        if self._timers.now() > job.send_until:
            raise _refused("no connection in time")
        if self._has_ended(job):
            raise _refused("the sender has ended the link")

    def _has_ended(self, job: _Job) -> bool:
        key = job.key
        return self._receipts_of(key.sender, key.incarnation).ended(key.link)

    async def _wait_for_connection(
        self, pool: ConnectionPool, job: _Job
    ) -> InstanceConnection:
        req = job.req
        sent_at = self._timers.now()
        queue_until = job.queue_until(connected=pool.open_connections > 0)
        leaving_at = sent_at + self._registry.new_work_left_s(req.instance)
        acquiring = asyncio.create_task(
            pool.acquire(
                req.values,
                organisation=req.organisation,
                priority=req.priority,
                deadline=min(queue_until, leaving_at),
                use=job.use,
            )
        )
        self._acquiring[job.key] = acquiring
        try:
            return await acquiring
        except asyncio.CancelledError as exc:
            if not self._has_ended(job):
                raise
            raise _refused("the sender has ended the link") from exc
        except OverloadedError as exc:
            if leaving_at < queue_until:
                raise _refused(f"{req.instance} is leaving") from exc
            answer = self._overloaded_answer(pool, exc.reason, exc.retry_after_ms)
            raise _NotRunError(answer) from exc
        except TooManyConnectionsError as exc:
            raise _refused(str(exc)) from exc
        except ConnectError as exc:
            self._notes.note_failure(req.instance, reason=str(exc), sent_at=sent_at)
            raise _refused(str(exc), unreachable=True) from exc
        finally:
            del self._acquiring[job.key]

    def _overloaded_answer(
        self, pool: ConnectionPool, reason: str, retry_after_ms: int | None = None
    ) -> ForwardAnswer:
        wait_ms = max(int(pool.expected_wait_s() * MS_PER_S), MIN_RETRY_MS)
        return self._with_load(
            pool,
            ForwardAnswer(
                not_run=reason,
                overloaded=True,
                retry_after_ms=retry_after_ms or wait_ms,
            ),
            pinned=False,
        )

    async def _exchange(self, pin: Pin, job: _Job) -> ForwardAnswer:
        """Runs the calls of a request on a connection, after its session state."""
        req, conn = job.req, pin.conn
        needs = _needs(req)
        setup = conn.setup_calls(needs)
        calls = [*setup, *map(decode_call, req.calls)]
        sent_at = self._timers.now()
        try:
            replies = await conn.run(
                calls, timeout_s=max(job.answer_until - sent_at, MIN_EXECUTION_S)
            )
        except ConnectError as exc:
            return ForwardAnswer(not_run=str(exc))
        except ConnectionLostError as exc:
            self._notes.note_failure(req.instance, reason=str(exc), sent_at=sent_at)
            return ForwardAnswer(lost=str(exc))
        self._notes.note_answer(req.instance)
        for reply in replies[: len(setup)]:
            if isinstance(reply.outcome, Failed):
                conn.abort()
                return ForwardAnswer(lost=f"setup failed: {reply.outcome.reason}")
        replies = replies[len(setup) :]
        if any(_lacks_prepared_statement(reply) for reply in replies):
            conn.forget_prepared()
        size = sum(map(_size, replies))
        if size > MAX_ANSWER_CHARS:
            return ForwardAnswer(lost=f"the answer has {size} characters")
        return ForwardAnswer(replies=[encode_reply(reply) for reply in replies])

    def _with_load(
        self, pool: ConnectionPool, answer: ForwardAnswer, *, pinned: bool
    ) -> ForwardAnswer:
        return msgspec.structs.replace(
            answer, pinned=pinned, waiting=pool.waiting, in_use=pool.in_use
        )


def _refused(
    reason: str, *, stopping: bool = False, unreachable: bool = False
) -> _NotRunError:
    return _NotRunError(
        ForwardAnswer(not_run=reason, stopping=stopping, unreachable=unreachable)
    )


def _needs(req: ForwardRequest) -> SessionNeeds:
    prepared = None if req.prepared is None else decode_call(req.prepared)
    if prepared is not None and not isinstance(prepared, PrepareShape):
        raise TypeError(f"expected a prepared statement, got {type(prepared).__name__}")
    return SessionNeeds(values=req.values, prepared=prepared)


def _size(reply: Reply) -> int:
    """Returns the size of a reply's rows, in characters."""
    outcome = reply.outcome
    return sum(map(len, outcome.rows)) if isinstance(outcome, Done) else 0


def _lacks_prepared_statement(reply: Reply) -> bool:
    outcome = reply.outcome
    return isinstance(outcome, Failed) and outcome.code is Code.UNKNOWN_STATEMENT
