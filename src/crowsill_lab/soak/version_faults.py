"""Lets software versions join and leave while a gateway of a soak is out of step."""

import asyncio
import contextlib
import re
import signal
import time
from collections.abc import AsyncIterator, Sequence
from enum import StrEnum
from random import Random

from crowsill.events import Event
from crowsill_lab.relay import CuttingRelay
from crowsill_lab.soak.ledger import Ledger
from crowsill_lab.soak.site import Gateway, Member, SoakSite
from crowsill_lab.soak.versioned_streams import SERVICES, Focus, VersionedReplica

REPLICAS_OF_A_VERSION = 2
POLL_S = 0.05
# Other gateways send streams to a version that has joined within this time, or the fault goes on
# without.
MAX_JOIN_S = 1.2
# Streams begin at the new version during this time.
BEGIN_S = 0.4
LEAVE_SHARE = 0.4
# Share of versions that replicas of the oldest version start with, in place of new replicas.
RESTART_SHARE = 0.3
# What stands still as the gateway runs on does so for a time in this range.
MIN_STILL_S = 0.5
MAX_STILL_S = 1.5
# Callers resume streams at the gateway for this time after the fault.
SETTLE_S = 0.5
DRAIN_S = 0.5

_FOLLOWED = re.compile(rf"E{Event.PEER_CONNECTED.value.number} \S+ member=(\S+)")


class Isolation(StrEnum):
    """What keeps a gateway from the members.

    Attributes:
        STOPPED: Its process stands still.
        CUT_OFF: Its connections to members carry no data; callers and replicas reach it.
    """

    STOPPED = "stopped"
    CUT_OFF = "cut_off"


class Return(StrEnum):
    """Which members run as the gateway runs on or is reached again.

    Attributes:
        TOGETHER: All of them.
        ALONE: All but the one that the gateway followed, if that one was stopped.
        NONE: None.
    """

    TOGETHER = "together"
    ALONE = "alone"
    NONE = "none"


