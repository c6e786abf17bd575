"""Random kills of control members under claims and configuration changes."""

import asyncio
import random
import signal
import time
import uuid
from collections import defaultdict
from dataclasses import dataclass, field
from pathlib import Path

import msgspec
from returns.result import Success

from crowsill.clock import monotonic_s
from crowsill.control.operations import Status
from crowsill.model.configuration import ConfigurationChange, ConfigurationContent, Template
from crowsill.state.commands import (
    ChangeConfiguration,
    ClaimDecision,
    ClaimResult,
    ConfigurationDecision,
    ConfigurationResult,
)
from crowsill.state.configuration_store import AcceptedChange
from crowsill.transport.leader_client import LeaderClient
from crowsill.transport.membership_messages import MembersReport
from crowsill.transport.messages import SubmitCommand
from crowsill_lab.bench.control import (
    COMMIT_TIMEOUT_S,
    control_site,
    leader_client,
    open_claim,
    statuses,
)
from crowsill_lab.bench.operator_http import fetch_operator
from crowsill_lab.demo.site import Site

KEYS = 5000
# A commit made before a kill may be seen just after it.
REPLY_UNDER_WAY_S = 0.02


class KillFigures(msgspec.Struct, frozen=True):
    """Random kills of control members under claims and configuration changes.

    Attributes:
        kills: Processes killed.
        leader_kills: Kills of the leader while the group was whole.
        leader_kills_not_whole: Kills of the leader while another member was coming back.
        claims: Claims decided.
        granted_twice: Keys granted to two attempts.
        changes: Configuration changes that were acknowledged.
        changes_lost: Acknowledged changes that are not in the history at their revision.
        states_equal: Whether all members end with the same state.
        gap_p50_s: Kill of the leader of a whole group to the next commit a client saw, median.
        gap_p99_s: The same at the 99th percentile (the largest, below 100 kills).
        gap_not_whole_p50_s: The same for kills while another member was coming back.
        gap_not_whole_max_s: The longest of these.
    """

    kills: int
    leader_kills: int
    leader_kills_not_whole: int
    claims: int
    granted_twice: int
    changes: int
    changes_lost: int
    states_equal: bool
    gap_p50_s: float
    gap_p99_s: float
    gap_not_whole_p50_s: float
    gap_not_whole_max_s: float


@dataclass(frozen=True, slots=True)
class _Kill:
    led: bool
    whole: bool
    killed_s: float


@dataclass
class _KillRun:
    grants: dict[str, set[str]] = field(default_factory=lambda: defaultdict(set))
    changes: dict[int, str] = field(default_factory=dict)
    commits_s: list[float] = field(default_factory=list)
    claims: int = 0
    stopping: bool = False


async def _claim_worker(run: _KillRun, client: LeaderClient, source: random.Random) -> None:
    while not run.stopping:
        key, attempt = f"key-{source.randrange(KEYS)}", uuid.uuid4().hex
        reply = await client.submit(open_claim(key, attempt), monotonic_s() + COMMIT_TIMEOUT_S)
        if isinstance(reply, Success):
            run.claims += 1
            run.commits_s.append(time.monotonic())
            result = reply.unwrap().result
            if isinstance(result, ClaimResult) and result.decision is ClaimDecision.GRANTED:
                run.grants[key].add(attempt)
        await asyncio.sleep(0.002)


async def _change_worker(run: _KillRun, client: LeaderClient, name: str) -> None:
    number = 0
    base = 0
    while not run.stopping:
        number += 1
        content = ConfigurationContent(templates=[Template(name, {}, move_price=float(number))])
        change = ConfigurationChange(f"{name}-{number}", base, content)
        command = SubmitCommand(ChangeConfiguration(change, 0.0))
        reply = await client.submit(command, monotonic_s() + COMMIT_TIMEOUT_S)
        if isinstance(reply, Success):
            result = reply.unwrap().result
            if isinstance(result, ConfigurationResult):
                base = max(base, result.revision)
                accepted = (ConfigurationDecision.ACCEPTED, ConfigurationDecision.REPEATED)
                if result.decision in accepted:
                    run.changes[result.revision] = change.change_id
        # Slow enough that all changes of a run stay in the kept history.
        await asyncio.sleep(0.6)


