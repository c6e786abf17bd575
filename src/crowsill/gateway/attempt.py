"""One attempt to run a request at a replica, and its result."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum

from crowsill.clock import wall_s
from crowsill.gateway.caller_protocol import CallerConnection
from crowsill.gateway.event_position import EventPosition
from crowsill.gateway.framing import NO_CONTENT_STATUSES, Framing
from crowsill.gateway.headers import (
    HeaderNames,
    Headers,
    all_values,
    end_to_end_headers,
    find_header,
)
from crowsill.gateway.replica_connection import Break, ReplicaConnection
from crowsill.gateway.replica_signals import ReplicaSignals, read_signals
from crowsill.gateway.response import LAST_CHUNK, encode_chunk, encode_head
from crowsill.gateway.resumed_start import ResumedStart

MAX_BUFFERED_BYTES = 256 * 1024
# A rejection must be complete this long after its head.
REJECTION_TIMEOUT_S = 2.0
EVENT_STREAM = b"text/event-stream"
# Statuses from which a caller concludes that the request did not run. Without the replica's
# `not_run` header such a response counts as a failure, except 421, and is never relayed.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
# Breaks after which the replica has not closed its connection.
INTACT_CONNECTION_BREAKS = frozenset(
    (Break.NOT_HTTP, Break.SILENT, Break.TOO_LARGE, Break.TOO_SLOW, Break.REPEATED_EVENT)
)


class AttemptResult(StrEnum):
    """How an attempt ended.

    Attributes:
        COMPLETE: The replica sent a complete response; it was relayed or is ready to be.
        NOT_RUN: The replica reported that it did not run the request.
        FAILED: The request ran, or may have run, and there is no response to relay.
        TRUNCATED: Part of the response was relayed, and the rest is missing.
    """

    COMPLETE = "whole"
    NOT_RUN = "not_run"
    FAILED = "failed"
    TRUNCATED = "cut"


@dataclass(slots=True)
class AttemptEnd:
    """The end of an attempt.

    Attributes:
        result: How it ended.
        status: HTTP status of the response; 0 without one.
        reason: Reason phrase of the response.
        headers: Headers of the response.
        body: Body of the response; empty if it was streamed to the caller.
        relayed: Whether the caller has received the response already.
        detail: What failed, for the log.
        is_broken: Whether the replica closed the connection before its response was complete.
    """

    result: AttemptResult
    status: int = 0
    reason: bytes = b""
    headers: Headers | None = None
    body: bytes = b""
    relayed: bool = False
    detail: str = ""
    is_broken: bool = False


class Attempt:
    """Receives the response of one replica; streams are relayed event by event.

    Attributes:
        started_at_s: Monotonic time at which the attempt started.
        sent_at_s: Monotonic time at which the request was sent; 0 before.
        connection: The connection in use, or None.
        first_data_at_s: Monotonic time at which the first byte of the body arrived, or None.
        on_first_data: Called at the first byte of the body.
        on_gap: Called with the time between two pieces of the body, in seconds, and the monotonic
            time.
        max_gap_s: Longest time between two pieces of the body.
        relayed_bytes: Bytes of the body that were sent to the caller.
        framing: What ends the body of the response.
        position: Position in the event stream that the body is; None if it is none.
        first_piece: First piece of an event stream.
        last_piece: Last piece of an event stream so far.
        signals: What the replica reports about itself in the head of the response.
        on_signals: Called with the status and the signals when the head arrives.
        ended: Resolves to the end of the attempt.
    """

    def __init__(
        self,
        caller: CallerConnection,
        names: HeaderNames,
        *,
        is_stream: bool,
        close_after: bool,
        allows_chunks: bool,
        resumed_after: bytes = b"",
    ) -> None:
        """Create an attempt.

        Args:
            caller: Connection to which the response is written.
            names: Header names.
            is_stream: Whether the body is relayed as it arrives.
            close_after: Whether the caller's connection closes after this response.
            allows_chunks: Whether the caller understands chunks.
            resumed_after: Id of the last event that the caller has of the stream that it resumes;
                empty if it resumes none.
        """
        self._loop = asyncio.get_running_loop()
        self.started_at_s = self._loop.time()
        self.sent_at_s = 0.0
        self._caller = caller
        self._names = names
        self._is_stream = is_stream
        self._close_after = close_after
        self._allows_chunks = allows_chunks
        self._resumed_start = ResumedStart(resumed_after)
        self.on_first_data: Callable[[], None] = lambda: None
        self.on_gap: Callable[[float, float], None] = lambda _gap_s, _now_s: None
        self.on_signals: Callable[[int, ReplicaSignals], None] = lambda _status, _signals: None
        self.ended: asyncio.Future[AttemptEnd] = self._loop.create_future()
        self.first_data_at_s: float | None = None
        self.max_gap_s = 0.0
        self._last_data_at_s = 0.0
        self.framing = Framing.UNKNOWN
        self.position: EventPosition | None = None
        self.first_piece = b""
        self.last_piece = b""
        self.signals = ReplicaSignals()
        self.relayed_bytes = 0
        self.connection: ReplicaConnection | None = None
        self._status = 0
        self._reason = b""
        self._headers: Headers = []
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._may_relay = False
        self._relaying = False
        self._relayed_framing = Framing.UNKNOWN
        self._rejection_timer: asyncio.TimerHandle | None = None

    @property
    def response_bytes(self) -> int:
        """Bytes received of the response, with its head; 0 once the connection is released."""
        return 0 if self.connection is None else self.connection.response_bytes

    @property
    def connection_requests(self) -> int:
        """Requests sent on the connection so far; 0 once it is released."""
        return 0 if self.connection is None else self.connection.requests

    @property
    def is_relaying(self) -> bool:
        """Whether part of the response has been sent to the caller."""
        return self._relaying

    @property
    def relays_events(self) -> bool:
        """Whether the events that arrive now are relayed to the caller."""
        return self._may_relay

    @property
    def has_response(self) -> bool:
        """Whether the head of a response, or the end of the attempt, was received."""
        # A cancelled exchange cancels `ended`. That is not a response: if it counted as one, a
        # silent replica would never be excluded.
        return self._status != 0 or (self.ended.done() and not self.ended.cancelled())

    @property
    def was_abandoned(self) -> bool:
        """Whether the request was sent and the exchange ended before the attempt did."""
        return self.sent_at_s > 0.0 and (not self.ended.done() or self.ended.cancelled())

    @property
    def is_inside_event(self) -> bool:
        """Whether the body received so far ends inside an event of an event stream."""
        return self.position is not None and self.position.is_inside_event

    # ResponseSink.

    def on_head(self, status: int, reason: bytes, headers: Headers, framing: Framing) -> None:
        """Handle the head of the response."""
        self._status, self._reason, self._headers = status, reason, headers
        self.framing = framing
        if self._has_events():
            self.position = EventPosition()
        self.signals = read_signals(status, headers, self._names, wall_s())
        self.on_signals(status, self.signals)
        self._may_relay = self._is_stream and 200 <= status < 300 and self._is_acceptable()
        if self._is_rejection():
            self._rejection_timer = self._loop.call_later(
                REJECTION_TIMEOUT_S, self._break_off, Break.TOO_SLOW
            )
        elif not self._is_relayable():
            # No body changes that, and it may have no end.
            self._end(self._classify())

    def _is_rejection(self) -> bool:
        """Whether the replica reports that it did not run the request."""
        has_mark = find_header(self._headers, self._names.not_run) is not None
        return has_mark or self._status == 421

    def _is_relayable(self) -> bool:
        """Whether the caller may get the response if it is complete."""
        return self._status not in NOT_RUN_STATUSES and self._is_acceptable()

    def _has_events(self) -> bool:
        """Whether the body is an event stream; one of a stream's route need not say so."""
        if not 200 <= self._status < 300 or self.framing is Framing.NONE:
            return False
        content_type = find_header(self._headers, b"content-type")
        if content_type is None:
            return self._is_stream
        return content_type.partition(b";")[0].strip().lower() == EVENT_STREAM

    def _is_acceptable(self) -> bool:
        """Whether the head has the replica's stamp and a request id, and no encoding."""
        stamped = find_header(self._headers, self._names.stamp) is not None
        encoded = find_header(self._headers, b"content-encoding") is not None
        identified = find_header(self._headers, self._names.request_id) is not None
        codings = all_values(self._headers, b"transfer-encoding")
        decoded = all(value.strip().lower() == b"chunked" for value in codings)
        return stamped and identified and decoded and not encoded

    def on_data(self, data: bytes) -> None:
        """Handle a piece of the body: relay it, or buffer it."""
        if self.ended.done():
            return
        now_s = self._loop.time()
        if self.first_data_at_s is None:
            self.first_data_at_s = now_s
            self.on_first_data()
        else:
            gap_s = now_s - self._last_data_at_s
            self.max_gap_s = max(self.max_gap_s, gap_s)
            self.on_gap(gap_s, now_s)
        self._last_data_at_s = now_s
        if self.position is not None:
            self.position.feed(data)
            self.first_piece = self.first_piece or data
            self.last_piece = data
        if self._relaying:
            self._relay(data)
            return
        if self._may_relay:
            self._begin_stream(data)
            return
        self._body.append(data)
        self._body_bytes += len(data)
        if self._body_bytes <= MAX_BUFFERED_BYTES:
            return
        if self._is_rejection():
            self._break_off(Break.TOO_LARGE)
            return
        self._start_relaying()
        self._relay(b"".join(self._body))
        self._body.clear()

    def _begin_stream(self, data: bytes) -> None:
        """Relay the first pieces of a stream, unless it repeats an event."""
        if self.position is not None:
            data = self._resumed_start.feed(data)
        if self._resumed_start.is_repeated:
            self._break_off(Break.REPEATED_EVENT)
        elif data:
            self._start_relaying()
            self._relay(data)

    def _start_relaying(self) -> None:
        self._relaying = True
        headers = end_to_end_headers(self._headers)
        length = find_header(self._headers, b"content-length")
        # With a length, a stream that ends inside an event would be complete for the caller.
        if length is not None and self.position is None:
            self._relayed_framing = Framing.LENGTH
            headers.append((b"Content-Length", length))
        elif self._allows_chunks:
            self._relayed_framing = Framing.CHUNKS
            headers.append((b"Transfer-Encoding", b"chunked"))
        else:
            self._relayed_framing = Framing.CLOSE
            self._caller.begin_response_framed_by_close()
        if self._close_after or self._relayed_framing is Framing.CLOSE:
            headers.append((b"Connection", b"close"))
        self._caller.write(encode_head(self._status, self._reason, headers))

    def _relay(self, data: bytes) -> None:
        self.relayed_bytes += len(data)
        is_chunked = self._relayed_framing is Framing.CHUNKS
        self._caller.write(encode_chunk(data) if is_chunked else data)

    def on_end(self) -> None:
        """Handle the end of the body, by its framing.

        A response that ended with its connection must be confirmed before it counts as complete.
        """
        if self._ends_early():
            self.on_break(Break.INSIDE_EVENT)
            return
        if held := self._resumed_start.release():
            # A stream without any event.
            self._start_relaying()
            self._relay(held)
        if not self._relaying:
            self._end(self._classify())
            return
        if self.framing is not Framing.CLOSE:
            self.confirm_end()
        self._end(AttemptEnd(AttemptResult.COMPLETE, self._status, relayed=True))

    def _ends_early(self) -> bool:
        """Whether the body is an event stream that lacks the end of an event."""
        if self.position is None:
            return False
        lacks_event = self.framing is Framing.CLOSE and not self.position.has_event
        return self.position.is_inside_event or lacks_event

    def confirm_end(self) -> None:
        """Send the caller the end of a response that is known to be complete."""
        if self._relayed_framing is Framing.CHUNKS:
            self._caller.write(LAST_CHUNK)

    def _classify(self) -> AttemptEnd:
        status, headers = self._status, self._headers
        if self._is_rejection():
            return AttemptEnd(
                AttemptResult.NOT_RUN, status, headers=headers, detail=f"status {status}"
            )
        if not self._is_relayable():
            return AttemptEnd(
                AttemptResult.FAILED, status, detail=f"unacceptable response, status {status}"
            )
        body = b"".join(self._body)
        return AttemptEnd(AttemptResult.COMPLETE, status, self._reason, headers, body)

    def on_break(self, reason: Break) -> None:
        """Handle a response that was interrupted."""
        self._end(self.interrupted(reason))

    def _break_off(self, reason: Break) -> None:
        if self.connection is not None:
            self.connection.break_off(reason)

    def interrupted(self, reason: Break) -> AttemptEnd:
        """Return the end of the attempt if its response was interrupted."""
        result = AttemptResult.TRUNCATED if self._relaying else AttemptResult.FAILED
        return AttemptEnd(
            result,
            self._status,
            relayed=self._relaying,
            detail=reason,
            is_broken=reason not in INTACT_CONNECTION_BREAKS,
        )

    def _end(self, end: AttemptEnd) -> None:
        if self._rejection_timer is not None:
            self._rejection_timer.cancel()
        if not self.ended.done():
            self.ended.set_result(end)


def encode_complete_response(end: AttemptEnd, close: bool, is_head_request: bool) -> bytes:
    """Encode a replica's complete response for the caller, unchanged except for its framing."""
    headers = end_to_end_headers(end.headers or [])
    if is_head_request:
        length = find_header(end.headers or [], b"content-length")
        if length is not None:
            headers.append((b"Content-Length", length))
    elif end.status not in NO_CONTENT_STATUSES:
        headers.append((b"Content-Length", b"%d" % len(end.body)))
    if close:
        headers.append((b"Connection", b"close"))
    return encode_head(end.status, end.reason, headers) + end.body
