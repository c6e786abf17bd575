"""What several measurements of control members share: hollow entries, changes, waiting."""

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
    """Wait for a condition; return how long it took.

    Raises:
        RuntimeError: It did not come true in time.
    """
    started_s = time.monotonic()
    while not condition():
        if time.monotonic() - started_s > timeout_s:
            raise RuntimeError("waited too long")
        await asyncio.sleep(0.01)
    return time.monotonic() - started_s


async def leader_index(site: Site) -> int:
    """Return the index of the control member that leads and holds a lease."""
    for _ in range(200):
        for index in range(3):
            try:
                status = await fetch_operator(site, index, "/v1/status", Status)
            except RuntimeError:
                continue
            if status.role == "leader" and status.confirmed:
                return index
        await asyncio.sleep(0.1)
    raise RuntimeError("no leader")


class HollowEntry:
    """An entry without callers: the product's own follower, many to a process.

    Attributes:
        adopted_s: When each revision was adopted.
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
        """Whether it can prove that it is current."""
        return self.follower.is_current(monotonic_s())

    def stop(self) -> None:
        """Stop following."""
        self._task.cancel()


async def change_configuration(client: LeaderClient, number: int, base: int) -> ConfigurationResult:
    """Submit one small change."""
    content = ConfigurationContent(templates=[Template(f"t{number % 50}", {}, move_price=number)])
    change = ConfigurationChange(f"change-{number}", base, content, "bench")
    command = SubmitCommand(ChangeConfiguration(change, 0.0))
    result = (await client.submit(command, monotonic_s() + WAIT_S)).unwrap().result
    if not isinstance(result, ConfigurationResult):
        raise RuntimeError("unexpected reply")
    return result


async def apply_changes(client: LeaderClient, first: int, count: int) -> int:
    """Apply changes one after the other; return the last revision."""
    revision = first
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
    """Bytes that all control members have sent so far."""
    name = 'crowsill_control_bytes_total{direction="sent"}'
    total = 0.0
    for port in site.operator_ports:
        total += await metric_total(f"127.0.0.1:{port}", "crowsill_control_bytes", name)
    return total
