"""Serves the readiness check of load balancers, metrics, and explanations of choices.

It uses `httptools` directly, since every load balancer sends a check each second. An application
server would cost start time and memory on small machines.
"""

import asyncio
from collections.abc import Callable

import httptools

from crowsill.gateway.response import encode_head
from crowsill.metrics import render_metrics
from crowsill.settings import Address

METRICS_PATH = b"/metrics"
EXPLAIN_PATH = b"/explain/route"

# Returns the status, the reason phrase and the body for the query of a request for an explanation.
Explain = Callable[[bytes], tuple[int, bytes, bytes]]


class _ReadyConnection(asyncio.Protocol):
    def __init__(self, is_ready: Callable[[], bool], explain: Explain) -> None:
        self._is_ready = is_ready
        self._explain = explain
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._url = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            if self._transport is not None:
                self._transport.close()

    def on_message_begin(self) -> None:
        self._url = b""

    def on_url(self, url: bytes) -> None:
        self._url += url

    def on_message_complete(self) -> None:
        if self._transport is None:
            return
        path, _, query = self._url.partition(b"?")
        if path == EXPLAIN_PATH:
            status, reason, body = self._explain(query)
        elif path == METRICS_PATH:
            status, reason, body = 200, b"OK", render_metrics()
        elif self._is_ready():
            status, reason, body = 200, b"OK", b"ready\n"
        else:
            status, reason, body = 503, b"Service Unavailable", b"not ready\n"
        headers = [
            (b"Content-Type", b"text/plain; charset=utf-8"),
            (b"Content-Length", b"%d" % len(body)),
        ]
        keep_alive = self._parser.should_keep_alive()
        if not keep_alive:
            headers.append((b"Connection", b"close"))
        self._transport.write(encode_head(status, reason, headers) + body)
        if not keep_alive:
            self._transport.close()


class ReadyServer:
    """The listener for readiness, metrics and explanations."""

    def __init__(self, listen: Address, is_ready: Callable[[], bool], explain: Explain) -> None:
        self._listen = listen
        self._is_ready = is_ready
        self._explain = explain
        self._server: asyncio.Server | None = None

    async def start(self) -> int:
        """Open the listener; return its port."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _ReadyConnection(self._is_ready, self._explain),
            self._listen.host,
            self._listen.port,
        )
        bound: int = self._server.sockets[0].getsockname()[1]
        return bound

    async def stop(self) -> None:
        """Close the listener."""
        if self._server is not None:
            self._server.close()
