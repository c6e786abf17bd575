"""A caller's connection: reads requests one after the other and writes their answers.

A plain asyncio protocol over `httptools`, because answers must be passed on byte for byte and
event by event, and because a caller that leaves must be noticed at once.
"""

import asyncio
from typing import Protocol

import httptools

from crowsill.errors import ErrorKind, Problem
from crowsill.gateway.headers import HeaderNames, Headers, find_header
from crowsill.gateway.request import CallerRequest, interpret
from crowsill.gateway.response import encode_problem
from crowsill.model.routes import CallerLimits


class RequestHandler(Protocol):
    """Takes the requests of all callers' connections."""

    names: HeaderNames

    def limits(self) -> CallerLimits:
        """Return the limits in force."""

    def is_stopping(self) -> bool:
        """Whether connections should end after their present answer."""

    def opened(self, connection: "CallerConnection") -> None:
        """A caller connected."""

    def closed(self, connection: "CallerConnection") -> None:
        """A caller's connection ended; its request, if it has one, is to be given up."""

    def handle(self, connection: "CallerConnection", request: CallerRequest) -> None:
        """Take a whole request; the answer is written to the connection later."""

    def writable(self, connection: "CallerConnection", writable: bool) -> None:
        """The caller reads more slowly than the answer comes, or reads again."""


class CallerConnection(asyncio.Protocol):
    """One caller's connection.

    Attributes:
        transport: The connection; None before it is open.
        is_busy: Whether a request is being served.
        is_closed: Whether nothing more can be written.
        received_s: Clock when bytes last came in.
    """

    def __init__(self, handler: RequestHandler) -> None:
        self._handler = handler
        self._loop = asyncio.get_running_loop()
        self.transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._waiting: list[CallerRequest] = []
        self._timer: asyncio.TimerHandle | None = None
        self._reset_message()
        self.is_busy = False
        self.is_closed = False
        self.received_s = 0.0

    def _reset_message(self) -> None:
        self._target = b""
        self._headers: Headers = []
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._header_bytes = 0
        self._reading = False

    # Transport side.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The connection is open."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self._handler.opened(self)
        self._arm(self._handler.limits().idle_timeout_ms)

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection ended."""
        self.is_closed = True
        self._disarm()
        self._handler.closed(self)

    def eof_received(self) -> bool:
        """The caller sends no more: it counts as gone."""
        return False

    def data_received(self, data: bytes) -> None:
        """Bytes came in."""
        if self.is_closed:
            return
        self.received_s = self._loop.time()
        if not self._reading and not self.is_busy:
            self._reading = True
            self._arm(self._handler.limits().header_timeout_ms)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._refuse(ErrorKind.INVALID_REQUEST, "upgrades are not supported")
        except httptools.HttpParserError as error:
            if not self.is_closed:
                self._refuse(ErrorKind.INVALID_REQUEST, f"not an HTTP request: {error}")

    def pause_writing(self) -> None:
        """The caller does not read."""
        self._handler.writable(self, False)

    def resume_writing(self) -> None:
        """The caller reads again."""
        self._handler.writable(self, True)

    # Parser side.

    def on_message_begin(self) -> None:
        """A request begins."""
        self._reset_message()
        self._reading = True

    def on_url(self, url: bytes) -> None:
        """A piece of the target."""
        self._target += url
        self._count_header(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """One header."""
        self._headers.append((name, value))
        self._count_header(len(name) + len(value) + 4)

    def _count_header(self, size: int) -> None:
        self._header_bytes += size
        if self._header_bytes > self._handler.limits().max_header_bytes and not self.is_closed:
            self._refuse(ErrorKind.HEADERS_TOO_LARGE, "the headers are too large")

    def on_headers_complete(self) -> None:
        """The head is whole."""
        expect = find_header(self._headers, b"expect")
        if expect is not None and expect.lower() == b"100-continue":
            self.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        if not self.is_busy:
            self._arm(self._handler.limits().idle_timeout_ms)

    def on_body(self, data: bytes) -> None:
        """A piece of the body."""
        self._body_bytes += len(data)
        if self._body_bytes > self._handler.limits().max_body_bytes and not self.is_closed:
            self._refuse(ErrorKind.BODY_TOO_LARGE, "the body is too large")
            return
        self._body.append(data)

    def on_message_complete(self) -> None:
        """The request is whole."""
        if self.is_closed:
            return
        request = CallerRequest(
            method=self._parser.get_method(),
            target=self._target,
            headers=self._headers,
            body=b"".join(self._body),
            keep_alive=self._parser.should_keep_alive(),
            arrived_at_s=self.received_s,
        )
        self._reset_message()
        self._waiting.append(interpret(request, self._handler.names))
        self._next()

    def _next(self) -> None:
        if self.is_busy or not self._waiting or self.is_closed:
            return
        self._disarm()
        self.is_busy = True
        self._handler.handle(self, self._waiting.pop(0))

    # Answering.

    def write(self, data: bytes) -> None:
        """Write bytes of an answer."""
        if not self.is_closed and self.transport is not None:
            self.transport.write(data)

    def finish(self, keep_alive: bool) -> None:
        """The answer is whole; go on with the next request or close."""
        self.is_busy = False
        if self.is_closed:
            return
        if not keep_alive:
            self.close()
            return
        self._arm(self._handler.limits().idle_timeout_ms)
        self._loop.call_soon(self._next)

    def close(self) -> None:
        """Close after what was written has left."""
        if self.transport is not None and not self.is_closed:
            self.is_closed = True
            self.transport.close()

    def abort(self) -> None:
        """Break the connection off, so that a cut answer cannot seem whole."""
        if self.transport is not None:
            self.is_closed = True
            self.transport.abort()

    @property
    def is_idle(self) -> bool:
        """Whether no byte of a request is here."""
        return not (self.is_busy or self._reading or self._waiting)

    def _refuse(self, kind: ErrorKind, detail: str) -> None:
        if self.is_busy:
            # The answer under way cannot be followed by another one.
            self.abort()
            return
        names = self._handler.names
        request_id = find_header(self._headers, names.request_id) or b""
        problem = Problem(kind, detail)
        self.write(encode_problem(problem, request_id, names.request_id, True, None))
        self.close()

    def _arm(self, timeout_ms: float) -> None:
        self._disarm()
        self._timer = self._loop.call_later(timeout_ms / 1000.0, self._timed_out)

    def _disarm(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _timed_out(self) -> None:
        if self.is_busy or self.is_closed:
            return
        if self._reading:
            self._refuse(ErrorKind.REQUEST_TIMEOUT, "the request did not come in time")
        else:
            self.close()
