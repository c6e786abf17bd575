"""The relay that cuts single processes off from a control member."""

import asyncio
import contextlib
import struct

import msgspec

from crowsill.transport.messages import Frame, Hello
from crowsill_lab.demo.processes import free_ports
from crowsill_lab.relay import CuttingRelay


async def echo(reader, writer):
    while data := await reader.read(65536):
        writer.write(data)
    writer.close()


async def connect(port, name):
    """Open a stream and say who connects, as gateways do; return it once that has come back."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    payload = msgspec.msgpack.encode(Frame(0, False, Hello(1, name, name, "z", b"n")))
    frame = struct.pack("<I", len(payload)) + payload
    writer.write(frame)
    return reader, writer, frame


async def comes_back(reader, writer, data):
    writer.write(data)
    try:
        return await asyncio.wait_for(reader.readexactly(len(data)), 0.3) == data
    except (TimeoutError, asyncio.IncompleteReadError, ConnectionError):
        return False


def test_only_the_process_that_is_cut_off_loses_its_data_until_it_is_restored():
    async def scenario():
        port, target_port = free_ports(2)
        server = await asyncio.start_server(echo, "127.0.0.1", target_port)
        relay = CuttingRelay()
        await relay.listen(port, target_port)
        first, other = await connect(port, "g0"), await connect(port, "g1")
        for reader, _, frame in (first, other):
            assert await reader.readexactly(len(frame)) == frame
        relay.cut_off("g0")
        assert not await comes_back(*first[:2], b"a")
        assert await comes_back(*other[:2], b"b")
        late = await connect(port, "g0")
        assert not await comes_back(*late[:2], b"c")
        relay.restore("g0")
        # What has lost data is reset; new streams work.
        for reader, _, _ in (first, late):
            with contextlib.suppress(ConnectionError):
                assert await asyncio.wait_for(reader.read(), 1.0) == b""
        fresh = await connect(port, "g0")
        assert await fresh[0].readexactly(len(fresh[2])) == fresh[2]
        assert await comes_back(*other[:2], b"d")
        for _, writer, _ in (first, other, late, fresh):
            writer.transport.abort()
        relay.close()
        server.close()
        await asyncio.sleep(0.05)

    asyncio.run(scenario())
