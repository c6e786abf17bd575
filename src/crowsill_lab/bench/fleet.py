"""Cost of observing a fleet and of sending its state to entries, by fleet size.

All hollow replicas share one server; its reports carry random loads, so that the fleet state keeps
changing.
"""

import asyncio
import random
import time
from pathlib import Path

import msgspec
from aiohttp import web

from crowsill.backends.wire import PATH_REPORT
from crowsill.metrics import CONTROL_BYTES
from crowsill.model.fleet import ReplicaDescription, ReplicaKind, ReplicaReport
from crowsill_lab.bench.hollow import HollowEntry, leader_index, wait_until
from crowsill_lab.bench.site import bench_deployment
from crowsill_lab.demo.processes import free_ports
from crowsill_lab.demo.site import Site
from crowsill_lab.settings import EngineShape, ServiceShape

RESIDENT_MODELS = 12
ENTRIES = 3


class FleetFigures(msgspec.Struct, frozen=True):
    """Result for one fleet size.

    Attributes:
        replicas: Number of hollow replicas observed.
        leader_cpu_percent: CPU use of the leader, in percent of one core.
        follower_cpu_percent: CPU use of a follower, mean of both.
        leader_memory_mib: Resident memory of the leader.
        received_bytes_per_entry_s: Bytes that an entry receives per second.
        full_state_bytes: Encoded size of the full fleet state.
    """

    replicas: int
    leader_cpu_percent: float
    follower_cpu_percent: float
    leader_memory_mib: float
    received_bytes_per_entry_s: float
    full_state_bytes: int


async def _start_hollow_server(port: int) -> web.AppRunner:
    async def report(_request: web.Request) -> web.Response:
        resident = [f"model-{number}" for number in range(RESIDENT_MODELS)]
        body = ReplicaReport("i1", resident, random.randrange(16), random.randrange(4))
        return web.json_response(body=msgspec.json.encode(body))

    application = web.Application()
    application.router.add_get(PATH_REPORT, report)
    runner = web.AppRunner(application, access_log=None)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", port).start()
    return runner


def _replica_descriptions(count: int, port: int) -> list[ReplicaDescription]:
    return [
        ReplicaDescription(
            f"engine-{number:04}",
            ReplicaKind.ENGINE,
            f"127.0.0.1:{port}",
            f"z{number % 10}",
            f"pool-{number % 4}",
            320_000,
            16,
        )
        for number in range(count)
    ]


async def _measure(site: Site, replicas: int, seconds: float, port: int) -> FleetFigures:
    runner = await _start_hollow_server(port)
    hollow_entries = [HollowEntry(site, number) for number in range(ENTRIES)]
    await wait_until(
        lambda: all(len(item.follower.fleet.replicas) == replicas for item in hollow_entries)
    )
    await asyncio.sleep(2.0)
    names = [f"control-{index}" for index in range(3)]
    leader = await leader_index(site)
    cpu_before_s = {name: site.processes[name].cpu_s() for name in names}
    received_before = _received_bytes()
    started_s = time.monotonic()
    await asyncio.sleep(seconds)
    elapsed_s = time.monotonic() - started_s
    received = _received_bytes() - received_before
    percent = {
        name: (site.processes[name].cpu_s() - cpu_before_s[name]) / elapsed_s * 100
        for name in names
    }
    followers = [percent[name] for index, name in enumerate(names) if index != leader]
    states = list(hollow_entries[0].follower.fleet.replicas.values())
    memory_mib = site.processes[names[leader]].resident_mib()
    for item in hollow_entries:
        item.stop()
    await runner.cleanup()
    return FleetFigures(
        replicas=replicas,
        leader_cpu_percent=round(percent[names[leader]], 1),
        follower_cpu_percent=round(sum(followers) / len(followers), 1),
        leader_memory_mib=round(memory_mib, 1),
        received_bytes_per_entry_s=round(received / elapsed_s / ENTRIES),
        full_state_bytes=len(msgspec.msgpack.encode(states)),
    )


def _received_bytes() -> float:
    """Return the bytes received so far by this process, that is by all hollow entries."""
    total = 0.0
    for sample in next(iter(CONTROL_BYTES.collect())).samples:
        if sample.name.endswith("_total") and sample.labels["direction"] == "received":
            total += float(sample.value)
    return total


def run_fleet_bench(counts: list[int], seconds: float, folder: Path) -> list[FleetFigures]:
    """Measure fleets of several sizes, each with newly started control members."""
    figures = []
    for count in counts:
        engine = EngineShape("engines", 10000, 8, [])
        deployment = bench_deployment(0, 3, engine, ServiceShape("till", 8, []))
        site = Site(deployment, folder.absolute())
        (port,) = free_ports(1)
        site.replicas = _replica_descriptions(count, port)
        try:
            site.start()
            figures.append(asyncio.run(_measure(site, count, seconds, port)))
        finally:
            site.stop()
    return figures
