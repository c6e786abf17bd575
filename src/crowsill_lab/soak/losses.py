"""Losses of a soak: disks, machines, the power of all machines, and seeds that know nobody."""

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

LONGEST_DOWN_S = 1.5
REPLY_TIMEOUT_S = 1.0
# Lost disks count as lost until the group is whole again; it must be so within this time.
WHOLE_BOUND_S = 15.0
POLL_S = 0.2
# A leader notices within this time that a member is gone; until then it calls the group whole.
NOTICED_S = 2.0


class LossInjector:
    """Loses what a group must bear to lose; one loss at a time, so that they do not add up."""

    def __init__(
        self, site: SeededSite, ledger: Ledger, random: Random, note: Callable[[str], None]
    ) -> None:
        """Make an injector.

        Args:
            site: The site.
            ledger: Where broken promises go.
            random: Decides what is lost.
            note: Receives a line for each loss.
        """
        self._site = site
        self._ledger = ledger
        self._random = random
        self._note = note
        self._local = LocalIdentity("soak", "soak", "z", DEFAULT_CLUSTER_KEY)

    async def lose_disks(self) -> None:
        """Kill as many members as the group bears, and empty their disks."""
        lost = self._random.sample(self._site.with_disks(), self._site.tolerated_losses)
        self._note(f"lose disks of {','.join(member.name for member in lost)}")
        for member in lost:
            _kill(member.process)
        await asyncio.sleep(self._random.random() * LONGEST_DOWN_S)
        for member in lost:
            self._site.lose_disk(member)
            _start(member.process)
        await self._until_whole()

    async def lose_power(self) -> None:
        """Kill every process at the same moment; some disks and the seeds may be lost as well."""
        random = self._random
        disks = random.choice([0, self._site.tolerated_losses])
        await self._lose_power(disks, changes_seeds=random.random() < 0.5)

    async def lose_all(self) -> None:
        """Lose power, as many disks as the group bears, and all seeds that know anybody."""
        await self._lose_power(self._site.tolerated_losses, changes_seeds=True)

    async def _lose_power(self, disks: int, changes_seeds: bool) -> None:
        site, random = self._site, self._random
        lost = random.sample(site.with_disks(), disks)
        if changes_seeds:
            # Whoever has the least memory comes first.
            pointers = [member for member in site.members if not member.has_disk]
            site.seeds = [*lost, *pointers, *site.with_disks()][:SEEDS]
        names = ",".join(member.name for member in lost)
        seeds = ",".join(seed.name for seed in site.seeds)
        self._note(f"lose power, disks of [{names}], seeds {seeds}")
        site.write_settings()
        for gateway in site.gateways:
            gateway.cuts += 1
        for process in site.processes():
            _kill(process)
        for member in lost:
            site.lose_disk(member)
        await asyncio.sleep(random.random() * LONGEST_DOWN_S)
        for process in random.sample(site.processes(), len(site.processes())):
            _start(process)
        for gateway in site.gateways:
            gateway.cuts += 1
            gateway.lives += 1
        await self._until_whole()

    async def replace_machine(self) -> None:
        """Take a member away for good; a machine with an empty disk comes at another address."""
        gone = self._random.choice(self._site.with_disks())
        self._note(f"replace {gone.name}")
        if self._random.random() < 0.5 and gone.process is not None:
            gone.process.send(signal.SIGTERM)
            await asyncio.to_thread(gone.process.wait)
        _kill(gone.process)
        self._site.replace(gone)
        await self._until_whole()

    async def turn_over_seeds(self) -> None:
        """Name other seeds in every settings file; some processes are told by a signal."""
        site = self._site
        site.seeds = self._random.sample(site.members, SEEDS)
        self._note(f"seeds {','.join(seed.name for seed in site.seeds)}")
        site.write_settings()
        for process in site.processes():
            if self._random.random() < 0.5:
                process.hang_up()

    async def _until_whole(self) -> None:
        await asyncio.sleep(NOTICED_S)
        deadline_s = time.monotonic() + WHOLE_BOUND_S
        while not await self._is_whole():
            if time.monotonic() > deadline_s:
                self._ledger.broken(f"the group is not whole {WHOLE_BOUND_S} s after a loss")
                return
            await asyncio.sleep(POLL_S)

    async def _is_whole(self) -> bool:
        wanted = 2 * self._site.tolerated_losses + 1
        for member in self._site.with_disks():
            target = Address(member.host, member.listen)
            question = MembersRequest(MemberAction.LIST)
            _, reply = await query_leader(target, question, self._local, REPLY_TIMEOUT_S)
            if isinstance(reply, MembersReport):
                voters = [item for item in reply.members if item.voter]
                return reply.is_fully_replicated and len(voters) == wanted
        return False


def _kill(process: ManagedProcess | None) -> None:
    if process is not None:
        process.send(signal.SIGKILL)
        process.wait()


def _start(process: ManagedProcess | None) -> None:
    if process is not None:
        process.start()
