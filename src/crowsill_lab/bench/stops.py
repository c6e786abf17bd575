"""Graceful stops of each kind of process under load, and slow or malformed connections."""

import asyncio
import signal
import time
from pathlib import Path

import msgspec

from crowsill_lab.bench.calls import CallResults, drive_calls, fetch_json, post
from crowsill_lab.bench.site import (
    MODEL,
    TOKEN,
    ZONES,
    bench_deployment,
    run_operator_command,
    start_site,
)
from crowsill_lab.demo.site import Site
from crowsill_lab.load.balancer import Balancer
from crowsill_lab.load.generator import LoadGenerator
from crowsill_lab.load.tally import Tally
from crowsill_lab.settings import EngineShape, LabDeployment, ServiceShape, TrafficShape

READY_TIMEOUT_S = 30.0
GOOD_RATE_PER_S = 50.0
MAX_OPEN_CONNECTIONS = 500
WARMUP_S = 3.0


class StopFigures(msgspec.Struct, frozen=True):
    """Result of a graceful stop of each kind of process under one load.

    Attributes:
        sent: Requests sent.
        answered: Complete responses.
        broken: Requests or streams that were interrupted.
        unreachable: Refused connections.
        refused: Rejected requests.
        key_violations: Keys of unsafe requests that ran twice, or ran although reported as not run.
        entry_exit_code: Exit code of the stopped entry.
        control_exit_code: Exit code of the stopped control leader.
        engine_last_new_work_s: Time from the drain signal to the last new request at the engine.
        service_last_new_work_s: Time from the drain signal to the last new request at the service.
    """

    sent: int
    answered: int
    broken: int
    unreachable: int
    refused: int
    key_violations: int
    entry_exit_code: int | None
    control_exit_code: int | None
    engine_last_new_work_s: float
    service_last_new_work_s: float


class ConnectionFigures(msgspec.Struct, frozen=True):
    """Result of valid calls while slow and malformed connections are open.

    Attributes:
        opened: Number of bad connections.
        memory_before_mib: Resident memory of the entry before the bad connections.
        memory_after_mib: Resident memory of the entry after them.
        good_calls: Valid calls made while the bad connections were open.
        good_answered: Valid calls that were served.
        good_p99_ms: 99th percentile of their latency.
        alone_p99_ms: The same without bad connections, measured before.
    """

    opened: int
    memory_before_mib: float
    memory_after_mib: float
    good_calls: int
    good_answered: int
    good_p99_ms: float
    alone_p99_ms: float


def _traffic() -> list[TrafficShape]:
    return [
        TrafficShape("till", "bench", 60.0, 250, service="till", path="/pay", unsafe=True),
        TrafficShape("streams", "bench", 40.0, 5000, models=[MODEL], tokens=40),
    ]


def _leader(site: Site) -> str:
    for line in run_operator_command(site, "status").splitlines():
        if line.endswith("leader"):
            return line.split()[0]
    raise RuntimeError("no leader")


async def _stop(site: Site, name: str) -> int | None:
    process = site.processes[name]
    process.send(signal.SIGTERM)
    return await asyncio.to_thread(process.wait)


async def _start_drain(site: Site, replica_id: str) -> float:
    await post(f"http://{site.platform}/lab/leaving/{replica_id}")
    return time.time()


async def _last_new_work_s(site: Site, replica_id: str, since_s: float) -> float:
    machine = next(item for item in site.replicas if item.replica_id == replica_id)
    counters = await fetch_json(f"http://{machine.address}/lab/counters")
    return round(counters["last_new_work_s"] - since_s, 2)


