"""A caller's connection: reads requests one after the other and writes their responses.

It is a plain asyncio protocol over `httptools`, because responses must be relayed byte for byte and
event by event, and because a caller's disconnect must be noticed at once.
"""

import asyncio
import socket
import struct
from typing import Protocol

import httptools

from crowsill.errors import ErrorKind, Problem
from crowsill.gateway.headers import HeaderNames, Headers, find_header
from crowsill.gateway.message_bounds import MessageBounds
from crowsill.gateway.request import CallerRequest, read_headers
from crowsill.gateway.response import encode_problem
from crowsill.model.routes import CallerLimits
from crowsill.transport.request_parser import RequestParser

# Bytes of a head that its limit does not count: method, version, white space, empty line.
MAX_UNCOUNTED_HEAD_BYTES = 4096


class RequestHandler(Protocol):
    """Handles the requests of all callers' connections."""

    names: HeaderNames

    def limits(self) -> CallerLimits:
        """Return the limits in effect."""

    def is_stopping(self) -> bool:
        """Whether connections should close after their current response."""

    def on_connected(self, connection: "CallerConnection") -> None:
        """Handle a new connection."""

    def on_disconnected(self, connection: "CallerConnection") -> None:
        """Handle the end of a connection; cancel its request, if it has one."""

    def handle(self, connection: "CallerConnection", request: CallerRequest) -> None:
        """Handle a complete request; its response is written to the connection later."""

    def on_writable_changed(self, connection: "CallerConnection", writable: bool) -> None:
        """Handle that the connection's write buffer is full, or accepts data again."""


