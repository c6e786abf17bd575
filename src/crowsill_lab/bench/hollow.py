"""Helpers shared by benchmarks of control members: hollow entries, changes, waiting."""

import asyncio
import random
import time
from collections.abc import Callable

from crowsill.clock import monotonic_s
from crowsill.control.operations import Status
from crowsill.entry.follower import EntryFollower, EntryHooks
from crowsill.model.configuration import (
    Configuration,
    ConfigurationChange,
    ConfigurationContent,
    Template,
)
from crowsill.settings import Address
from crowsill.state.commands import (
    ChangeConfiguration,
    ConfigurationDecision,
    ConfigurationResult,
)
from crowsill.transport.leader_client import LeaderClient
from crowsill.transport.messages import SubmitCommand
from crowsill_lab.bench.calls import metric_total
from crowsill_lab.bench.control import local_identity
from crowsill_lab.bench.operator_http import fetch_operator
from crowsill_lab.demo.site import Site

WAIT_S = 30.0


async def wait_until(condition: Callable[[], bool], timeout_s: float = WAIT_S) -> float:
    """Wait until a condition holds; return the elapsed time in seconds.

    Raises:
        RuntimeError: The condition did not hold within the timeout.
    """
    started_s = time.monotonic()
    while not condition():
        if time.monotonic() - started_s > timeout_s:
            raise RuntimeError("condition did not hold within the timeout")
        await asyncio.sleep(0.01)
    return time.monotonic() - started_s


async def leader_index(site: Site) -> int:
    """Return the index of the control member that is leader with a confirmed lease.

    Raises:
        RuntimeError: There was no such member for at least 20 s.
    """
    for _ in range(200):
        for index in range(3):
            try:
                status = await fetch_operator(site, index, "/v1/status", Status)
            except RuntimeError:
                continue
            if status.role == "leader" and status.confirmed:
                return index
        await asyncio.sleep(0.1)
    raise RuntimeError("no control member is leader with a confirmed lease")


class HollowEntry:
    """The follower of an entry without callers; many run in one process.

    Attributes:
        adopted_s: Monotonic time when each configuration revision was adopted, by revision.
    """

    def __init__(self, site: Site, number: int) -> None:
        self.adopted_s: dict[int, float] = {}
        hooks = EntryHooks(
            on_configuration=self._adopt,
            on_fleet=lambda _delta: None,
            on_entries=lambda _count: None,
            on_members=lambda _members: None,
        )
        members = [Address("127.0.0.1", port) for port in site.control_ports]
        local = local_identity(site, f"hollow-{number}")
        self.follower = EntryFollower(local, members, hooks, random.Random(number))
        self._task = asyncio.create_task(self.follower.run())

    def _adopt(self, configuration: Configuration) -> None:
        self.adopted_s[configuration.revision] = time.monotonic()

    def is_current(self) -> bool:
        """Whether it has a valid proof of freshness."""
        return self.follower.is_current(monotonic_s())

    def stop(self) -> None:
        """Stop following the control members."""
        self._task.cancel()


async def change_configuration(client: LeaderClient, number: int, base: int) -> ConfigurationResult:
    """Submit one small configuration change on top of revision `base`."""
    content = ConfigurationContent(templates=[Template(f"t{number % 50}", {}, move_price=number)])
    change = ConfigurationChange(f"change-{number}", base, content, "bench")
    command = SubmitCommand(ChangeConfiguration(change, 0.0))
    result = (await client.submit(command, monotonic_s() + WAIT_S)).unwrap().result
    if not isinstance(result, ConfigurationResult):
        raise RuntimeError("the reply is not a configuration result")
    return result


async def apply_changes(client: LeaderClient, base_revision: int, count: int) -> int:
    """Apply `count` changes one after the other; return the last revision.

    Raises:
        RuntimeError: A change was rejected.
    """
    revision = base_revision
    for _ in range(count):
        result = await change_configuration(client, revision + 1, revision)
        if result.decision not in (
            ConfigurationDecision.ACCEPTED,
            ConfigurationDecision.REPEATED,
        ):
            raise RuntimeError(result.detail)
        revision = result.revision
    return revision


async def sent_bytes(site: Site) -> float:
    """Return the bytes that all control members have sent so far."""
    name = 'crowsill_control_bytes_total{direction="sent"}'
    total = 0.0
    for port in site.operator_ports:
        total += await metric_total(f"127.0.0.1:{port}", "crowsill_control_bytes", name)
    return total
