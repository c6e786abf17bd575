"""The open connections of callers and peers, and the exchange that runs on each."""

import asyncio

from crowsill.events import Event
from crowsill.gateway.caller_protocol import CallerConnection
from crowsill.gateway.exchange import Exchange
from crowsill.logs import log_event


class RunningExchanges:
    """Connections and exchanges of one gateway process."""

    def __init__(self) -> None:
        self._connections: set[CallerConnection] = set()
        self._exchanges: dict[CallerConnection, tuple[Exchange, asyncio.Task[None]]] = {}

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    @property
    def exchanges(self) -> int:
        """Number of running exchanges."""
        return len(self._exchanges)

    def add_connection(self, connection: CallerConnection) -> None:
        """Keep track of a new connection."""
        self._connections.add(connection)

    def start(self, connection: CallerConnection, exchange: Exchange) -> None:
        """Run the exchange of a request that a connection has received."""
        task = asyncio.create_task(exchange.run())
        self._exchanges[connection] = (exchange, task)
        task.add_done_callback(lambda done: self._note_ended(connection, done))

    def _note_ended(self, connection: CallerConnection, task: asyncio.Task[None]) -> None:
        running = self._exchanges.get(connection)
        if running is not None and running[1] is task:
            del self._exchanges[connection]
        if task.cancelled():
            return
        error = task.exception()
        if error is not None:
            log_event(
                Event.INTERNAL_ERROR,
                where="exchange",
                request="" if running is None else running[0].request_id(),
                error=repr(error),
            )
            if running is None or not running[0].fail():
                connection.abort()

    def cancel(self, connection: CallerConnection) -> None:
        """Forget a connection that ended, and cancel its exchange."""
        self._connections.discard(connection)
        running = self._exchanges.pop(connection, None)
        if running is not None and not running[1].done():
            running[1].cancel()
            log_event(Event.CALLER_LEFT, request=running[0].request_id())

    def pause_replica(self, connection: CallerConnection, paused: bool) -> None:
        """Pause reading from the replica while its caller does not read, or resume it."""
        running = self._exchanges.get(connection)
        if running is not None:
            running[0].pause_replica(paused)

    def close_idle(self) -> None:
        """Close the connections that have no request."""
        for connection in list(self._connections):
            if connection.is_idle:
                connection.close()

    def end_all(self) -> None:
        """End all exchanges, with a response where that is possible."""
        for exchange, task in list(self._exchanges.values()):
            exchange.end_at_shutdown()
            task.cancel()

    def abort_all(self) -> None:
        """Abort all connections."""
        for connection in list(self._connections):
            connection.abort()
