"""TCP relays that emulate network faults without closing connections.

`PartitioningRelay` relays streams between control members, reads the connecting member's name from
the first frame, and can partition members: it delays their data in both directions.
`SilencingRelay` relays connections to any listener; it can discard all further data of open
connections, while new connections work.
`CuttingRelay` is one in front of a control member; it can also cut off single processes.
"""

import asyncio
import struct
from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from crowsill.transport.messages import Frame, Hello

_LENGTH = struct.Struct("<I")
CHUNK_BYTES = 65536
POLL_S = 0.02


class PartitioningRelay:
    """Relays streams to control members.

    Attributes:
        partitioned: Names of the members whose streams are delayed.
    """

    def __init__(self) -> None:
        self.partitioned: set[str] = set()
        self._servers: list[asyncio.Server] = []
        self._tasks: set[asyncio.Task[None]] = set()

    async def listen(self, port: int, target: str, target_port: int) -> None:
        """Relay a loopback port to a member.

        Args:
            port: Port to listen on.
            target: Name of the member behind the relay.
            target_port: Port on which the member listens.
        """

        async def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            try:
                await self._relay(reader, writer, target, target_port)
            except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
                writer.close()

        self._servers.append(await asyncio.start_server(accept, "127.0.0.1", port))

    async def _relay(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        target: str,
        target_port: int,
    ) -> None:
        header = await reader.readexactly(_LENGTH.size)
        payload = await reader.readexactly(_LENGTH.unpack(header)[0])
        body = msgspec.msgpack.decode(payload, type=Frame).body
        source = body.node if isinstance(body, Hello) else ""
        members = {source, target}
        target_reader, target_writer = await asyncio.open_connection("127.0.0.1", target_port)
        target_writer.write(header + payload)
        await asyncio.gather(
            self._pump(reader, target_writer, members), self._pump(target_reader, writer, members)
        )

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, members: set[str]
    ) -> None:
        try:
            while data := await reader.read(CHUNK_BYTES):
                while self.partitioned & members:
                    await asyncio.sleep(POLL_S)
                writer.write(data)
                await writer.drain()
        finally:
            writer.close()

    def close(self) -> None:
        """Stop listening."""
        for server in self._servers:
            server.close()


@dataclass(slots=True)
class _RelayedConnection:
    """One relayed connection; data in a silent direction is discarded."""

    writers: tuple[asyncio.StreamWriter, asyncio.StreamWriter]
    source: str = ""
    to_target_is_silent: bool = False
    to_caller_is_silent: bool = False


class SilencingRelay:
    """Relays connections to one target; open connections can become silent permanently.

    A silent connection stays open and its data is still read, so only a missing response shows the
    fault. New connections work.
    """

    def __init__(self) -> None:
        self._connections: list[_RelayedConnection] = []
        self._server: asyncio.Server | None = None

    async def listen(self, port: int, target_port: int) -> None:
        """Relay a loopback port to another one."""

        async def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            try:
                upstream = await asyncio.open_connection("127.0.0.1", target_port)
            except OSError:
                writer.close()
                return
            connection = _RelayedConnection((writer, upstream[1]))
            self._connections.append(connection)
            try:
                connection.source = await self._relay_name(reader, upstream[1])
                await asyncio.gather(
                    _pump_unless_silent(
                        reader,
                        upstream[1],
                        lambda: connection.to_target_is_silent or self._is_cut_off(connection),
                    ),
                    _pump_unless_silent(
                        upstream[0],
                        writer,
                        lambda: connection.to_caller_is_silent or self._is_cut_off(connection),
                    ),
                )
            except (OSError, asyncio.IncompleteReadError):
                for end in connection.writers:
                    end.close()
            except asyncio.CancelledError:
                # The event loop shuts down.
                writer.close()
            self._connections.remove(connection)

        self._server = await asyncio.start_server(accept, "127.0.0.1", port)

    async def _relay_name(
        self, reader: asyncio.StreamReader, target_writer: asyncio.StreamWriter
    ) -> str:
        """Relay what a connecting process says of itself; return its name, here always empty."""
        return ""

    def _is_cut_off(self, connection: _RelayedConnection) -> bool:
        """Whether all data of a connection is discarded."""
        return False

    def silence(self, to_target: bool, to_caller: bool) -> None:
        """Discard all further data of the open connections, in one direction or both."""
        for connection in self._connections:
            connection.to_target_is_silent = to_target
            connection.to_caller_is_silent = to_caller

    def reset(self) -> None:
        """Reset all open connections."""
        for connection in self._connections:
            for writer in connection.writers:
                writer.transport.abort()

    def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()


class CuttingRelay(SilencingRelay):
    """Relays streams to a control member; processes can be cut off by their names."""

    def __init__(self) -> None:
        super().__init__()
        self._cut_off: set[str] = set()

    def cut_off(self, name: str) -> None:
        """Discard all data of a process's open and new connections, in both directions."""
        self._cut_off.add(name)

    def restore(self, name: str) -> None:
        """Let new connections of a process work again, and reset those that have lost data."""
        self._cut_off.discard(name)
        for connection in self._connections:
            if connection.source == name:
                for writer in connection.writers:
                    writer.transport.abort()

    async def _relay_name(
        self, reader: asyncio.StreamReader, target_writer: asyncio.StreamWriter
    ) -> str:
        header = await reader.readexactly(_LENGTH.size)
        payload = await reader.readexactly(_LENGTH.unpack(header)[0])
        target_writer.write(header + payload)
        body = msgspec.msgpack.decode(payload, type=Frame).body
        return body.node if isinstance(body, Hello) else ""

    def _is_cut_off(self, connection: _RelayedConnection) -> bool:
        return connection.source in self._cut_off


async def _pump_unless_silent(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, is_silent: Callable[[], bool]
) -> None:
    try:
        while data := await reader.read(CHUNK_BYTES):
            if not is_silent():
                writer.write(data)
                await writer.drain()
    except OSError:
        pass
    finally:
        writer.close()
