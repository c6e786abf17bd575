"""Requests whose prompts share a part that crashes every replica, against the real programs.

No two of these requests are alike, and sound requests share all of their other parts. Without a
quarantine of the part, each request crashes one replica and interrupts what runs beside it.
"""

import asyncio
import contextlib
import itertools
import os
import time
from random import Random

import aiohttp
import pytest

from tests.platform_site import ID, STAMP, PlatformSite, SimulatedReplica, configuration

REPLICAS = 12
PLACES = 8
SENDING_S = 16.0
RESTART_S = 1.5
CRASHING_PAUSE_S = 0.25
# The part must be quarantined after five crashes, at every gateway within this time.
CRASH_LIMIT = 5
MAX_QUARANTINE_DELAY_S = 3.0
MAX_LATE_ARRIVALS = 3
MIN_SHARE_SERVED = 0.98
SYSTEM_PART, CRASHING_PART = "5c1e07a2:80", "dead0001:40"
SUBJECTS = [f"91bd{number:04x}:40" for number in range(6)]


class PromptEngine(SimulatedReplica):
    """An engine that writes two pieces, and crashes as it begins to answer the crashing part."""

    incarnations = itertools.count()

    def __init__(self, site, record, crashes_while_writing):
        super().__init__(site, f"engine-{next(PromptEngine.incarnations)}", "models", ["m0"])
        self._record = record
        self._crashes_while_writing = crashes_while_writing
        self._places = asyncio.Semaphore(PLACES)

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        with contextlib.suppress(
            asyncio.CancelledError, asyncio.IncompleteReadError, ConnectionError
        ):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                first, *lines = head.split("\r\n")
                pairs = (line.split(": ", 1) for line in lines if ": " in line)
                headers = {name.lower(): value for name, value in pairs}
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                if "x-crowsill-prompt-prefix" in headers:
                    await self._respond(writer, headers)
                    continue
                status, extra, answer = await self._answer(first, headers, body)
                framing = ["Content-Type: text/plain", f"Content-Length: {len(answer)}"]
                text = "\r\n".join([f"HTTP/1.1 {status} X", *framing, *extra])
                writer.write(f"{text}\r\n\r\n".encode() + answer)
        writer.close()

    async def _respond(self, writer, headers):
        is_crashing = CRASHING_PART in headers["x-crowsill-prompt-prefix"]
        if is_crashing:
            self._record.arrived_s.append(time.monotonic())
        async with self._places:
            await asyncio.sleep(0.05)
            if is_crashing and not self._crashes_while_writing:
                await self._crash()
            head = [
                "HTTP/1.1 200 OK",
                f"Content-Type: {self._record.content_type}",
                "Transfer-Encoding: chunked",
                f"{ID}: {headers[ID.lower()]}",
                f"{STAMP}: {self.instance_id}",
            ]
            writer.write(("\r\n".join(head) + "\r\n\r\n").encode() + _chunk(b"id: 1\n\n"))
            await asyncio.sleep(0.05)
            if is_crashing:
                await self._crash()
            await asyncio.sleep(0.1)
            writer.write(_chunk(b"id: 2\n\n") + b"0\r\n\r\n")

    async def _crash(self):
        if self.instance_id not in self._record.crashed_at_s:
            self._record.crashed_at_s[self.instance_id] = time.monotonic()
            await self.stop()
            self.abort_connections()
            asyncio.get_running_loop().call_later(RESTART_S, self._record.restart)
        raise ConnectionResetError


def _chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


class Record:
    """Arrivals of crashing requests at the replicas, and the crashes."""

    def __init__(self, site, kind, crashes_while_writing):
        self._site = site
        self._crashes_while_writing = crashes_while_writing
        self.content_type = "text/event-stream" if kind == "stream" else "text/plain"
        self._starting = set()
        self.engines = []
        self.arrived_s = []
        self.crashed_at_s = {}

    def restart(self):
        self._starting.add(asyncio.create_task(self.start()))

    async def start(self):
        engine = PromptEngine(self._site, self, self._crashes_while_writing)
        self.engines.append(await engine.start())

    def crash_limit_reached_at_s(self):
        crashes_at_s = sorted(self.crashed_at_s.values())
        return crashes_at_s[min(CRASH_LIMIT, len(crashes_at_s)) - 1]


async def _send(session, front, parts):
    request_id = os.urandom(8).hex()
    headers = {
        "Host": "shop.example",
        ID: request_id,
        "X-Crowsill-Model": "m0",
        "X-Crowsill-Token-Counts": "150,10",
        "X-Crowsill-Prompt-Prefix": ",".join([*parts, f"{request_id}:30"]),
        "X-Crowsill-Request-Deadline": "4000",
    }
    url = f"http://{front.front}/draft/a"
    try:
        async with session.post(url, data=request_id.encode(), headers=headers) as response:
            await response.read()
            return response.status, response.headers.get("Retry-After")
    except aiohttp.ClientError:
        return 0, None


