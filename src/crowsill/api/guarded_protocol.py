"""uvicorn's HTTP protocol with limits on callers that send slowly, too much, or nothing.

uvicorn itself limits neither the size of the headers nor the time to receive them, so connections
that are idle or send slowly would stay open forever and occupy memory.
"""

import asyncio
from typing import Any, ClassVar, cast

from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from crowsill.transport.request_parser import RequestParser

HEADERS_TIMEOUT_S = 10.0
MAX_HEADER_BYTES = 32 * 1024
# Maximum number of connections that have not sent complete headers; further ones are refused.
MAX_AWAITING_HEADERS = 1000


class GuardedProtocol(HttpToolsProtocol):
    """One connection, with limits on the size and the arrival time of its headers.

    Attributes:
        awaiting_headers: All connections of the process that have not sent complete headers.
    """

    awaiting_headers: ClassVar[set["GuardedProtocol"]] = set()

    def __init__(self, *arguments: Any, **options: Any) -> None:  # noqa: ANN401
        super().__init__(*arguments, **options)
        self._request_parser = RequestParser(self, lambda: (self.url, self.headers))
        self.parser = cast(Any, self._request_parser)
        self._headers_timer: asyncio.TimerHandle | None = None
        self._header_bytes = 0
        self._is_reading_headers = True

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        """Start the timeout for the headers of the first request, or refuse the connection."""
        super().connection_made(transport)
        if len(self.awaiting_headers) >= MAX_AWAITING_HEADERS:
            transport.abort()
            return
        self._start_headers_wait()

    def _start_headers_wait(self) -> None:
        self.awaiting_headers.add(self)
        loop = asyncio.get_running_loop()
        self._headers_timer = loop.call_later(HEADERS_TIMEOUT_S, self._on_headers_timeout)

    def _on_headers_timeout(self) -> None:
        self.transport.abort()

    def _end_headers_wait(self) -> None:
        self._is_reading_headers = False
        self._header_bytes = 0
        self.awaiting_headers.discard(self)
        if self._headers_timer is not None:
            self._headers_timer.cancel()
            self._headers_timer = None

    def data_received(self, data: bytes) -> None:
        """Process received bytes; reject the request if its headers are too large."""
        if self.transport.is_closing():
            return
        if self._is_reading_headers:
            self._header_bytes += len(data)
        super().data_received(data)
        if self._is_reading_headers and self._header_bytes > MAX_HEADER_BYTES:
            self.send_400_response("Headers too large.")

    def on_message_begin(self) -> None:
        """Start a request; the limits also apply to later requests on the same connection."""
        super().on_message_begin()
        self._is_reading_headers = True
        if self._headers_timer is None:
            self._start_headers_wait()

    def on_headers_complete(self) -> None:
        """Stop the timeout for the headers."""
        if self._request_parser.offers_upgrade():
            return
        self._end_headers_wait()
        super().on_headers_complete()

    def on_message_complete(self) -> None:
        """End a complete request."""
        if not self._request_parser.offers_upgrade():
            super().on_message_complete()

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop the timeout of a closed connection."""
        self._end_headers_wait()
        super().connection_lost(exc)