async def _stops(site: Site, deployment: LabDeployment) -> StopFigures:
    balancer = Balancer(list(site.entries.values()))
    prober = asyncio.create_task(balancer.run())
    if not await balancer.wait_ready(len(site.entries), READY_TIMEOUT_S):
        raise RuntimeError("entries did not become ready")
    generator = LoadGenerator(deployment, balancer, seed=1)
    load = asyncio.create_task(generator.run(WARMUP_S * 6))
    await asyncio.sleep(WARMUP_S)
    entry_code = await _stop(site, "entry-0")
    leader = await asyncio.to_thread(_leader, site)
    control_code = await _stop(site, leader)
    engine_drain_at_s = await _start_drain(site, "engines-0")
    service_drain_at_s = await _start_drain(site, "till-0")
    result = await load
    prober.cancel()
    executions: dict[str, float] = {}
    for machine in site.replicas:
        if not machine.memory_mib:
            replica_executions = await fetch_json(f"http://{machine.address}/lab/executions")
            for key, count in replica_executions.items():
                executions[key] = executions.get(key, 0) + count
    tallies: list[Tally] = list(result.tallies.values())
    execution_counts = {key: int(count) for key, count in executions.items()}
    return StopFigures(
        sent=sum(tally.sent for tally in tallies),
        answered=sum(tally.answered for tally in tallies),
        broken=sum(tally.broken for tally in tallies),
        unreachable=sum(tally.unreachable for tally in tallies),
        refused=sum(sum(tally.rejected.values()) for tally in tallies),
        key_violations=len(result.keys.violations(execution_counts)),
        entry_exit_code=entry_code,
        control_exit_code=control_code,
        engine_last_new_work_s=await _last_new_work_s(site, "engines-0", engine_drain_at_s),
        service_last_new_work_s=await _last_new_work_s(site, "till-0", service_drain_at_s),
    )


def run_stop_bench(folder: Path) -> StopFigures:
    """Stop an entry and the control leader, and drain an engine and a service, under load."""
    engine = EngineShape("engines", 10000, 32, ZONES, 3.0, 0.1, 1.0)
    deployment = bench_deployment(3, 3, engine, ServiceShape("till", 32, ZONES, 10.0))
    deployment = msgspec.structs.replace(deployment, traffic=_traffic())
    site = start_site(deployment, folder)
    try:
        return asyncio.run(_stops(site, deployment))
    finally:
        site.stop()


_BAD_REQUESTS = (
    b"",
    b"POST /v1/completions HTTP/1.1\r\nHost: x\r\n",
    b"\x00\x01\x02garbage\r\n\r\n",
    b"GET / HTTP/1.1\r\nX: " + b"y" * 100_000,
    b"POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\nhalf",
    b"POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + TOKEN.encode() + b"\r\n"
    b"Transfer-Encoding: chunked\r\n\r\nzz\r\n",
)


async def _bad_connection(entry: str, number: int, open_slots: asyncio.Semaphore) -> None:
    host, _, port = entry.rpartition(":")
    async with open_slots:
        try:
            async with asyncio.timeout(5.0):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(_BAD_REQUESTS[number % len(_BAD_REQUESTS)])
                # Keeps the connection open like a slow caller, for at most the timeout.
                await reader.read(1)
                await reader.read(1)
        except (OSError, TimeoutError):
            return
        writer.close()


async def _connections(site: Site, count: int) -> ConnectionFigures:
    entries = list(site.entries.values())
    process = site.processes["entry-0"]
    baseline: CallResults = await drive_calls(entries, "desk", GOOD_RATE_PER_S, 5.0)
    before_mib = process.resident_mib()
    open_slots = asyncio.Semaphore(MAX_OPEN_CONNECTIONS)
    valid_calls = asyncio.create_task(drive_calls(entries, "desk", GOOD_RATE_PER_S, count / 250))
    await asyncio.gather(*(_bad_connection(entries[0], item, open_slots) for item in range(count)))
    results = await valid_calls
    return ConnectionFigures(
        opened=count,
        memory_before_mib=round(before_mib, 1),
        memory_after_mib=round(process.resident_mib(), 1),
        good_calls=results.total,
        good_answered=len(results.latencies_ms),
        good_p99_ms=results.quantile_ms(0.99),
        alone_p99_ms=baseline.quantile_ms(0.99),
    )


def run_connection_bench(count: int, folder: Path) -> ConnectionFigures:
    """Open slow and malformed connections to an entry during valid calls."""
    shape = ServiceShape("till", 32, ZONES, 10.0)
    deployment = bench_deployment(1, 1, EngineShape("engines", 10000, 8, ["z1"]), shape)
    site = start_site(deployment, folder)
    try:
        return asyncio.run(_connections(site, count))
    finally:
        site.stop()
