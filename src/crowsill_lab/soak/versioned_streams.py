"""Replicas whose events name their software version, and callers that resume their streams."""

import asyncio
import contextlib
import secrets
import time
from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

import aiohttp
import msgspec

from crowsill.gateway.headers import HeaderNames
from crowsill.model.instances import Instance, InstanceState, ReplicaHeartbeat, instance_id_of
from crowsill_lab.soak.control_calls import put
from crowsill_lab.soak.ledger import Ledger
from crowsill_lab.soak.operator import HOST_NAME
from crowsill_lab.soak.replica import HEARTBEAT_S, PROBE_PATH, PROBE_RESPONSE
from crowsill_lab.soak.responses import reset
from crowsill_lab.soak.site import HOST, Gateway, SoakSite
from crowsill_lab.soak.stream_ledger import EVENTS, ResumedStream
from crowsill_lab.soak.tenants import STEADY_KEY

NAMES = HeaderNames()
# A service that never had a second version can be had only once, so there are several services.
SERVICES = ("story0", "story1", "story2", "story3", "story4", "story5")
EVENT_GAP_S = 0.08
SLOTS = 32
# Share of events after which a replica breaks its stream off.
BROKEN_SHARE = 0.01
# Share of streams that their caller breaks off, and of tries at a gateway that is out of step.
CALLER_BREAKS_SHARE = 0.8
OUT_OF_STEP_SHARE = 0.8
TRY_TIMEOUT_S = 6.0
STREAM_TIMEOUT_S = 8.0
RETRY_PAUSE_S = 0.1
MAX_PAUSE_S = 0.2


