"""Finds a TCP socket of this machine by its addresses, with one query to the kernel.

`/proc/net/tcp` lists all sockets. Reading it takes tens of milliseconds beside thousands of them,
which would stop the soak's event loop for a second while gateways reconnect.
"""

import contextlib
import socket
import struct

SocketAddress = tuple[str, int]

# Values of <linux/netlink.h>, <linux/sock_diag.h> and <linux/inet_diag.h>.
_NETLINK_SOCK_DIAG = 4
_SOCK_DIAG_BY_FAMILY = 20
_NLM_F_REQUEST = 1
_ANY_STATE = 0xFFFFFFFF
_NO_COOKIE = b"\xff" * 8
_HEADER = struct.Struct("=IHHII")
_REQUEST = struct.Struct("=BBBxI")
# Offset of the inode in a response: after the header, four bytes, the addresses and four numbers.
_INODE_OFFSET = 16 + 4 + 48 + 16
_TIMEOUT_S = 1.0


def find_socket_inode(local: SocketAddress, remote: SocketAddress) -> str:
    """Return the inode of the local socket with these addresses; empty if it is gone.

    Args:
        local: IPv4 address and port of the socket.
        remote: IPv4 address and port of its peer.
    """
    addresses = struct.pack(">HH", local[1], remote[1])
    for host in (local[0], remote[0]):
        addresses += socket.inet_aton(host) + bytes(12)
    body = _REQUEST.pack(socket.AF_INET, socket.IPPROTO_TCP, 0, _ANY_STATE)
    body += addresses + bytes(4) + _NO_COOKIE
    header = _HEADER.pack(_HEADER.size + len(body), _SOCK_DIAG_BY_FAMILY, _NLM_F_REQUEST, 1, 0)
    with (
        contextlib.suppress(OSError),
        socket.socket(socket.AF_NETLINK, socket.SOCK_RAW, _NETLINK_SOCK_DIAG) as kernel,
    ):
        kernel.settimeout(_TIMEOUT_S)
        kernel.send(header + body)
        response = kernel.recv(4096)
        if _HEADER.unpack_from(response)[1] == _SOCK_DIAG_BY_FAMILY:
            return str(struct.unpack_from("=I", response, _INODE_OFFSET)[0])
    return ""
