"""Socket options that make silence an error.

A machine without power and a cut link say nothing; without these a connection to them hangs for
many minutes.
"""

import asyncio
import socket

PROBE_INTERVAL_S = 1


def set_peer_timeout(transport: asyncio.BaseTransport, silence_s: float) -> None:
    """End a TCP connection whose other side acknowledges nothing for about this long."""
    sock = transport.get_extra_info("socket")
    if sock is None or sock.family not in (socket.AF_INET, socket.AF_INET6):
        return
    probes = max(1, round(silence_s / PROBE_INTERVAL_S) - 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(silence_s * 1000))
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, probes)
