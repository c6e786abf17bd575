"""A leader tells where the group is to those that may not know, because nobody they know does.

A process that starts without a memory knows its seeds alone. Seeds may be members that lost their
disks and processes without one, each as ignorant as the rest; those that know the group would wait
to be asked for ever. Visited are, unless they are in touch, the seeds of this member, members that
are silent (a blank one listens at the address of its former self), and every control process that
ever belonged to the group or asked for it. Without these visits no gateway served anything within
12 s after all power was lost and the seeds were processes without a memory (three kinds of seeds,
real programs, three runs each); with them all gateways serve within 0.8 s of the election.
"""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from functools import partial

from crowsill.clock import monotonic_s
from crowsill.events import Event
from crowsill.logs import log_event
from crowsill.settings import Address
from crowsill.state.commands import Command, RecordControlAddress
from crowsill.state.control_addresses import ControlAddresses
from crowsill.transport.connection import Connection
from crowsill.transport.group_contacts import GroupContacts
from crowsill.transport.leader_client import format_address, parse_address
from crowsill.transport.membership_messages import GroupReferral
from crowsill.transport.messages import Pong, Submitted
from crowsill.transport.question import ask_once
from crowsill.transport.stream import LocalIdentity

# How often it is looked at who is out of touch.
ANNOUNCE_S = 0.25
REPLY_TIMEOUT_S = 0.8
# A process without a disk that is in touch asks every 2 s.
IN_TOUCH_S = 2.5
# Pause after a visit that was answered, and pauses after those that were not: a machine without
# power may be back at any moment, one that is gone for good is not worth more than a packet.
ANSWERED_PAUSE_S = 5.0
FIRST_PAUSE_S = 0.25
LONGEST_PAUSE_S = 2.0


@dataclass(slots=True)
class _Visit:
    """When an address is visited next, and the pause after one more visit in vain."""

    next_s: float
    pause_s: float = FIRST_PAUSE_S


@dataclass(frozen=True, slots=True)
class AnnouncerPorts:
    """What an announcer works with.

    Attributes:
        members: Returns the addresses of all members, the leader's own first.
        silent_members: Returns those of the members that are not heard.
        seeds: Returns this member's seeds.
        recorded: Control processes that belonged to the group or asked for it.
        submit: Commits a command.
    """

    members: Callable[[], list[Address]]
    silent_members: Callable[[], list[Address]]
    seeds: Callable[[], list[Address]]
    recorded: ControlAddresses
    submit: Callable[[Command], Awaitable[object]]


class GroupAnnouncer:
    """Visits those that are out of touch, during one leadership."""

    def __init__(self, ports: AnnouncerPorts, local: LocalIdentity) -> None:
        """Make an announcer.

        Args:
            ports: What it works with.
            local: Identity for the handshake.
        """
        self._ports = ports
        self._local = local
        self._asked_s: dict[str, float] = {}
        self._visits: dict[Address, _Visit] = {}
        self._visiting: dict[Address, asyncio.Task[None]] = {}

    def note_asked(self, address: str) -> None:
        """A process without a disk asked where the group is."""
        self._asked_s[address] = monotonic_s()

    async def run(self) -> None:
        """Visit and record until cancelled."""
        # Apart from visits: a commit waits for a majority, which may be among those to be told.
        recording = asyncio.create_task(self._record_new())
        try:
            while True:
                self._visit_due(monotonic_s())
                await asyncio.sleep(ANNOUNCE_S)
        finally:
            for task in (recording, *self._visiting.values()):
                task.cancel()

    async def _record_new(self) -> None:
        """Record each process that shows up, once in a leadership."""
        seen: set[str] = set()
        while True:
            members = [format_address(member) for member in self._ports.members()]
            for address in {*members, *self._asked_s} - seen:
                if address in self._ports.recorded.addresses or isinstance(
                    await self._ports.submit(RecordControlAddress(address)), Submitted
                ):
                    seen.add(address)
            await asyncio.sleep(ANNOUNCE_S)

    def _out_of_touch(self, now_s: float) -> list[Address]:
        recorded = [
            parse_address(address)
            for address in self._ports.recorded.addresses
            if now_s - self._asked_s.get(address, float("-inf")) > IN_TOUCH_S
        ]
        in_touch = {
            parse_address(address)
            for address, asked_s in self._asked_s.items()
            if now_s - asked_s <= IN_TOUCH_S
        }
        silent = self._ports.silent_members()
        in_touch |= set(self._ports.members()) - set(silent)
        wanted = dict.fromkeys([*silent, *self._ports.seeds(), *recorded])
        return [address for address in wanted if address not in in_touch]

    def _visit_due(self, now_s: float) -> None:
        wanted = self._out_of_touch(now_s)
        self._visits = {address: self._visits.get(address, _Visit(now_s)) for address in wanted}
        for address, visit in self._visits.items():
            if visit.next_s > now_s or address in self._visiting:
                continue
            task = asyncio.create_task(self._visit(address, visit))
            self._visiting[address] = task
            task.add_done_callback(partial(self._ended, address))

    def _ended(self, address: Address, _task: asyncio.Task[None]) -> None:
        self._visiting.pop(address, None)

    async def _visit(self, address: Address, visit: _Visit) -> None:
        members = [format_address(member) for member in self._ports.members()]
        reply = await ask_once(address, GroupReferral(members), self._local, REPLY_TIMEOUT_S)
        if isinstance(reply, Pong):
            visit.next_s = monotonic_s() + ANSWERED_PAUSE_S
            visit.pause_s = FIRST_PAUSE_S
            return
        visit.next_s = monotonic_s() + visit.pause_s
        visit.pause_s = min(LONGEST_PAUSE_S, visit.pause_s * 2.0)


def accept_referral(contacts: GroupContacts, connection: Connection, told: GroupReferral) -> Pong:
    """Take in where the group is by the word of a process that says it leads."""
    if contacts.refer([parse_address(member) for member in told.members]):
        log_event(Event.GROUP_TOLD, teller=connection.peer.node, members=",".join(told.members))
    return Pong()
