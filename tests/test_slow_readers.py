"""Callers that read slowly do not hide the end of a replica, nor leave connections unread."""

import asyncio

import pytest

from crowsill.gateway.headers import HeaderNames
from crowsill.gateway.pool import ConnectionPool
from crowsill.model.instances import Instance
from tests.gateway_world import ID, STAMP, Replica, encode_response, run, world
from tests.test_late_copies import Ignored
from tests.test_truncated_streams import read_response

LARGE_BODY = b"x" * (8 * 1024 * 1024)
HALF = b"half of a body"


async def send_half(writer, request_id):
    """Send half of a body that ends with its connection."""
    head = f"HTTP/1.1 200 OK\r\n{ID}: {request_id}\r\n{STAMP}: s1\r\n"
    writer.write((head + "Content-Type: text/plain\r\n\r\n").encode() + HALF)
    await writer.drain()


# Half of an answer looked whole after its replica was killed, beside callers that read slowly.
@pytest.mark.parametrize("slow_callers", [0, 1, 3])
def test_a_response_cut_by_a_crash_is_not_whole_beside_slow_callers(slow_callers):
    async def scenario():
        halves = asyncio.Event()

        async def script(headers, writer, _number):
            if headers[ID].startswith("slow"):
                writer.write(encode_response(headers[ID], LARGE_BODY))
                await asyncio.sleep(10)
                return False
            await send_half(writer, headers[ID])
            halves.set()
            await asyncio.sleep(10)
            return False

        async with world(script) as here:
            for number in range(slow_callers):
                slow = await here.caller()
                slow.send("once", f"slow{number}")
                await slow.head()
            # Buffers fill up, so that the gateway stops reading for these callers.
            await asyncio.sleep(0.3)
            caller = await here.caller()
            caller.send("once", "r1")
            await halves.wait()
            await asyncio.sleep(0.1)
            await here._replicas[0].crash()
            status, is_whole, body = await read_response(caller)
            assert not (status == 200 and is_whole), body

    run(scenario())


# A connection that went back to the pool unread got no response to the next request.
def test_a_connection_that_is_released_is_read_again():
    async def scenario():
        async def respond(headers, writer, _number):
            writer.write(encode_response(headers[ID]))
            return True

        replica = await Replica(respond).start()
        pool = ConnectionPool(HeaderNames())
        instance = Instance("i-1", "plain", f"127.0.0.1:{replica.port}", "z", 8)
        connection = await pool.acquire(instance, 1.0, b"r1")
        connection.send(b"", b"r1", False, Ignored())
        connection.pause_reading(True)
        assert connection.is_paused
        connection.idle_expires_at_s = asyncio.get_running_loop().time() + 10.0
        pool.release("i-1", connection, True)
        assert await pool.acquire(instance, 1.0, b"r2") is connection
        assert connection._transport.is_reading()
        await replica.stop()

    run(scenario())
