"""Size and time limits of callers' connections."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerLimits:
    """Limits of the listener and of each caller's connection.

    They hold for the MySQL protocol. The class of this name in `routing` holds those
    of the line protocol.

    Attributes:
        connections: Maximum number of connected callers.
        packet_bytes: Maximum size of a statement in bytes, over all of its packets.
        prepared_statements: Maximum number of prepared statements on a connection.
        handshake_s: Maximum time in seconds from accept to the end of
            authentication.
        idle_s: Maximum time in seconds between two commands.
        packet_s: Maximum time in seconds from the first to the last byte of a
            command.
        write_s: Maximum time in seconds that a caller may take to read an answer.
        linger_s: Maximum time in seconds that the proxy waits, after the last
            answer, until the caller closes its end.
    """

    connections: int = 2000
    packet_bytes: int = 4 * 1024 * 1024
    prepared_statements: int = 1024
    handshake_s: float = 5.0
    idle_s: float = 3600.0
    packet_s: float = 10.0
    write_s: float = 30.0
    linger_s: float = 2.0
