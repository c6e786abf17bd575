"""A response whose replica stopped within its head, or right after it, never looks whole."""

import asyncio

import pytest

from crowsill.backends.interface import TruncatedResponseError
from crowsill.constants import HEADER_REQUEST_ID
from tests.gateway_world import ID, LOCAL, STAMP, Caller, Replica, encode_response, run, world
from tests.partitioned_site import PartitionedSite
from tests.test_backend_calls import read_all
from tests.test_partitioned_gateways import run as run_site
from tests.test_peer_requests import lose_links
from tests.test_truncated_streams import read_response, reset

BODY = b"whole body"
# Every third byte of a head: each kind of place is cut, in each framing at others.
STEP = 3
EVENTS = b"id: 1\ndata: one\n\nid: 2\ndata: two\n\n"
FRAMINGS = {
    "length": ([f"Content-Length: {len(BODY)}"], BODY),
    "empty": (["Content-Length: 0"], b""),
    "chunks": (["Transfer-Encoding: chunked"], b"a\r\n" + BODY + b"\r\n0\r\n\r\n"),
    "close": (["Connection: close"], BODY),
    "events": (
        ["Content-Type: text/event-stream", "Transfer-Encoding: chunked"],
        b"%x\r\n%s\r\n0\r\n\r\n" % (len(EVENTS), EVENTS),
    ),
}
WAYS = ["closed", "reset"]


def encode(request_id, framing, *, line_end="\r\n", interim=False):
    """Return the head and the body of a response."""
    headers, body = FRAMINGS[framing]
    lines = ["HTTP/1.1 200 OK", f"{ID}: {request_id}", f"{STAMP}: s1", *headers, "", ""]
    first = f"HTTP/1.1 103 Early Hints{line_end}Link: x{line_end}{line_end}" if interim else ""
    return (first + line_end.join(lines)).encode(), body


def cut_after(size, how, framing, *, split=False, **more):
    """Return a script that sends the first bytes of a response and then stops."""

    async def script(headers, writer, _number):
        head, body = encode(headers[ID], framing, **more)
        data = (head + body)[:size]
        pieces = [data[: len(head)], data[len(head) :]] if split else [data]
        for piece in pieces:
            writer.write(piece)
            await writer.drain()
            await asyncio.sleep(0.002)
        if how == "reset":
            reset(writer)
        return False

    return script


def sizes_of(framing, **more):
    """Return sizes within the head of a response, and within what follows where that has an end."""
    head, body = encode("r0000", framing, **more)
    # A body that ends with its connection is as long as it is.
    rest = 0 if framing == "close" else len(body)
    return [*range(0, len(head), STEP), *range(len(head), len(head) + rest, STEP)]


def forget_failures(role):
    for record in role.registry._records.values():
        record.forget_failures()


# Callers got a 200 with an empty or short body, framed as whole.
@pytest.mark.parametrize("how", WAYS)
@pytest.mark.parametrize("is_used", [False, True], ids=["new", "used"])
@pytest.mark.parametrize("framing", FRAMINGS)
def test_a_response_cut_in_its_head_is_not_whole(framing, is_used, how):
    async def scenario():
        sent = 0
        for number, size in enumerate(sizes_of(framing)):
            cut = cut_after(size, how, framing, split=number % 2 == 1)

            async def script(headers, writer, request, cut=cut):
                if is_used and request == 1:
                    writer.write(encode_response(headers[ID]))
                    return True
                return await cut(headers, writer, request)

            async with world(script) as here:
                if is_used:
                    assert (await (await here.caller()).request("once", "first"))[0] == 200
                caller = await here.caller()
                caller.send("stream" if framing == "events" else "once", f"r{number:04d}")
                status, is_whole, _ = await read_response(caller)
                assert not (status == 200 and is_whole), (framing, size)
                sent += len(here._replicas[0].requests) > is_used
        assert sent == number + 1

    asyncio.run(asyncio.wait_for(scenario(), 120))


@pytest.mark.parametrize("interim", [False, True])
@pytest.mark.parametrize("line_end", ["\n", "\r\n"])
def test_a_head_of_another_form_that_is_cut_is_not_whole(line_end, interim):
    async def scenario():
        more = {"line_end": line_end, "interim": interim}
        for number, size in enumerate(sizes_of("empty", **more)):
            async with world(cut_after(size, "closed", "empty", **more)) as here:
                caller = await here.caller()
                caller.send("once", f"r{number:04d}")
                status, is_whole, _ = await read_response(caller)
                assert not (status == 200 and is_whole), size
                assert len(here._replicas[0].requests) == 1

    asyncio.run(asyncio.wait_for(scenario(), 120))


@pytest.mark.parametrize("framing", FRAMINGS)
def test_a_response_cut_in_its_head_is_not_whole_over_a_peer(tmp_path, framing):
    async def scenario():
        async with PartitionedSite(tmp_path, gateways=2) as site:
            await lose_links(site, [0])
            ran = []

            def counted(script):
                async def run_counted(headers, writer, number):
                    ran.append(headers[ID])
                    return await script(headers, writer, number)

                return run_counted

            for number, size in enumerate(sizes_of(framing)[:: STEP + 1]):
                for replica in site.replicas:
                    replica.script = counted(cut_after(size, WAYS[number % 2], framing))
                port = site.gateways[0].port()
                caller = Caller(*await asyncio.open_connection(LOCAL, port))
                caller.send("stream" if framing == "events" else "once", f"r{number:04d}")
                status, is_whole, _ = await read_response(caller)
                assert not (status == 200 and is_whole), (framing, size)
                for role in site.gateways:
                    forget_failures(role)
            assert len(ran) > number // 2

    run_site(scenario())


def test_a_head_that_stops_and_stays_open_ends_at_the_deadline():
    async def scenario():
        async def freeze(headers, writer, _number):
            writer.write(encode(headers[ID], "length")[0][:40])
            await asyncio.sleep(30)
            return False

        async with world(freeze) as here:
            caller = await here.caller()
            status, _, _ = await caller.request("short")
            assert status == 504

    run(scenario())


@pytest.mark.parametrize("header", ["Content-Length: 4", "Content-Length: 0"])
def test_a_response_of_a_polled_back_end_cut_in_its_head_is_not_whole(header):
    def encode_polled(request_id):
        lines = ["HTTP/1.1 200 OK", f"{HEADER_REQUEST_ID}: {request_id}", header]
        return ("\r\n".join(lines) + "\r\n\r\n").encode()

    async def scenario():
        for size in range(0, len(encode_polled("x" * 32)) - STEP, STEP):

            async def script(headers, writer, _number, size=size):
                whole = encode_polled(headers["x-request-id"])
                writer.write(whole[: min(size, len(whole) - 1)])
                await writer.drain()
                return False

            # The call fails, or the body does.
            with pytest.raises((AssertionError, TruncatedResponseError)):
                await read_all(await Replica(script).start())

    run(scenario())
