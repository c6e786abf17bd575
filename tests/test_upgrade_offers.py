"""Requests that offer to upgrade the protocol are served as if they did not."""

import asyncio

import falcon.asgi
import pytest

from crowsill.api.server import HttpServer
from crowsill.settings import HttpListener
from tests.gateway_world import ID, LOCAL, encode_response, run, world

OFFER = ["Connection: Upgrade, HTTP2-Settings", "Upgrade: h2c", "HTTP2-Settings: AAEA"]
BODIES = {
    "length": (["Content-Length: 6"], b"abcdef"),
    "chunks": (["Transfer-Encoding: chunked"], b"3\r\nabc\r\n3\r\ndef\r\n0\r\n\r\n"),
    "empty": (["Content-Length: 0"], b""),
    "none": ([], b""),
}


def encode_request(route, request_id, headers):
    lines = [f"POST /{route}/x HTTP/1.1", "Host: h.example", f"{ID}: {request_id}", *headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


# A request that offers an upgrade ran without its body, and its connection was closed unanswered.
@pytest.mark.parametrize("framing", BODIES)
@pytest.mark.parametrize("pieces", ["whole", "head and body", "bytes"])
def test_a_request_that_offers_an_upgrade_is_served_with_its_body(framing, pieces):
    async def scenario():
        async def echo(headers, writer, _number):
            writer.write(encode_response(headers[ID]))
            return True

        async with world(echo) as here:
            caller = await here.caller()
            assert (await caller.request("once", "r0"))[0] == 200
            headers, body = BODIES[framing]
            for number in range(3):
                head = encode_request("once", f"r{number + 1}", [*OFFER, *headers])
                parts = {
                    "whole": [head + body],
                    "head and body": [head, body],
                    "bytes": [bytes([byte]) for byte in head + body],
                }[pieces]
                for part in parts:
                    caller.writer.write(part)
                    await asyncio.sleep(0)
                status, found = await caller.head()
                assert (status, await caller.body(found)) == (200, b"fine")
            assert (await caller.request("once", "r9"))[0] == 200
            ran = here._replicas[0].requests
            assert [item[1][ID] for item in ran] == ["r0", "r1", "r2", "r3", "r9"]
            expected = b"abcdef" if framing in ("length", "chunks") else b""
            assert [item[2] for item in ran[1:4]] == [expected] * 3
            assert all("upgrade" not in item[1] and "http2-settings" not in item[1] for item in ran)

    run(scenario())


def test_requests_that_follow_one_with_an_offer_are_served_in_order():
    async def scenario():
        async def echo(headers, writer, _number):
            writer.write(encode_response(headers[ID], headers[ID].encode()))
            return True

        async with world(echo) as here:
            caller = await here.caller()
            for number in range(6):
                offer = OFFER if number % 2 else []
                head = encode_request("safe", f"r{number}", [*offer, "Content-Length: 2"])
                caller.writer.write(head + b"{}")
            for number in range(6):
                status, found = await caller.head()
                assert (status, await caller.body(found)) == (200, b"r%d" % number)

    run(scenario())


def test_connect_is_rejected():
    async def scenario():
        async def never(_headers, _writer, _number):
            raise AssertionError("not to be sent")

        async with world(never) as here:
            caller = await here.caller()
            caller.writer.write(b"CONNECT a.example:1 HTTP/1.1\r\nHost: h.example\r\n\r\nbytes")
            assert (await caller.head())[0] == 400

    run(scenario())


class EchoResource:
    async def on_put(self, request, response):
        response.data = await request.stream.read()


# The control API took the body of an operator's change for empty, and answered 400.
@pytest.mark.parametrize("framing", BODIES)
def test_the_body_of_a_call_that_offers_an_upgrade_is_read(framing):
    async def scenario():
        application = falcon.asgi.App()
        application.add_route("/x", EchoResource())
        server = HttpServer(application, HttpListener(LOCAL, 0))
        await server.start()
        try:
            reader, writer = await asyncio.open_connection(LOCAL, server.port)
            headers, body = BODIES[framing]
            for _ in range(3):
                lines = ["PUT /x HTTP/1.1", "Host: h", *OFFER, *headers]
                writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
                head = (await reader.readuntil(b"\r\n\r\n")).lower()
                assert head.startswith(b"http/1.1 200")
                length = int(head.partition(b"content-length: ")[2].partition(b"\r\n")[0])
                expected = b"abcdef" if framing in ("length", "chunks") else b""
                assert await reader.readexactly(length) == expected
            writer.close()
        finally:
            await server.stop()

    asyncio.run(asyncio.wait_for(scenario(), 20))
