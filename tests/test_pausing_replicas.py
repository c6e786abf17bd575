"""A sound replica may send nothing for a second and go on: it costs no request, nor its share."""

import asyncio
import socket

import pytest

from crowsill.transport.connection import PEER_TIMEOUT_S
from crowsill.transport.sockets import set_peer_timeout
from tests.gateway_world import ID, encode_response, run, world
from tests.test_truncated_streams import encode_events, encode_head, fetch

PAUSE_S = 1.3
CALLERS = 40
# The kernel gives a connection up after its user time-out, whatever the number of probes.
MIN_USER_TIMEOUT_MS = 1500


class Pause:
    """Holds all responses up from its start for `PAUSE_S`."""

    def __init__(self):
        self.ended = asyncio.Event()
        self.ended.set()

    def start(self):
        self.ended.clear()
        asyncio.get_running_loop().call_later(PAUSE_S, self.ended.set)


def test_a_stream_goes_on_after_a_pause_of_its_replica():
    async def scenario():
        body, sizes = encode_events(b"\n")
        pause = Pause()

        async def script(headers, writer, _number):
            writer.write(encode_head(headers[ID], f"Content-Length: {len(body)}"))
            writer.write(body[: sizes[0]])
            pause.start()
            await pause.ended.wait()
            writer.write(body[sizes[0] :])
            return True

        async with world(script) as here:
            assert await fetch(here, "stream") == (200, True, body)
            assert here._replicas[0].connections == 1

    run(scenario())


def test_requests_are_served_after_a_pause_of_their_replica_and_it_is_used_again():
    async def scenario():
        pause = Pause()

        def working(pause):
            async def script(headers, writer, _number):
                await pause.ended.wait()
                await asyncio.sleep(0.05)
                writer.write(encode_response(headers[ID]))
                return True

            return script

        async with world(working(pause), working(Pause())) as here:
            callers = [await here.caller() for _ in range(CALLERS)]

            async def statuses(name):
                sent = [caller.request("once", f"{name}-{id(caller)}") for caller in callers]
                return {status for status, _, _ in await asyncio.gather(*sent)}

            pause.start()
            assert await statuses("held") == {200}
            record = here.role.registry.find("i-1")
            assert not record.availability.is_unreachable and record.error_share == 0.0
            before = len(here._replicas[0].requests)
            assert await statuses("later") == {200}
            assert len(here._replicas[0].requests) > before

    run(scenario())


def user_timeout_ms(transport):
    connection = transport.get_extra_info("socket")
    return connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)


def test_connections_to_callers_and_replicas_survive_a_pause():
    async def scenario():
        async def steady(headers, writer, _number):
            writer.write(encode_response(headers[ID]))
            return True

        async with world(steady) as here:
            assert (await (await here.caller()).request("once"))[0] == 200
            (to_replica,) = here.role.pool._pools["i-1"].idle
            transports = [item.transport for item in here.role._running._connections]
            transports.append(to_replica._transport)
            assert len(transports) == 2
            assert all(user_timeout_ms(item) >= MIN_USER_TIMEOUT_MS for item in transports)

    run(scenario())


@pytest.mark.parametrize("timeout_s", [2.0, PEER_TIMEOUT_S, 5.0])
def test_keepalive_probes_are_sent_before_the_user_timeout_ends(timeout_s):
    async def scenario():
        server = await asyncio.start_server(lambda _reader, writer: writer.close(), "127.0.0.1", 0)
        _, writer = await asyncio.open_connection(*server.sockets[0].getsockname())
        set_peer_timeout(writer.transport, timeout_s)
        sock = writer.get_extra_info("socket")
        idle_s = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE)
        interval_s = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL)
        assert idle_s + interval_s <= user_timeout_ms(writer.transport) / 1000.0
        writer.close()
        server.close()

    run(scenario())
