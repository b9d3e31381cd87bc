"""A connection to an instance and the session state that is set on it."""

import asyncio
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

import xxhash

from heatherpier.pooling._calls import (
    ApplyValue,
    Call,
    ClearSession,
    PrepareShape,
    RollBack,
)
from heatherpier.pooling._interface import InstanceLink
from heatherpier.requests import OverloadedError
from heatherpier.statements import Access, Done, Reply, SessionState
from heatherpier.telemetry import get_logger
from heatherpier.timers import Timers
from heatherpier.upstreams import (
    AnswerTimeoutError,
    ConnectError,
    ConnectionLostError,
    UpstreamError,
)

log = get_logger("lending")
# A connection with at least this many prepared statements is cleared at its next use.
MAX_PREPARED = 256


def shape_name(access: Access, shape: str) -> str:
    """Returns the name of a prepared statement, the same for all sessions."""
    prefix = "r" if access is Access.READ else "w"
    return prefix + xxhash.xxh64_hexdigest(shape.encode())


@dataclass(frozen=True, slots=True, kw_only=True)
class SessionNeeds:
    """Session state that a statement relies on.

    Attributes:
        values: Session values that were acknowledged to the caller.
        prepared: Prepared statement that is run next, or None.
    """

    values: Mapping[str, str] = field(default_factory=dict)
    prepared: PrepareShape | None = None


class InstanceConnection:
    """A connection to one instance, used by one session at a time.

    Attributes:
        instance: Name of the instance.
        organisation: Name of the organisation that it was opened for, or empty. Only
            statements of that organisation run on it.
        usable: Whether it can run another statement.
        opened_at: Monotonic time in seconds at which it was opened.
        used_at: Monotonic time in seconds of its last answer.
        values: Session values that are set on it.
    """

    def __init__(
        self,
        link: InstanceLink,
        *,
        instance: str,
        timers: Timers,
        organisation: str = "",
    ) -> None:
        self.instance = instance
        self.organisation = organisation
        self.usable = True
        self.opened_at = timers.now()
        self.used_at = timers.now()
        self.values: dict[str, str] = {}
        self._link = link
        self._timers = timers
        self._prepared: set[str] = set()
        self._in_transaction = False
        self._busy = False

    @property
    def clean(self) -> bool:
        """Whether it can be reused: it is open, idle and in no transaction."""
        return self.usable and not self._in_transaction and not self._busy

    def setup_calls(self, needs: SessionNeeds) -> list[Call]:
        """Returns the calls that bring the connection into the needed session state."""
        calls: list[Call] = []
        needed = dict(needs.values)
        current = self.values
        prepared = self._prepared
        if current.keys() - needed.keys() or len(prepared) >= MAX_PREPARED:
            calls.append(ClearSession())
            current = {}
            prepared = set()
        calls.extend(
            ApplyValue(name=name, value=value)
            for name, value in needed.items()
            if current.get(name) != value
        )
        if needs.prepared is not None and needs.prepared.name not in prepared:
            calls.append(needs.prepared)
        return calls

    async def run(
        self, calls: Sequence[Call], *, timeout_s: float, grace_s: float = 0.0
    ) -> list[Reply]:
        """Sends calls in one batch and returns their answers.

        Args:
            calls: The calls, in order.
            timeout_s: Time in seconds within which all answers are needed.
            grace_s: Time in seconds after that for which late answers are still read.

        Raises:
            ConnectError: The connection was already closed; nothing was sent.
            ConnectionLostError: Not all answers arrived; the connection is now
                closed.
        """
        if not self.usable:
            raise ConnectError(f"{self.instance}: the connection is already closed")
        if self._link.has_unread():
            self.abort()
            raise ConnectError(
                f"{self.instance}: connection closed, or unexpected data arrived"
            )
        self._busy = True
        try:
            async with self._timers.timeout(timeout_s + grace_s):
                replies = await self._link.exchange(calls)
        except TimeoutError as exc:
            self.abort()
            raise AnswerTimeoutError(
                f"{self.instance}: no answer within {timeout_s + grace_s:.3f} s"
            ) from exc
        except (UpstreamError, OverloadedError, asyncio.CancelledError):
            self.abort()
            raise
        except Exception as exc:
            # The calls may have been sent, so their outcome is unknown.
            self.abort()
            log.exception("unexpected error of an exchange", instance=self.instance)
            raise ConnectionLostError(
                f"{self.instance}: unexpected {type(exc).__name__}: {exc}"
            ) from exc
        self._busy = False
        self.used_at = self._timers.now()
        for call, reply in zip(calls, replies, strict=True):
            self._record_effect(call, reply)
        return replies

    def _record_effect(self, call: Call, reply: Reply) -> None:
        """Records how an answered call changed the state of the connection."""
        self._in_transaction = reply.state is not SessionState.IDLE
        done = isinstance(reply.outcome, Done)
        match call:
            case ClearSession() if done:
                self.values = {}
                self._prepared = set()
            case ApplyValue(name=name, value=value) if done:
                self.values[name] = value
            case PrepareShape(name=name) if done:
                self._prepared.add(name)
            case ClearSession() | ApplyValue() | RollBack() if not done:
                # The call was to change the session state, which is unknown now.
                self.abort()

    def forget_prepared(self) -> None:
        """Records that the instance no longer has the prepared statements."""
        self._prepared = set()

    def has_unread(self) -> bool:
        """Returns whether data has arrived that no call waits for."""
        return self._link.has_unread()

    def abort(self) -> None:
        """Closes the connection, so that a late answer reaches no other session."""
        self.usable = False
        self._link.abort()
