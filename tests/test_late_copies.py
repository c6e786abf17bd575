"""A late second copy of a response is not taken for the response to the request sent again."""

import asyncio

import pytest

from crowsill.gateway.headers import HeaderNames
from crowsill.gateway.pool import ConnectionPool
from crowsill.gateway.replica_connection import MAX_REQUESTS_PER_CONNECTION
from crowsill.model.instances import Instance
from tests.gateway_world import ID, NOT_RUN, Replica, encode_response, run, world

BACKOFF = f"{NOT_RUN}: 1\r\nRetry-After: 0.05"


class CopyingReplica:
    """Answers its first request with `first`, sends that again where the next answer is due."""

    def __init__(self, first, body=b"fine"):
        self._first = first
        self._body = body
        self._copies = {}
        self.ran = []

    async def __call__(self, headers, writer, number):
        copy = self._copies.pop(writer, None)
        if copy is not None:
            writer.write(copy)
            await asyncio.sleep(0.02)
        if number == 1:
            self._copies[writer] = encode_response(headers[ID], b"", *self._first)
            writer.write(self._copies[writer])
            return True
        self.ran.append(headers[ID])
        writer.write(encode_response(headers[ID], self._body))
        return True


# A request that may run once ran twice, or was refused though it ran.
@pytest.mark.parametrize("route", ["once", "stream", "safe"])
@pytest.mark.parametrize(
    "first",
    [("503 Full", BACKOFF), ("429 Slow Down", BACKOFF), ("503 Full", f"{BACKOFF}\r\nX: 1")],
)
def test_a_late_copy_of_a_rejection_does_not_answer_the_request_sent_again(route, first):
    async def scenario():
        replica = CopyingReplica(first)
        async with world(replica) as here:
            caller = await here.caller()
            status, _, body = await caller.request(route)
            await asyncio.sleep(0.2)
            assert (status, body, replica.ran) == (200, b"fine", ["r1"])

    run(scenario())


# A caller that repeats an id got the copy of the earlier response in place of its own.
def test_a_late_copy_does_not_answer_another_request_with_the_same_id():
    async def scenario():
        replica = CopyingReplica(("500 Failed", "X: 1"))
        async with world(replica) as here:
            first = await here.caller()
            status, _, _ = await first.request("once")
            assert status == 500
            second = await here.caller()
            status, _, body = await second.request("once")
            assert (status, body, replica.ran) == (200, b"fine", ["r1"])

    run(scenario())


def test_a_copy_that_comes_while_the_connection_is_idle_answers_nothing():
    async def scenario():
        ran = []

        async def copy_while_idle(headers, writer, number):
            ran.append(headers[ID])
            response = encode_response(headers[ID], b"%d" % number)
            writer.write(response)
            await writer.drain()
            if number == 1:
                await asyncio.sleep(0.05)
                writer.write(response)
            return True

        async with world(copy_while_idle) as here:
            caller = await here.caller()
            assert (await caller.request("once", "r1"))[2] == b"1"
            await asyncio.sleep(0.2)
            assert (await caller.request("once", "r1"))[2] == b"2"
            assert ran == ["r1", "r1"]

    run(scenario())


def test_a_connection_carries_an_id_once_and_a_limited_number_of_requests():
    async def scenario():
        async def respond(headers, writer, _number):
            writer.write(encode_response(headers[ID]))
            return True

        replica = await Replica(respond).start()
        pool = ConnectionPool(HeaderNames())
        instance = Instance("i-1", "plain", f"127.0.0.1:{replica.port}", "z", 8)
        first = await pool.acquire(instance, 1.0, b"r1")
        first.send(b"", b"r1", False, Ignored())
        pool.release("i-1", first, True)
        other = await pool.acquire(instance, 1.0, b"r1")
        assert other is not first
        pool.release("i-1", other, True)
        again = await pool.acquire(instance, 1.0, b"r2")
        for number in range(MAX_REQUESTS_PER_CONNECTION):
            again.send(b"", b"n%d" % number, False, Ignored())
        pool.release("i-1", again, True)
        assert await pool.acquire(instance, 1.0, b"r3") is not again
        await replica.stop()

    run(scenario())


# A gateway would hold more connections to a replica than its share, one for each send of a request.
def test_a_request_that_is_sent_again_takes_no_further_connection():
    async def scenario():
        async def respond(headers, writer, _number):
            writer.write(encode_response(headers[ID]))
            return True

        replica = await Replica(respond).start()
        pool = ConnectionPool(HeaderNames())
        instance = Instance("i-1", "plain", f"127.0.0.1:{replica.port}", "z", 8)
        sent = []
        for _ in range(4):
            connection = await pool.acquire(instance, 1.0, b"r1")
            connection.send(b"", b"r1", False, Ignored())
            connection.idle_expires_at_s = asyncio.get_running_loop().time() + 10.0
            pool.release("i-1", connection, True)
            sent.append(connection)
        assert [connection.is_open for connection in sent] == [False, False, False, True]
        await replica.stop()

    run(scenario())


class Ignored:
    """Receives a response that the test does not need."""

    def on_head(self, *_):
        pass

    def on_data(self, *_):
        pass

    def on_end(self):
        pass

    def on_break(self, *_):
        pass
