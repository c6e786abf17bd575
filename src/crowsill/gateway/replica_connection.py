"""A connection to a replica: one request at a time, with validation of the response.

Before any byte is relayed, the connection checks the request id of the response and its framing. It
also checks that nothing follows a complete response. After any violation the connection is not
reused.
"""

import asyncio
from collections.abc import Callable
from enum import StrEnum
from typing import Protocol

import httptools

from crowsill.gateway.framing import Framing, find_framing
from crowsill.gateway.headers import HeaderNames, Headers, find_header, read_number
from crowsill.gateway.message_bounds import MessageBounds
from crowsill.metrics import UNUSABLE_RESPONSE_BYTES, UNUSABLE_RESPONSES

# Bounds the ids that a connection remembers.
MAX_REQUESTS_PER_CONNECTION = 512
# A replica that sends no `Keep-Alive: timeout` is assumed to keep idle connections this long.
DEFAULT_IDLE_S = 60.0
IDLE_MARGIN_S = 1.0
MAX_IDLE_MARGIN_SHARE = 0.5
# Bytes of a response that are neither its body nor the framing of chunks: its head, interim heads
# and trailers.
MAX_HEAD_BYTES = 64 * 1024
# Bytes of a late response to an earlier request, which are skipped.
MAX_SKIPPED_BYTES = 256 * 1024
# A head, a trailer or the size of a chunk that has begun must be complete after this time.
# Retransmitted packets may take more than a second.
INCOMPLETE_TIMEOUT_S = 2.0


class Break(StrEnum):
    """Why a response was interrupted.

    Attributes:
        CLOSED: The connection was closed before the end that the framing announces.
        RESET: The connection was lost with an error.
        NOT_HTTP: The bytes are no HTTP response.
        SILENT: Nothing was received for too long.
        INSIDE_EVENT: The body ended inside an event of an event stream, or before the first one.
        CRASHED: The connection was closed as at the end of the body, because the replica crashed.
        TOO_LARGE: More bytes were received than a head, or a body that is not relayed, may have.
        TOO_SLOW: A head, a trailer, the size of a chunk or a rejection was not complete in time.
        REPEATED_EVENT: A resumed stream began at an event that the caller has.
    """

    CLOSED = "closed"
    RESET = "reset"
    NOT_HTTP = "not_http"
    SILENT = "silent"
    INSIDE_EVENT = "inside_event"
    CRASHED = "crashed"
    TOO_LARGE = "too_large"
    TOO_SLOW = "too_slow"
    REPEATED_EVENT = "repeated_event"


class ResponseSink(Protocol):
    """Receives one response."""

    def on_head(self, status: int, reason: bytes, headers: Headers, framing: Framing) -> None:
        """Handle the head; if it carries a request id, that id matches the request."""

    def on_data(self, data: bytes) -> None:
        """Handle a piece of the body."""

    def on_end(self) -> None:
        """Handle the end of a complete response."""

    def on_break(self, reason: Break) -> None:
        """Handle a response that was interrupted."""


