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
from crowsill.transport.sockets import seconds_since_received, set_peer_timeout

BACKLOG = 1024
# Connections that are accepted or closed in one pass of the event loop. Those that are closed cost
# little, and hold up what came later until they are.
MAX_TAKEN_PER_PASS = 256
# Pause after an error of the system, as when it has no file descriptor left.
ERROR_PAUSE_S = 0.5
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
        self._socket: socket.socket | None = None
        self._make_connection: Callable[[], CallerConnection] | None = None
        self._opening: set[asyncio.Task[None]] = set()
        self._closed_unread = 0

    def start(self, listen: Address, make_connection: Callable[[], CallerConnection]) -> None:
        """Open the listener.

        Args:
            listen: Its address.
            make_connection: Returns the protocol of a new connection.
        """
        self._make_connection = make_connection
        self._socket = socket.create_server((listen.host, listen.port), backlog=BACKLOG)
        self._socket.setblocking(False)
        self._resume()

    def port(self) -> int:
        """Return the port on which callers are served."""
        assert self._socket is not None
        bound: int = self._socket.getsockname()[1]
        return bound

    def _resume(self) -> None:
        if self._socket is not None:
            asyncio.get_running_loop().add_reader(self._socket, self._accept_waiting)

    def _pause(self) -> None:
        loop = asyncio.get_running_loop()
        if self._socket is not None:
            loop.remove_reader(self._socket)
        loop.call_later(ERROR_PAUSE_S, self._resume)

    def _accept_waiting(self) -> None:
        """Accept or close the connections in the backlog, as many as one pass may take."""
        accepted = 0
        for _ in range(MAX_TAKEN_PER_PASS):
            sock = self._accept()
            if sock is None:
                return
            accepted += self._admit(sock)
            if accepted >= self._admission.max_per_pass:
                return

    def _accept(self) -> socket.socket | None:
        """Accept one connection; return None if there is none."""
        assert self._socket is not None
        try:
            sock, _ = self._socket.accept()
        except (BlockingIOError, InterruptedError, ConnectionAbortedError):
            return None
        except OSError as error:
            log_event(Event.INTERNAL_ERROR, where="accept", error=repr(error))
            self._pause()
            return None
        return sock

    def _admit(self, sock: socket.socket) -> bool:
        """Serve a connection, or close it unread if there is no room; return whether it is open."""
        admission = self._admission
        waited_s = seconds_since_received(sock) if admission.is_closing else 0.0
        now_s = asyncio.get_running_loop().time()
        if not admission.accepts(now_s, self._random, waited_s):
            self._closed_unread += 1
            CLOSED_UNREAD.inc()
            sock.close()
            return False
        task = asyncio.create_task(self._open(sock))
        self._opening.add(task)
        task.add_done_callback(self._opening.discard)
        return True

    async def _open(self, sock: socket.socket) -> None:
        assert self._make_connection is not None
        try:
            loop = asyncio.get_running_loop()
            await loop.connect_accepted_socket(self._make_connection, sock)
        except OSError as error:
            log_event(Event.INTERNAL_ERROR, where="accept", error=repr(error))
            sock.close()

    async def check_lag(self) -> None:
        """Measure the lag of the event loop until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            due_at_s = loop.time() + CHECK_INTERVAL_S
            await asyncio.sleep(CHECK_INTERVAL_S)
            self._note_lag(max(0.0, loop.time() - due_at_s))

    def _note_lag(self, lag_s: float) -> None:
        was_closing = self._admission.is_closing
        self._admission.note_lag(lag_s)
        is_closing = self._admission.is_closing
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
        if self._socket is not None:
            asyncio.get_running_loop().remove_reader(self._socket)
            self._socket.close()
            self._socket = None
