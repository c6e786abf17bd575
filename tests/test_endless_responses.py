"""Replicas whose bytes are no response and do not end, as a flood and as a drip."""

import asyncio
import time

import msgspec
import pytest

from crowsill.gateway.replica_connection import ReplicaConnection
from crowsill.gateway.response_collector import ResponseCollector
from tests.gateway_world import (
    ID,
    LOCAL,
    NAMES,
    NOT_RUN,
    STAMP,
    Caller,
    Replica,
    encode_response,
    respond_ok,
    routes,
    run,
    world,
)

# A gateway has 200 MB; so ten such replicas at once must not matter to it.
MAX_READ_BYTES = 1024 * 1024
FLOOD_BYTES = 16 * 1024 * 1024
PIECE = b"x" * 65536
# Callers are told long before the deadline of this route.
LONG_DEADLINE_MS = 20000
MAX_DRIP_S = 5.0
DRIP_INTERVAL_S = 0.05


def head(request_id, status="200 OK", extra=()):
    lines = [f"HTTP/1.1 {status}", f"{ID}: {request_id}", f"{STAMP}: s1", *extra]
    return ("\r\n".join(lines) + "\r\n").encode()


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


CHUNKED = "Transfer-Encoding: chunked"
# The first bytes of a response, and the piece that is repeated.
ENDLESS_HEADS = {
    "header lines": (lambda _id: b"HTTP/1.1 200 OK\r\n", b"A: 1\r\n" * 8192),
    "one header": (lambda _id: b"HTTP/1.1 200 OK\r\nA: ", PIECE),
    "one header name": (lambda _id: b"HTTP/1.1 200 OK\r\n", PIECE),
    "reason phrase": (lambda _id: b"HTTP/1.1 200 ", PIECE),
    "interim heads": (lambda _id: b"", b"HTTP/1.1 102 Processing\r\n\r\n" * 2048),
    "headers of a valid head": (head, b"A: 1\r\n" * 8192),
}
ENDLESS_BODIES = {
    "no stamp, chunks": (
        lambda found: f"HTTP/1.1 200 OK\r\n{ID}: {found}\r\n{CHUNKED}\r\n\r\n".encode(),
        chunk(PIECE),
    ),
    "no stamp, until close": (
        lambda found: f"HTTP/1.1 200 OK\r\n{ID}: {found}\r\n\r\n".encode(),
        PIECE,
    ),
    "another request's": (lambda _id: head("other", extra=[CHUNKED, ""]), chunk(PIECE)),
    "an error without a stamp": (lambda _id: b"HTTP/1.1 500 Error\r\n\r\n", PIECE),
    "a rejection": (
        lambda found: head(found, "503 Full", [f"{NOT_RUN}: 1", CHUNKED, ""]),
        chunk(PIECE),
    ),
    "a rejection that may have run": (lambda found: head(found, "503 Full", [""]), PIECE),
}
ENDLESS_FRAMING = {
    "trailers": (
        lambda found: head(found, extra=[CHUNKED, ""]) + chunk(b"data: 1\n\n") + b"0\r\n",
        b"A: 1\r\n" * 8192,
    ),
    "chunk extension": (
        lambda found: head(found, extra=[CHUNKED, ""]) + chunk(b"data: 1\n\n") + b"5;a=",
        PIECE,
    ),
}
ALL = ENDLESS_HEADS | ENDLESS_BODIES | ENDLESS_FRAMING


