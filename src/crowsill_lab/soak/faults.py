"""Faults of a soak, in series that overlap: signals, restarts, silent and broken connections."""

import asyncio
import contextlib
import signal
from collections.abc import Awaitable, Callable
from random import Random

from crowsill_lab.demo.processes import ManagedProcess
from crowsill_lab.relay import SilencingRelay
from crowsill_lab.soak.ledger import Ledger
from crowsill_lab.soak.losses import LossInjector
from crowsill_lab.soak.replica import SoakReplica
from crowsill_lab.soak.seeded_site import SeededSite
from crowsill_lab.soak.site import GRACE_S, Gateway, Member, SoakSite

LONGEST_GAP_S = 0.8
LONGEST_DOWN_S = 1.5
LONGEST_PAUSE_S = 2.0
STOP_BOUND_S = GRACE_S + 2.0

Fault = Callable[[], Awaitable[None]]


class FaultInjector:
    """Begins one fault after the other; at most one member at a time is down or paused.

    Attributes:
        done: What was done, in order.
    """

    def __init__(
        self,
        site: SoakSite | SeededSite,
        replicas: list[SoakReplica],
        ledger: Ledger,
        random: Random,
    ) -> None:
        self._site = site
        self._replicas = replicas
        self._ledger = ledger
        self._random = random
        self._member_lock = asyncio.Lock()
        self._gateway_locks = {gateway.name: asyncio.Lock() for gateway in site.gateways}
        self._running: set[asyncio.Task[None]] = set()
        self._next_replica = len(replicas) + 1
        self.done: list[str] = []
        self._losses: LossInjector | None = None
        if isinstance(site, SeededSite):
            self._losses = LossInjector(site, ledger, random, self._note)

    async def burst(self, seconds: float) -> None:
        """Begin faults for a time, and wait until all have ended."""
        loop = asyncio.get_running_loop()
        until_s = loop.time() + seconds
        while loop.time() < until_s:
            task = asyncio.create_task(self._one())
            self._running.add(task)
            task.add_done_callback(self._running.discard)
            await asyncio.sleep(self._random.random() * LONGEST_GAP_S)
        await asyncio.gather(*self._running)

    async def _one(self) -> None:
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
            lambda: self._hup(member, gateway),
            self._replace_replica,
            self._restart_replica,
            *self._connection_faults(member),
            *self._loss_faults(),
        ]
        await random.choice(faults)()

    def _connection_faults(self, member: Member) -> list[Fault]:
        """Return what can be done to the connections of a member behind a relay."""
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
            lambda: self._lose(losses.turn_over_seeds),
            lambda: self._lose_power(losses),
        ]

    async def close(self) -> None:
        """After the last burst: lose all that may be lost at once, where disks may be lost."""
        if self._losses is not None:
            await self._losses.lose_all()

    async def _lose(self, loss: Fault) -> None:
        async with self._member_lock:
            await loss()

    async def _lose_power(self, losses: LossInjector) -> None:
        async with self._member_lock, contextlib.AsyncExitStack() as held:
            for name in sorted(self._gateway_locks):
                await held.enter_async_context(self._gateway_locks[name])
            await losses.lose_power()

    def _note(self, what: str) -> None:
        self.done.append(what)

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
            gateway.cuts += 1
            await self._kill(gateway.process)
            gateway.cuts += 1
            gateway.lives += 1

    async def _pause_gateway(self, gateway: Gateway) -> None:
        async with self._gateway_locks[gateway.name]:
            self._note(f"pause {gateway.name}")
            gateway.cuts += 1
            await self._pause(gateway.process)
            gateway.cuts += 1

    async def _stop_gateway(self, gateway: Gateway) -> None:
        async with self._gateway_locks[gateway.name]:
            self._note(f"stop {gateway.name}")
            await self._stop(gateway.process)
            gateway.lives += 1

    async def _hup(self, member: Member, gateway: Gateway) -> None:
        self._note(f"hup {member.name} {gateway.name}")
        for process in (member.process, gateway.process):
            if process is not None:
                process.hang_up()

    async def _replace_replica(self) -> None:
        leaving = self._replicas.pop(0)
        self._note(f"replace {leaving.name}")
        other = SoakReplica(self._next_replica, self._site, self._ledger, self._random)
        self._next_replica += 1
        await other.start()
        self._replicas.append(other)
        await asyncio.sleep(1.0)
        await leaving.leave()

    async def _restart_replica(self) -> None:
        replica = self._random.choice(self._replicas)
        self._note(f"end {replica.name}")
        await replica.end_and_start_again()

    async def _kill(self, process: ManagedProcess | None) -> None:
        if process is None:
            return
        process.send(signal.SIGKILL)
        await asyncio.to_thread(process.wait)
        await asyncio.sleep(self._random.random() * LONGEST_DOWN_S)
        process.start()

    async def _pause(self, process: ManagedProcess | None) -> None:
        if process is None:
            return
        process.send(signal.SIGSTOP)
        await asyncio.sleep(self._random.random() * LONGEST_PAUSE_S)
        process.send(signal.SIGCONT)

    async def _stop(self, process: ManagedProcess | None) -> None:
        if process is None:
            return
        process.send(signal.SIGTERM)
        if await asyncio.to_thread(process.wait, STOP_BOUND_S) is None:
            self._ledger.broken(f"{process.name}: still there {STOP_BOUND_S} s after SIGTERM")
            process.send(signal.SIGKILL)
            await asyncio.to_thread(process.wait)
        await asyncio.sleep(self._random.random() * LONGEST_DOWN_S)
        process.start()
