"""Tasks that are cancelled at the moment at which what they wait for arrives.

`asyncio.wait_for` of Python 3.11 returns the result and loses the cancellation if what it waits for
has completed and its own task has not run since. The cancelled task then runs forever.
"""

import asyncio

import pytest

from crowsill.backends.engine_calls import OrderResponse
from crowsill.transport.connection import Connection
from crowsill.transport.messages import Ping, Pong
from tests.gateway_world import respond_ok, world
from tests.test_model_placer import ScriptedEngines, World

# Steps of the event loop between the end of the wait and the cancellation.
STEPS = pytest.mark.parametrize("steps", range(5))


async def stops_when_cancelled(task, end_of_wait, steps):
    await asyncio.sleep(0.02)
    end_of_wait()
    for _ in range(steps):
        await asyncio.sleep(0)
    task.cancel()
    done, _ = await asyncio.wait([task], timeout=1.0)
    return bool(done) and task.cancelled()


@STEPS
def test_a_placer_that_is_cancelled_as_it_is_woken_stops(steps):
    async def body():
        placer = World(ScriptedEngines(OrderResponse.ACCEPTED)).placer
        task = asyncio.create_task(placer.run())
        return await stops_when_cancelled(task, placer._wake.set, steps)

    assert asyncio.run(body())


@STEPS
def test_a_waiting_request_that_is_cancelled_at_a_change_stops(steps):
    async def body():
        async with world(respond_ok) as here:

            async def wait():
                while True:
                    await here.role.wait_for_change(5.0)

            task = asyncio.create_task(wait())
            return await stops_when_cancelled(task, here.role._notify_change, steps)

    assert asyncio.run(body())


class DiscardingWriter:
    """A writer that discards all data."""

    transport = None

    def __init__(self):
        self.transport = self

    def is_closing(self):
        return False

    def get_write_buffer_size(self):
        return 0

    def write(self, _data):
        """Discard the data."""


@STEPS
def test_a_request_that_is_cancelled_as_its_reply_arrives_stops(steps):
    async def body():
        connection = Connection(None, DiscardingWriter(), None)

        async def request():
            while True:
                await connection.request(Ping(), 5.0)

        def reply():
            next(iter(connection._pending_replies.values())).set_result(Pong())

        return await stops_when_cancelled(asyncio.create_task(request()), reply, steps)

    assert asyncio.run(body())
