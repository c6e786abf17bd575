"""Overhead of an entry: added latency, CPU time per request, and tokens relayed per core.

The same load is sent directly to the engines and through one entry, alternating request by
request, so that the load on the machine is the same for both.
"""

import asyncio
import random
import time
import uuid
from dataclasses import dataclass, field
from pathlib import Path

import aiohttp
import msgspec

from crowsill.backends.wire import STREAM_END
from crowsill.constants import HEADER_REQUEST_ID
from crowsill_lab.bench.site import MODEL, TOKEN, ZONES, bench_deployment, start_site
from crowsill_lab.demo.site import Site
from crowsill_lab.settings import EngineShape, ServiceShape

ENGINES = 3


class EntryFigures(msgspec.Struct, frozen=True):
    """Result of the comparison; latencies are in milliseconds.

    Attributes:
        requests_per_s: Rate of requests through the entry; the direct load has the same rate.
        tokens: Tokens of each response.
        direct_p50_ms: Time to the last byte without the entry.
        direct_p99_ms: The same at the 99th percentile.
        entry_p50_ms: Time to the last byte through the entry.
        entry_p99_ms: The same at the 99th percentile.
        added_first_p50_ms: Difference of the medians of the time to the first byte.
        added_first_p99_ms: Difference of the 99th percentiles of the time to the first byte.
        cpu_per_100_requests_s: CPU time of the entry per 100 requests, in seconds.
        tokens_per_cpu_s: Tokens relayed per second of the entry's CPU time.
        resident_mib: Resident memory of the entry at the end.
        failed: Requests without a complete response.
    """

    requests_per_s: float
    tokens: int
    direct_p50_ms: float
    direct_p99_ms: float
    entry_p50_ms: float
    entry_p99_ms: float
    added_first_p50_ms: float
    added_first_p99_ms: float
    cpu_per_100_requests_s: float
    tokens_per_cpu_s: float
    resident_mib: float
    failed: int


@dataclass
class _Samples:
    first_byte_ms: list[float] = field(default_factory=list)
    total_ms: list[float] = field(default_factory=list)
    failed: int = 0


def _quantile(values: list[float], quantile: float) -> float:
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(quantile * len(ordered)))]


async def _send_request(
    session: aiohttp.ClientSession, address: str, tokens: int, samples: _Samples
) -> None:
    request_id = uuid.uuid4().hex
    headers = {"Authorization": f"Bearer {TOKEN}", HEADER_REQUEST_ID: request_id}
    prompt = f"shared start {random.randrange(50)}"
    body = {"model": MODEL, "prompt": prompt, "max_tokens": tokens, "stream": True}
    started_s = time.perf_counter()
    url = f"http://{address}/v1/completions"
    first_byte_s, tail = 0.0, b""
    async with session.post(url, json=body, headers=headers) as response:
        while chunk := await response.content.readany():
            first_byte_s = first_byte_s or time.perf_counter() - started_s
            tail = (tail + chunk)[-len(STREAM_END) :]
    if response.status != 200 or tail != STREAM_END:
        samples.failed += 1
        return
    samples.first_byte_ms.append(first_byte_s * 1000)
    samples.total_ms.append((time.perf_counter() - started_s) * 1000)


async def _drive(
    site: Site, rate: float, seconds: float, tokens: int, both: bool
) -> tuple[_Samples, _Samples, float]:
    engines = [machine.address for machine in site.replicas if machine.memory_mib]
    entry = next(iter(site.entries.values()))
    process = site.processes["entry-0"]
    direct, via_entry = _Samples(), _Samples()
    loop = asyncio.get_running_loop()
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        tasks = []
        cpu_s = process.cpu_s()
        started_s = loop.time()
        count = int(rate * seconds)
        for number in range(count):
            await asyncio.sleep(max(0.0, started_s + number / rate - loop.time()))
            engine_address = engines[number % len(engines)]
            if both:
                tasks.append(
                    asyncio.create_task(_send_request(session, engine_address, tokens, direct))
                )
            tasks.append(asyncio.create_task(_send_request(session, entry, tokens, via_entry)))
        await asyncio.gather(*tasks)
        cpu_s = process.cpu_s() - cpu_s
    return direct, via_entry, cpu_s


def run_entry_bench(
    rate: float, seconds: float, tokens: int, both: bool, folder: Path
) -> EntryFigures:
    """Measure the overhead of one entry.

    Args:
        rate: Requests per second through the entry.
        seconds: Duration of the load.
        tokens: Tokens of each response.
        both: Whether the same load is also sent directly to the engines.
        folder: Folder for settings and logs of the processes.
    """
    engine = EngineShape("engines", 10000, 256, ZONES[:ENGINES], 1.0, 0.0, 0.0)
    deployment = bench_deployment(1, 1, engine, ServiceShape("till", 64, ["z1"]))
    site = start_site(deployment, folder)
    try:
        asyncio.run(_drive(site, rate, min(2.0, seconds), tokens, both))
        direct, via_entry, cpu_s = asyncio.run(_drive(site, rate, seconds, tokens, both))
        served = len(via_entry.total_ms)
        return EntryFigures(
            requests_per_s=rate,
            tokens=tokens,
            direct_p50_ms=round(_quantile(direct.total_ms, 0.5), 2),
            direct_p99_ms=round(_quantile(direct.total_ms, 0.99), 2),
            entry_p50_ms=round(_quantile(via_entry.total_ms, 0.5), 2),
            entry_p99_ms=round(_quantile(via_entry.total_ms, 0.99), 2),
            added_first_p50_ms=_added_first_byte_ms(direct, via_entry, 0.5),
            added_first_p99_ms=_added_first_byte_ms(direct, via_entry, 0.99),
            cpu_per_100_requests_s=round(cpu_s / served * 100, 3),
            tokens_per_cpu_s=round(served * tokens / cpu_s),
            resident_mib=round(site.processes["entry-0"].resident_mib(), 1),
            failed=direct.failed + via_entry.failed,
        )
    finally:
        site.stop()


def _added_first_byte_ms(direct: _Samples, via_entry: _Samples, quantile: float) -> float:
    difference = _quantile(via_entry.first_byte_ms, quantile) - _quantile(
        direct.first_byte_ms, quantile
    )
    return round(difference, 2)
