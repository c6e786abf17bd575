"""Every request gets a response, even after an internal error of the gateway.

An invalid address used to end the exchange that chose it with "E105 internal_error where=exchange
error=ValueError(...)", and the caller's connection was closed without a response. Invalid addresses
are rejected on input. Any other internal error gets a response with an unknown outcome.
"""

import asyncio

import pytest

from tests.gateway_world import encode_response, respond_ok, run, world


class FaultError(Exception):
    """An unexpected error."""


def _raise(*_arguments, **_more):
    raise FaultError


@pytest.mark.parametrize("fault_point", ["before sending", "while handling the response"])
def test_internal_error_gets_a_response_and_releases_the_replica(monkeypatch, fault_point):
    async def scenario():
        async with world(respond_ok) as running_world:
            role = running_world.role
            if fault_point == "before sending":
                monkeypatch.setattr(role.demand, "note_request", _raise)
            else:
                monkeypatch.setattr(role.crash_watch, "note_success", _raise)
            caller = await running_world.caller()
            status, headers, body = await caller.request("safe", "r1", b"x")
            assert status == 500 and "retry-after" not in headers
            assert b'"kind":"internal","outcome":"unknown"' in body
            monkeypatch.undo()
            assert [record.in_flight for record in role.registry.of_service("plain")] == [0]
            # The same connection serves the next request.
            status, _, body = await caller.request("safe", "r2", b"x")
            assert (status, body) == (200, b"fine")

    run(scenario())


def test_internal_error_after_the_first_byte_closes_the_connection(monkeypatch):
    async def streams(headers, writer, _number):
        request_id = headers["crowsill-request-id"]
        response_head = encode_response(
            request_id, b"", length=False, extra="Transfer-Encoding: chunked"
        )
        writer.write(response_head + b"1\r\na\r\n")
        await asyncio.sleep(0.1)
        writer.write(b"0\r\n\r\n")
        return True

    async def scenario():
        async with world(streams) as running_world:
            monkeypatch.setattr(running_world.role.crash_watch, "note_success", _raise)
            caller = await running_world.caller()
            caller.send("stream", "r1", b"x")
            status, headers = await caller.head()
            assert status == 200
            with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
                await caller.body(headers)
                await caller.head()

    run(scenario())
