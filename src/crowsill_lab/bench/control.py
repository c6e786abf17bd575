"""Commit latency and claim throughput of control member processes, measured over their protocol."""

import asyncio
import os
import random
import secrets
import statistics
import time
import uuid
from pathlib import Path

import msgspec

from crowsill.clock import monotonic_s
from crowsill.control.operations import Status
from crowsill.settings import Address
from crowsill.state.commands import (
    ClaimKey,
    OpenClaim,
)
from crowsill.transport.leader_client import LeaderClient
from crowsill.transport.messages import SubmitCommand
from crowsill.transport.stream import LocalIdentity, load_cluster_key
from crowsill_lab.bench.operator_http import fetch_operator
from crowsill_lab.bench.site import bench_deployment
from crowsill_lab.demo.site import Site
from crowsill_lab.settings import EngineShape, ServiceShape

COMMIT_TIMEOUT_S = 20.0
SYNC_SAMPLES = 300


def control_site(folder: Path, members: int = 3) -> Site:
    """Start control members without entries, with one idle back end of each kind."""
    engine = EngineShape("engines", 10000, 8, ["z1"])
    deployment = bench_deployment(0, members, engine, ServiceShape("till", 8, ["z1"]))
    site = Site(deployment, folder.absolute())
    try:
        site.start()
    except BaseException:
        site.stop()
        raise
    return site


def local_identity(site: Site, name: str) -> LocalIdentity:
    """Return a new identity of that name with the cluster key of the site."""
    key = load_cluster_key(site.folder / "cluster.key").unwrap()
    return LocalIdentity(name, f"{name}.{secrets.token_hex(4)}", "z1", key)


def leader_client(site: Site, name: str = "bench") -> LeaderClient:
    """Return a client for the leader of the site's control members."""
    members = [Address("127.0.0.1", port) for port in site.control_ports]
    return LeaderClient(local_identity(site, name), members, random.Random(1))


class CommitFigures(msgspec.Struct, frozen=True):
    """Commit latency of one command at a time, and claim throughput at full load.

    Attributes:
        sync_p50_ms: Write and `fdatasync` of a record of the journal's size in the same folder.
        round_trip_p50_ms: Echo over a loopback TCP connection.
        commit_p50_ms: Latency of a claim at the client, one at a time.
        commit_p99_ms: The same at the 99th percentile.
        ratio_p50: Commit latency divided by the sum of one sync and one round trip.
        claims_per_s: Claims committed per second at full load.
        leader_cpu_us_per_claim: CPU time of the leader per claim, in microseconds.
        claims_per_leader_core_s: Claims per second of the leader's CPU time.
        follower_cpu_us_per_claim: CPU time of one follower per claim, in microseconds.
        commands_per_batch: Mean number of commands in one log entry.
    """

    sync_p50_ms: float
    round_trip_p50_ms: float
    commit_p50_ms: float
    commit_p99_ms: float
    ratio_p50: float
    claims_per_s: float
    leader_cpu_us_per_claim: float
    claims_per_leader_core_s: float
    follower_cpu_us_per_claim: float
    commands_per_batch: float


def open_claim(key: str, attempt: str) -> SubmitCommand:
    """Return the command that claims a key for an attempt."""
    claim_key = ClaimKey("bench", "till", key)
    return SubmitCommand(OpenClaim(claim_key, b"fingerprint-0123", attempt, "bench", 0.0))


async def _round_trip_ms() -> float:
    async def echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while data := await reader.read(1000):
            writer.write(data)
        writer.close()

    server = await asyncio.start_server(echo, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    samples = []
    for _ in range(SYNC_SAMPLES):
        started_s = time.perf_counter()
        writer.write(b"x" * 200)
        await reader.readexactly(200)
        samples.append((time.perf_counter() - started_s) * 1000)
    writer.close()
    server.close()
    return statistics.median(samples)


def _sync_ms(folder: Path) -> float:
    descriptor = os.open(folder / "sync-sample", os.O_RDWR | os.O_CREAT)
    samples = []
    for _ in range(SYNC_SAMPLES):
        started_s = time.perf_counter()
        os.write(descriptor, b"x" * 250)
        os.fdatasync(descriptor)
        samples.append((time.perf_counter() - started_s) * 1000)
    os.close(descriptor)
    return statistics.median(samples)


async def _commit_latencies_ms(client: LeaderClient, count: int) -> list[float]:
    samples = []
    for _ in range(count):
        request = open_claim(uuid.uuid4().hex, "a")
        started_s = time.perf_counter()
        (await client.submit(request, monotonic_s() + COMMIT_TIMEOUT_S)).unwrap()
        samples.append((time.perf_counter() - started_s) * 1000)
    return samples


async def _full_load(client: LeaderClient, seconds: float, concurrency: int) -> int:
    claims = 0
    end_s = time.monotonic() + seconds

    async def worker() -> None:
        nonlocal claims
        while time.monotonic() < end_s:
            request = open_claim(uuid.uuid4().hex, "a")
            (await client.submit(request, monotonic_s() + COMMIT_TIMEOUT_S)).unwrap()
            claims += 1

    await asyncio.gather(*(worker() for _ in range(concurrency)))
    return claims


async def statuses(site: Site) -> list[Status]:
    """Return the status of each control member."""
    return [await fetch_operator(site, index, "/v1/status", Status) for index in range(3)]


async def _commits(site: Site, seconds: float) -> CommitFigures:
    client = leader_client(site)
    await _commit_latencies_ms(client, 20)
    sync_ms, round_trip_ms = _sync_ms(site.folder), await _round_trip_ms()
    latencies = sorted(await _commit_latencies_ms(client, 1000))
    members = await statuses(site)
    leader = next(status.node for status in members if status.role == "leader")
    follower = next(status.node for status in members if status.role != "leader")
    cpu_before_s = {name: site.processes[name].cpu_s() for name in (leader, follower)}
    index_before = max(status.applied_index for status in members)
    started_s = time.monotonic()
    claims = await _full_load(client, seconds, 256)
    elapsed_s = time.monotonic() - started_s
    cpu_used_s = {name: site.processes[name].cpu_s() - cpu_before_s[name] for name in cpu_before_s}
    index_after = max(status.applied_index for status in await statuses(site))
    client.close()
    median_ms = statistics.median(latencies)
    return CommitFigures(
        sync_p50_ms=round(sync_ms, 3),
        round_trip_p50_ms=round(round_trip_ms, 3),
        commit_p50_ms=round(median_ms, 3),
        commit_p99_ms=round(latencies[int(len(latencies) * 0.99)], 3),
        ratio_p50=round(median_ms / (sync_ms + round_trip_ms), 2),
        claims_per_s=round(claims / elapsed_s),
        leader_cpu_us_per_claim=round(cpu_used_s[leader] / claims * 1e6, 1),
        claims_per_leader_core_s=round(claims / cpu_used_s[leader]),
        follower_cpu_us_per_claim=round(cpu_used_s[follower] / claims * 1e6, 1),
        commands_per_batch=round(claims / max(1, index_after - index_before), 1),
    )


def run_commit_bench(seconds: float, folder: Path) -> CommitFigures:
    """Measure commits of three control members on this machine."""
    site = control_site(folder)
    try:
        return asyncio.run(_commits(site, seconds))
    finally:
        site.stop()