async def _is_whole(site: Site) -> bool:
    for index in range(3):
        try:
            report = await fetch_operator(site, index, "/v1/members", MembersReport)
        except RuntimeError:
            continue
        return report.is_fully_replicated
    return False


async def _wait_whole(site: Site) -> None:
    for _ in range(200):
        if await _is_whole(site):
            return
        await asyncio.sleep(0.05)


async def _kill_once(site: Site, source: random.Random) -> _Kill:
    """Kill and restart one member; half of the time while another is still coming back."""
    if source.random() < 0.5:
        await _wait_whole(site)
    whole = await _is_whole(site)
    names = [name for name in site.processes if name.startswith("control-")]
    leader = ""
    for index in range(len(names)):
        try:
            status = await fetch_operator(site, index, "/v1/status", Status)
        except RuntimeError:
            continue
        if status.role == "leader":
            leader = status.node
    name = leader if leader and source.random() < 0.5 else source.choice(names)
    process = site.processes[name]
    process.send(signal.SIGKILL)
    killed_s = time.monotonic()
    await asyncio.to_thread(process.wait)
    await asyncio.sleep(source.uniform(0.0, 0.6))
    process.start()
    await asyncio.sleep(source.uniform(0.8, 1.6))
    return _Kill(name == leader, whole, killed_s)


async def _states_equal(site: Site) -> bool:
    """Wait until all members have applied the same, and compare their states."""
    for _ in range(200):
        try:
            found = await statuses(site)
        except RuntimeError:
            await asyncio.sleep(0.2)
            continue
        if len({status.applied_index for status in found}) == 1:
            return len({status.state_digest for status in found}) == 1
        await asyncio.sleep(0.2)
    return False


async def _kills(site: Site, kills: int, seed: int) -> KillFigures:
    source = random.Random(seed)
    run = _KillRun()
    clients = [leader_client(site, f"bench-{index}") for index in range(4)]
    workers = [
        asyncio.create_task(_claim_worker(run, client, random.Random(seed + index)))
        for index, client in enumerate(clients)
    ]
    workers += [asyncio.create_task(_change_worker(run, clients[0], name)) for name in ("a", "b")]
    done = [await _kill_once(site, source) for _ in range(kills)]
    await _wait_whole(site)
    run.stopping = True
    await asyncio.gather(*workers)
    equal = await _states_equal(site)
    history = await fetch_operator(site, 0, "/v1/history", list[AcceptedChange])
    known = {change.revision: change.change_id for change in history}
    lost = [revision for revision, name in run.changes.items() if known.get(revision) != name]
    alone = _gaps_s(run, [kill for kill in done if kill.led and kill.whole])
    together = _gaps_s(run, [kill for kill in done if kill.led and not kill.whole])
    for client in clients:
        client.close()
    return KillFigures(
        kills=kills,
        leader_kills=len(alone),
        leader_kills_not_whole=len(together),
        claims=run.claims,
        granted_twice=sum(len(attempts) > 1 for attempts in run.grants.values()),
        changes=len(run.changes),
        changes_lost=len(lost),
        states_equal=equal,
        gap_p50_s=_quantile(alone, 0.5),
        gap_p99_s=_quantile(alone, 0.99),
        gap_not_whole_p50_s=_quantile(together, 0.5),
        gap_not_whole_max_s=_quantile(together, 1.0),
    )


def _gaps_s(run: _KillRun, kills: list[_Kill]) -> list[float]:
    """Time from each kill to the next commit that a client saw, sorted."""
    found = []
    for kill in kills:
        later = [moment for moment in run.commits_s if moment > kill.killed_s + REPLY_UNDER_WAY_S]
        found.append(min(later) - kill.killed_s)
    return sorted(found)


def _quantile(ordered: list[float], quantile: float) -> float:
    if not ordered:
        return 0.0
    return round(ordered[min(len(ordered) - 1, int(quantile * len(ordered)))], 3)


def run_kill_bench(kills: int, seed: int, folder: Path) -> KillFigures:
    """Kill control members at random under load."""
    site = control_site(folder)
    try:
        return asyncio.run(_kills(site, kills, seed))
    finally:
        site.stop()
