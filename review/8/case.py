"""A replica falls silent for a moment and then names its limit."""

import asyncio
import json
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import site_2  # noqa: E402

WEIGHTS_MB, LOAD_S = 72700.0, 9.0
MODELS = [f"m{number}" for number in range(6)]
SILENT_AT_S, SILENT_S = 4.0, 1.4
TRAFFIC_S = 15.0
TIMEOUT_S = 5.0
EVENTS, EVENT_GAP_S = 86, 0.025
PER_S = 24.0
PLAIN_DEADLINE_MS = 1500
PLAIN_TIMEOUT_S = 0.8
# The rule: held this much longer than the timeout of the route, at least so many, and more than this
# share of those that outlast it.
HELD_S, MIN_HELD, MAX_HELD_SHARE = 0.5, 8, 0.25


class Engine(site_2.Replica):
    """A sound engine: it holds models, carries out orders and streams its answers."""

    def __init__(self, record, number, control):
        super().__init__(record, f"i-{number}", f"127.61.3.{number}", "drafting-lm", control)
        self.models = [MODELS[number - 1]]
        self.accepted = 0
        self.busy_until_s = 0.0
        self.names_limit = False
        self._speaks = asyncio.Event()
        self._speaks.set()

    def fall_silent(self, is_silent):
        self._speaks.clear() if is_silent else self._speaks.set()

    def description(self):
        models = [{"name": name, "version": 1, "adapters": []} for name in self.models]
        return {"slots": 64, "stage": "both", "models": models}

    async def _serve(self, reader, writer):
        try:
            while True:
                first, headers = await site_2.read_head(reader)
                body = await site_2.read_body(reader, headers)
                await self._speaks.wait()
                method, path, _ = first.split()
                is_mine = headers.get("x-crowsill-expect-instance", self.name) == self.name
                request_id = headers.get(site_2.ID.lower(), "")
                more = [("Server-Limit", "2")] if self.names_limit else []
                if path == "/report":
                    writer.write(site_2.encode(200, more, self._report()))
                elif not is_mine or (path.startswith("/draft/") and not self._holds(headers)):
                    answer = [(site_2.ID, request_id), ("X-Crowsill-Not-Run", "1"), *more]
                    writer.write(site_2.encode(421, answer, b""))
                elif path == "/order":
                    writer.write(site_2.encode(self._order(json.loads(body)), more, b""))
                elif path == "/health":
                    writer.write(site_2.encode(200, more, b""))
                else:
                    await self._stream(writer, request_id, more)
                await writer.drain()
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def _holds(self, headers):
        return headers.get("x-crowsill-model") in self.models

    def _is_busy(self):
        return time.monotonic() < self.busy_until_s

    def _report(self):
        return json.dumps(
            {
                **self.description(), "busy": self._is_busy(), "seq": self.accepted, "queued": 0,
                "running": 0, "kvUsed": 0, "kvTotal": 132029, "handles": 0, "coming": [],
            }  # fmt: skip
        ).encode()

    def _order(self, order):
        if self._is_busy() or order.get("expect", self.accepted) != self.accepted:
            return 409
        is_held = order["model"] in self.models
        if is_held == (order["op"] == "load"):
            return 200
        self.accepted += 1
        self.record.note(f"engine {self.name} carries out {order['op']} {order['model']}")
        if order["op"] == "unload":
            self.models.remove(order["model"])
        else:
            self.busy_until_s = time.monotonic() + LOAD_S
            asyncio.get_running_loop().call_later(LOAD_S, self.models.append, order["model"])
        return 202

    async def _stream(self, writer, request_id, more):
        self.runs[request_id] = self.runs.get(request_id, 0) + 1
        head = [
            "HTTP/1.1 200 OK", f"{site_2.ID}: {request_id}", f"{site_2.STAMP}: stamp.{self.name}",
            "Content-Type: text/event-stream", "Transfer-Encoding: chunked",
            *(f"{name}: {value}" for name, value in more),
        ]  # fmt: skip
        writer.write(("\r\n".join(head) + "\r\n\r\n").encode())
        for number in range(1, EVENTS + 1):
            await self._speaks.wait()
            event = f"id: {number}\ndata: x\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(EVENT_GAP_S)
        writer.write(b"0\r\n\r\n")


