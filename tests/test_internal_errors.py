"""No request ends without an answer by an error of the gateway's own.

An address that is none ended the exchange that chose it: "E105 internal_error where=exchange
error=ValueError(...)", and the caller's connection was closed without an answer. Bad addresses are
refused where they enter; whatever else goes wrong is answered, and promises nothing.
"""

import asyncio

import pytest

from tests.gateway_world import answer, good, run, world


class FaultError(Exception):
    """An error that nobody expects."""


def _raise(*_arguments, **_more):
    raise FaultError


@pytest.mark.parametrize("place", ["before it is sent", "as its answer is taken in"])
def test_an_error_of_ones_own_is_answered_and_its_replica_released(monkeypatch, place):
    async def scenario():
        async with world(good) as played:
            role = played.role
            if place == "before it is sent":
                monkeypatch.setattr(role.demand, "note_request", _raise)
            else:
                monkeypatch.setattr(role.crash_watch, "note_success", _raise)
            caller = await played.caller()
            status, headers, body = await caller.ask("safe", "r1", b"x")
            assert status == 500 and "retry-after" not in headers
            assert b'"kind":"internal","outcome":"unknown"' in body
            monkeypatch.undo()
            assert [record.in_flight for record in role.registry.of_service("plain")] == [0]
            # The same connection serves the next request.
            status, _, body = await caller.ask("safe", "r2", b"x")
            assert (status, body) == (200, b"fine")

    run(scenario())


def test_an_error_after_the_first_byte_shows_as_a_break(monkeypatch):
    async def streams(headers, writer, _number):
        request_id = headers["crowsill-request-id"]
        whole = answer(request_id, b"", length=False, extra="Transfer-Encoding: chunked")
        writer.write(whole + b"1\r\na\r\n")
        await asyncio.sleep(0.1)
        writer.write(b"0\r\n\r\n")
        return True

    async def scenario():
        async with world(streams) as played:
            monkeypatch.setattr(played.role.crash_watch, "note_success", _raise)
            caller = await played.caller()
            caller.send("stream", "r1", b"x")
            status, headers = await caller.head()
            assert status == 200
            with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
                await caller.body(headers)
                await caller.head()

    run(scenario())
