"""Sets the fields of answer packets that the protocol library leaves at defaults."""

from typing import Any

from mysql_mimic.connection import Connection

SQLSTATE_START = 4
SQLSTATE_END = 9


class PacketAdapter:
    """Puts the outcome of a statement into its OK or error packet.

    The library answers each statement without rows by ``ok()`` with zero
    affected rows, and takes the SQLSTATE of an error from a fixed table. The
    adapter replaces both methods on one connection.

    Args:
        conn: Connection of the library, whose ``ok`` and ``error`` are replaced.
    """

    def __init__(self, conn: Connection) -> None:
        self._conn = conn
        self._ok = conn.ok
        self._error = conn.error
        self._affected_rows = 0
        self._last_insert_id = 0
        self._sqlstate: str | None = None
        # The handshake carries these flags, and drivers decide by them whether
        # to send a statement that turns autocommit off.
        self.set_status(in_transaction=False, autocommit=True)
        conn.ok = self._make_ok
        conn.error = self._make_error

    def set_result(self, *, affected_rows: int, last_insert_id: int) -> None:
        """Sets the counts of the next OK packet."""
        self._affected_rows = affected_rows
        self._last_insert_id = last_insert_id

    def set_sqlstate(self, sqlstate: str) -> None:
        """Sets the SQLSTATE of the next error packet."""
        self._sqlstate = sqlstate

    def set_status(self, *, in_transaction: bool, autocommit: bool) -> None:
        """Sets the status flags of all following packets."""
        flags = self._conn.status_flags
        status = type(flags)
        self._conn.status_flags = status(
            (status.SERVER_STATUS_IN_TRANS if in_transaction else 0)
            | (status.SERVER_STATUS_AUTOCOMMIT if autocommit else 0)
        )

    def _make_ok(self, **fields: Any) -> bytes:
        if not fields:
            fields = {
                "affected_rows": self._affected_rows,
                "last_insert_id": self._last_insert_id,
            }
        self.set_result(affected_rows=0, last_insert_id=0)
        packet: bytes = self._ok(**fields)
        return packet

    def _make_error(self, **fields: Any) -> bytes:
        packet: bytes = self._error(**fields)
        sqlstate, self._sqlstate = self._sqlstate, None
        if sqlstate is None:
            return packet
        return packet[:SQLSTATE_START] + sqlstate.encode() + packet[SQLSTATE_END:]
