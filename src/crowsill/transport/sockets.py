"""TCP options that close a connection whose peer no longer acknowledges anything.

A machine without power and a cut link send no reset. Without these options a connection to such a
peer hangs for many minutes.
"""

import asyncio
import socket

KEEPALIVE_INTERVAL_S = 1


def set_peer_timeout(transport: asyncio.BaseTransport, timeout_s: float) -> None:
    """Close a TCP connection once its peer has acknowledged nothing for about `timeout_s`."""
    sock = transport.get_extra_info("socket")
    if sock is None or sock.family not in (socket.AF_INET, socket.AF_INET6):
        return
    probes = max(1, round(timeout_s / KEEPALIVE_INTERVAL_S) - 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(timeout_s * 1000))
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, probes)
