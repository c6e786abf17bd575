"""Urgent calls during a burst of ten times the capacity, and retry amplification."""

import asyncio
from pathlib import Path

import msgspec

from crowsill_lab.bench.calls import CallResults, drive_calls, metric_total, post
from crowsill_lab.bench.site import ZONES, bench_deployment, start_site
from crowsill_lab.demo.site import Site
from crowsill_lab.settings import EngineShape, ServiceShape

SLOTS = 4
MEAN_MS = 50.0
REPLICAS = 2
URGENT_PER_S = 12.0
BURST_CAPACITY_RATIO = 10.0
CAPACITY_PER_S = REPLICAS * SLOTS * 1000.0 / MEAN_MS
RETRY_REPLICAS = 6
RETRY_RATE_PER_S = 150.0
UPSTREAM_METRIC = "crowsill_upstream_attempts"


class OverloadFigures(msgspec.Struct, frozen=True):
    """Latency of urgent calls in milliseconds, without and with a concurrent burst.

    Attributes:
        burst_per_s: Rate of the burst, in calls per second.
        capacity_per_s: Calls per second that all replicas together can serve.
        idle_p50_ms: Median without a burst.
        idle_p99_ms: 99th percentile without a burst.
        patient_burst_p50_ms: Median during a burst of patient calls.
        patient_burst_p99_ms: 99th percentile during a burst of patient calls.
        ratio_p99: `patient_burst_p99_ms` divided by `idle_p99_ms`.
        urgent_refused: Urgent calls rejected or failed during the burst of patient calls.
        patient_answered: Patient calls that were served.
        patient_refused: Patient calls that were rejected, all reported as not run.
        same_class_p99_ms: 99th percentile during a burst of urgent calls, without priority.
        same_class_refused: Urgent calls rejected or failed during that burst.
    """

    burst_per_s: float
    capacity_per_s: float
    idle_p50_ms: float
    idle_p99_ms: float
    patient_burst_p50_ms: float
    patient_burst_p99_ms: float
    ratio_p99: float
    urgent_refused: int
    patient_answered: int
    patient_refused: int
    same_class_p99_ms: float
    same_class_refused: int


class RetryFigures(msgspec.Struct, frozen=True):
    """Retry amplification while a third of the back ends fail every call.

    Attributes:
        calls: Calls of callers.
        answered: Calls that were served.
        upstream: Attempts sent to back ends.
        amplification: `upstream` divided by `calls`.
    """

    calls: int
    answered: int
    upstream: float
    amplification: float


async def _urgent_beside(
    entries: list[str], burst_service: str | None, seconds: float
) -> tuple[CallResults, CallResults]:
    burst = CallResults()
    if burst_service is None:
        return await drive_calls(entries, "desk", URGENT_PER_S, seconds), burst
    rate = CAPACITY_PER_S * BURST_CAPACITY_RATIO
    pair = await asyncio.gather(
        drive_calls(entries, "desk", URGENT_PER_S, seconds),
        drive_calls(entries, burst_service, rate, seconds),
    )
    return pair[0], pair[1]


def run_overload_bench(seconds: float, folder: Path) -> OverloadFigures:
    """Measure urgent calls without a burst, and during bursts of patient and of urgent calls."""
    shape = ServiceShape("till", SLOTS, ZONES[:REPLICAS], MEAN_MS)
    deployment = bench_deployment(2, 1, EngineShape("engines", 10000, 8, ["z1"]), shape)
    site = start_site(deployment, folder)
    entries = list(site.entries.values())
    try:
        idle, _ = asyncio.run(_urgent_beside(entries, None, seconds))
        urgent, patient = asyncio.run(_urgent_beside(entries, "archive", seconds))
        same_class, _ = asyncio.run(_urgent_beside(entries, "desk", seconds))
    finally:
        site.stop()
    return OverloadFigures(
        burst_per_s=CAPACITY_PER_S * BURST_CAPACITY_RATIO,
        capacity_per_s=CAPACITY_PER_S,
        idle_p50_ms=idle.quantile_ms(0.5),
        idle_p99_ms=idle.quantile_ms(0.99),
        patient_burst_p50_ms=urgent.quantile_ms(0.5),
        patient_burst_p99_ms=urgent.quantile_ms(0.99),
        ratio_p99=round(urgent.quantile_ms(0.99) / idle.quantile_ms(0.99), 2),
        urgent_refused=sum(urgent.rejections.values()) + urgent.errors,
        patient_answered=len(patient.latencies_ms),
        patient_refused=sum(patient.rejections.values()),
        same_class_p99_ms=same_class.quantile_ms(0.99),
        same_class_refused=sum(same_class.rejections.values()) + same_class.errors,
    )


async def _retries(site: Site, seconds: float) -> RetryFigures:
    entries = list(site.entries.values())
    services = [machine for machine in site.replicas if not machine.memory_mib]
    for machine in services[: RETRY_REPLICAS // 3]:
        await post(f"http://{machine.address}/lab/failing/1.0")
    before = sum([await metric_total(entry, UPSTREAM_METRIC) for entry in entries])
    results = await drive_calls(entries, "desk", RETRY_RATE_PER_S, seconds)
    after = sum([await metric_total(entry, UPSTREAM_METRIC) for entry in entries])
    amplification = round((after - before) / results.total, 3)
    return RetryFigures(results.total, len(results.latencies_ms), after - before, amplification)


def run_retry_bench(seconds: float, folder: Path) -> RetryFigures:
    """Measure the attempts sent to back ends while a third of them fail every call."""
    shape = ServiceShape("till", 16, ZONES * (RETRY_REPLICAS // len(ZONES)), 10.0)
    deployment = bench_deployment(2, 1, EngineShape("engines", 10000, 8, ["z1"]), shape)
    site = start_site(deployment, folder)
    try:
        return asyncio.run(_retries(site, seconds))
    finally:
        site.stop()
