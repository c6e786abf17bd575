"""Callers that close their connection, wherever their request is, against the real programs.

The replica is freed within half a second, and nothing of the request reaches one later.
"""

import asyncio
import contextlib
import os
import signal
import time

import pytest

from tests.platform_site import ID, PlatformSite, StandInReplica, configuration

FREED_WITHIN_S = 0.5


class WatchingReplica(StandInReplica):
    """Notes what reaches it and when its caller is gone; answers as its path says."""

    def __init__(self, *arguments, **more):
        super().__init__(*arguments, **more)
        self.arrived = {}
        self.freed_s = {}
        self.takes_orders = True

    async def _serve(self, reader, writer):
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                first, *lines = head.split("\r\n")
                headers = dict(line.split(": ", 1) for line in lines if ": " in line)
                headers = {name.lower(): value for name, value in headers.items()}
                await reader.readexactly(int(headers.get("content-length", 0)))
                path = first.split(" ")[1]
                if path in ("/report", "/order"):
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
        # It works until its caller is gone.
        await reader.read()
        self.freed_s[request_id] = time.monotonic()


class RejectingReplica(StandInReplica):
    """Runs nothing, and says so."""

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


async def freed(site, replica, caller):
    """Wait until a replica has the request, close the caller, and check that it is freed."""

    async def has_arrived():
        return caller.request_id in replica.arrived

    await site.until(has_arrived)
    await caller.close()

    async def is_free():
        return caller.request_id in replica.freed_s

    await site.until(is_free)
    assert replica.freed_s[caller.request_id] - caller.closed_s < FREED_WITHIN_S


def test_a_caller_that_leaves_frees_its_replica_wherever_its_request_is(site):
    async def scenario():
        till = WatchingReplica(site, 1, "till")
        engine = WatchingReplica(site, 2, "models", ["m0"])
        await ready_site(site, till, engine)

        # Sent, without an answer yet.
        await freed(site, till, await Caller(site, "/pay/x").send())
        # In the middle of its stream.
        stream = await Caller(site, "/draft/events", ["X-Crowsill-Model: m0"]).send()
        await stream.reader.readuntil(b"data: x\n\n")
        await freed(site, engine, stream)
        # While it is read, and while it is held for a model that no engine holds.
        unread = await Caller(site, "/pay/x", sent=2).send()
        held = await Caller(site, "/draft/x", ["X-Crowsill-Model: m1"]).send()
        await asyncio.sleep(0.1)
        await unread.close()
        await held.close()
        engine.models.append("m1")
        await engine.beat()
        await asyncio.sleep(1.0)
        assert unread.request_id not in till.arrived
        assert held.request_id not in engine.arrived

    run(scenario())


def test_a_caller_that_leaves_frees_a_replica_that_was_tried_second(site):
    async def scenario():
        till = WatchingReplica(site, 1, "till")
        rejecting = RejectingReplica(site, 2, "till")
        await ready_site(site, rejecting, till)
        # With one request at the other replica, the one that rejects is tried first.
        staying = await Caller(site, "/pay/x").send()
        while rejecting.rejected == 0:
            caller = await Caller(site, "/pay/x").send()
            await freed(site, till, caller)
        await staying.close()

    run(scenario())


def test_a_caller_that_leaves_a_stopping_gateway_frees_its_replica(site):
    async def scenario():
        till = WatchingReplica(site, 1, "till")
        await ready_site(site, till)
        caller = await Caller(site, "/pay/x").send()

        async def has_arrived():
            return caller.request_id in till.arrived

        await site.until(has_arrived)
        site.fronts[0].process.send_signal(signal.SIGTERM)
        await asyncio.sleep(0.3)
        await freed(site, till, caller)

    run(scenario())
