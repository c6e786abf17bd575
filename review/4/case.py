"""Streams that are taken up again after a crash go on at a replica of another software version."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from configuration import HOST, document, engine_service, stream_route
from standins import BROKEN, HELD, UNUSABLE, Replica, encode, finish, read_head, run_case

MODEL = "daka510000"
EVENTS = 40
EVENT_GAP_S = 0.1
STREAMS = 120
# The rule: more than two streams with events of two versions.
MAX_MIXED = 2


class StreamReplica(Replica):
    """Writes events that name its software version; goes on after `Last-Event-Id`."""

    async def run(self, request_id, headers, body, writer):
        first = int(headers.get("last-event-id", 0)) + 1
        resumes = headers.get("resumes", "-")
        self.note_run(request_id, f"version={self.version} from={first} resumes={resumes}")
        head = {
            **self.signed(request_id),
            "Content-Type": "text/event-stream",
            "X-Crowsill-Weight-Versions": "1",
            "Transfer-Encoding": "chunked",
        }
        writer.write(encode("HTTP/1.1 200 OK", head))
        for number in range(first, EVENTS + 1):
            event = f"id: {number}\ndata: {self.version} {number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(EVENT_GAP_S)
        writer.write(b"0\r\n\r\n")


async def ask(site, node, attempt, last_id, resumes):
    """Send one attempt; return its events as (id, version), and whether it came to its end."""
    headers = {
        "Host": HOST,
        "X-Crowsill-Request-Id": attempt,
        "X-Crowsill-Model": MODEL,
        "X-Crowsill-Token-Counts": f"300,{2 * EVENTS}",
        "X-Crowsill-Prompt-Prefix": f"5c1e07a2:200,{attempt}:100",
        "X-Crowsill-Request-Deadline": "20000",
        "Content-Length": "2",
    }
    if last_id:
        headers |= {"Last-Event-Id": str(last_id), "Resumes": resumes}
    events, is_complete = [], False
    reader, writer = await asyncio.open_connection(*node.front)
    try:
        writer.write(encode("POST /bopu901/2f HTTP/1.1", headers, b"{}"))
        first, answered = await read_head(reader)
        status = int(first.split(" ")[1])
        if status != 200:
            site.record("client", attempt, "gets", status)
            return status, events, False
        pending = b""
        while True:
            size = int((await reader.readline()).strip() or b"0", 16)
            data = await reader.readexactly(size + 2)
            if size == 0:
                is_complete = True
                break
            pending += data[:-2]
            while b"\n\n" in pending:
                event, _, pending = pending.partition(b"\n\n")
                fields = dict(line.split(b": ", 1) for line in event.split(b"\n"))
                version, _, _ = fields[b"data"].decode().partition(" ")
                events.append((int(fields[b"id"]), version))
    except (OSError, asyncio.IncompleteReadError, ValueError):
        pass
    finally:
        writer.transport.abort()
    return 200, events, is_complete


async def follow(site, number):
    """Read one stream to its end; take it up again once if its connection breaks."""
    front = site.fronts[number % len(site.fronts)]
    events, resumes, tries = [], "", 0
    while tries < 2:
        tries += 1
        attempt = f"{number:08x}{tries:08x}"
        last_id = events[-1][0] if events else 0
        site.record("client", attempt, "asks", front.name, f"last={last_id} resumes={resumes or '-'}")
        status, more, is_complete = await ask(site, front, attempt, last_id, resumes)
        if more and not events:
            resumes = attempt
        events += more
        site.record(
            "client", attempt, "got", len(more), "events of", sorted({v for _, v in more}),
            "complete" if is_complete else "broken off",
        )
        if is_complete:
            break
        front = site.fronts[(number + 1) % len(site.fronts)]
    return events, tries


async def case(site, has_trouble):
    site.start()
    configuration = document(
        1,
        [stream_route("dispute-reply", "/bopu901/", "drafting-lm")],
        [engine_service("drafting-lm", [MODEL])],
    )
    if await site.publish(configuration) != 200:
        return finish(site, UNUSABLE, "the configuration was not acknowledged")
    replicas = [
        await StreamReplica(site, n, "drafting-lm", [MODEL], "v1" if n < 3 else "v2", 64).start()
        for n in range(6)
    ]
    if not await site.wait_ready():
        return finish(site, UNUSABLE, "the front machines are not ready")
    # All machines are in touch: nothing happens to them for longer than contactMs.
    await asyncio.sleep(4.0)
    streams = [asyncio.create_task(follow(site, number)) for number in range(STREAMS)]
    await asyncio.sleep(1.5)
    if has_trouble:
        # One of six replicas crashes; the one of version v1 with the most requests, so that
        # streams are broken off for sure.
        max(replicas[:3], key=lambda item: len(item.ran)).crash()
    results = await asyncio.gather(*streams)
    for replica in replicas:
        replica.stop()
    mixed = [n for n, (events, _) in enumerate(results) if len({v for _, v in events}) > 1]
    resumed = sum(tries > 1 for _, tries in results)
    text = (
        f"{len(mixed)} of {STREAMS} streams hold events of two software versions"
        f" ({resumed} were taken up again); allowed: {MAX_MIXED}"
    )
    return finish(site, BROKEN if len(mixed) > MAX_MIXED else HELD, text)


if __name__ == "__main__":
    run_case(case, Path(__file__).parent)
