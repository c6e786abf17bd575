"""Injects losses: disks, machines, power of all machines, and seeds that know the group."""

import asyncio
import signal
import time
from collections.abc import Callable
from random import Random

from crowsill.settings import Address
from crowsill.transport.membership_messages import MemberAction, MembersReport, MembersRequest
from crowsill.transport.query import query_leader
from crowsill.transport.stream import DEFAULT_CLUSTER_KEY, LocalIdentity
from crowsill_lab.demo.processes import ManagedProcess
from crowsill_lab.soak.ledger import Ledger
from crowsill_lab.soak.seeded_site import SEEDS, SeededSite

MAX_DOWN_S = 1.5
RESPONSE_TIMEOUT_S = 1.0
# Lost disks count as lost until the group is complete again, which must happen within this time.
MAX_REPAIR_S = 15.0
POLL_S = 0.2
# A leader detects a lost member within this time; until then it reports the group as complete.
FAILURE_DETECTION_S = 2.0


class LossInjector:
    """Injects losses that a group must tolerate, one at a time, so that they do not add up."""

    def __init__(
        self, site: SeededSite, ledger: Ledger, random: Random, note: Callable[[str], None]
    ) -> None:
        """Initialize the injector.

        Args:
            site: The site.
            ledger: Receives violated guarantees.
            random: Decides what to lose.
            note: Receives a line for each loss.
        """
        self._site = site
        self._ledger = ledger
        self._random = random
        self._note = note
        self._local = LocalIdentity("soak", "soak", "z", DEFAULT_CLUSTER_KEY)

    async def lose_disks(self) -> None:
        """Kill as many members as the group tolerates, and delete their data."""
        lost = self._random.sample(self._site.with_disks(), self._site.tolerated_losses)
        self._note(f"lose disks of {','.join(member.name for member in lost)}")
        for member in lost:
            _kill(member.process)
        await asyncio.sleep(self._random.random() * MAX_DOWN_S)
        for member in lost:
            self._site.lose_disk(member)
            _start(member.process)
        await self._wait_until_complete()

    async def lose_power(self) -> None:
        """Kill all processes at the same time; some disks and the seeds may be lost as well."""
        random = self._random
        disks = random.choice([0, self._site.tolerated_losses])
        await self._lose_power(disks, changes_seeds=random.random() < 0.5)

    async def lose_all(self) -> None:
        """Lose power, as many disks as the group tolerates, and all seeds that know the group."""
        await self._lose_power(self._site.tolerated_losses, changes_seeds=True)

    async def _lose_power(self, disks: int, changes_seeds: bool) -> None:
        site, random = self._site, self._random
        lost = random.sample(site.with_disks(), disks)
        if changes_seeds:
            # Prefer processes without data: those with lost disks, then those without a disk.
            pointers = [member for member in site.members if not member.has_disk]
            site.seeds = [*lost, *pointers, *site.with_disks()][:SEEDS]
        names = ",".join(member.name for member in lost)
        seeds = ",".join(seed.name for seed in site.seeds)
        self._note(f"lose power, disks of [{names}], seeds {seeds}")
        site.write_settings()
        for gateway in site.gateways:
            gateway.interruptions += 1
        for process in site.processes():
            _kill(process)
        for member in lost:
            site.lose_disk(member)
        await asyncio.sleep(random.random() * MAX_DOWN_S)
        for process in random.sample(site.processes(), len(site.processes())):
            _start(process)
        for gateway in site.gateways:
            gateway.interruptions += 1
            gateway.starts += 1
        await self._wait_until_complete()

    async def replace_machine(self) -> None:
        """Remove a member permanently and add a machine with an empty disk at another address."""
        removed = self._random.choice(self._site.with_disks())
        self._note(f"replace {removed.name}")
        if self._random.random() < 0.5 and removed.process is not None:
            removed.process.send(signal.SIGTERM)
            await asyncio.to_thread(removed.process.wait)
        _kill(removed.process)
        self._site.replace(removed)
        await self._wait_until_complete()

    async def change_seeds(self) -> None:
        """Write other seeds to every settings file; SIGHUP makes some processes reload it."""
        site = self._site
        site.seeds = self._random.sample(site.members, SEEDS)
        self._note(f"seeds {','.join(seed.name for seed in site.seeds)}")
        site.write_settings()
        for process in site.processes():
            if self._random.random() < 0.5:
                process.hang_up()

    async def _wait_until_complete(self) -> None:
        await asyncio.sleep(FAILURE_DETECTION_S)
        deadline_at_s = time.monotonic() + MAX_REPAIR_S
        while not await self._is_complete():
            if time.monotonic() > deadline_at_s:
                self._ledger.note_violation(
                    f"the group is not complete {MAX_REPAIR_S} s after a loss"
                )
                return
            await asyncio.sleep(POLL_S)

    async def _is_complete(self) -> bool:
        expected_voters = 2 * self._site.tolerated_losses + 1
        for member in self._site.with_disks():
            target = Address(member.host, member.listen)
            question = MembersRequest(MemberAction.LIST)
            _, reply = await query_leader(target, question, self._local, RESPONSE_TIMEOUT_S)
            if isinstance(reply, MembersReport):
                voters = [item for item in reply.members if item.voter]
                return reply.is_fully_replicated and len(voters) == expected_voters
        return False


def _kill(process: ManagedProcess | None) -> None:
    if process is not None:
        process.send(signal.SIGKILL)
        process.wait()


def _start(process: ManagedProcess | None) -> None:
    if process is not None:
        process.start()