class CallerConnection(asyncio.Protocol):
    """One caller's connection.

    Attributes:
        transport: The connection; None before it is open.
        is_busy: Whether a request is being served.
        is_closed: Whether nothing more can be written.
        received_at_s: Monotonic time at which bytes were last received.
    """

    def __init__(self, handler: RequestHandler) -> None:
        self._handler = handler
        self._loop = asyncio.get_running_loop()
        self.transport: asyncio.Transport | None = None
        self._parser = RequestParser(self, lambda: (self._target, self._headers))
        self._pending_requests: list[CallerRequest] = []
        self._timer: asyncio.TimerHandle | None = None
        self._reset_message()
        self.is_busy = False
        self.is_closed = False
        self.received_at_s = 0.0
        self._is_framed_by_close = False
        self._is_ending_by_close = False

    def _reset_message(self) -> None:
        self._target = b""
        self._headers: Headers = []
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._header_bytes = 0
        self._bounds = MessageBounds()
        self._is_reading = False

    # Callbacks of the transport.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the idle timer of a new connection."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self._handler.on_connected(self)
        self._start_timer(self._handler.limits().idle_timeout_ms)

    def connection_lost(self, exc: Exception | None) -> None:
        """Notify the handler that the connection ended."""
        self.is_closed = True
        self._cancel_timer()
        self._handler.on_disconnected(self)

    def eof_received(self) -> bool:
        """Close the connection: a caller that closes its side counts as disconnected."""
        return False

    def data_received(self, data: bytes) -> None:
        """Parse received bytes."""
        if self.is_closed:
            return
        self.received_at_s = self._loop.time()
        if not self._is_reading and not self.is_busy:
            self._is_reading = True
            self._start_timer(self._handler.limits().header_timeout_ms)
        self._bounds.received_bytes += len(data)
        try:
            self._parser.feed_data(data)
            self._check_bounds()
        except httptools.HttpParserUpgrade:
            self._reject(ErrorKind.INVALID_REQUEST, "the method CONNECT is not supported")
        except httptools.HttpParserError as error:
            if not self.is_closed:
                self._reject(ErrorKind.INVALID_REQUEST, f"not an HTTP request: {error}")

    def pause_writing(self) -> None:
        """Notify the handler that the write buffer is full."""
        self._handler.on_writable_changed(self, False)

    def resume_writing(self) -> None:
        """Notify the handler that the write buffer accepts data again."""
        if self._is_ending_by_close:
            self._set_linger(is_on=False)
        self._handler.on_writable_changed(self, True)

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Start a request."""
        self._reset_message()
        self._is_reading = True

    def on_url(self, url: bytes) -> None:
        """Append a piece of the request target."""
        self._target += url
        self._count_header_bytes(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Append a header."""
        self._headers.append((name, value))
        self._count_header_bytes(len(name) + len(value) + 4)

    def _count_header_bytes(self, size: int) -> None:
        self._header_bytes += size
        if self._header_bytes > self._handler.limits().max_header_bytes and not self.is_closed:
            self._reject(ErrorKind.HEADERS_TOO_LARGE, "the headers are too large")

    def _check_bounds(self) -> None:
        """Reject a request with too much beside its body: the parser keeps unfinished headers."""
        max_bytes = self._handler.limits().max_header_bytes + MAX_UNCOUNTED_HEAD_BYTES
        if self._bounds.exceeds(max_bytes) and not self.is_closed:
            self._reject(ErrorKind.HEADERS_TOO_LARGE, "the head or a trailer is too large")

    def on_headers_complete(self) -> None:
        """Answer `Expect: 100-continue` and start the timer for the body."""
        if self._parser.offers_upgrade():
            return
        expect = find_header(self._headers, b"expect")
        if expect is not None and expect.lower() == b"100-continue":
            self.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        if not self.is_busy:
            self._start_timer(self._handler.limits().idle_timeout_ms)

    def on_body(self, data: bytes) -> None:
        """Append a piece of the body; reject a body that is too large."""
        self._body_bytes += len(data)
        self._bounds.body_bytes += len(data)
        if self._body_bytes > self._handler.limits().max_body_bytes and not self.is_closed:
            self._reject(ErrorKind.BODY_TOO_LARGE, "the body is too large")
            return
        self._body.append(data)

    def on_message_complete(self) -> None:
        """Queue a complete request."""
        if self.is_closed or self._parser.offers_upgrade():
            return
        request = CallerRequest(
            method=self._parser.get_method(),
            target=self._target,
            headers=self._headers,
            body=b"".join(self._body),
            keep_alive=self._parser.should_keep_alive(),
            allows_chunks=self._parser.get_http_version() != "1.0",
            arrived_at_s=self.received_at_s,
        )
        self._reset_message()
        self._pending_requests.append(read_headers(request, self._handler.names))
        self._handle_next()

    def _handle_next(self) -> None:
        if self.is_busy or not self._pending_requests or self.is_closed:
            return
        self._cancel_timer()
        self.is_busy = True
        self._handler.handle(self, self._pending_requests.pop(0))

    # Writing responses.

    def write(self, data: bytes) -> None:
        """Write bytes of a response."""
        if not self.is_closed and self.transport is not None:
            self.transport.write(data)

    def begin_response_framed_by_close(self) -> None:
        """Have the connection reset, unless `finish` is called: its close ends the response.

        That holds if this process is killed, too.
        """
        self._is_framed_by_close = True
        self._set_linger(is_on=True)

    def _set_linger(self, is_on: bool) -> None:
        """Set whether closing the socket resets the connection."""
        if self.transport is not None:
            linger = struct.pack("ii", is_on, 0)
            socket_ = self.transport.get_extra_info("socket")
            socket_.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)

    def finish(self, keep_alive: bool) -> None:
        """End a complete response; continue with the next request, or close."""
        self.is_busy = False
        if self.is_closed:
            return
        if self._is_framed_by_close:
            self._end_by_close()
            return
        if not keep_alive:
            self.close()
            return
        self._start_timer(self._handler.limits().idle_timeout_ms)
        self._loop.call_soon(self._handle_next)

    def _end_by_close(self) -> None:
        """End a response by a clean close, which must not precede its last byte.

        Until the kernel has all of it, the end of this process resets the connection.
        """
        if self.transport is None:
            return
        if self.transport.get_write_buffer_size() == 0:
            self._set_linger(is_on=False)
        else:
            self._is_ending_by_close = True
            # `resume_writing` is called when the buffer is empty, before the socket is closed.
            self.transport.set_write_buffer_limits(0)
        self.close()

    def close(self) -> None:
        """Close the connection after sending what was written."""
        if self.transport is not None and not self.is_closed:
            self.is_closed = True
            self.transport.close()

    def abort(self) -> None:
        """Abort the connection, so that a truncated response can't pass for a complete one."""
        if self.transport is not None:
            self.is_closed = True
            self.transport.abort()

    @property
    def is_idle(self) -> bool:
        """Whether no part of a request has been received or is being served."""
        return not (self.is_busy or self._is_reading or self._pending_requests)

    def _reject(self, kind: ErrorKind, detail: str) -> None:
        if self.is_busy:
            # No other response may follow the one that is being written.
            self.abort()
            return
        names = self._handler.names
        request_id = find_header(self._headers, names.request_id) or b""
        problem = Problem(kind, detail)
        self.write(encode_problem(problem, request_id, names.request_id, True, None))
        self.close()

    def _start_timer(self, timeout_ms: float) -> None:
        self._cancel_timer()
        self._timer = self._loop.call_later(timeout_ms / 1000.0, self._timed_out)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _timed_out(self) -> None:
        if self.is_busy or self.is_closed:
            return
        if self._is_reading:
            self._reject(ErrorKind.REQUEST_TIMEOUT, "the request was not received in time")
        else:
            self.close()
