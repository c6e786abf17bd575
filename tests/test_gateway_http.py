"""The gateway with replicas and callers that violate HTTP or the protocol, or fail."""

import asyncio
import socket
import struct

import pytest

from tests.gateway_world import (
    ID,
    STAMP,
    close_connection,
    encode_response,
    never_respond,
    reject_not_run,
    respond_ok,
    routes,
    run,
    world,
)

SETTLE_S = 0.05


def test_a_request_is_forwarded_unchanged_except_for_connection_headers():
    async def scenario():
        async with world(respond_ok) as here:
            caller = await here.caller()
            more = ["X-Mine: a", "Connection: x-hop", "X-Hop: b", "crowsill-deadline-ms: 900"]
            status, headers, body = await caller.request("once", "r7", b"pay", headers=more)
            assert (status, body, headers[ID], headers[STAMP]) == (200, b"fine", "r7", "s1")
            head, sent, got = here._replicas[0].requests[0]
            assert head.startswith("POST /once/x?q=1 HTTP/1.1\r\n") and got == b"pay"
            assert sent["x-mine"] == "a" and "x-hop" not in sent
            assert sent["crowsill-expect-instance"] == "i-1"
            assert 700 <= int(sent["crowsill-deadline-ms"]) <= 900

    run(scenario())


def test_a_connection_to_a_replica_is_reused():
    async def scenario():
        async with world(respond_ok) as here:
            caller = await here.caller()
            for number in range(5):
                status, _, _ = await caller.request("once", f"r{number}")
                assert status == 200
            # A parser flag that is never cleared would discard each connection after its second
            # use.
            assert here._replicas[0].connections == 1

    run(scenario())


