"""TCP options and information of connections.

A machine without power and a cut link send no reset. Without options against it, a connection to
such a peer hangs for many minutes.
"""

import asyncio
import os
import socket
import struct

KEEPALIVE_INTERVAL_S = 1
# Place of `tcpi_last_data_recv`, in milliseconds, in `struct tcp_info` (linux/tcp.h).
_LAST_DATA_RECEIVED_OFFSET = 52
_LAST_DATA_RECEIVED = struct.Struct("=I")


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


def seconds_since_received(sock: socket.socket) -> float:
    """Return how long ago the kernel last received data on a connection, or opened it.

    It is 0 where the kernel does not tell.
    """
    size = _LAST_DATA_RECEIVED_OFFSET + _LAST_DATA_RECEIVED.size
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, size)
    except OSError:
        return 0.0
    if len(info) < size:
        return 0.0
    (milliseconds,) = _LAST_DATA_RECEIVED.unpack_from(info, _LAST_DATA_RECEIVED_OFFSET)
    return float(milliseconds) / 1000.0


async def connect(host: str, port: int, timeout_s: float) -> socket.socket:
    """Open a TCP connection.

    An event loop that is late itself says nothing about the other end. So a connection that the
    kernel has opened in time is returned, however late that is noticed.

    Args:
        host: IP address.
        port: Port.
        timeout_s: Time within which the other end must accept the connection.

    Raises:
        OSError: The connection was refused or failed.
        TimeoutError: The other end did not accept it in time.
    """
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    sock.setblocking(False)
    try:
        try:
            async with asyncio.timeout(timeout_s):
                await asyncio.get_running_loop().sock_connect(sock, (host, port))
        except TimeoutError:
            _check_connected(sock)
    except BaseException:
        sock.close()
        raise
    return sock


def _check_connected(sock: socket.socket) -> None:
    """Raise an error unless the kernel has opened the connection."""
    error = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    if error:
        raise OSError(error, os.strerror(error))
    try:
        sock.getpeername()
    except OSError as not_connected:
        raise TimeoutError from not_connected
