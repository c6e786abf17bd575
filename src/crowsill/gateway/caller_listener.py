"""Accepts callers' connections, fewer of them while the gateway gets more than it can serve."""

import asyncio
import socket
from collections.abc import Callable
from random import Random

from crowsill.events import Event
from crowsill.gateway.caller_protocol import CallerConnection
from crowsill.gateway.connection_admission import CHECK_INTERVAL_S, ConnectionAdmission
from crowsill.logs import log_event
from crowsill.metrics import CLOSED_UNREAD
from crowsill.settings import Address
from crowsill.transport.sockets import set_peer_timeout

BACKLOG = 1024
# Connections accepted in one pass of the event loop; the rest stays in the backlog meanwhile.
MAX_ACCEPTED_PER_PASS = 32
CALLER_SILENCE_TIMEOUT_S = 4.0


def detect_silence(connection: CallerConnection) -> None:
    """Have the kernel close a connection whose other end has been silent for long."""
    if connection.transport is not None:
        set_peer_timeout(connection.transport, CALLER_SILENCE_TIMEOUT_S)


class CallerListener:
    """The listener of one gateway, and the check of its event loop's lag."""

    def __init__(self, random: Random) -> None:
        """Create a closed listener.

        Args:
            random: Draws which connections are closed.
        """
        self._random = random
        self._admission = ConnectionAdmission()
        self._server: asyncio.Server | None = None
        self._closed_unread = 0

    async def start(self, listen: Address, make_connection: Callable[[], CallerConnection]) -> None:
        """Open the listener.

        Args:
            listen: Its address.
            make_connection: Returns the protocol of a new connection.
        """
        loop = asyncio.get_running_loop()
        sock = socket.create_server((listen.host, listen.port), backlog=BACKLOG)
        self._server = await loop.create_server(
            make_connection, sock=sock, backlog=MAX_ACCEPTED_PER_PASS
        )
        # The event loop has shortened the backlog to what it accepts in one pass.
        sock.listen(BACKLOG)

    def port(self) -> int:
        """Return the port on which callers are served."""
        assert self._server is not None
        bound: int = self._server.sockets[0].getsockname()[1]
        return bound

    def admit(self, connection: CallerConnection) -> bool:
        """Close a new connection unread, if there is no room for it; return whether it is open."""
        if not self._admission.accepts(asyncio.get_running_loop().time(), self._random):
            self._closed_unread += 1
            CLOSED_UNREAD.inc()
            connection.abort()
            return False
        detect_silence(connection)
        return True

    async def check_lag(self) -> None:
        """Measure the lag of the event loop until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            due_at_s = loop.time() + CHECK_INTERVAL_S
            await asyncio.sleep(CHECK_INTERVAL_S)
            self._note_lag(max(0.0, loop.time() - due_at_s))

    def _note_lag(self, lag_s: float) -> None:
        was_closing = self._admission.closed_share > 0.0
        self._admission.note_lag(lag_s)
        is_closing = self._admission.closed_share > 0.0
        if is_closing == was_closing:
            return
        log_event(
            Event.CONNECTIONS_REFUSED,
            begins=is_closing,
            lag_s=round(lag_s, 3),
            closed=self._closed_unread,
        )
        self._closed_unread = 0

    def close(self) -> None:
        """Close the listener."""
        if self._server is not None:
            self._server.close()
