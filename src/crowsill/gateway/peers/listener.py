"""Accepts requests that other gateways pass on, and serves them like those of callers."""

import asyncio
from typing import Protocol

import msgspec

from crowsill.errors import ErrorKind, Problem
from crowsill.gateway.caller_protocol import CallerConnection, RequestHandler
from crowsill.gateway.peers.wire import MAX_ADDED_HEADER_BYTES, PeerTerms, take_peer_terms
from crowsill.gateway.request import CallerRequest
from crowsill.gateway.response import encode_problem
from crowsill.model.routes import CallerLimits
from crowsill.settings import Address

BACKLOG = 1024


class PeerRequestServer(RequestHandler, Protocol):
    """Serves callers' requests, and those that peers pass on."""

    def handle_from_peer(
        self, connection: CallerConnection, request: CallerRequest, terms: PeerTerms
    ) -> None:
        """Start the exchange of a request that a peer passes on."""


class PeerRequestHandler:
    """Checks that requests come from gateways of the group; implements `RequestHandler`."""

    def __init__(self, server: PeerRequestServer, key: bytes, address: str) -> None:
        self.names = server.names
        self._server = server
        self._key = key
        self._address = address

    def limits(self) -> CallerLimits:
        """Return the callers' limits, with room for the headers that a peer adds."""
        limits = self._server.limits()
        max_header_bytes = limits.max_header_bytes + MAX_ADDED_HEADER_BYTES
        return msgspec.structs.replace(limits, max_header_bytes=max_header_bytes)

    def is_stopping(self) -> bool:
        """Whether connections close after their current response."""
        return self._server.is_stopping()

    def on_connected(self, connection: CallerConnection) -> None:
        """Handle a new connection."""
        self._server.on_connected(connection)

    def on_disconnected(self, connection: CallerConnection) -> None:
        """Handle the end of a connection."""
        self._server.on_disconnected(connection)

    def on_writable_changed(self, connection: CallerConnection, writable: bool) -> None:
        """Handle that the connection's write buffer is full, or accepts data again."""
        self._server.on_writable_changed(connection, writable)

    def handle(self, connection: CallerConnection, request: CallerRequest) -> None:
        """Pass on a request whose sender proves to be a gateway of the group; reject any other."""
        terms = take_peer_terms(request, self._key, self._address)
        if terms is not None:
            self._server.handle_from_peer(connection, request, terms)
            return
        problem = Problem(ErrorKind.FORBIDDEN, "only gateways of the group are served here")
        connection.write(
            encode_problem(problem, request.request_id, self.names.request_id, True, None)
        )
        connection.finish(keep_alive=False)


class PeerListener:
    """The listener for other gateways."""

    def __init__(self, server: PeerRequestServer, key: bytes, listen: Address) -> None:
        self._server = server
        self._key = key
        self._listen = listen
        self._socket_server: asyncio.Server | None = None
        self.address = ""

    async def start(self) -> None:
        """Open the listener; `address` is `IP:port` from then on."""
        loop = asyncio.get_running_loop()
        self._socket_server = await loop.create_server(
            lambda: CallerConnection(PeerRequestHandler(self._server, self._key, self.address)),
            self._listen.host,
            self._listen.port,
            backlog=BACKLOG,
        )
        port = self._socket_server.sockets[0].getsockname()[1]
        self.address = f"{self._listen.host}:{port}"

    def close(self) -> None:
        """Accept no more connections."""
        if self._socket_server is not None:
            self._socket_server.close()
