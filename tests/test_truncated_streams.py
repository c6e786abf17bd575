"""Responses that were broken off must not reach callers as complete, wherever they were cut."""

import asyncio
import socket
import struct

import pytest

from tests.gateway_world import ID, LOCAL, STAMP, Caller, run, world
from tests.partitioned_site import PartitionedSite
from tests.test_partitioned_gateways import run as run_site
from tests.test_peer_requests import lose_links

LINE_ENDS = [
    pytest.param(b"\n", id="lf"),
    pytest.param(b"\r\n", id="crlf"),
    pytest.param(b"\r", id="cr"),
]
STREAM_ROUTES = ["stream", "resumable"]
EVENTS = 3


def encode_events(line_end, first=0):
    """Return a stream of events, and the sizes of its parts that end with a whole event."""
    body, sizes = b"", []
    for number in range(first, EVENTS):
        body += line_end.join([b"id: %d" % number, "data: größer".encode(), b"", b""])
        sizes.append(len(body))
    return body, sizes


def encode_head(request_id, *headers):
    lines = ["HTTP/1.1 200 OK", f"{ID}: {request_id}", f"{STAMP}: s1", *headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def reset(writer):
    """Have the connection reset when it is closed."""
    linger = struct.pack("ii", 1, 0)
    writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


def framed_by_close(body, *, resets=False, pieces=1):
    """Return a script that sends a body without a length and closes the connection."""

    async def script(headers, writer, _number):
        writer.write(encode_head(headers[ID], "Content-Type: text/event-stream"))
        size = max(1, -(-len(body) // pieces))
        for start in range(0, len(body), size):
            writer.write(body[start : start + size])
            await asyncio.sleep(0.001)
        if resets:
            await asyncio.sleep(0.02)
            reset(writer)
        return False

    return script


def framed_by_length(body):
    async def script(headers, writer, _number):
        writer.write(encode_head(headers[ID], f"Content-Length: {len(body)}") + body)
        return True

    return script


def framed_by_chunks(body):
    async def script(headers, writer, _number):
        writer.write(encode_head(headers[ID], "Transfer-Encoding: chunked"))
        writer.write(b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body))
        return True

    return script


async def fetch(here, route, request_id="r1"):
    """Send a request; return its status, whether its response is complete, and the body."""
    caller = await here.caller()
    caller.send(route, request_id)
    return await read_response(caller)


async def read_response(caller):
    """Return the status of a response, whether it is complete, and its body."""
    status, body = 0, b""
    try:
        async with asyncio.timeout(5):
            status, headers = await caller.head()
            if "content-length" in headers:
                body = await caller.reader.readexactly(int(headers["content-length"]))
                return status, True, body
            if "transfer-encoding" not in headers:
                return status, True, await caller.reader.read()
            while True:
                size = int(await caller.reader.readline() or b"-1", 16)
                if size < 0:
                    return status, False, body
                body += (await caller.reader.readexactly(size + 2))[:size]
                if size == 0:
                    return status, True, body
    except (asyncio.IncompleteReadError, ConnectionError):
        return status, False, body
    finally:
        caller.disconnect()


@pytest.mark.parametrize("route", STREAM_ROUTES)
@pytest.mark.parametrize("line_end", LINE_ENDS)
def test_a_stream_closed_inside_an_event_is_not_complete(route, line_end):
    async def scenario():
        body, whole_sizes = encode_events(line_end)
        async with world(framed_by_close(body)) as here:
            complete = []
            for size in range(1, len(body) + 1):
                here._replicas[0].script = framed_by_close(body[:size], pieces=size % 3 + 1)
                status, is_complete, _ = await fetch(here, route, f"r{size}")
                if status == 200 and is_complete:
                    complete.append(size)
            assert complete == whole_sizes

    run(scenario())


@pytest.mark.parametrize("route", STREAM_ROUTES)
@pytest.mark.parametrize("framing", [framed_by_length, framed_by_chunks])
def test_a_framed_stream_that_ends_inside_an_event_is_not_complete(route, framing):
    async def scenario():
        body, whole_sizes = encode_events(b"\n")
        async with world(framing(body)) as here:
            complete = []
            for size in range(1, len(body) + 1):
                here._replicas[0].script = framing(body[:size])
                status, is_complete, _ = await fetch(here, route, f"r{size}")
                if status == 200 and is_complete:
                    complete.append(size)
            assert complete == whole_sizes

    run(scenario())


@pytest.mark.parametrize("route", STREAM_ROUTES)
def test_a_stream_closed_before_its_first_event_is_not_complete(route):
    async def scenario():
        async with world(framed_by_close(b"")) as here:
            assert (await fetch(here, route))[:2] != (200, True)

    run(scenario())


@pytest.mark.parametrize("route", STREAM_ROUTES)
@pytest.mark.parametrize("cut", [0, 7, None])
def test_a_stream_that_is_reset_is_not_complete(route, cut):
    async def scenario():
        body, _ = encode_events(b"\n")
        async with world(framed_by_close(body[:cut], resets=True)) as here:
            assert (await fetch(here, route))[:2] != (200, True)

    run(scenario())


def crashing_after(body, own_replica, content_type="text/event-stream"):
    """Return a script whose replica sends a body without a length and crashes."""

    async def script(headers, writer, _number):
        writer.write(encode_head(headers[ID], f"Content-Type: {content_type}") + body)
        await writer.drain()
        await asyncio.sleep(0.05)
        await own_replica().crash()
        return False

    return script


@pytest.mark.parametrize(
    ("route", "content_type"),
    [("stream", "text/event-stream"), ("resumable", "text/event-stream"), ("once", "text/plain")],
)
def test_a_response_without_length_is_not_complete_if_its_replica_crashes(route, content_type):
    async def scenario():
        body, sizes = encode_events(b"\n")
        script = crashing_after(body[: sizes[0]], lambda: here._replicas[0], content_type)
        async with world(script) as here:
            assert (await fetch(here, route))[:2] != (200, True)

    run(scenario())


@pytest.mark.parametrize("told", ["by its response", "by the directory", "by its removal"])
def test_a_response_without_length_is_not_complete_if_its_draining_replica_crashes(told):
    async def scenario():
        body, sizes = encode_events(b"\n")
        headers = ["crowsill-server-leaving: 1"] if told == "by its response" else []

        async def script(got, writer, _number):
            writer.write(encode_head(got[ID], *headers) + body[: sizes[0]])
            await writer.drain()
            if told == "by the directory":
                here.drain(1)
            elif told == "by its removal":
                here.adopt([])
            await asyncio.sleep(0.05)
            await here._replicas[0].crash()
            return False

        async with world(script) as here:
            assert (await fetch(here, "stream"))[:2] != (200, True)

    run(scenario())


def test_a_stream_without_an_event_is_repeated_where_its_route_allows_it():
    async def scenario():
        body, _ = encode_events(b"\n")
        tried = []

        async def empty_once(headers, writer, number):
            tried.append(headers[ID])
            script = framed_by_close(b"" if len(tried) == 1 else body)
            return await script(headers, writer, number)

        async with world(empty_once, empty_once) as here:
            assert await fetch(here, "resumable") == (200, True, body)
            assert tried == ["r1", "r1"]

    run(scenario())


def test_a_stream_closed_inside_an_event_is_not_complete_over_a_peer(tmp_path):
    async def scenario():
        body, sizes = encode_events(b"\n")
        async with PartitionedSite(tmp_path, gateways=2) as site:
            await lose_links(site, [0])
            for cut, expected in [(sizes[0] + 4, False), (sizes[-1], True)]:
                for replica in site.replicas:
                    replica.script = framed_by_close(body[:cut])
                port = site.gateways[0].port()
                caller = Caller(*await asyncio.open_connection(LOCAL, port))
                caller.send("stream", f"cut-{cut}")
                status, is_complete, _ = await read_response(caller)
                assert (status, is_complete) == (200, expected)

    run_site(scenario())


async def fetch_by_http_1_0(here, route):
    """Send a request of HTTP/1.0; return the head, the body, and whether it ended cleanly."""
    caller = await here.caller()
    lines = [f"POST /{route}/x HTTP/1.0", "Host: h.example", f"{ID}: r1", "Content-Length: 0"]
    caller.writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
    head, body, is_clean = b"", b"", True
    try:
        async with asyncio.timeout(5):
            head = await caller.reader.readuntil(b"\r\n\r\n")
            while data := await caller.reader.read(1000):
                body += data
    except (asyncio.IncompleteReadError, ConnectionError):
        is_clean = False
    return head, body, is_clean


def test_a_truncated_stream_of_a_caller_without_chunks_ends_with_a_reset():
    async def scenario():
        body, sizes = encode_events(b"\n")
        async with world(framed_by_close(body)) as here:
            head, received, is_clean = await fetch_by_http_1_0(here, "stream")
            assert b"transfer-encoding" not in head.lower()
            assert (received, is_clean) == (body, True)
            here._replicas[0].script = framed_by_close(body[: sizes[1] + 3])
            _, _, is_clean = await fetch_by_http_1_0(here, "stream")
            assert not is_clean

    run(scenario())


@pytest.mark.parametrize("resets", [False, True])
def test_a_truncated_stream_is_not_complete_for_a_caller_that_reads_slowly(resets):
    # Reading from the replica is paused while its connection ends.
    async def scenario():
        event = b"data: " + b"x" * 100_000 + b"\n\n"
        body = event * 100
        async with world(framed_by_close(body[:-5], resets=resets)) as here:
            caller = await here.caller()
            caller.send("stream")
            await asyncio.sleep(0.5)
            status, is_complete, _ = await read_response(caller)
            assert (status, is_complete) == (200, False)

    run(scenario())


async def coded(headers, writer, _number):
    writer.write(encode_head(headers[ID], "Transfer-Encoding: gzip") + b"data: coded\n\n")
    return False


@pytest.mark.parametrize("route", ["stream", "once"])
def test_a_response_in_an_unknown_transfer_coding_is_not_relayed(route):
    async def scenario():
        async with world(coded) as here:
            assert (await fetch(here, route))[0] == 502

    run(scenario())
