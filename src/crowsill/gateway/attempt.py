"""One sending of a request to a replica, and what came of it."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum

from crowsill.clock import wall_s
from crowsill.gateway.caller_protocol import CallerConnection
from crowsill.gateway.headers import HeaderNames, Headers, end_to_end_headers, find_header
from crowsill.gateway.replica_connection import Break, ReplicaConnection
from crowsill.gateway.replica_signals import ReplicaSignals, read_signals
from crowsill.gateway.response import LAST_CHUNK, encode_chunk, encode_head

BUFFERED_BYTES = 256 * 1024
NO_CONTENT_STATUSES = frozenset((204, 304))
# Statuses that promise that a request was not run: never passed on without the replica's word.
PROMISES = frozenset((408, 421, 429, 503))


class AttemptResult(StrEnum):
    """How an attempt ended.

    Attributes:
        COMPLETE: A whole answer of the replica, ready to be passed on or already passed on.
        NOT_RUN: The replica said that it did not run the request.
        FAILED: It ran, or may have run, and there is no answer that may be passed on.
        TRUNCATED: Part of the answer has gone to the caller, and the rest will not come.
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
        status: Status of the answer; 0 without one.
        reason: Reason phrase of the answer.
        headers: Its headers.
        body: Its body, unless that was passed on as it came.
        relayed: Whether the caller has received it already.
        detail: What went wrong, for the log.
        is_broken: Whether the replica closed the connection before its answer was whole.
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
    """Receives the answer of one replica; streams are passed on event by event.

    Attributes:
        started_at_s: Clock when the attempt began.
        sent_s: Clock when the request was sent; 0 before.
        connection: The connection in use, or None.
        first_data_at_s: Clock when the first byte of the body came, or None.
        on_first_data: Called when it has come.
        on_gap: Called with each time between two pieces of the body, and the clock.
        max_gap_s: Longest time between two pieces of the body.
        relayed_bytes: Bytes of the body that have gone to the caller.
        signals: What the head of the answer said of the replica.
        on_signals: Called with the status and that as the head comes.
    """

    def __init__(
        self, caller: CallerConnection, names: HeaderNames, is_stream: bool, close_after: bool
    ) -> None:
        """Make an attempt.

        Args:
            caller: Where the answer goes.
            names: Header names.
            is_stream: Whether the body is passed on as it comes.
            close_after: Whether the caller's connection ends with this answer.
        """
        self._loop = asyncio.get_running_loop()
        self.started_at_s = self._loop.time()
        self.sent_s = 0.0
        self._caller = caller
        self._names = names
        self._is_stream = is_stream
        self._close_after = close_after
        self.on_first_data: Callable[[], None] = lambda: None
        self.on_gap: Callable[[float, float], None] = lambda _gap_s, _now_s: None
        self.on_signals: Callable[[int, ReplicaSignals], None] = lambda _status, _signals: None
        self.ended: asyncio.Future[AttemptEnd] = self._loop.create_future()
        self.first_data_at_s: float | None = None
        self.max_gap_s = 0.0
        self._last_data_s = 0.0
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
        self._chunked = False

    @property
    def is_relaying(self) -> bool:
        """Whether part of the answer has gone to the caller."""
        return self._relaying

    @property
    def has_response(self) -> bool:
        """Whether an answer, or its end, has come."""
        # An exchange that is ended from outside cancels what it waited for. That is no answer:
        # taken for one, no replica that said nothing was ever left out.
        return self._status != 0 or (self.ended.done() and not self.ended.cancelled())

    @property
    def was_abandoned(self) -> bool:
        """Whether the request was sent and its end was not waited for."""
        return self.sent_s > 0.0 and (not self.ended.done() or self.ended.cancelled())

    # ResponseSink.

    def on_head(self, status: int, reason: bytes, headers: Headers) -> None:
        """Take in the head of the answer."""
        self._status, self._reason, self._headers = status, reason, headers
        self.signals = read_signals(status, headers, self._names, wall_s())
        self.on_signals(status, self.signals)
        self._may_relay = self._is_stream and 200 <= status < 300 and self._is_sound()

    def _is_sound(self) -> bool:
        stamped = find_header(self._headers, self._names.stamp) is not None
        encoded = find_header(self._headers, b"content-encoding") is not None
        answers = find_header(self._headers, self._names.request_id) is not None
        return stamped and answers and not encoded

    def on_data(self, data: bytes) -> None:
        """Take in a piece of the body."""
        now_s = self._loop.time()
        if self.first_data_at_s is None:
            self.first_data_at_s = now_s
            self.on_first_data()
        else:
            gap_s = now_s - self._last_data_s
            self.max_gap_s = max(self.max_gap_s, gap_s)
            self.on_gap(gap_s, now_s)
        self._last_data_s = now_s
        if self._relaying:
            self._relay(data)
            return
        if self._may_relay:
            self._start_relaying()
            self._relay(data)
            return
        self._body.append(data)
        self._body_bytes += len(data)
        if self._body_bytes > BUFFERED_BYTES and self._is_sound():
            self._start_relaying()
            self._relay(b"".join(self._body))
            self._body.clear()

    def _start_relaying(self) -> None:
        self._relaying = True
        headers = end_to_end_headers(self._headers)
        length = find_header(self._headers, b"content-length")
        self._chunked = length is None
        if length is None:
            headers.append((b"Transfer-Encoding", b"chunked"))
        else:
            headers.append((b"Content-Length", length))
        if self._close_after:
            headers.append((b"Connection", b"close"))
        self._caller.write(encode_head(self._status, self._reason, headers))

    def _relay(self, data: bytes) -> None:
        self.relayed_bytes += len(data)
        self._caller.write(encode_chunk(data) if self._chunked else data)

    def on_end(self) -> None:
        """The answer is whole."""
        if self._relaying:
            if self._chunked:
                self._caller.write(LAST_CHUNK)
            self._end(AttemptEnd(AttemptResult.COMPLETE, self._status, relayed=True))
            return
        self._end(self._judge())

    def _judge(self) -> AttemptEnd:
        status, headers = self._status, self._headers
        not_run = find_header(headers, self._names.not_run) is not None or status == 421
        if not_run:
            return AttemptEnd(AttemptResult.NOT_RUN, status, detail=f"status {status}")
        if status in PROMISES or not self._is_sound():
            return AttemptEnd(
                AttemptResult.FAILED, status, detail=f"unsound answer, status {status}"
            )
        body = b"".join(self._body)
        return AttemptEnd(AttemptResult.COMPLETE, status, self._reason, headers, body)

    def on_break(self, why: Break) -> None:
        """The answer will not come whole."""
        result = AttemptResult.TRUNCATED if self._relaying else AttemptResult.FAILED
        broken = why in (Break.CLOSED, Break.RESET)
        relayed = self._relaying
        self._end(AttemptEnd(result, self._status, relayed=relayed, detail=why, is_broken=broken))

    def _end(self, end: AttemptEnd) -> None:
        if not self.ended.done():
            self.ended.set_result(end)


def encode_complete_response(end: AttemptEnd, close: bool, is_head_request: bool) -> bytes:
    """Encode a replica's whole answer for the caller, unchanged but for its framing."""
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
