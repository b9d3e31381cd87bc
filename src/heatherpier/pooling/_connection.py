"""An acquired connection and the session state that stands on it."""

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
from heatherpier.statements import Access, Done, Reply, SessionState
from heatherpier.timers import Timers
from heatherpier.upstreams import AnswerTimeoutError, ConnectError

# More prepared statements than this on one connection are cleared at its next use.
MAX_PREPARED = 256


def shape_name(access: Access, shape: str) -> str:
    """Returns the name under which all sessions share a prepared statement."""
    prefix = "r" if access is Access.READ else "w"
    return prefix + xxhash.xxh64_hexdigest(shape.encode())


@dataclass(frozen=True, slots=True, kw_only=True)
class SessionNeeds:
    """Session state that a statement relies on.

    Attributes:
        values: All session values that were acknowledged to the caller.
        prepared: The prepared statement that is to be run, or None.
    """

    values: Mapping[str, str] = field(default_factory=dict)
    prepared: PrepareShape | None = None


class InstanceConnection:
    """A connection to one instance, held by one user at a time.

    Attributes:
        instance: Name of the instance.
        usable: Whether it may run another statement.
        opened_at: Monotonic time in seconds when it was opened.
        used_at: Monotonic time in seconds of its last answer.
        values: Session values that stand on it.
    """

    def __init__(self, link: InstanceLink, *, instance: str, timers: Timers) -> None:
        self.instance = instance
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
        """Whether it may go to another session."""
        return self.usable and not self._in_transaction and not self._busy

    def setup_calls(self, needs: SessionNeeds) -> list[Call]:
        """Returns what must be sent first so that the session state fits."""
        calls: list[Call] = []
        wanted = dict(needs.values)
        current = self.values
        prepared = self._prepared
        if current.keys() - wanted.keys() or len(prepared) >= MAX_PREPARED:
            calls.append(ClearSession())
            current = {}
            prepared = set()
        calls.extend(
            ApplyValue(name=name, value=value)
            for name, value in wanted.items()
            if current.get(name) != value
        )
        if needs.prepared is not None and needs.prepared.name not in prepared:
            calls.append(needs.prepared)
        return calls

    async def run(self, calls: Sequence[Call], *, timeout_s: float) -> list[Reply]:
        """Runs calls in one go and returns their answers.

        Args:
            calls: What to send, in order.
            timeout_s: Longest wait for all answers, in seconds.

        Raises:
            ConnectError: The connection was closed before; nothing was sent.
            ConnectionLostError: Not all answers arrived; the connection is closed.
        """
        if not self.usable:
            raise ConnectError(f"{self.instance}: the connection was closed")
        if self._link.has_unread():
            self.abort()
            raise ConnectError(f"{self.instance}: closed, or an answer to nothing came")
        self._busy = True
        try:
            async with self._timers.timeout(timeout_s):
                replies = await self._link.exchange(calls)
        except TimeoutError as exc:
            self.abort()
            raise AnswerTimeoutError(
                f"{self.instance}: no answer within {timeout_s:.3f} s"
            ) from exc
        except BaseException:
            self.abort()
            raise
        self._busy = False
        self.used_at = self._timers.now()
        for call, reply in zip(calls, replies, strict=True):
            self._note(call, reply)
        return replies

    def _note(self, call: Call, reply: Reply) -> None:
        """Takes in what an answered call left on the connection."""
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
                # What stands on the connection is unknown now.
                self.abort()

    def forget_prepared(self) -> None:
        """Takes in that the instance does not know the prepared statements."""
        self._prepared = set()

    def has_unread(self) -> bool:
        """Tells whether an answer has arrived that no call waits for."""
        return self._link.has_unread()

    def abort(self) -> None:
        """Closes the connection so that a late answer can reach nobody."""
        self.usable = False
        self._link.abort()
