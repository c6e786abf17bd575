"""Injects overlapping faults: signals, restarts, silent and reset connections."""

import asyncio
import contextlib
import signal
from collections.abc import Awaitable, Callable
from random import Random

from crowsill_lab.demo.processes import ManagedProcess
from crowsill_lab.relay import SilencingRelay
from crowsill_lab.soak.ledger import Ledger
from crowsill_lab.soak.links import SoakLinks
from crowsill_lab.soak.losses import LossInjector
from crowsill_lab.soak.replica import SoakReplica
from crowsill_lab.soak.seeded_site import SeededSite
from crowsill_lab.soak.site import DRAIN_GRACE_S, Gateway, Member, SoakSite
from crowsill_lab.soak.version_faults import VersionFaults

MAX_GAP_S = 0.8
MAX_DOWN_S = 1.5
MAX_PAUSE_S = 2.0
MAX_STOP_S = DRAIN_GRACE_S + 2.0
# Of about a dozen kinds of faults, so many choices are a version that joins.
VERSION_FAULT_CHOICES = 8

Fault = Callable[[], Awaitable[None]]


class FaultInjector:
    """Starts faults in sequence; they may overlap, but at most one member is down or paused.

    Attributes:
        injected: A line for each injected fault, in order.
    """

    def __init__(
        self,
        site: SoakSite | SeededSite,
        replicas: list[SoakReplica],
        ledger: Ledger,
        random: Random,
        *,
        links: SoakLinks,
        versions: VersionFaults | None = None,
    ) -> None:
        self._versions = versions
        self._links = links
        self._site = site
        self._replicas = replicas
        self._ledger = ledger
        self._random = random
        self._member_lock = asyncio.Lock()
        self._gateway_locks = {gateway.name: asyncio.Lock() for gateway in site.gateways}
        self._running: set[asyncio.Task[None]] = set()
        self._next_replica = len(replicas) + 1
        self.injected: list[str] = []
        self._losses: LossInjector | None = None
        if isinstance(site, SeededSite):
            self._losses = LossInjector(site, ledger, random, self._note)

    async def burst(self, seconds: float) -> None:
        """Start faults for a time in seconds, and wait until all of them have ended."""
        loop = asyncio.get_running_loop()
        until_at_s = loop.time() + seconds
        while loop.time() < until_at_s:
            task = asyncio.create_task(self._inject_one())
            self._running.add(task)
            task.add_done_callback(self._running.discard)
            await asyncio.sleep(self._random.random() * MAX_GAP_S)
        await asyncio.gather(*self._running)

    async def _inject_one(self) -> None:
        random = self._random
        member = random.choice(self._site.members)
        gateway = random.choice(self._site.gateways)
        faults: list[Fault] = [
            lambda: self._kill_member(member),
            lambda: self._pause_member(member),
            lambda: self._stop_member(member),
            lambda: self._kill_gateway(gateway),
            lambda: self._pause_gateway(gateway),
            lambda: self._stop_gateway(gateway),
            lambda: self._hang_up(member, gateway),
            self._replace_replica,
            self._restart_replica,
            *self._connection_faults(member),
            *self._loss_faults(),
            *self._version_faults(gateway),
        ]
        await random.choice(faults)()

    def _connection_faults(self, member: Member) -> list[Fault]:
        """Return the connection faults of a member behind a relay; none without a relay."""
        relay = member.relay
        if relay is None:
            return []
        return [lambda: self._silence(member.name, relay), lambda: self._reset(member.name, relay)]

    def _loss_faults(self) -> list[Fault]:
        losses = self._losses
        if losses is None:
            return []
        return [
            lambda: self._lose(losses.lose_disks),
            lambda: self._lose(losses.replace_machine),
            lambda: self._lose(losses.change_seeds),
            lambda: self._lose_power(losses),
        ]

    def _version_faults(self, gateway: Gateway) -> list[Fault]:
        versions = self._versions
        if versions is None:
            return []
        return [lambda: self._change_versions(versions, gateway)] * VERSION_FAULT_CHOICES

    async def _change_versions(self, versions: VersionFaults, gateway: Gateway) -> None:
        async with self._member_lock, self._gateway_locks[gateway.name]:
            gateway.interruptions += 1
            with gateway.disturbance():
                self._note(await versions.inject(gateway))
            gateway.interruptions += 1

    async def inject_final_loss(self) -> None:
        """After the last burst, inject the maximum simultaneous loss if the site can lose disks."""
        if self._losses is not None:
            await self._losses.lose_all()

    async def _lose(self, loss: Fault) -> None:
        async with self._member_lock:
            await loss()

    async def _lose_power(self, losses: LossInjector) -> None:
        async with self._member_lock, contextlib.AsyncExitStack() as locks:
            for name in sorted(self._gateway_locks):
                await locks.enter_async_context(self._gateway_locks[name])
            for gateway in self._site.gateways:
                locks.enter_context(gateway.disturbance())
            await losses.lose_power()

    def _note(self, what: str) -> None:
        self.injected.append(what)

    async def _kill_member(self, member: Member) -> None:
        async with self._member_lock:
            if member not in self._site.members:
                return  # Replaced while this fault waited for its turn.
            self._note(f"kill {member.name}")
            await self._kill(member.process)

    async def _pause_member(self, member: Member) -> None:
        async with self._member_lock:
            if member not in self._site.members:
                return  # Replaced while this fault waited for its turn.
            self._note(f"pause {member.name}")
            await self._pause(member.process)

    async def _stop_member(self, member: Member) -> None:
        async with self._member_lock:
            if member not in self._site.members:
                return  # Replaced while this fault waited for its turn.
            self._note(f"stop {member.name}")
            await self._stop(member.process)

    async def _silence(self, name: str, relay: SilencingRelay) -> None:
        to_target, to_caller = self._random.choice([(True, False), (False, True), (True, True)])
        self._note(f"silence {name} {to_target} {to_caller}")
        relay.silence(to_target, to_caller)

    async def _reset(self, name: str, relay: SilencingRelay) -> None:
        self._note(f"reset {name}")
        relay.reset()

    async def _kill_gateway(self, gateway: Gateway) -> None:
        async with self._gateway_locks[gateway.name]:
            self._note(f"kill {gateway.name}")
            await self._kill_locked_gateway(gateway)

    async def kill_gateways(self) -> None:
        """Kill all gateways at once and start each again after a short time."""
        async with contextlib.AsyncExitStack() as locks:
            for name in sorted(self._gateway_locks):
                await locks.enter_async_context(self._gateway_locks[name])
            self._note("kill all gateways")
            await asyncio.gather(*map(self._kill_locked_gateway, self._site.gateways))

    async def _kill_locked_gateway(self, gateway: Gateway) -> None:
        gateway.interruptions += 1
        with gateway.disturbance():
            await self._kill(gateway.process)
        gateway.interruptions += 1
        gateway.starts += 1

    async def _pause_gateway(self, gateway: Gateway) -> None:
        async with self._gateway_locks[gateway.name]:
            self._note(f"pause {gateway.name}")
            gateway.interruptions += 1
            with gateway.disturbance():
                await self._pause(gateway.process)
            gateway.interruptions += 1

    async def _stop_gateway(self, gateway: Gateway) -> None:
        async with self._gateway_locks[gateway.name]:
            self._note(f"stop {gateway.name}")
            with gateway.disturbance():
                await self._stop(gateway.process)
            gateway.starts += 1

    async def _hang_up(self, member: Member, gateway: Gateway) -> None:
        self._note(f"hup {member.name} {gateway.name}")
        for process in (member.process, gateway.process):
            if process is not None:
                process.hang_up()

    async def _replace_replica(self) -> None:
        draining = self._replicas.pop(0)
        self._note(f"replace {draining.name}")
        replacement = SoakReplica(
            self._next_replica, self._site, self._ledger, self._random, self._links
        )
        self._next_replica += 1
        await replacement.start()
        self._replicas.append(replacement)
        await asyncio.sleep(1.0)
        await draining.drain()

    async def _restart_replica(self) -> None:
        replica = self._random.choice(self._replicas)
        self._note(f"end {replica.name}")
        await replica.crash_and_restart()

    async def _kill(self, process: ManagedProcess | None) -> None:
        if process is None:
            return
        process.send(signal.SIGKILL)
        await asyncio.to_thread(process.wait)
        await asyncio.sleep(self._random.random() * MAX_DOWN_S)
        process.start()

    async def _pause(self, process: ManagedProcess | None) -> None:
        if process is None:
            return
        process.send(signal.SIGSTOP)
        await asyncio.sleep(self._random.random() * MAX_PAUSE_S)
        process.send(signal.SIGCONT)

    async def _stop(self, process: ManagedProcess | None) -> None:
        if process is None:
            return
        process.send(signal.SIGTERM)
        if await asyncio.to_thread(process.wait, MAX_STOP_S) is None:
            self._ledger.note_violation(
                f"{process.name}: still running {MAX_STOP_S} s after SIGTERM"
            )
            process.send(signal.SIGABRT)
            await asyncio.to_thread(process.wait)
        await asyncio.sleep(self._random.random() * MAX_DOWN_S)
        process.start()
