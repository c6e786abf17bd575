"""Open-loop load generator for services behind entries; counts the results."""

import asyncio
import itertools
import json
import time
import uuid
from dataclasses import dataclass, field

import aiohttp

from crowsill.constants import HEADER_IDEMPOTENCY_KEY
from crowsill_lab.bench.site import TOKEN


@dataclass
class CallResults:
    """Results of one stream of calls.

    Attributes:
        latencies_ms: Latency of each successful call, in milliseconds.
        rejections: Number of rejected calls by error kind.
        errors: Number of calls whose connection could not be made or was lost.
    """

    latencies_ms: list[float] = field(default_factory=list)
    rejections: dict[str, int] = field(default_factory=dict)
    errors: int = 0

    @property
    def total(self) -> int:
        """Number of calls."""
        return len(self.latencies_ms) + sum(self.rejections.values()) + self.errors

    def quantile_ms(self, quantile: float) -> float:
        """Return a quantile of the successful calls' latencies in milliseconds; 0 without any."""
        ordered = sorted(self.latencies_ms)
        if not ordered:
            return 0.0
        return round(ordered[min(len(ordered) - 1, int(quantile * len(ordered)))], 2)


async def call_once(
    session: aiohttp.ClientSession, entry: str, service: str, results: CallResults, unsafe: bool
) -> None:
    """Make one call and count its result; `unsafe` adds an idempotency key."""
    headers = {"Authorization": f"Bearer {TOKEN}"}
    if unsafe:
        headers[HEADER_IDEMPOTENCY_KEY] = uuid.uuid4().hex
    started_s = time.perf_counter()
    url = f"http://{entry}/services/{service}/call"
    try:
        async with session.post(url, data=b"1", headers=headers) as response:
            body = await response.read()
    except (aiohttp.ClientError, OSError, TimeoutError):
        results.errors += 1
        return
    if response.status == 200:
        results.latencies_ms.append((time.perf_counter() - started_s) * 1000)
        return
    kind = json.loads(body)["kind"]
    results.rejections[kind] = results.rejections.get(kind, 0) + 1


async def drive_calls(
    entries: list[str], service: str, rate: float, seconds: float, unsafe: bool = False
) -> CallResults:
    """Call a service at a fixed rate per second, through the entries in round-robin order."""
    results = CallResults()
    entry_cycle = itertools.cycle(entries)
    loop = asyncio.get_running_loop()
    async with aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)) as session:
        started_s = loop.time()
        tasks = []
        for number in range(int(rate * seconds)):
            await asyncio.sleep(max(0.0, started_s + number / rate - loop.time()))
            call = call_once(session, next(entry_cycle), service, results, unsafe)
            tasks.append(asyncio.create_task(call))
        await asyncio.gather(*tasks)
    return results


async def fetch_json(url: str) -> dict[str, float]:
    """Get a JSON object from a URL."""
    async with aiohttp.ClientSession() as session, session.get(url) as response:
        found: dict[str, float] = await response.json()
        return found


async def post(url: str) -> None:
    """Send a POST request without a body.

    Raises:
        aiohttp.ClientResponseError: The response has an error status.
    """
    async with aiohttp.ClientSession() as session, session.post(url) as response:
        response.raise_for_status()


async def metric_total(address: str, name: str, line_prefix: str = "") -> float:
    """Return the sum of a counter of one process over its labels.

    Args:
        address: `IP:port` of a listener with metrics.
        name: Name of the counter.
        line_prefix: Prefix of the exposition lines to add up, if not all labels count.
    """
    url = f"http://{address}/metrics"
    async with aiohttp.ClientSession() as session, session.get(url) as response:
        text = await response.text()
    lines = [line for line in text.splitlines() if line.startswith(line_prefix or f"{name}_total")]
    return sum(float(line.rpartition(" ")[2]) for line in lines)
