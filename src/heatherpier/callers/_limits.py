"""Limits that one caller's connection keeps to."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerLimits:
    """Limits of the listener and of each caller's connection.

    Attributes:
        connections: Callers connected at once.
        packet_bytes: Longest statement in bytes, over all of its packets.
        prepared_statements: Prepared statements that a connection may hold.
        handshake_s: Time in seconds from accept to the end of authentication.
        idle_s: Longest time in seconds between two commands.
        packet_s: Time in seconds from the first to the last byte of a command.
        write_s: Time in seconds that a caller may take to read an answer.
        linger_s: Time in seconds that a caller has to close its end after the
            last answer.
    """

    connections: int = 2000
    packet_bytes: int = 4 * 1024 * 1024
    prepared_statements: int = 1024
    handshake_s: float = 5.0
    idle_s: float = 3600.0
    packet_s: float = 10.0
    write_s: float = 30.0
    linger_s: float = 2.0
