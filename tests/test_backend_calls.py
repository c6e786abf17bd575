"""Responses of back ends that are polled: complete only if the back end has not crashed."""

import asyncio

import pytest
from returns.result import Success

from crowsill.backends.http_calls import HttpCalls
from crowsill.backends.interface import TruncatedResponseError
from crowsill.constants import HEADER_REQUEST_ID
from crowsill.model.fleet import ReplicaDescription, ReplicaKind
from tests.gateway_world import LOCAL, Replica, run
from tests.test_routing import request


def respond(*headers, body=b"part", crashing=None):
    """Return a script that sends a body and closes; `crashing` has its back end crash then."""

    async def script(got, writer, _number):
        lines = ["HTTP/1.1 200 OK", f"{HEADER_REQUEST_ID}: {got['x-request-id']}", *headers]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        await writer.drain()
        if crashing is not None:
            await asyncio.sleep(0.02)
            await crashing().crash()
        return False

    return script


async def read_all(replica):
    """Send a request to a back end and return the whole body of its response."""
    calls = HttpCalls()
    address = f"{LOCAL}:{replica.port}"
    description = ReplicaDescription("s-1", ReplicaKind.SERVICE, address, "z", "p", 100, 8)
    try:
        sent = await calls.send(description, request(), 2.0)
        assert isinstance(sent, Success)
        response, body = sent.unwrap(), b""
        while data := await response.read():
            body += data
        return body
    finally:
        await calls.close()
        await replica.stop()


@pytest.mark.parametrize("headers", [[], ["Connection: close"]])
def test_a_response_without_length_is_truncated_if_its_back_end_crashes(headers):
    async def scenario():
        replica = Replica(respond(*headers, crashing=lambda: replica))
        with pytest.raises(TruncatedResponseError):
            await read_all(await replica.start())

    run(scenario())


@pytest.mark.parametrize("headers", [[], ["Content-Length: 4"]])
def test_a_response_of_a_running_back_end_is_complete(headers):
    async def scenario():
        assert await read_all(await Replica(respond(*headers)).start()) == b"part"

    run(scenario())


def test_a_response_shorter_than_its_length_is_truncated():
    async def scenario():
        with pytest.raises(TruncatedResponseError):
            await read_all(await Replica(respond("Content-Length: 9")).start())

    run(scenario())
