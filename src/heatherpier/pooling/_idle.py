"""Idle connections of a pool."""

from collections.abc import Mapping

from heatherpier.pooling._calls import ClearSession, RollBack
from heatherpier.pooling._connection import InstanceConnection
from heatherpier.telemetry import get_logger
from heatherpier.timers import Timers
from heatherpier.upstreams import UpstreamError

log = get_logger("lending")
# A connection that was idle for longer is checked before use, because an open
# connection can stop answering for good.
IDLE_CHECK_S = 1.0
IDLE_CHECK_TIMEOUT_S = 0.25
ROLLBACK_TIMEOUT_S = 0.5


class IdleConnections(list[InstanceConnection]):
    """The connections that nobody uses, the last used one last.

    Args:
        timers: Timer service.
    """

    def __init__(self, *, timers: Timers) -> None:
        super().__init__()
        self._timers = timers

    def take(
        self, values: Mapping[str, str], organisation: str
    ) -> InstanceConnection | None:
        """Returns a connection of the organisation, the last used one first.

        Args:
            values: Session values; a connection that has exactly them is preferred.
            organisation: The organisation, or empty.
        """
        usable = [conn for conn in self if conn.organisation == organisation]
        if not usable:
            return None
        conn = next((item for item in reversed(usable) if item.values == values), None)
        conn = conn or usable[-1]
        self.remove(conn)
        return conn

    def close_oldest(self) -> None:
        """Closes the connection that was not used for longest, to make room."""
        conn = min(self, key=lambda item: item.used_at)
        self.remove(conn)
        conn.abort()

    def close_all(self) -> int:
        """Closes all connections and returns their number."""
        for conn in self:
            conn.abort()
        count = len(self)
        self.clear()
        return count

    def close_unused(self, *, idle_s: float, at_most: int) -> int:
        """Closes connections that were idle for long; returns their number.

        Args:
            idle_s: Time in seconds for which they were idle.
            at_most: Maximum number of connections that are closed.
        """
        idle_since = self._timers.now() - idle_s
        unused = [conn for conn in self if conn.used_at <= idle_since]
        for conn in unused[:at_most]:
            self.remove(conn)
            conn.abort()
        return len(unused[:at_most])


async def passes_check(conn: InstanceConnection, *, timers: Timers) -> bool:
    """Returns whether a connection is usable, after a check if it was idle."""
    if timers.now() - conn.used_at <= IDLE_CHECK_S and not conn.has_unread():
        return True
    try:
        await conn.run([ClearSession()], timeout_s=IDLE_CHECK_TIMEOUT_S)
    except UpstreamError as exc:
        log.info(
            "idle check failed, connection closed",
            instance=conn.instance,
            reason=str(exc),
        )
    return conn.usable


async def roll_back(conn: InstanceConnection) -> None:
    """Rolls back the transaction of a connection that is open."""
    try:
        if conn.usable:
            await conn.run([RollBack()], timeout_s=ROLLBACK_TIMEOUT_S)
    except UpstreamError as exc:
        # The instance rolls the transaction back when the connection closes.
        log.info(
            "rollback failed, connection closed",
            instance=conn.instance,
            reason=str(exc),
        )
