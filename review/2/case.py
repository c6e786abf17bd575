"""A late second copy of a rejection is taken for the answer to the request that was sent again."""

import asyncio
import os
import random
import sys
import time
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from configuration import HOST, document, engine_service, stream_route
from standins import BROKEN, HELD, UNUSABLE, Replica, encode, finish, http, run_case

REPLICAS, MODELS_EACH = 8, 3
REQUESTS_PER_S = 54.0
# Both disruptions strike one replica of eight (0.125, where the site has 0.14) for 5 s, then another one, and so on.
WINDOWS, WINDOW_S, PAUSE_S = 11, 5.0, 3.0
SHED_SHARE = 0.45
COPIED_SHARE = 0.03
RETRY_AFTER_S = 0.15
PROMISES = (408, 421, 429, 503)


class FaultyReplica(Replica):
    """Rejects a share of its requests, and sends a few answers a second time, late.

    The second copy comes where the next answer on the connection is due, before that one.
    """

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.is_struck = False
        self.rejected = 0
        self._random = random.Random(os.urandom(8))
        self._copies = {}

    async def run(self, request_id, headers, body, writer):
        copy = self._copies.pop(writer, None)
        if copy is not None:
            self.site.record(
                "replica", self.id, "sends its answer to", copy[0],
                "a second time, where that to", request_id, "is due",
            )
            writer.write(copy[1])
        if self.is_struck and self._random.random() < SHED_SHARE:
            answer = self._reject(request_id, writer)
        else:
            answer = await self._stream(request_id, writer)
        if self.is_struck and self._random.random() < COPIED_SHARE:
            self._copies[writer] = (request_id, answer)

    def _reject(self, request_id, writer):
        self.rejected += 1
        self.site.record("replica", self.id, "rejects", request_id)
        head = {
            "X-Crowsill-Request-Id": request_id,
            "X-Crowsill-Not-Run": "1",
            "Retry-After": f"{RETRY_AFTER_S:g}",
            "Content-Length": 0,
        }
        answer = encode("HTTP/1.1 503 Service Unavailable", head)
        writer.write(answer)
        return answer

    async def _stream(self, request_id, writer):
        self.note_run(request_id)
        await asyncio.sleep(0.05)
        head = {
            **self.signed(request_id),
            "Content-Type": "text/event-stream",
            "X-Crowsill-Weight-Versions": "1",
            "Transfer-Encoding": "chunked",
        }
        pieces = [encode("HTTP/1.1 200 OK", head)]
        for number in range(1, 5):
            event = f"id: {number}\ndata: {request_id}\n\n".encode()
            pieces.append(b"%x\r\n%s\r\n" % (len(event), event))
        pieces.append(b"0\r\n\r\n")
        for piece in pieces:
            writer.write(piece)
            await asyncio.sleep(0.015)
        return b"".join(pieces)


async def ask(site, node, request_id, model):
    """Send one attempt; return its id and the status that the client gets."""
    headers = {
        "Host": HOST,
        "X-Crowsill-Request-Id": request_id,
        "X-Crowsill-Model": model,
        "X-Crowsill-Token-Counts": "300,8",
        "X-Crowsill-Prompt-Prefix": f"5c1e07a2:200,{request_id}:100",
        "X-Crowsill-Request-Deadline": "5000",
    }
    try:
        status, _, _ = await http(node.front, "POST", "/cuti104/2f", headers, b"{}", 5.2)
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        status = 0
    site.record("client", request_id, "gets", status, "from", node.name)
    return request_id, status


class Findings:
    """What clients and replicas have seen."""

    def __init__(self, replicas):
        self._replicas = replicas
        self.answers = {}

    def faults(self):
        """Return the ids of requests that ran twice, and of those refused though they ran."""
        runs = Counter(item for replica in self._replicas for item in replica.ran)
        twice = [item for item, number in runs.items() if number > 1]
        refused = [
            item for item, status in self.answers.items() if status in PROMISES and runs[item]
        ]
        return twice, refused


async def strike(replicas, has_trouble):
    """Strike the replicas one after the other."""
    for number in range(WINDOWS):
        replica = replicas[number % len(replicas)]
        replica.is_struck = has_trouble
        replica.site.record("disruption of", replica.id, "begins" if has_trouble else "left out")
        await asyncio.sleep(WINDOW_S)
        replica.is_struck = False
        await asyncio.sleep(PAUSE_S)


async def case(site, has_trouble):
    site.start()
    names = [[f"daka{n}{m}" for m in range(MODELS_EACH)] for n in range(REPLICAS)]
    models = [name for group in names for name in group]
    configuration = document(
        1,
        [stream_route("fault-summary", "/cuti104/", "drafting-lm", resumable=False)],
        [engine_service("drafting-lm", models)],
    )
    if await site.publish(configuration) != 200:
        return finish(site, UNUSABLE, "the configuration was not acknowledged")
    replicas = [
        await FaultyReplica(site, n, "drafting-lm", names[n], slots=64).start()
        for n in range(REPLICAS)
    ]
    if not await site.wait_ready():
        return finish(site, UNUSABLE, "the front machines are not ready")
    # All machines are in touch: nothing happens to them for longer than contactMs.
    await asyncio.sleep(3.5)
    findings, asking, number = Findings(replicas), set(), 0
    strikes = asyncio.create_task(strike(replicas, has_trouble))
    began_s = time.monotonic()
    while not strikes.done() and not any(findings.faults()):
        node, model = site.fronts[number % 2], models[number * 7 % len(models)]
        task = asyncio.create_task(ask(site, node, f"{number:016x}", model))
        asking.add(task)
        task.add_done_callback(lambda done: findings.answers.update([done.result()]))
        task.add_done_callback(asking.discard)
        number += 1
        await asyncio.sleep(max(0.0, began_s + number / REQUESTS_PER_S - time.monotonic()))
    strikes.cancel()
    await asyncio.gather(*asking)
    await asyncio.sleep(0.1)
    twice, refused = findings.faults()
    for replica in replicas:
        replica.stop()
    answers = ", ".join(f"{key}: {n}" for key, n in sorted(Counter(findings.answers.values()).items()))
    text = (
        f"{len(twice)} requests ran twice {twice}, {len(refused)} ran and were refused {refused},"
        f" of {number} ({answers}); {sum(item.rejected for item in replicas)} rejections by replicas"
    )
    return finish(site, BROKEN if twice or refused else HELD, text)


if __name__ == "__main__":
    run_case(case, Path(__file__).parent, limit_s=117.0)