def configuration():
    engine = {
        "slots": 64, "kvCapacityTokens": 132029, "weightsMb": 220000.0, "adapterSlots": 8,
        "loadsPerS": 1.4,
        "models": [
            {"name": name, "weightsMb": WEIGHTS_MB, "loadS": LOAD_S, "adapters": 0,
             "adapterMb": 66.0, "warmS": 0.81, "diskS": 2.3}
            for name in MODELS
        ],
    }  # fmt: skip
    route = {
        "name": "session-report", "host": "charge.example", "pathPrefix": "/draft/",
        "kind": "stream", "timeoutMs": int(TIMEOUT_S * 1000), "targetLatencyMs": 800,
        "priority": 0, "service": "drafting-lm", "maxAttempts": 1, "sticky": True,
        "resumable": False, "targetGapMs": 400,
    }  # fmt: skip
    service = {
        "name": "drafting-lm", "healthPath": "/health", "maxConns": 360, "protocol": "h1",
        "tls": False, "engine": engine,
    }  # fmt: skip
    return site_2.configuration(7, routes=[route], services=[service])


async def send_plain(record, front, request_id, waits):
    """Send a request of the plain service; add the seconds until its answer, or infinity."""
    began_s = time.monotonic()
    status = await site_2.ask(record, front, f"/start/{request_id}", request_id, PLAIN_DEADLINE_MS)
    waits.append(time.monotonic() - began_s if isinstance(status, int) else float("inf"))


async def answers_ready(front):
    try:
        status, _, _ = await site_2.http(front.ready, "GET", "/ready", timeout_s=1.0)
    except (OSError, TimeoutError) as error:
        status = type(error).__name__
    return status


async def case(record, has_trouble):
    site = site_2.Site()
    engines = []
    try:
        for machine in site.machines:
            machine.start(site.core[:3], bootstrap=True)
        control = lambda: [machine.control for machine in site.core]  # noqa: E731
        operator = site_2.Operator(record, control)
        if not await operator.put(configuration(), time.monotonic() + 30.0):
            raise site_2.CannotRunError("the first configuration was not acknowledged")
        for number in range(1, 7):
            engine = Engine(record, number, control)
            await engine.start()
            engines.append(engine)
        for number in range(7, 10):
            replica = site_2.Replica(record, f"i-{number}", f"127.61.3.{number}", "session-api", control)
            await replica.start()
            engines.append(replica)
        end_s = time.monotonic() + 20.0
        while [await answers_ready(front) for front in site.fronts] != [200, 200]:
            if time.monotonic() > end_s:
                raise site_2.CannotRunError("the gateways aren't ready")
            await asyncio.sleep(0.2)
        await asyncio.sleep(4.0)
        first = engines[0]
        began_s = time.monotonic()
        loop = asyncio.get_running_loop()
        if has_trouble:
            loop.call_later(SILENT_AT_S, first.fall_silent, True)
            loop.call_later(SILENT_AT_S, record.note, "engine i-1 falls silent")
        loop.call_later(SILENT_AT_S + SILENT_S, setattr, first, "names_limit", True)
        loop.call_later(SILENT_AT_S + SILENT_S, first.fall_silent, False)
        loop.call_later(SILENT_AT_S + SILENT_S, record.note, "engine i-1 goes on, with a limit")
        tasks, waits = [], []
        number = 0
        while time.monotonic() < began_s + TRAFFIC_S:
            front = site.fronts[number % len(site.fronts)]
            more = [
                ("X-Crowsill-Model", MODELS[0] if number % 3 else MODELS[1 + number // 3 % 5]),
                ("X-Crowsill-Token-Counts", "1110,172"),
                ("X-Crowsill-Prompt-Prefix", f"5c1e07a2:210,91bd3f06:140,{number:x}:760"),
            ]
            asked = site_2.ask(
                record, front, f"/draft/{number}", f"r-{number}", int(TIMEOUT_S * 1000), b"x", more
            )
            tasks.append(asyncio.create_task(asked))
            plain = send_plain(record, front, f"p-{number}", waits)
            tasks.append(asyncio.create_task(plain))
            number += 1
            await asyncio.sleep(1.0 / PER_S)
        await asyncio.gather(*tasks)
        outlasting = sum(wait_s > PLAIN_TIMEOUT_S for wait_s in waits)
        held = sum(wait_s > PLAIN_TIMEOUT_S + HELD_S for wait_s in waits)
        detail = (
            f"of {len(waits)} requests with a timeout of {PLAIN_TIMEOUT_S} s {outlasting} outlasted it, "
            f"and {held} had no answer {HELD_S} s after it"
        )
        return held >= MIN_HELD and held > MAX_HELD_SHARE * outlasting, detail
    finally:
        for engine in engines:
            await engine.stop()
        site.close()


site_2.run_case(case, FOLDER)
