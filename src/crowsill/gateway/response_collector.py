"""Collects a response that is small and is not relayed."""

import asyncio
from dataclasses import dataclass

from crowsill.gateway.framing import Framing
from crowsill.gateway.headers import Headers
from crowsill.gateway.replica_connection import Break

MAX_COLLECTED_BYTES = 1024 * 1024


@dataclass(frozen=True, slots=True)
class CallResponse:
    """A complete response."""

    status: int
    headers: Headers
    body: bytes


class ResponseCollector:
    """Collects one response; implements `ResponseSink`.

    Attributes:
        ended: Resolves to the response, or None if it was interrupted.
    """

    def __init__(self) -> None:
        loop = asyncio.get_running_loop()
        self.ended: asyncio.Future[CallResponse | None] = loop.create_future()
        self._status = 0
        self._headers: Headers = []
        self._body: list[bytes] = []
        self._body_bytes = 0

    def on_head(self, status: int, reason: bytes, headers: Headers, framing: Framing) -> None:
        """Keep the head."""
        self._status = status
        self._headers = headers

    def on_data(self, data: bytes) -> None:
        """Keep a piece of the body; a body that is too large ends without a response."""
        if self.ended.done():
            return
        self._body_bytes += len(data)
        if self._body_bytes > MAX_COLLECTED_BYTES:
            self._body.clear()
            self._end(None)
            return
        self._body.append(data)

    def on_end(self) -> None:
        """End with the complete response."""
        self._end(CallResponse(self._status, self._headers, b"".join(self._body)))

    def on_break(self, reason: Break) -> None:
        """End without a response."""
        self._end(None)

    def _end(self, response: CallResponse | None) -> None:
        if not self.ended.done():
            self.ended.set_result(response)