def test_a_chunked_body_arrives_complete():
    async def scenario():
        async with world(respond_ok) as here:
            caller = await here.caller()
            head = f"POST /once/x HTTP/1.1\r\nHost: h.example\r\n{ID}: r1\r\n"
            caller.writer.write(head.encode() + b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n")
            await asyncio.sleep(SETTLE_S)
            caller.writer.write(b"2\r\nde\r\n0\r\n\r\n")
            status, _ = await caller.head()
            assert status == 200 and here._replicas[0].requests[0][2] == b"abcde"

    run(scenario())


def test_only_a_request_that_was_not_run_goes_to_another_replica():
    async def scenario():
        async with world(reject_not_run, respond_ok) as here:
            for number in range(4):
                caller = await here.caller()
                status, _, _ = await caller.request("once", f"r{number}")
                assert status == 200
            assert len(here._replicas[1].requests) == 4

    run(scenario())


def test_a_request_that_may_have_run_is_not_retried():
    async def scenario():
        async with world(close_connection, close_connection) as here:
            status, headers, _ = await (await here.caller()).request("once")
            assert status == 502 and STAMP not in headers and "retry-after" not in headers
            assert sum(len(replica.requests) for replica in here._replicas) == 1

    run(scenario())


def test_a_repeatable_request_is_retried_as_often_as_its_route_allows():
    async def scenario():
        async with world(close_connection, close_connection, close_connection) as here:
            status, _, _ = await (await here.caller()).request("safe")
            assert status == 502
            assert sum(len(replica.requests) for replica in here._replicas) == 2
        async with world(close_connection, respond_ok) as here:
            for number in range(4):
                status, _, _ = await (await here.caller()).request("safe", f"r{number}")
                assert status == 200

    run(scenario())


def test_a_request_that_no_replica_ran_is_rejected_with_retry_after():
    async def scenario():
        async with world(reject_not_run, reject_not_run) as here:
            status, headers, _ = await (await here.caller()).request("once")
            assert status == 503 and float(headers["retry-after"]) > 0

    run(scenario())


async def extra_bytes(headers, writer, _number):
    writer.write(encode_response(headers[ID]) + encode_response("other", b"evil"))
    return True


async def extra_later(headers, writer, _number):
    writer.write(encode_response(headers[ID]))
    await asyncio.sleep(0.02)
    writer.write(encode_response("other", b"evil"))
    return True


@pytest.mark.parametrize("script", [extra_bytes, extra_later])
def test_bytes_after_a_complete_response_are_discarded(script):
    async def scenario():
        async with world(script) as here:
            for number in range(4):
                status, _, body = await (await here.caller()).request("once", f"r{number}")
                assert (status, body) == (200, b"fine")
                await asyncio.sleep(SETTLE_S)

    run(scenario())


async def late_response_first(headers, writer, number):
    if number > 1:
        writer.write(encode_response("r0", b"late"))
    writer.write(encode_response(headers[ID]))
    return True


def test_a_response_to_an_earlier_request_is_skipped():
    async def scenario():
        async with world(late_response_first) as here:
            caller = await here.caller()
            for number in range(3):
                status, _, body = await caller.request("once", f"r{number + 1}")
                assert (status, body) == (200, b"fine")

    run(scenario())


async def unframed(headers, writer, _number):
    writer.write(encode_response(headers[ID], length=False))
    return False


async def unframed_reset(headers, writer, _number):
    writer.write(encode_response(headers[ID], length=False))
    await asyncio.sleep(SETTLE_S)
    # Closing with linger time 0 resets the connection.
    linger = struct.pack("ii", 1, 0)
    writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    return False


async def cut_short(headers, writer, _number):
    writer.write(encode_response(headers[ID], b"0123456789")[:-3])
    return False


async def encoded(headers, writer, _number):
    writer.write(encode_response(headers[ID], extra="Content-Encoding: gzip"))
    return True


async def unstamped(headers, writer, _number):
    writer.write(encode_response(headers[ID]).replace(STAMP.encode(), b"x-other"))
    return True


async def not_http(_headers, writer, _number):
    writer.write(b"\x00\x01 nonsense\r\n\r\n")
    return True


async def unverified_rejection(headers, writer, _number):
    writer.write(encode_response(headers[ID], b"", "503 Busy"))
    return True


def test_a_response_without_length_is_complete_when_its_connection_closes_cleanly():
    async def scenario():
        async with world(unframed) as here:
            status, headers, body = await (await here.caller()).request("once")
            assert (status, body, headers["content-length"]) == (200, b"fine", "4")

    run(scenario())


@pytest.mark.parametrize(
    "script", [unframed_reset, cut_short, encoded, unstamped, not_http, unverified_rejection]
)
def test_an_incomplete_or_unverified_response_is_never_relayed(script):
    async def scenario():
        async with world(script) as here:
            status, headers, _ = await (await here.caller()).request("once")
            # The request ran or may have run: no `Retry-After`, no stamp of the replica.
            assert status == 502 and STAMP not in headers

    run(scenario())


async def error_response(headers, writer, _number):
    writer.write(encode_response(headers[ID], b"oops", "500 Failed"))
    return True


def test_an_error_response_of_a_replica_is_relayed_with_its_stamp():
    async def scenario():
        async with world(error_response) as here:
            status, headers, body = await (await here.caller()).request("once")
            assert (status, headers[STAMP], body) == (500, "s1", b"oops")

    run(scenario())


def streaming(events, ends=True, pause_s=0.1):
    async def script(headers, writer, _number):
        head = f"HTTP/1.1 200 OK\r\n{ID}: {headers[ID]}\r\n{STAMP}: s1\r\n"
        writer.write(head.encode() + b"Transfer-Encoding: chunked\r\n\r\n")
        for number in range(events):
            event = b"id: %d\ndata: x\n\n" % number
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(pause_s)
        if ends:
            writer.write(b"0\r\n\r\n")
        return ends

    return script


def test_events_are_relayed_as_they_arrive():
    async def scenario():
        async with world(streaming(3, pause_s=0.3)) as here:
            caller = await here.caller()
            loop = asyncio.get_running_loop()
            started_at_s = loop.time()
            caller.send("stream")
            await caller.head()
            await caller.reader.readuntil(b"id: 0")
            assert loop.time() - started_at_s < 0.25
            rest = await caller.reader.readuntil(b"0\r\n\r\n")
            assert b"id: 2" in rest

    run(scenario())


def test_a_stream_that_breaks_off_breaks_off_for_the_caller():
    async def scenario():
        async with world(streaming(2, ends=False, pause_s=0.02)) as here:
            caller = await here.caller()
            caller.send("stream")
            with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
                await caller.reader.readuntil(b"0\r\n\r\n")

    run(scenario())


@pytest.mark.parametrize("script", [never_respond, streaming(1000, pause_s=0.02)])
def test_a_caller_that_disconnects_frees_its_replica_at_once(script):
    async def scenario():
        async with world(script) as here:
            caller = await here.caller()
            caller.send("stream")
            while not here._replicas[0].requests:
                await asyncio.sleep(0.01)
            await asyncio.sleep(SETTLE_S)
            caller.disconnect()
            async with asyncio.timeout(0.5):
                while here.role.pool.in_use("i-1"):
                    await asyncio.sleep(0.01)

    run(scenario())


def test_the_timeout_of_the_route_is_enforced_without_retry_after():
    async def scenario():
        async with world(never_respond) as here:
            loop = asyncio.get_running_loop()
            started_at_s = loop.time()
            status, headers, _ = await (await here.caller()).request("short")
            assert status == 504 and "retry-after" not in headers
            assert 0.2 < loop.time() - started_at_s < 0.45

    run(scenario())


def test_unknown_routes_and_invalid_or_oversized_requests():
    async def scenario():
        async with world(respond_ok, configuration=routes(max_body_bytes=10)) as here:
            assert (await (await here.caller()).request("nowhere"))[0] == 404
            assert (await (await here.caller()).request("once", body=b"x" * 11))[0] == 413
            large = [f"X-Large: {'y' * 20000}"]
            assert (await (await here.caller()).request("once", headers=large))[0] == 431
            caller = await here.caller()
            caller.writer.write(b"nonsense\r\n\r\n")
            assert (await caller.head())[0] == 400
            assert here._replicas[0].requests == []

    run(scenario())


def test_a_caller_that_sends_headers_too_slowly_gets_408():
    async def scenario():
        async with world(respond_ok, configuration=routes(header_timeout_ms=150.0)) as here:
            caller = await here.caller()
            caller.writer.write(b"GET /once/x HTTP/1.1\r\nHost:")
            assert (await caller.head())[0] == 408

    run(scenario())


def test_a_retry_that_reached_no_replica_is_not_charged_to_the_retry_budget():
    async def scenario():
        async with world(respond_ok, respond_ok) as here:
            first, second = here._replicas

            def fails_beside(other):
                async def script(headers, writer, _number):
                    await other.stop()
                    writer.write(encode_response(headers[ID], b"", "500 Failed"))
                    return True

                return script

            first.script, second.script = fails_beside(second), fails_beside(first)
            budget = here.role.retry_budgets.earned("plain")
            for _ in range(100):
                budget.earn(asyncio.get_running_loop().time())
            before = budget.left(asyncio.get_running_loop().time())
            assert before >= 1.0
            await (await here.caller()).request("safe")
            assert len(first.requests) + len(second.requests) == 1
            assert budget.left(asyncio.get_running_loop().time()) >= before

    run(scenario())
