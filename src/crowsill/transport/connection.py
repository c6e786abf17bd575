"""An authenticated stream that carries requests, replies and pushes in both directions."""

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
PEER_TIMEOUT_S = 2.0
# A machine without power does not respond, and the kernel repeats the SYN only after a second.
# Round trips between machines take milliseconds, so a new attempt is faster. All callers retry or
# try another machine.
CONNECT_TIMEOUT_S = 0.3

RequestHandler = Callable[["Connection", Body], Awaitable[Body]]
PushHandler = Callable[["Connection", Body], None]


class ConnectionLostError(Exception):
    """The stream ended before the reply: the request may or may not have been processed."""

    kind = ErrorKind.NO_LEADER


def encode_push(body: Body) -> bytes:
    """Encode a push once, to send it on any number of streams."""
    return encode(Frame(0, False, body))


class Connection:
    """An open stream.

    Attributes:
        peer: Identity of the peer.
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
        self._next_correlation_id = 1
        self._pending_replies: dict[int, asyncio.Future[Body]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._closed = False

    @property
    def is_closed(self) -> bool:
        """Whether nothing more can be sent."""
        return self._closed or self._writer.is_closing()

    def push(self, body: Body) -> bool:
        """Send a message that has no reply.

        Returns:
            False if the message was dropped because the stream is closed or its buffer is full.
        """
        return self._write(Frame(0, False, body))

    def push_encoded(self, payload: bytes) -> bool:
        """Send a frame that `encode_push` returned; return False if it was dropped."""
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
        correlation_id = self._next_correlation_id
        self._next_correlation_id += 1
        future: asyncio.Future[Body] = asyncio.get_running_loop().create_future()
        self._pending_replies[correlation_id] = future
        try:
            if not self._write(Frame(correlation_id, False, body)):
                raise ConnectionLostError("the stream is closed or its buffer is full")
            # Not `wait_for`: it loses a cancellation that coincides with the reply.
            async with asyncio.timeout(timeout_s):
                return await future
        except TimeoutError as error:
            raise ConnectionLostError("no reply before the timeout") from error
        finally:
            self._pending_replies.pop(correlation_id, None)

    async def run(self) -> None:
        """Read and dispatch frames until the stream ends."""
        try:
            while True:
                frame, size = await read_frame(self._reader)
                CONTROL_BYTES.labels("received").inc(size)
                self._dispatch(frame)
        except (asyncio.IncompleteReadError, OSError, ProtocolError):
            pass
        finally:
            self.close()

    def _dispatch(self, frame: Frame) -> None:
        if frame.is_reply:
            future = self._pending_replies.get(frame.correlation_id)
            if future is not None and not future.done():
                future.set_result(frame.body)
        elif frame.correlation_id and self._on_request is not None:
            task = asyncio.create_task(self._handle_request(frame))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        elif self._on_push is not None:
            self._on_push(self, frame.body)

    async def _handle_request(self, frame: Frame) -> None:
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
        for future in self._pending_replies.values():
            if not future.done():
                future.set_exception(ConnectionLostError("the stream was closed"))
        with contextlib.suppress(OSError, RuntimeError):
            self._writer.close()


async def open_connection(
    host: str,
    port: int,
    local: LocalIdentity,
    on_request: RequestHandler | None = None,
    on_push: PushHandler | None = None,
) -> Connection:
    """Open a stream and authenticate both sides.

    Raises:
        OSError: The address does not accept connections.
        ProtocolError: The handshake failed.
        TimeoutError: Connecting or the handshake took too long.
    """
    async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(host, port)
        set_peer_timeout(writer.transport, PEER_TIMEOUT_S)
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
    """Accepts authenticated streams.

    Attributes:
        connections: All open streams.
    """

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
        """Start to listen and return the port."""
        self._server = await asyncio.start_server(self._accept, host, port)
        bound: int = self._server.sockets[0].getsockname()[1]
        return bound

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        set_peer_timeout(writer.transport, PEER_TIMEOUT_S)
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
