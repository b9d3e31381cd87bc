"""Options of sockets, by which an unresponsive peer is detected."""

import socket
from typing import Any

import aiohttp

# Keep-alive detects an unresponsive peer after KEEPALIVE_IDLE_S + KEEPALIVE_COUNT x
# KEEPALIVE_INTERVAL_S = 3 s, the time after which instances drop a connection whose
# remote end is unreachable.
KEEPALIVE_IDLE_S = 1
# Time between two keep-alive probes.
KEEPALIVE_INTERVAL_S = 1
# Unanswered probes after which the connection fails.
KEEPALIVE_COUNT = 2
# Longest time for which sent data may stay unacknowledged; also within the 3 s.
USER_TIMEOUT_MS = 2500
# More connections to one address would only add handshakes.
MAX_CONNECTIONS_PER_HOST = 8


def set_socket_options(sock: socket.socket) -> None:
    """Sets keep-alive and the time limit on unacknowledged data; disables Nagle."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_COUNT)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def _make_socket(addr_info: Any) -> socket.socket:
    family, kind, proto, _, _ = addr_info
    sock = socket.socket(family, kind, proto)
    sock.setblocking(False)
    set_socket_options(sock)
    return sock


def make_client_session() -> aiohttp.ClientSession:
    """Returns an HTTP client for calls to the platform."""
    connector = aiohttp.TCPConnector(
        limit_per_host=MAX_CONNECTIONS_PER_HOST,
        socket_factory=_make_socket,
        use_dns_cache=False,
    )
    return aiohttp.ClientSession(
        connector=connector,
        timeout=aiohttp.ClientTimeout(total=None),
        auto_decompress=False,
    )
