"""Random kills of control members during claims and configuration changes."""

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
# A client may receive the reply to a commit made before a kill up to this time after the kill.
MAX_REPLY_DELAY_S = 0.02


class KillFigures(msgspec.Struct, frozen=True):
    """Result of random kills of control members.

    A group is fully replicated when every voter responds and has stored all committed entries.

    Attributes:
        kills: Number of kills.
        leader_kills: Kills of the leader while the group was fully replicated.
        leader_kills_not_whole: Kills of the leader while another member was recovering.
        claims: Claims decided.
        granted_twice: Keys granted to more than one attempt.
        changes: Acknowledged configuration changes.
        changes_lost: Acknowledged changes missing from the history at their revision.
        states_equal: Whether all members have the same state after the run.
        gap_p50_s: Median time from a kill counted in `leader_kills` to the next commit at a client.
        gap_p99_s: The same at the 99th percentile (the maximum for fewer than 100 kills).
        gap_not_whole_p50_s: The same median for kills counted in `leader_kills_not_whole`.
        gap_not_whole_max_s: The maximum of these.
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
    was_leader: bool
    was_fully_replicated: bool
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
        # The history is bounded: a low rate keeps all changes of a run in it.
        await asyncio.sleep(0.6)


async def _is_fully_replicated(site: Site) -> bool:
    for index in range(3):
        try:
            report = await fetch_operator(site, index, "/v1/members", MembersReport)
        except RuntimeError:
            continue
        return report.is_fully_replicated
    return False


async def _wait_until_fully_replicated(site: Site) -> None:
    for _ in range(200):
        if await _is_fully_replicated(site):
            return
        await asyncio.sleep(0.05)


async def _kill_once(site: Site, source: random.Random) -> _Kill:
    """Kill and restart one member; wait for full replication first in half of the cases."""
    if source.random() < 0.5:
        await _wait_until_fully_replicated(site)
    was_fully_replicated = await _is_fully_replicated(site)
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
    return _Kill(name == leader, was_fully_replicated, killed_s)


async def _states_equal(site: Site) -> bool:
    """Wait until all members have the same applied index; return whether their states are equal."""
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
    past_kills = [await _kill_once(site, source) for _ in range(kills)]
    await _wait_until_fully_replicated(site)
    run.stopping = True
    await asyncio.gather(*workers)
    equal = await _states_equal(site)
    history = await fetch_operator(site, 0, "/v1/history", list[AcceptedChange])
    recorded = {change.revision: change.change_id for change in history}
    lost_revisions = [
        revision for revision, name in run.changes.items() if recorded.get(revision) != name
    ]
    gaps_s = _gaps_s(
        run, [kill for kill in past_kills if kill.was_leader and kill.was_fully_replicated]
    )
    degraded_gaps_s = _gaps_s(
        run, [kill for kill in past_kills if kill.was_leader and not kill.was_fully_replicated]
    )
    for client in clients:
        client.close()
    return KillFigures(
        kills=kills,
        leader_kills=len(gaps_s),
        leader_kills_not_whole=len(degraded_gaps_s),
        claims=run.claims,
        granted_twice=sum(len(attempts) > 1 for attempts in run.grants.values()),
        changes=len(run.changes),
        changes_lost=len(lost_revisions),
        states_equal=equal,
        gap_p50_s=_quantile(gaps_s, 0.5),
        gap_p99_s=_quantile(gaps_s, 0.99),
        gap_not_whole_p50_s=_quantile(degraded_gaps_s, 0.5),
        gap_not_whole_max_s=_quantile(degraded_gaps_s, 1.0),
    )


def _gaps_s(run: _KillRun, kills: list[_Kill]) -> list[float]:
    """Return the time from each kill to the next commit seen by a client, in seconds, sorted."""
    found = []
    for kill in kills:
        later_commits_s = [
            commit_s for commit_s in run.commits_s if commit_s > kill.killed_s + MAX_REPLY_DELAY_S
        ]
        found.append(min(later_commits_s) - kill.killed_s)
    return sorted(found)


def _quantile(ordered: list[float], quantile: float) -> float:
    if not ordered:
        return 0.0
    return round(ordered[min(len(ordered) - 1, int(quantile * len(ordered)))], 3)


def run_kill_bench(kills: int, seed: int, folder: Path) -> KillFigures:
    """Kill control members at random under load, each with a restart."""
    site = control_site(folder)
    try:
        return asyncio.run(_kills(site, kills, seed))
    finally:
        site.stop()
