"""TCP relays that misbehave as a network does, and close nothing.

`SilentRelay` stands before one control member, learns who connects from the first frame, and can
cut members off in both directions: what they send waits. `SilencingRelay` stands before any
listener; the connections that are open then can go silent for good, while new ones work.
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


class SilentRelay:
    """Relays streams to one target each; `cut` names the members that are cut off."""

    def __init__(self) -> None:
        self.cut: set[str] = set()
        self._servers: list[asyncio.Server] = []
        self._tasks: set[asyncio.Task[None]] = set()

    async def listen(self, port: int, target: str, target_port: int) -> None:
        """Relay a loopback port to a member.

        Args:
            port: Where to listen.
            target: Name of the member behind it.
            target_port: The member's own port.
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
        ends = {source, target}
        onward_reader, onward_writer = await asyncio.open_connection("127.0.0.1", target_port)
        onward_writer.write(header + payload)
        await asyncio.gather(
            self._pump(reader, onward_writer, ends), self._pump(onward_reader, writer, ends)
        )

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, ends: set[str]
    ) -> None:
        try:
            while data := await reader.read(CHUNK_BYTES):
                while self.cut & ends:
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
class _Relayed:
    """One relayed connection; what goes in a silent direction is swallowed."""

    writers: tuple[asyncio.StreamWriter, asyncio.StreamWriter]
    to_target_is_silent: bool = False
    to_caller_is_silent: bool = False


class SilencingRelay:
    """Relays connections to one target; those that are open can go silent for good.

    Nothing is closed and bytes are taken as before, so that only an answer that fails to come shows
    it. New connections work.
    """

    def __init__(self) -> None:
        self._open: list[_Relayed] = []
        self._server: asyncio.Server | None = None

    async def listen(self, port: int, target_port: int) -> None:
        """Relay a loopback port to another one."""

        async def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            try:
                onward = await asyncio.open_connection("127.0.0.1", target_port)
            except OSError:
                writer.close()
                return
            relayed = _Relayed((writer, onward[1]))
            self._open.append(relayed)
            try:
                await asyncio.gather(
                    _swallowing_pump(reader, onward[1], lambda: relayed.to_target_is_silent),
                    _swallowing_pump(onward[0], writer, lambda: relayed.to_caller_is_silent),
                )
            except asyncio.CancelledError:
                # The event loop ends.
                writer.close()
            self._open.remove(relayed)

        self._server = await asyncio.start_server(accept, "127.0.0.1", port)

    def silence(self, to_target: bool, to_caller: bool) -> None:
        """Silence all connections that are open, in one direction or both."""
        for relayed in self._open:
            relayed.to_target_is_silent = to_target
            relayed.to_caller_is_silent = to_caller

    def reset(self) -> None:
        """Break off all connections that are open."""
        for relayed in self._open:
            for writer in relayed.writers:
                writer.transport.abort()

    def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()


async def _swallowing_pump(
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
