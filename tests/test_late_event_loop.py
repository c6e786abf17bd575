"""A gateway whose event loop is late does not take that for a failure of others."""

import asyncio
import time

import pytest

from crowsill.gateway.pool import ConnectError, ConnectionPool
from crowsill.transport.sockets import seconds_since_received
from tests.gateway_world import LOCAL, NAMES, Replica, instance, respond_ok
from tests.partitioned_site import FailingLink

STALL_S = 0.8
TIMEOUT_S = 0.3


def run(scenario):
    asyncio.run(asyncio.wait_for(scenario, 20))


async def _open_while_stalled(pool, target):
    opening = asyncio.create_task(pool.open_connection(target, TIMEOUT_S))
    # The connection is being opened from here on.
    await asyncio.sleep(0.01)
    time.sleep(STALL_S)  # noqa: ASYNC251
    return await opening


def test_a_connection_that_was_opened_in_time_is_used_however_late_that_is_noticed():
    # Gateways that got more than they could serve excluded all replicas and rejected with 503.
    async def scenario():
        replica = Replica(respond_ok)
        await replica.start()
        pool = ConnectionPool(NAMES)
        opening = asyncio.create_task(pool.open_connection(instance(replica, 1), TIMEOUT_S))
        await asyncio.sleep(0)
        time.sleep(STALL_S)  # noqa: ASYNC251
        connection = await opening
        assert connection.is_open
        pool.release("i-1", connection, False)
        await replica.stop()

    run(scenario())


@pytest.mark.parametrize(("how", "is_refused"), [("reset", True), ("silent", False)])
def test_a_connection_that_was_not_opened_in_time_fails_on_a_late_loop_as_well(how, is_refused):
    async def scenario():
        replica = Replica(respond_ok)
        await replica.start()
        link = FailingLink(replica.port)
        link.fail(how)
        await asyncio.sleep(0.05)
        target = instance(replica, 1)
        target = type(target)(target.instance_id, target.service, f"{LOCAL}:{link.port}", "z1", 1)
        with pytest.raises(ConnectError) as raised:
            await _open_while_stalled(ConnectionPool(NAMES), target)
        assert raised.value.is_refused == is_refused
        link.stop()
        await replica.stop()

    run(scenario())


def test_the_kernel_tells_how_long_a_connection_waits_to_be_accepted():
    async def scenario():
        server = await asyncio.start_server(lambda _reader, writer: writer.close(), LOCAL, 0)
        reader, writer = await asyncio.open_connection(*server.sockets[0].getsockname())
        writer.write(b"x")
        await reader.read()
        waited_s = seconds_since_received(writer.get_extra_info("socket"))
        await asyncio.sleep(0.2)
        later_s = seconds_since_received(writer.get_extra_info("socket"))
        assert 0.15 <= later_s - waited_s <= 1.0
        writer.close()
        server.close()

    run(scenario())