class VersionedReplica:
    """A replica of one software version; it continues streams without a check."""

    def __init__(
        self, name: str, service: str, version: str, site: SoakSite, random: Random
    ) -> None:
        """Create a replica that is not started.

        Args:
            name: Its name.
            service: Its service.
            version: Its software version.
            site: The processes of the soak.
            random: Source of its choices.
        """
        self.name = name
        self.service = service
        self.version = version
        self._site = site
        self._random = random
        self._started_ms = int(time.time() * 1000)
        self._sequence = 0
        self._state = InstanceState.READY
        self._port = 0
        self._server: asyncio.Server | None = None
        self._heartbeats: asyncio.Task[None] | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen and register."""
        self._server = await asyncio.start_server(self._serve, HOST, self._port)
        self._port = self._server.sockets[0].getsockname()[1]
        self._heartbeats = asyncio.create_task(self._send_heartbeats())

    async def restart(self, name: str, version: str) -> None:
        """End all streams, and start another version under a new name at the same address."""
        self.stop()
        self.name = name
        self.version = version
        self._started_ms = max(self._started_ms + 1, int(time.time() * 1000))
        self._sequence = 0
        await self.start()

    def drain(self) -> None:
        """Accept no further streams, and say so in heartbeats."""
        self._state = InstanceState.DRAINING

    def stop(self) -> None:
        """Close the port and all connections at once."""
        if self._heartbeats is not None:
            self._heartbeats.cancel()
        if self._server is not None:
            self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    async def _send_heartbeats(self) -> None:
        instance_id = instance_id_of(self.name, self._started_ms)
        while True:
            self._sequence += 1
            instance = Instance(
                instance_id,
                self.service,
                f"{HOST}:{self._port}",
                "z",
                SLOTS,
                self._state,
                replica=self.name,
                started_ms=self._started_ms,
                software_version=self.version,
            )
            body = msgspec.json.encode(ReplicaHeartbeat(instance, self._sequence))
            member = self._random.choice(self._site.members)
            status = await put(member, f"/v1/instances/{instance_id}", body)
            await asyncio.sleep(HEARTBEAT_S if status == 200 else RETRY_PAUSE_S)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        ends = (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError)
        with contextlib.suppress(*ends):
            while not writer.transport.is_closing():
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                pairs = [line.split(": ", 1) for line in head.split("\r\n")[1:] if ": " in line]
                headers = {name.lower(): value for name, value in pairs}
                await reader.readexactly(int(headers.get("content-length", "0")))
                if head.startswith(f"GET {PROBE_PATH} "):
                    writer.write(PROBE_RESPONSE)
                else:
                    await self._respond(headers, writer)
        self._writers.discard(writer)
        writer.close()

    async def _respond(self, headers: dict[str, str], writer: asyncio.StreamWriter) -> None:
        """Send a stream from its beginning, or from the event after the last one received."""
        request_id = NAMES.request_id.decode()
        lines = [
            f"{request_id}: {headers[request_id]}",
            f"{NAMES.stamp.decode()}: {instance_id_of(self.name, self._started_ms)}",
        ]
        expected = headers.get(NAMES.expect_instance.decode(), self.name)
        if expected != self.name or self._state is not InstanceState.READY:
            not_run = [f"{NAMES.not_run.decode()}: 1", "Content-Length: 0"]
            writer.write(_head(421 if expected != self.name else 503, [*lines, *not_run]))
            return
        framing = ["Content-Type: text/event-stream", "Transfer-Encoding: chunked"]
        writer.write(_head(200, [*lines, *framing]))
        first = int(headers.get(NAMES.last_event_id.decode(), "0")) + 1
        for number in range(first, EVENTS + 1):
            if self._random.random() < BROKEN_SHARE:
                reset(writer)
                return
            event = f"id: {number}\ndata: {self.version}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(EVENT_GAP_S)
        writer.write(b"0\r\n\r\n")


def _head(status: int, lines: Sequence[str]) -> bytes:
    return ("\r\n".join([f"HTTP/1.1 {status} S", *lines]) + "\r\n\r\n").encode()


@dataclass(slots=True)
class Focus:
    """Where callers begin and resume streams.

    Attributes:
        service: Service of streams that begin; empty for any.
        gateway: A gateway that is out of step, at which most streams are resumed; or None.
    """

    service: str = ""
    gateway: Gateway | None = None


class ResumingCaller:
    """A caller that follows one stream after another and resumes each that is broken off."""

    def __init__(
        self, gateways: list[Gateway], ledger: Ledger, focus: Focus, random: Random
    ) -> None:
        self._gateways = gateways
        self._ledger = ledger
        self._focus = focus
        self._random = random

    async def run(self) -> None:
        """Follow streams until cancelled."""
        timeout = aiohttp.ClientTimeout(total=TRY_TIMEOUT_S)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                await self._follow(session)
                await asyncio.sleep(self._random.random() * MAX_PAUSE_S)

    async def _follow(self, session: aiohttp.ClientSession) -> None:
        random = self._random
        stream = ResumedStream(self._focus.service or random.choice(SERVICES))
        others = [gateway for gateway in self._gateways if gateway is not self._focus.gateway]
        breaks_after = random.randint(1, EVENTS // 2)
        if random.random() >= CALLER_BREAKS_SHARE:
            breaks_after = EVENTS
        until_at_s = time.monotonic() + STREAM_TIMEOUT_S
        await self._try(session, random.choice(others), stream, breaks_after)
        while self._goes_on(stream) and time.monotonic() < until_at_s:
            await asyncio.sleep(RETRY_PAUSE_S)
            await self._try(session, self._choose_next(), stream, EVENTS)
        self._ledger.streams.note_stream(stream)

    def _goes_on(self, stream: ResumedStream) -> bool:
        return bool(stream.events) and not stream.ended and not stream.faults()

    def _choose_next(self) -> Gateway:
        gateway = self._focus.gateway
        if gateway is not None and self._random.random() < OUT_OF_STEP_SHARE:
            return gateway
        return self._random.choice(self._gateways)

    async def _try(
        self,
        session: aiohttp.ClientSession,
        gateway: Gateway,
        stream: ResumedStream,
        breaks_after: int,
    ) -> None:
        """Begin a stream or resume it, and check it; break it off after a number of events."""
        attempt = secrets.token_hex(8)
        headers = {
            "Host": HOST_NAME,
            NAMES.request_id.decode(): attempt,
            "Authorization": f"Bearer {STEADY_KEY.key}",
        }
        if stream.events:
            headers[NAMES.last_event_id.decode()] = str(stream.events[-1][0])
            headers[NAMES.resumed_request.decode()] = stream.began
        events_before = len(stream.events)
        is_out_of_step = gateway is self._focus.gateway
        url = f"http://{gateway.host}:{gateway.caller_port}/{stream.service}/x"
        status = 0
        with contextlib.suppress(aiohttp.ClientError, TimeoutError):
            async with session.post(url, headers=headers) as response:
                status = response.status
                if status == 200:
                    await self._read(response, stream, attempt, breaks_after)
        stream.tries.append((f"{gateway.name} {attempt}", status, len(stream.events)))
        self._ledger.streams.note_try(stream, events_before, is_out_of_step)
        for fault in stream.faults():
            self._ledger.note_violation(f"{fault}: {stream.text()}")

    async def _read(
        self,
        response: aiohttp.ClientResponse,
        stream: ResumedStream,
        attempt: str,
        breaks_after: int,
    ) -> None:
        """Add the events of a response to a stream."""
        pending = b""
        async for data in response.content.iter_any():
            pending += data
            while b"\n\n" in pending:
                event, _, pending = pending.partition(b"\n\n")
                number, version = (line.partition(b": ")[2] for line in event.split(b"\n"))
                stream.events.append((int(number), version.decode()))
                if not stream.began:
                    stream.began = attempt
                    self._ledger.streams.note_first_event(stream)
                if len(stream.events) == breaks_after < EVENTS:
                    response.close()
                    return
        stream.ended = True
