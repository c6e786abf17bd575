"""One authenticated stream: requests with replies, and pushes, in both directions."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable

from crowsill.errors import ErrorKind
from crowsill.events import Event
from crowsill.logs import log_event
from crowsill.metrics import CONTROL_BYTES
from crowsill.transport.messages import Body, Frame
from crowsill.transport.sockets import set_peer_timeout
from crowsill.transport.stream import (
    HANDSHAKE_TIMEOUT_S,
    LocalIdentity,
    PeerIdentity,
    ProtocolError,
    accept_handshake,
    connect_handshake,
    encode,
    read_frame,
)

MAX_BUFFERED_BYTES = 8 * 1024 * 1024
PEER_SILENCE_S = 2.0
# A machine without power answers nothing, and the system sends the opening packet again only after
# a second. Links of the deployments take milliseconds, so that a new try is sooner; all callers try
# again or go on to another machine.
CONNECT_TIMEOUT_S = 0.3

RequestHandler = Callable[["Connection", Body], Awaitable[Body]]
PushHandler = Callable[["Connection", Body], None]


class ConnectionLostError(Exception):
    """The stream ended before the reply: the request may or may not have been handled."""

    kind = ErrorKind.NO_LEADER


def encode_push(body: Body) -> bytes:
    """Encode a push once, for any number of streams."""
    return encode(Frame(0, False, body))


class Connection:
    """An open stream.

    Attributes:
        peer: Who is at the other end.
    """

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        peer: PeerIdentity,
        on_request: RequestHandler | None = None,
        on_push: PushHandler | None = None,
    ) -> None:
        self._reader = reader
        self._writer = writer
        self.peer = peer
        self._on_request = on_request
        self._on_push = on_push
        self._next_correlation = 1
        self._waiting: dict[int, asyncio.Future[Body]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._closed = False

    @property
    def is_closed(self) -> bool:
        """Whether nothing more can be sent."""
        return self._closed or self._writer.is_closing()

    def push(self, body: Body) -> bool:
        """Send without a reply.

        Returns:
            False when it was dropped, because the stream is closed or its buffer is full.
        """
        return self._write(Frame(0, False, body))

    def push_encoded(self, payload: bytes) -> bool:
        """Send a frame made by `encode_push`, so that many streams share one encoding."""
        return self._write_bytes(payload)

    def _write(self, frame: Frame) -> bool:
        return self._write_bytes(encode(frame))

    def _write_bytes(self, payload: bytes) -> bool:
        if self.is_closed:
            return False
        if self._writer.transport.get_write_buffer_size() > MAX_BUFFERED_BYTES:
            return False
        CONTROL_BYTES.labels("sent").inc(len(payload))
        self._writer.write(payload)
        return True

    async def request(self, body: Body, timeout_s: float) -> Body:
        """Send a request and wait for its reply.

        Raises:
            ConnectionLostError: The stream ended or `timeout_s` passed without a reply.
        """
        correlation = self._next_correlation
        self._next_correlation += 1
        future: asyncio.Future[Body] = asyncio.get_running_loop().create_future()
        self._waiting[correlation] = future
        try:
            if not self._write(Frame(correlation, False, body)):
                raise ConnectionLostError("stream closed")
            # Not `wait_for`: it loses a cancellation that meets the reply.
            async with asyncio.timeout(timeout_s):
                return await future
        except TimeoutError as error:
            raise ConnectionLostError("no reply in time") from error
        finally:
            self._waiting.pop(correlation, None)

    async def run(self) -> None:
        """Read until the stream ends; returns then."""
        try:
            while True:
                frame, size = await read_frame(self._reader)
                CONTROL_BYTES.labels("received").inc(size)
                self._take(frame)
        except (asyncio.IncompleteReadError, OSError, ProtocolError):
            pass
        finally:
            self.close()

    def _take(self, frame: Frame) -> None:
        if frame.is_reply:
            future = self._waiting.get(frame.correlation_id)
            if future is not None and not future.done():
                future.set_result(frame.body)
        elif frame.correlation_id and self._on_request is not None:
            task = asyncio.create_task(self._answer(frame))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        elif self._on_push is not None:
            self._on_push(self, frame.body)

    async def _answer(self, frame: Frame) -> None:
        if self._on_request is None:
            return
        try:
            body = await self._on_request(self, frame.body)
        except Exception as error:
            log_event(Event.INTERNAL_ERROR, where="connection", error=repr(error))
            self.close()
            return
        self._write(Frame(frame.correlation_id, True, body))

    def close(self) -> None:
        """Close the stream; pending requests fail."""
        if self._closed:
            return
        self._closed = True
        for future in self._waiting.values():
            if not future.done():
                future.set_exception(ConnectionLostError("stream closed"))
        with contextlib.suppress(OSError, RuntimeError):
            self._writer.close()


async def open_connection(
    host: str,
    port: int,
    local: LocalIdentity,
    on_request: RequestHandler | None = None,
    on_push: PushHandler | None = None,
) -> Connection:
    """Connect and authenticate.

    Raises:
        OSError: The address does not answer.
        ProtocolError: The handshake failed.
        TimeoutError: It took too long.
    """
    async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(host, port)
        set_peer_timeout(writer.transport, PEER_SILENCE_S)
        try:
            peer = await connect_handshake(reader, writer, local)
        except (asyncio.IncompleteReadError, ProtocolError) as error:
            writer.close()
            raise ProtocolError(str(error)) from error
        except BaseException:
            writer.close()
            raise
    return Connection(reader, writer, peer, on_request, on_push)


class ConnectionServer:
    """Accepts authenticated streams."""

    def __init__(
        self,
        local: LocalIdentity,
        on_request: RequestHandler,
        on_push: PushHandler,
        on_closed: Callable[[Connection], None],
    ) -> None:
        self._local = local
        self._on_request = on_request
        self._on_push = on_push
        self._on_closed = on_closed
        self._server: asyncio.Server | None = None
        self.connections: set[Connection] = set()

    async def start(self, host: str, port: int) -> int:
        """Listen; return the port."""
        self._server = await asyncio.start_server(self._accept, host, port)
        bound: int = self._server.sockets[0].getsockname()[1]
        return bound

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        set_peer_timeout(writer.transport, PEER_SILENCE_S)
        try:
            async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
                peer = await accept_handshake(reader, writer, self._local)
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ProtocolError):
            writer.close()
            return
        connection = Connection(reader, writer, peer, self._on_request, self._on_push)
        self.connections.add(connection)
        try:
            await connection.run()
        finally:
            self.connections.discard(connection)
            self._on_closed(connection)

    async def stop(self) -> None:
        """Stop listening and close all streams."""
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            connection.close()
