"""Network partition between the leader and the other control members."""

import asyncio
import random
import time
import uuid
from pathlib import Path

import msgspec
from returns.result import Success

from crowsill.clock import monotonic_s
from crowsill.control.operations import Status
from crowsill.settings import Address
from crowsill.state.commands import (
    ClaimKey,
    OpenClaim,
)
from crowsill.transport.connection import ConnectionLostError, open_connection
from crowsill.transport.leader_client import LeaderClient
from crowsill.transport.messages import Freshness, Heartbeat, SubmitCommand, Submitted
from crowsill.transport.stream import ProtocolError
from crowsill_lab.bench.control import local_identity
from crowsill_lab.bench.hollow import (
    leader_index,
    wait_until,
)
from crowsill_lab.bench.operator_http import fetch_operator
from crowsill_lab.bench.site import bench_deployment
from crowsill_lab.demo.site import Site
from crowsill_lab.relay import PartitioningRelay
from crowsill_lab.settings import EngineShape, ServiceShape


class CutFigures(msgspec.Struct, frozen=True):
    """A partition cuts the leader off from the other members, but not from its clients.

    Attributes:
        last_proof_s: Time from the cut to the old leader's last proof of freshness.
        first_new_commit_s: Time from the cut to the new leader's first commit.
        stale_proofs: Proofs of freshness by the old leader after the new leader's first commit.
        old_commits: Commands that the old leader reported as committed after the cut.
        states_equal: Whether all members have the same state after the cut has ended.
    """

    last_proof_s: float
    first_new_commit_s: float
    stale_proofs: int
    old_commits: int
    states_equal: bool


async def _probe_old_leader(
    site: Site, port: int, proofs_s: list[float], commits_s: list[float]
) -> None:
    """Repeatedly request a proof of freshness and a commit from one member."""
    local = local_identity(site, "probe")
    try:
        connection = await open_connection("127.0.0.1", port, local)
    except (OSError, ProtocolError):
        return
    reader = asyncio.create_task(connection.run())

    async def request_freshness() -> None:
        while True:
            requested_s = time.monotonic()
            try:
                reply = await connection.request(Heartbeat(0, 0, [], {}, False), 3.0)
            except ConnectionLostError:
                reply = None
            if isinstance(reply, Freshness):
                # It proves freshness at the time of the request, not at that of the reply.
                proofs_s.append(requested_s)
            await asyncio.sleep(0.02)

    async def request_commits() -> None:
        while True:
            key = ClaimKey("bench", "till", uuid.uuid4().hex)
            command = OpenClaim(key, b"f", "old", "old", 0.0)
            try:
                reply = await connection.request(SubmitCommand(command), 3.0)
            except ConnectionLostError:
                reply = None
            if isinstance(reply, Submitted):
                commits_s.append(time.monotonic())
            await asyncio.sleep(0.02)

    try:
        await asyncio.gather(request_freshness(), request_commits())
    finally:
        connection.close()
        reader.cancel()


async def _cut(site: Site, seconds: float) -> CutFigures:
    relay = PartitioningRelay()
    for index in range(3):
        await relay.listen(site.control_ports[index], f"control-{index}", site.listen_ports[index])
    old_leader = await leader_index(site)
    others = [
        Address("127.0.0.1", site.listen_ports[index]) for index in range(3) if index != old_leader
    ]
    proofs_s: list[float] = []
    commits_s: list[float] = []
    # The probe bypasses the relay: clients of the old leader are on its side of the partition.
    probe = asyncio.create_task(
        _probe_old_leader(site, site.listen_ports[old_leader], proofs_s, commits_s)
    )
    await wait_until(lambda: len(proofs_s) > 10 and len(commits_s) > 10)
    relay.partitioned = {f"control-{old_leader}"}
    cut_s = time.monotonic()
    first_new_s = await _first_commit_s(site, others)
    await asyncio.sleep(seconds)
    probe.cancel()
    relay.partitioned = set()
    equal = await _wait_until_states_equal(site)
    relay.close()
    in_flight_s = 0.05  # A commit just before the cut may be reported just after it.
    return CutFigures(
        last_proof_s=round(max(proofs_s) - cut_s, 3),
        first_new_commit_s=round(first_new_s - cut_s, 3),
        stale_proofs=sum(time_s > first_new_s for time_s in proofs_s),
        old_commits=sum(time_s > cut_s + in_flight_s for time_s in commits_s),
        states_equal=equal,
    )


async def _first_commit_s(site: Site, members: list[Address]) -> float:
    """Commit through members on the majority's side; return the monotonic time of success."""
    local = local_identity(site, "majority")
    client = LeaderClient(local, members, random.Random(2))
    while True:
        key = ClaimKey("bench", "till", uuid.uuid4().hex)
        command = SubmitCommand(OpenClaim(key, b"f", "new", "new", 0.0))
        reply = await client.submit(command, monotonic_s() + 1.0)
        if isinstance(reply, Success):
            client.close()
            return time.monotonic()


async def _wait_until_states_equal(site: Site) -> bool:
    for _ in range(300):
        try:
            statuses = [
                await fetch_operator(site, index, "/v1/status", Status) for index in range(3)
            ]
        except RuntimeError:
            await asyncio.sleep(0.1)
            continue
        if len({(status.applied_index, status.state_digest) for status in statuses}) == 1:
            return True
        await asyncio.sleep(0.1)
    return False


def run_cut_bench(seconds: float, folder: Path) -> CutFigures:
    """Partition the leader from the other members for `seconds`, without closing connections."""
    engine = EngineShape("engines", 10000, 8, ["z1"])
    deployment = bench_deployment(0, 3, engine, ServiceShape("till", 8, ["z1"]))
    site = Site(deployment, folder.absolute(), is_relayed=True)
    try:
        site.start()
        return asyncio.run(_cut(site, seconds))
    finally:
        site.stop()
