"""A connection to a replica: one request at a time, and no trust in what comes back.

What a replica sends is checked before any of it reaches a caller: the id of the request that it
answers, the framing, and that nothing follows a whole answer. A connection on which anything was
out of order is never used again.
"""

import asyncio
from enum import StrEnum
from typing import Protocol

import httptools

from crowsill.gateway.headers import HeaderNames, Headers, find_header, read_number

# A replica that tells no time keeps idle connections open.
DEFAULT_IDLE_S = 60.0
IDLE_MARGIN_S = 1.0
SHORT_IDLE_SHARE = 0.5


class Break(StrEnum):
    """Why an answer did not come whole."""

    CLOSED = "closed"
    RESET = "reset"
    NOT_HTTP = "not_http"
    SILENT = "silent"


class ResponseSink(Protocol):
    """Receives one answer."""

    def on_head(self, status: int, reason: bytes, headers: Headers) -> None:
        """The head came; it carries the id of the request."""

    def on_data(self, data: bytes) -> None:
        """A piece of the body came."""

    def on_end(self) -> None:
        """The answer is whole."""

    def on_break(self, reason: Break) -> None:
        """The answer will not come whole."""


class ReplicaConnection(asyncio.Protocol):
    """One connection to one instance.

    Attributes:
        is_open: Whether it has not ended.
        is_reusable: Whether another request may be sent on it.
        idle_until_s: Clock until which the replica keeps it open while idle.
    """

    def __init__(self, names: HeaderNames) -> None:
        self._names = names
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._sink: ResponseSink | None = None
        self._request_id = b""
        self._is_head_request = False
        self._ends_with_connection = False
        self._clean_end = False
        self._skips = False
        self.is_open = True
        self.is_reusable = True
        self.idle_until_s = 0.0
        self._reset_message()

    def _reset_message(self) -> None:
        self._reason = b""
        self._headers: Headers = []
        self._complete = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The connection is open."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection ended."""
        self.is_open = False
        self.is_reusable = False
        if self._sink is None:
            return
        if self._ends_with_connection and self._clean_end and exc is None:
            self._deliver_end()
            return
        self._deliver_break(Break.RESET if exc is not None else Break.CLOSED)

    def eof_received(self) -> bool:
        """The replica sends no more."""
        self._clean_end = True
        return False

    def data_received(self, data: bytes) -> None:
        """Bytes came in."""
        if self._sink is None:
            # Bytes that belong to no request: whatever follows cannot be told apart.
            self.discard()
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._fail()
        except httptools.HttpParserError:
            self._fail()

    def _fail(self) -> None:
        self.is_reusable = False
        if self._sink is not None:
            self._deliver_break(Break.NOT_HTTP)
        self.discard()

    # Sending.

    def send(
        self, message: bytes, request_id: bytes, is_head_request: bool, sink: ResponseSink
    ) -> None:
        """Send a request; its answer goes to `sink`."""
        self._sink = sink
        self._request_id = request_id
        self._is_head_request = is_head_request
        self._ends_with_connection = False
        self._complete = False
        if self._transport is not None:
            self._transport.write(message)

    def pause_reading(self, paused: bool) -> None:
        """Stop or go on reading, as the caller can take the bytes."""
        if self._transport is None or not self.is_open or self._transport.is_closing():
            return
        if paused:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()

    def discard(self) -> None:
        """End the connection at once; a request under way on it is given up."""
        self._sink = None
        self.is_reusable = False
        self.is_open = False
        if self._transport is not None:
            self._transport.abort()

    # Parser side.

    def on_message_begin(self) -> None:
        """An answer begins."""
        if self._complete:
            # A second answer in the bytes behind a whole one.
            self.is_reusable = False
        self._reset_message()

    def on_status(self, reason: bytes) -> None:
        """The reason phrase."""
        self._reason += reason

    def on_header(self, name: bytes, value: bytes) -> None:
        """One header."""
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """The head is whole."""
        status = self._parser.get_status_code()
        if self._sink is None or status < 200:
            return
        echoed = find_header(self._headers, self._names.request_id)
        if echoed is not None and echoed != self._request_id:
            # A late answer to an earlier request stands where this one is due.
            self._skips = True
            self.is_reusable = False
            return
        self._skips = False
        framed = find_header(self._headers, b"content-length") is not None
        chunked = find_header(self._headers, b"transfer-encoding") is not None
        self._ends_with_connection = not (framed or chunked)
        if not self._parser.should_keep_alive() or self._ends_with_connection:
            self.is_reusable = False
        self._note_idle_time()
        self._sink.on_head(status, self._reason, self._headers)
        if self._is_head_request and self._sink is not None:
            self.is_reusable = False
            self._deliver_end()

    def _note_idle_time(self) -> None:
        told = find_header(self._headers, b"keep-alive")
        idle_s = DEFAULT_IDLE_S
        if told is not None:
            for word in told.split(b","):
                key, _, value = word.strip().partition(b"=")
                if key.lower() == b"timeout":
                    idle_s = read_number(value) or 0.0
        margin_s = min(IDLE_MARGIN_S, idle_s * SHORT_IDLE_SHARE)
        self.idle_until_s = self._loop.time() + idle_s - margin_s

    def on_body(self, data: bytes) -> None:
        """A piece of the body."""
        if self._sink is not None and not self._skips:
            self._sink.on_data(data)

    def on_message_complete(self) -> None:
        """An answer is whole."""
        self._complete = True
        if self._parser.get_status_code() < 200:
            return
        if self._skips:
            self._skips = False
            return
        if self._sink is not None:
            self._deliver_end()

    def _deliver_end(self) -> None:
        sink, self._sink = self._sink, None
        if sink is not None:
            sink.on_end()

    def _deliver_break(self, reason: Break) -> None:
        sink, self._sink = self._sink, None
        if sink is not None:
            sink.on_break(reason)