class VersionFaults:
    """The replicas of streams that are resumed, and changes of their versions.

    Attributes:
        focus: Tells callers which gateway is out of step.
    """

    def __init__(self, site: SoakSite, ledger: Ledger, random: Random) -> None:
        self._site = site
        self._ledger = ledger
        self._random = random
        self._replicas: dict[str, list[VersionedReplica]] = {name: [] for name in SERVICES}
        self._versions = dict.fromkeys(SERVICES, 0)
        self._started = 0
        self._leaving: set[asyncio.Task[None]] = set()
        self.focus = Focus()

    async def start(self) -> None:
        """Start replicas of a first version of each service."""
        for service in SERVICES:
            await self._join(service)

    async def stop(self) -> None:
        """Stop all replicas."""
        for task in self._leaving:
            task.cancel()
        await asyncio.gather(*self._leaving, return_exceptions=True)
        for replicas in self._replicas.values():
            for replica in replicas:
                replica.stop()
        # Callbacks of the aborted connections run before the loop is closed.
        await asyncio.sleep(POLL_S)

    async def inject(self, gateway: Gateway) -> str:
        """Let a version join while a gateway is out of step; return a line for the report.

        Args:
            gateway: The gateway; it runs, and so do all members.
        """
        random = self._random
        service = self._choose_service()
        isolation = random.choice(list(Isolation))
        followed = self._followed_member(gateway)
        stopped = [followed] if followed is not None and random.random() < 0.7 else []
        returns = random.choice(list(Return))
        restarts = random.random() < RESTART_SHARE
        leaves = not restarts and random.random() < LEAVE_SHARE
        async with self._focus_on(service, gateway), self._resume_all_members():
            async with self._isolated(gateway, isolation):
                _send(stopped, signal.SIGSTOP)
                version = await (self._restart(service) if restarts else self._join(service))
                await self._wait_for(service, version)
                if leaves:
                    self._leave(service)
                await asyncio.sleep(BEGIN_S)
                _send(self._site.members if returns is Return.NONE else [], signal.SIGSTOP)
                _send(stopped if returns is Return.TOGETHER else [], signal.SIGCONT)
            still_s = MIN_STILL_S + random.random() * (MAX_STILL_S - MIN_STILL_S)
            await asyncio.sleep(still_s)
        names = " ".join(member.name for member in stopped)
        what = "restart" if restarts else "join"
        left = " leaves" if leaves else ""
        return f"{what} {service} {version} {gateway.name} {isolation} [{names}] {returns}{left}"

    def _choose_service(self) -> str:
        """Choose a service that has had one version so far, if there is any."""
        fresh = [service for service in SERVICES if self._versions[service] == 1]
        return self._random.choice(fresh or SERVICES)

    def _followed_member(self, gateway: Gateway) -> Member | None:
        """Return the member that a gateway has followed last, as its log tells."""
        if gateway.process is None:
            return None
        names = _FOLLOWED.findall(gateway.process.log.read_text(errors="replace"))
        return next((item for item in self._site.members if item.name in names[-1:]), None)

    async def _join(self, service: str) -> str:
        """Start replicas of a new version; return it."""
        self._versions[service] += 1
        version = f"v{self._versions[service]}"
        for _ in range(REPLICAS_OF_A_VERSION):
            random = Random(self._random.getrandbits(64))
            replica = VersionedReplica(self._new_name(), service, version, self._site, random)
            await replica.start()
            self._replicas[service].append(replica)
        return version

    def _new_name(self) -> str:
        """Return a replica's name, which no other has had."""
        self._started += 1
        return f"s-{self._started}"

    async def _restart(self, service: str) -> str:
        """Restart one replica of the oldest version with a new version; return that."""
        self._versions[service] += 1
        version = f"v{self._versions[service]}"
        replica = self._replicas[service].pop(0)
        await replica.restart(self._new_name(), version)
        self._replicas[service].append(replica)
        return version

    async def _wait_for(self, service: str, version: str) -> None:
        """Wait until callers have received events of a version."""
        until_at_s = time.monotonic() + MAX_JOIN_S
        begun_by = self._ledger.streams.begun_by
        while not begun_by[service, version] and time.monotonic() < until_at_s:
            await asyncio.sleep(POLL_S)

    def _leave(self, service: str) -> None:
        """Let the oldest version of a service drain and end."""
        oldest = self._replicas[service][0].version
        leaving = [item for item in self._replicas[service] if item.version == oldest]
        self._replicas[service] = self._replicas[service][len(leaving) :]
        task = asyncio.create_task(_drain(leaving))
        self._leaving.add(task)
        task.add_done_callback(self._leaving.discard)

    @contextlib.asynccontextmanager
    async def _focus_on(self, service: str, gateway: Gateway) -> AsyncIterator[None]:
        self.focus.service, self.focus.gateway = service, gateway
        try:
            yield
            await asyncio.sleep(SETTLE_S)
        finally:
            self.focus.service, self.focus.gateway = "", None

    @contextlib.asynccontextmanager
    async def _resume_all_members(self) -> AsyncIterator[None]:
        try:
            yield
        finally:
            _send(self._site.members, signal.SIGCONT)

    @contextlib.asynccontextmanager
    async def _isolated(self, gateway: Gateway, isolation: Isolation) -> AsyncIterator[None]:
        relays = [item.relay for item in self._site.members]
        cutting = [relay for relay in relays if isinstance(relay, CuttingRelay)]
        if isolation is Isolation.STOPPED:
            _send([gateway], signal.SIGSTOP)
            cutting = []
        try:
            for relay in cutting:
                relay.cut_off(gateway.name)
            yield
        finally:
            for relay in cutting:
                relay.restore(gateway.name)
            _send([gateway], signal.SIGCONT)


async def _drain(replicas: Sequence[VersionedReplica]) -> None:
    for replica in replicas:
        replica.drain()
    try:
        await asyncio.sleep(DRAIN_S)
    finally:
        for replica in replicas:
            replica.stop()


def _send(machines: Sequence[Member | Gateway], sent_signal: signal.Signals) -> None:
    for machine in machines:
        if machine.process is not None:
            machine.process.send(sent_signal)