def flood(name):
    first, piece = ALL[name]

    async def script(headers, writer, _number):
        writer.write(first(headers.get(ID, "")))
        for _ in range(FLOOD_BYTES // len(piece)):
            writer.write(piece)
            await writer.drain()
        return False

    return script


def drip(name):
    first, piece = ALL[name]

    async def script(headers, writer, _number):
        writer.write(first(headers.get(ID, "")))
        position = 0
        while True:
            writer.write(piece[position : position + 1])
            position = (position + 1) % len(piece)
            await writer.drain()
            await asyncio.sleep(DRIP_INTERVAL_S)

    return script


@pytest.fixture
def read_bytes(monkeypatch):
    """Count what replicas' connections receive."""
    counted = {"bytes": 0}
    data_received = ReplicaConnection.data_received

    def count(connection, data):
        counted["bytes"] += len(data)
        data_received(connection, data)

    monkeypatch.setattr(ReplicaConnection, "data_received", count)
    return counted


def patient_routes():
    base = routes()
    return msgspec.structs.replace(
        base, routes=[msgspec.structs.replace(r, timeout_ms=LONG_DEADLINE_MS) for r in base.routes]
    )


async def call(site, route):
    """Send a request; return its status, whether the response was complete, and the time taken."""
    started_s = time.monotonic()
    caller = await site.caller()
    try:
        caller.send(route)
        status, headers = await caller.head(LONG_DEADLINE_MS / 1000.0)
        try:
            await caller.body(headers, LONG_DEADLINE_MS / 1000.0)
            is_complete = True
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            # A line without a size is the end of the connection before the last chunk.
            is_complete = False
    finally:
        caller.disconnect()
    return status, is_complete, time.monotonic() - started_s


def check_ended(route, name, status, is_complete, took_s):
    if name in ENDLESS_FRAMING and route == "stream":
        assert (status, is_complete) == (200, False)
    else:
        assert status == 502
    assert took_s < MAX_DRIP_S


@pytest.mark.parametrize("route", ["once", "safe", "stream"])
@pytest.mark.parametrize("name", ALL)
def test_a_flood_that_is_no_response_ends_at_once(read_bytes, name, route):
    # Gateways read such responses for as long as the replica sent, into memory.
    async def scenario():
        async with world(flood(name), configuration=patient_routes()) as site:
            check_ended(route, name, *await call(site, route))
        # A route that may be repeated meets the same replica again.
        assert read_bytes["bytes"] < 2 * MAX_READ_BYTES

    run(scenario())


# Interim heads tell that a replica still works, so they may go on until the deadline.
@pytest.mark.parametrize("name", [name for name in ALL if name != "interim heads"])
def test_a_drip_that_is_no_response_ends_before_the_deadline(read_bytes, name):
    # A byte now and then kept a request waiting until its deadline.
    async def scenario():
        async with world(drip(name), configuration=patient_routes()) as site:
            check_ended("once", name, *await call(site, "once"))

    run(scenario())


@pytest.mark.parametrize("name", ALL)
def test_a_safe_request_goes_on_to_another_replica_after_a_flood(read_bytes, name):
    # Callers of safe routes waited with everybody else for a replica in trouble.
    async def scenario():
        async with world(flood(name), respond_ok, configuration=patient_routes()) as site:
            for _ in range(4):
                status, is_complete, took_s = await call(site, "safe")
                assert (status, is_complete) == (200, True)
                assert took_s < MAX_DRIP_S

    run(scenario())


def test_sound_requests_are_served_beside_ten_floods(read_bytes):
    # What one replica sent without end used up the memory of all requests of its gateway.
    async def scenario():
        names = [name for name in ALL if name not in ENDLESS_FRAMING][:10]
        scripts = [flood(name) for name in names]
        configuration = patient_routes()
        async with world(*scripts, respond_ok, respond_ok, configuration=configuration) as site:
            results = await asyncio.gather(*(call(site, "safe") for _ in range(40)))
            assert all(took_s < MAX_DRIP_S for *_, took_s in results)
            # Once the replicas in trouble are known, they are not preferred to sound ones.
            results = await asyncio.gather(*(call(site, "safe") for _ in range(10)))
            assert [status for status, *_ in results] == [200] * 10

    run(scenario())


@pytest.mark.parametrize(
    "piece_bytes", [1, 3, 4096, 262144], ids=["bytes", "words", "pages", "blocks"]
)
def test_long_responses_in_chunks_of_any_size_are_complete(piece_bytes):
    # The bounds hold for what is no body: a body of small chunks has several times its own size.
    async def scenario():
        async def script(headers, writer, _number):
            writer.write(head(headers[ID], extra=[CHUNKED, ""]))
            total = 400_000 if piece_bytes < 4096 else 4_000_000
            for start in range(0, total, 40_000 * piece_bytes):
                size = min(40_000 * piece_bytes, total - start)
                writer.write(chunk(b"y" * piece_bytes) * (size // piece_bytes))
                await writer.drain()
            writer.write(b"0\r\n\r\n")
            return True

        async with world(script) as site:
            caller = await site.caller()
            status, _, body = await caller.request("once")
            assert status == 200
            assert len(body) > 380_000
            caller.disconnect()

    run(scenario())


def test_a_call_that_is_answered_without_end_fails(read_bytes):
    # Checks of replicas and calls to engines kept all of a response.
    async def scenario():
        script = flood_of_valid_body()
        replica = await Replica(script).start()
        loop = asyncio.get_running_loop()
        _, connection = await loop.create_connection(
            lambda: ReplicaConnection(NAMES), LOCAL, replica.port
        )
        collector = ResponseCollector()
        connection.send(b"GET /x HTTP/1.1\r\nHost: r\r\n\r\n", b"", False, collector)
        async with asyncio.timeout(MAX_DRIP_S):
            assert await collector.ended is None
        connection.discard()
        assert read_bytes["bytes"] < 2 * MAX_READ_BYTES
        await replica.stop()

    run(scenario())


def flood_of_valid_body():
    async def script(_headers, writer, _number):
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        for _ in range(FLOOD_BYTES // len(PIECE)):
            writer.write(chunk(PIECE))
            await writer.drain()
        return False

    return script


@pytest.mark.parametrize(
    "first", [b"GET /safe/x HTTP/1.1\r\nA: ", b"GET /safe/x HTTP/1.1\r\n", b"GET /"]
)
def test_a_caller_that_sends_a_head_without_end_is_rejected(first):
    # One header that did not end was counted only once it had ended.
    async def scenario():
        async with world(respond_ok) as site:
            caller = await site.caller()
            caller.writer.write(first)
            sent = 0
            try:
                while sent < FLOOD_BYTES:
                    caller.writer.write(PIECE)
                    sent += len(PIECE)
                    await caller.writer.drain()
            except ConnectionError:
                pass
            assert sent < FLOOD_BYTES
            assert (await (await site.caller()).request("safe"))[0] == 200

    run(scenario())


def test_a_complete_response_after_interim_heads_is_relayed():
    # A few interim heads, as slow services send them, are no flood.
    async def scenario():
        async def script(headers, writer, _number):
            for _ in range(20):
                writer.write(b"HTTP/1.1 102 Processing\r\n\r\n")
                await asyncio.sleep(0.01)
            writer.write(encode_response(headers[ID]))
            return True

        async with world(script) as site:
            caller: Caller = await site.caller()
            assert (await caller.request("once"))[0] == 200
            caller.disconnect()

    run(scenario())