async def _keep_sending(fronts, next_parts, pause_s, until_s):
    """Send prompts to gateways in turn; return the time, status and Retry-After of each."""
    seen, sending = [], set()
    timeout = aiohttp.ClientTimeout(total=5.0)
    connector = aiohttp.TCPConnector(limit=0)

    async def send(session, front, parts):
        sent_at_s = time.monotonic()
        status, retry_after_s = await _send(session, front, parts)
        seen.append((sent_at_s, status, retry_after_s))

    async with aiohttp.ClientSession(timeout=timeout, connector=connector) as session:
        for front in itertools.cycle(fronts):
            if time.monotonic() >= until_s:
                break
            sending.add(asyncio.create_task(send(session, front, next_parts())))
            await asyncio.sleep(pause_s)
        await asyncio.gather(*sending)
    return seen


def _document(kind, attempts):
    document = configuration(1)
    (draft,) = (route for route in document["routes"] if route["name"] == "draft")
    is_resumable = kind == "stream" and attempts > 1
    route = {**draft, "kind": kind, "resumable": is_resumable, "maxAttempts": attempts}
    document["routes"] = [route]
    return document


async def _play(site, case):
    record = Record(site, case["kind"], case["crashes_while_writing"])
    random = Random(7)
    assert await site.publish(_document(case["kind"], case["attempts"])) == 200
    for _ in range(REPLICAS):
        await record.start()

    def sound_parts():
        return [SYSTEM_PART, random.choice(SUBJECTS)]

    def crashing_parts():
        parts = sound_parts()
        place = random.randint(0, 2) if case["at_any_place"] else 1
        return [*parts[:place], CRASHING_PART, *parts[place:]]

    async def served():
        async with aiohttp.ClientSession() as session:
            seen = [await _send(session, front, sound_parts()) for front in site.fronts]
        return [status for status, _ in seen] == [200] * len(site.fronts)

    await site.until(served)
    until_s = time.monotonic() + SENDING_S
    crashing, sound, others = await asyncio.gather(
        _keep_sending(site.fronts, crashing_parts, CRASHING_PAUSE_S, until_s),
        _keep_sending(site.fronts, sound_parts, 1 / 17, until_s),
        _keep_sending(site.fronts, lambda: ["aaaa0001:80", "bbbb0002:40"], 0.1, until_s),
    )
    for engine in record.engines:
        await engine.stop()
    return record, crashing, sound, others


CASES = {
    "before_any_byte": ("stream", 1, False, False),
    "part_at_any_place": ("stream", 1, True, False),
    "while_it_writes": ("stream", 1, True, True),
    "resumable": ("stream", 2, True, False),
    "idempotent_while_it_writes": ("idempotent", 2, True, True),
    "run_once": ("non_idempotent", 1, True, False),
}
CASE_FIELDS = ("kind", "attempts", "at_any_place", "crashes_while_writing")


@pytest.mark.parametrize("name", CASES)
def test_requests_that_share_a_crashing_part_crash_no_further_replicas(tmp_path, name):
    site = PlatformSite(tmp_path, fronts=3)
    site.start()
    try:
        case = dict(zip(CASE_FIELDS, CASES[name], strict=True))
        record, crashing, sound, others = asyncio.run(_play(site, case))
    finally:
        site.stop()
    known_at_s = record.crash_limit_reached_at_s() + MAX_QUARANTINE_DELAY_S
    late_arrivals = sum(arrived_s > known_at_s for arrived_s in record.arrived_s)
    assert late_arrivals <= MAX_LATE_ARRIVALS, f"{len(record.crashed_at_s)} replicas crashed"
    # Requests with the part are rejected at once as not run, with a long Retry-After.
    late = [(status, wait_s) for at_s, status, wait_s in crashing if at_s > known_at_s + 1.0]
    assert late
    assert {status for status, _ in late} == {503}
    assert all(float(wait_s) >= 60.0 for _, wait_s in late)
    # Requests that share all other parts are served, as are all others.
    for seen in (sound, others):
        statuses = [status for at_s, status, _ in seen if at_s > known_at_s]
        assert len(statuses) >= 20
        assert statuses.count(200) >= MIN_SHARE_SERVED * len(statuses)
        # A quarantine that takes long, or that hits sound requests meanwhile, shows here.
        assert sum(status == 503 for _, status, _ in seen) <= 0.02 * len(seen)
