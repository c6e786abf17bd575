"""Callers that close their connection in any phase of their request, against the real programs.

The gateway must cancel the request at its replica within half a second, and must not send it to a
replica later.
"""

import asyncio
import contextlib
import os
import signal
import time

import pytest

from tests.platform_site import ID, PlatformSite, SimulatedReplica, configuration

MAX_CANCEL_DELAY_S = 0.5


class RecordingReplica(SimulatedReplica):
    """Records when requests arrive and are cancelled; never completes a request."""

    def __init__(self, *arguments, **more):
        super().__init__(*arguments, **more)
        self.arrived = {}
        self.cancelled_s = {}
        self.accepts_orders = True

    async def _serve(self, reader, writer):
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                first, *lines = head.split("\r\n")
                headers = dict(line.split(": ", 1) for line in lines if ": " in line)
                headers = {name.lower(): value for name, value in headers.items()}
                await reader.readexactly(int(headers.get("content-length", 0)))
                path = first.split(" ")[1]
                if path in ("/report", "/order", "/health"):
                    await self._control(path, writer)
                    continue
                await self._work(headers[ID.lower()], path, reader, writer)
        writer.close()

    async def _control(self, path, writer):
        if path == "/order":
            writer.write(b"HTTP/1.1 409 X\r\nContent-Length: 0\r\n\r\n")
            return
        answer = b'{"models":[{"name":"m0","version":1,"adapters":[]}],"busy":false,"seq":0}'
        writer.write(b"HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\n" % len(answer) + answer)

    async def _work(self, request_id, path, reader, writer):
        self.arrived[request_id] = time.monotonic()
        if path.endswith("/events"):
            head = f"HTTP/1.1 200 X\r\n{ID}: {request_id}\r\nX-Crowsill-Server-Stamp: s\r\n"
            writer.write(f"{head}Content-Type: text/event-stream\r\n\r\n".encode())
            writer.write(b"id: 1\ndata: x\n\n")
        # Runs the request until the gateway closes the connection.
        await reader.read()
        self.cancelled_s[request_id] = time.monotonic()


class RejectingReplica(SimulatedReplica):
    """Rejects every request with the header that it was not run."""

    def __init__(self, *arguments, **more):
        super().__init__(*arguments, **more)
        self.rejected = 0

    async def _answer(self, first, headers, body):
        self.rejected += 1
        return 503, [f"{ID}: {headers[ID.lower()]}", "X-Crowsill-Not-Run: 1"], b""


@pytest.fixture
def site(tmp_path):
    made = PlatformSite(tmp_path, core=3, fronts=1)
    made.start()
    yield made
    made.stop()


class Caller:
    """One request on a connection of its own."""

    def __init__(self, site, path, headers=(), body=b"hello", sent=None):
        self.request_id = os.urandom(8).hex()
        self._front = site.fronts[0]
        lines = [f"POST {path} HTTP/1.1", "Host: shop.example", f"{ID}: {self.request_id}"]
        lines += [f"Content-Length: {len(body)}", *headers]
        whole = ("\r\n".join(lines) + "\r\n\r\n").encode() + body
        self._bytes = whole if sent is None else whole[: len(whole) - len(body) + sent]

    async def send(self):
        reader, self._writer = await asyncio.open_connection(
            self._front.ip, int(self._front.front.rpartition(":")[2])
        )
        self._writer.write(self._bytes)
        self.reader = reader
        return self

    async def close(self):
        self._writer.close()
        self.closed_s = time.monotonic()


def run(scenario):
    asyncio.run(asyncio.wait_for(scenario, 60))


async def ready_site(site, *replicas):
    """Publish routes and wait until the gateway serves them."""
    started = [await replica.start() for replica in replicas]
    assert await site.publish(configuration(1)) == 200

    async def is_known():
        caller = await Caller(site, "/pay/x").send()
        await asyncio.sleep(0.1)
        await caller.close()
        return any(caller.request_id in getattr(item, "arrived", ()) for item in started)

    await site.until(is_known)


async def assert_cancelled(site, replica, caller):
    """Wait until the replica has the request, close the caller, and check the cancellation."""

    async def has_arrived():
        return caller.request_id in replica.arrived

    await site.until(has_arrived)
    await caller.close()

    async def is_cancelled():
        return caller.request_id in replica.cancelled_s

    await site.until(is_cancelled)
    assert replica.cancelled_s[caller.request_id] - caller.closed_s < MAX_CANCEL_DELAY_S


def test_a_disconnect_of_the_caller_cancels_its_request_in_any_phase(site):
    async def scenario():
        till = RecordingReplica(site, 1, "till")
        engine = RecordingReplica(site, 2, "models", ["m0"])
        await ready_site(site, till, engine)

        # The request was sent and has no response yet.
        await assert_cancelled(site, till, await Caller(site, "/pay/x").send())
        # The response is being streamed.
        stream = await Caller(site, "/draft/events", ["X-Crowsill-Model: m0"]).send()
        await stream.reader.readuntil(b"data: x\n\n")
        await assert_cancelled(site, engine, stream)
        # The request is being read, or waits for a model that no engine has loaded.
        unread = await Caller(site, "/pay/x", sent=2).send()
        waiting = await Caller(site, "/draft/x", ["X-Crowsill-Model: m1"]).send()
        await asyncio.sleep(0.1)
        await unread.close()
        await waiting.close()
        engine.models.append("m1")
        await engine.send_heartbeat()
        await asyncio.sleep(1.0)
        assert unread.request_id not in till.arrived
        assert waiting.request_id not in engine.arrived

    run(scenario())


def test_a_disconnect_cancels_the_request_at_a_replica_that_was_tried_second(site):
    async def scenario():
        till = RecordingReplica(site, 1, "till")
        rejecting = RejectingReplica(site, 2, "till")
        await ready_site(site, rejecting, till)
        # While the other replica runs a request, the one that rejects is tried first.
        pending = await Caller(site, "/pay/x").send()
        while rejecting.rejected == 0:
            caller = await Caller(site, "/pay/x").send()
            await assert_cancelled(site, till, caller)
        await pending.close()

    run(scenario())


def test_a_disconnect_cancels_the_request_while_the_gateway_stops(site):
    async def scenario():
        till = RecordingReplica(site, 1, "till")
        await ready_site(site, till)
        caller = await Caller(site, "/pay/x").send()

        async def has_arrived():
            return caller.request_id in till.arrived

        await site.until(has_arrived)
        site.fronts[0].process.send_signal(signal.SIGTERM)
        await asyncio.sleep(0.3)
        await assert_cancelled(site, till, caller)

    run(scenario())