class ReplicaConnection(asyncio.Protocol):
    """One connection to one instance.

    Attributes:
        is_open: Whether the connection is open.
        is_reusable: Whether another request may be sent on it.
        idle_expires_at_s: Monotonic time until which it may be reused while idle.
        received_at_s: Monotonic time at which bytes were last received; minus infinity before.
        has_received: Whether any bytes were received on it.
        is_paused: Whether nothing is read from it, so that its end is not noticed.
        requests: Number of requests that were sent on it.
        on_lost: Called when it is lost with an error, or during a response.
    """

    def __init__(self, names: HeaderNames) -> None:
        self._names = names
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._sink: ResponseSink | None = None
        self._request_id = b""
        # Hashes of the ids of requests that were sent on this connection.
        self._carried_ids: set[int] = set()
        self._is_head_request = False
        self._framing = Framing.UNKNOWN
        self._received_eof = False
        self._is_skipping_response = False
        self.is_open = True
        self.is_reusable = True
        self.idle_expires_at_s = 0.0
        self.received_at_s = float("-inf")
        self.has_received = False
        self.is_paused = False
        self.requests = 0
        self.on_lost: Callable[[], None] = lambda: None
        self._is_discarded = False
        self._bounds = MessageBounds()
        self._has_progressed = False
        self._incomplete_timer: asyncio.TimerHandle | None = None
        self._reset_message()

    def has_carried(self, request_id: bytes) -> bool:
        """Whether a request with this id was sent on it; False without an id.

        An id is sent once on a connection: a late copy of the first response to it could not be
        told from the second response.
        """
        return hash(request_id) in self._carried_ids

    @property
    def response_bytes(self) -> int:
        """Bytes received since the last request was sent."""
        return self._bounds.received_bytes

    def _reset_message(self) -> None:
        self._reason = b""
        self._headers: Headers = []
        self._has_complete_response = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport of the new connection."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def connection_lost(self, exc: Exception | None) -> None:
        """End the response in progress: complete if the close delimits its body, else broken."""
        self.is_open = False
        self.is_reusable = False
        self._stop_timer()
        ends_body = self._framing is Framing.CLOSE and self._received_eof and exc is None
        is_interrupted = self._sink is not None and not ends_body
        if not self._is_discarded and (exc is not None or is_interrupted):
            self.on_lost()
        if self._sink is None:
            return
        if ends_body:
            self._deliver_end()
            return
        self._deliver_break(Break.RESET if exc is not None else Break.CLOSED)

    def eof_received(self) -> bool:
        """Note that the replica closed its side of the connection cleanly."""
        self._received_eof = True
        return False

    def data_received(self, data: bytes) -> None:
        """Parse received bytes."""
        self.received_at_s = self._loop.time()
        self.has_received = True
        if self._sink is None:
            # Bytes without a request: later responses could not be matched to their requests.
            self.discard()
            return
        self._bounds.received_bytes += len(data)
        self._has_progressed = False
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserUpgrade, httptools.HttpParserError):
            self.break_off(Break.NOT_HTTP)
        self._check_bounds()

    def _check_bounds(self) -> None:
        """Break off a response that has too much beside its body, or takes too long for it."""
        if self._sink is None or self._has_progressed:
            self._stop_timer()
        if self._sink is None:
            return
        is_too_large = self._bounds.skipped_bytes > MAX_SKIPPED_BYTES
        if is_too_large or self._bounds.exceeds(MAX_HEAD_BYTES):
            self.break_off(Break.TOO_LARGE)
        elif not self._has_progressed and self._incomplete_timer is None:
            self._incomplete_timer = self._loop.call_later(
                INCOMPLETE_TIMEOUT_S, self.break_off, Break.TOO_SLOW
            )

    def _stop_timer(self) -> None:
        if self._incomplete_timer is not None:
            self._incomplete_timer.cancel()
            self._incomplete_timer = None

    def break_off(self, reason: Break) -> None:
        """End the response in progress as interrupted, and close the connection."""
        self.is_reusable = False
        if self._sink is not None:
            UNUSABLE_RESPONSES.labels(reason).inc()
            UNUSABLE_RESPONSE_BYTES.labels(reason).inc(self._bounds.received_bytes)
            self._deliver_break(reason)
        self.discard()

    # Sending.

    def send(
        self, message: bytes, request_id: bytes, is_head_request: bool, sink: ResponseSink
    ) -> None:
        """Send a request.

        Args:
            message: The complete HTTP request.
            request_id: Id that the response must repeat, if it carries one.
            is_head_request: Whether the method is HEAD, so that the response has no body.
            sink: Receives the response.
        """
        self.requests += 1
        if request_id:
            self._carried_ids.add(hash(request_id))
        if self.requests >= MAX_REQUESTS_PER_CONNECTION:
            self.is_reusable = False
        self._sink = sink
        self._request_id = request_id
        self._is_head_request = is_head_request
        self._framing = Framing.UNKNOWN
        self._has_complete_response = False
        self._bounds = MessageBounds()
        self._stop_timer()
        if self._transport is not None:
            self._transport.write(message)

    def pause_reading(self, paused: bool) -> None:
        """Pause reading while the caller does not read, or resume it."""
        if self._transport is None or not self.is_open or self._transport.is_closing():
            return
        self.is_paused = paused
        if paused:
            self._stop_timer()
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()

    def discard(self) -> None:
        """Abort the connection; a request in flight on it gets no further callbacks."""
        self._sink = None
        self._is_discarded = True
        self.is_reusable = False
        self.is_open = False
        self._stop_timer()
        if self._transport is not None:
            self._transport.abort()

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Start a response."""
        if self._has_complete_response:
            # A second response follows a complete one.
            self.is_reusable = False
        self._reset_message()

    def on_status(self, reason: bytes) -> None:
        """Append a piece of the reason phrase."""
        self._reason += reason

    def on_header(self, name: bytes, value: bytes) -> None:
        """Append a header."""
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Check the head of a response and pass it to the sink."""
        status = self._parser.get_status_code()
        self._has_progressed = True
        if self._sink is None or status < 200:
            return
        echoed = find_header(self._headers, self._names.request_id)
        if echoed is not None and echoed != self._request_id:
            # A late response to an earlier request arrived in place of the expected one.
            self._is_skipping_response = True
            self.is_reusable = False
            return
        self._is_skipping_response = False
        self._framing = find_framing(status, self._headers, self._is_head_request)
        if not self._parser.should_keep_alive() or self._framing is Framing.CLOSE:
            self.is_reusable = False
        self._note_idle_time()
        self._sink.on_head(status, self._reason, self._headers, self._framing)
        if self._is_head_request and self._sink is not None:
            self.is_reusable = False
            self._deliver_end()

    def _note_idle_time(self) -> None:
        keep_alive = find_header(self._headers, b"keep-alive")
        idle_s = DEFAULT_IDLE_S
        if keep_alive is not None:
            for parameter in keep_alive.split(b","):
                key, _, value = parameter.strip().partition(b"=")
                if key.lower() == b"timeout":
                    idle_s = read_number(value) or 0.0
        margin_s = min(IDLE_MARGIN_S, idle_s * MAX_IDLE_MARGIN_SHARE)
        self.idle_expires_at_s = self._loop.time() + idle_s - margin_s

    def on_body(self, data: bytes) -> None:
        """Pass a piece of the body to the sink."""
        if self._is_skipping_response:
            self._bounds.skipped_bytes += len(data)
        elif self._sink is not None:
            self._has_progressed = True
            self._bounds.body_bytes += len(data)
            self._sink.on_data(data)

    def on_message_complete(self) -> None:
        """End a complete response."""
        self._has_complete_response = True
        if self._parser.get_status_code() < 200:
            return
        if self._is_skipping_response:
            self._is_skipping_response = False
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
