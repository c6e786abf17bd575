"""Announces the group's addresses to processes that may not be able to find the group.

A process that starts without stored state knows only its seeds. The seeds may be members that lost
their disks, or processes without a disk, none of which knows the group, so no request would ever
reach a member that does. The leader therefore sends the group's addresses to its seeds, to silent
members (an empty member listens at its former address), and to every control process that ever
belonged to the group or queried for it, unless they are in contact. Without these announcements, no
gateway serves requests within 12 s after a full power loss if all seeds have no stored state; with
them, all gateways serve within 0.8 s of the election.
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
from crowsill.transport.query import query_once
from crowsill.transport.stream import LocalIdentity

# Interval of the search for processes that are out of contact.
ANNOUNCE_INTERVAL_S = 0.25
REPLY_TIMEOUT_S = 0.8
# A process without a disk queries for the group every 2 s while it is in contact.
CONTACT_LIFETIME_S = 2.5
# Pause after an acknowledged announcement, and bounds of the pause after unacknowledged ones: a
# machine without power may return at any moment, and one that is gone costs one packet each time.
ACKNOWLEDGED_PAUSE_S = 5.0
INITIAL_PAUSE_S = 0.25
MAX_PAUSE_S = 2.0


@dataclass(slots=True)
class _Announcement:
    """Next announcement to an address, and the pause after another one without a response.

    Attributes:
        next_at_s: Monotonic time in seconds of the next announcement.
        pause_s: Pause after the next failed announcement.
    """

    next_at_s: float
    pause_s: float = INITIAL_PAUSE_S


@dataclass(frozen=True, slots=True)
class AnnouncerPorts:
    """Dependencies of an announcer.

    Attributes:
        members: Returns the addresses of all members, the leader's own first.
        silent_members: Returns the addresses of silent members.
        seeds: Returns this member's seeds.
        recorded: Control processes that belonged to the group or queried for it.
        submit: Commits a command.
    """

    members: Callable[[], list[Address]]
    silent_members: Callable[[], list[Address]]
    seeds: Callable[[], list[Address]]
    recorded: ControlAddresses
    submit: Callable[[Command], Awaitable[object]]


class GroupAnnouncer:
    """Announces the group to processes that are out of contact, during one leadership term."""

    def __init__(self, ports: AnnouncerPorts, local: LocalIdentity) -> None:
        """Make an announcer.

        Args:
            ports: Dependencies.
            local: Identity for the handshake.
        """
        self._ports = ports
        self._local = local
        self._requested_at_s: dict[str, float] = {}
        self._announcements: dict[Address, _Announcement] = {}
        self._announce_tasks: dict[Address, asyncio.Task[None]] = {}

    def note_request(self, address: str) -> None:
        """Record that a process without a disk queried for the group."""
        self._requested_at_s[address] = monotonic_s()

    async def run(self) -> None:
        """Announce the group and record processes until cancelled."""
        # A separate task: a commit needs a majority, whose members may need the announcement first.
        recording = asyncio.create_task(self._record_new())
        try:
            while True:
                self._announce_due(monotonic_s())
                await asyncio.sleep(ANNOUNCE_INTERVAL_S)
        finally:
            for task in (recording, *self._announce_tasks.values()):
                task.cancel()

    async def _record_new(self) -> None:
        """Commit the address of each new process, once in a term."""
        seen: set[str] = set()
        while True:
            members = [format_address(member) for member in self._ports.members()]
            for address in {*members, *self._requested_at_s} - seen:
                if address in self._ports.recorded.addresses or isinstance(
                    await self._ports.submit(RecordControlAddress(address)), Submitted
                ):
                    seen.add(address)
            await asyncio.sleep(ANNOUNCE_INTERVAL_S)

    def _out_of_contact(self, now_s: float) -> list[Address]:
        recorded = [
            parse_address(address)
            for address in self._ports.recorded.addresses
            if now_s - self._requested_at_s.get(address, float("-inf")) > CONTACT_LIFETIME_S
        ]
        in_contact = {
            parse_address(address)
            for address, requested_at_s in self._requested_at_s.items()
            if now_s - requested_at_s <= CONTACT_LIFETIME_S
        }
        silent = self._ports.silent_members()
        in_contact |= set(self._ports.members()) - set(silent)
        targets = dict.fromkeys([*silent, *self._ports.seeds(), *recorded])
        return [address for address in targets if address not in in_contact]

    def _announce_due(self, now_s: float) -> None:
        targets = self._out_of_contact(now_s)
        self._announcements = {
            address: self._announcements.get(address, _Announcement(now_s)) for address in targets
        }
        for address, announcement in self._announcements.items():
            if announcement.next_at_s > now_s or address in self._announce_tasks:
                continue
            task = asyncio.create_task(self._announce(address, announcement))
            self._announce_tasks[address] = task
            task.add_done_callback(partial(self._forget_task, address))

    def _forget_task(self, address: Address, _task: asyncio.Task[None]) -> None:
        self._announce_tasks.pop(address, None)

    async def _announce(self, address: Address, announcement: _Announcement) -> None:
        members = [format_address(member) for member in self._ports.members()]
        reply = await query_once(address, GroupReferral(members), self._local, REPLY_TIMEOUT_S)
        if isinstance(reply, Pong):
            announcement.next_at_s = monotonic_s() + ACKNOWLEDGED_PAUSE_S
            announcement.pause_s = INITIAL_PAUSE_S
            return
        announcement.next_at_s = monotonic_s() + announcement.pause_s
        announcement.pause_s = min(MAX_PAUSE_S, announcement.pause_s * 2.0)


def accept_referral(
    contacts: GroupContacts, connection: Connection, referral: GroupReferral
) -> Pong:
    """Adopt the group's addresses from a process that claims to be the leader."""
    if contacts.add_referrals([parse_address(member) for member in referral.members]):
        log_event(Event.GROUP_TOLD, teller=connection.peer.node, members=",".join(referral.members))
    return Pong()
