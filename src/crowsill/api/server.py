"""Serves an ASGI application with uvicorn's protocol, but with crowsill's own shutdown.

uvicorn's signal handling closes listeners at once, whereas a planned stop must first give the load
balancer time to notice. So only uvicorn's protocol is used, and this module manages listeners,
connections and shutdown itself.
"""

import asyncio
import logging
import ssl
from email.utils import formatdate
from typing import Any

import uvicorn

from crowsill.api.guarded_protocol import GuardedProtocol
from crowsill.settings import HttpListener

KEEP_ALIVE_S = 75
CLOSE_TIMEOUT_S = 1.5
BACKLOG = 2048


class HttpServer:
    """One HTTP listener."""

    def __init__(self, application: Any, listener: HttpListener) -> None:  # noqa: ANN401
        """Create a server that does not listen yet.

        Args:
            application: An ASGI application.
            listener: Address and TLS settings of the listener.
        """
        self._listener = listener
        self._config = uvicorn.Config(
            application,
            http=GuardedProtocol,
            ws="none",
            lifespan="off",
            log_config=None,
            access_log=False,
            server_header=False,
            proxy_headers=False,
            timeout_keep_alive=KEEP_ALIVE_S,
        )
        self._config.load()
        # A broken stream ends with an exception, which uvicorn would log with its traceback;
        # crowsill logs its own events instead.
        logging.getLogger("uvicorn.error").setLevel(logging.CRITICAL)
        self._state = uvicorn.server.ServerState()
        self._server: asyncio.Server | None = None
        self._date_task: asyncio.Task[None] | None = None
        self.port = 0

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._state.connections)

    @property
    def requests_in_flight(self) -> int:
        """Number of requests that the application is handling."""
        return len(self._state.tasks)

    async def start(self) -> None:
        """Start to listen."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._make_protocol,
            self._listener.host,
            self._listener.port,
            ssl=self._ssl_context(),
            backlog=BACKLOG,
        )
        self.port = self._server.sockets[0].getsockname()[1]
        self._date_task = asyncio.create_task(self._refresh_date())

    def _make_protocol(self) -> asyncio.Protocol:
        return GuardedProtocol(config=self._config, server_state=self._state, app_state={})

    def _ssl_context(self) -> ssl.SSLContext | None:
        tls = self._listener.tls
        if tls is None:
            return None
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        context.load_cert_chain(tls.certificate, tls.private_key)
        return context

    async def _refresh_date(self) -> None:
        """Refresh uvicorn's `Date` header every second, as uvicorn's server loop does."""
        while True:
            date = formatdate(usegmt=True).encode()
            self._state.default_headers = [(b"date", date)]
            await asyncio.sleep(1.0)

    def stop_accepting(self) -> None:
        """Close the listener; connections close after their request in flight."""
        if self._server is not None:
            self._server.close()
        for connection in list(self._state.connections):
            connection.shutdown()

    async def stop(self) -> None:
        """Close the listener and wait up to `CLOSE_TIMEOUT_S` for the connections to close."""
        self.stop_accepting()
        deadline_at_s = asyncio.get_running_loop().time() + CLOSE_TIMEOUT_S
        while self._state.connections and asyncio.get_running_loop().time() < deadline_at_s:
            await asyncio.sleep(0.01)
        if self._date_task is not None:
            self._date_task.cancel()
