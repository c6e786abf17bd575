"""Keeps an entry up to date with the control group: configuration, fleet view and freshness.

The entry holds one stream to any control member. A heartbeat every `ENTRY_HEARTBEAT_INTERVAL_S`
carries its revision and its demand. The reply, covered by the leader's lease, confirms the revision
that is in effect. The entry is current for `ENTRY_FRESHNESS_S` after it sent a confirmed heartbeat.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from crowsill.clock import monotonic_s
from crowsill.consensus.invariants import require
from crowsill.constants import ENTRY_FRESHNESS_S, ENTRY_HEARTBEAT_INTERVAL_S
from crowsill.control.subscribers import DemandCounter
from crowsill.events import Event
from crowsill.logs import log_event
from crowsill.metrics import REVISION
from crowsill.model.configuration import Configuration
from crowsill.model.fleet import FleetDelta, FleetView
from crowsill.settings import Address
from crowsill.transport.backoff import Backoff
from crowsill.transport.connection import Connection, ConnectionLostError, open_connection
from crowsill.transport.group_contacts import GroupContacts
from crowsill.transport.leader_client import parse_address
from crowsill.transport.messages import (
    Body,
    ConfigurationUpdate,
    EntryStatus,
    FleetUpdate,
    Freshness,
    Heartbeat,
    NotLeader,
)
from crowsill.transport.stream import LocalIdentity, ProtocolError

HEARTBEAT_TIMEOUT_S = 2.0
INITIAL_RETRY_S = 0.05
MAX_RETRY_S = 1.0


@dataclass(frozen=True, slots=True)
class EntryHooks:
    """Callbacks of the entry for changes.

    Attributes:
        on_configuration: Receives a newer configuration after it was adopted.
        on_fleet: Receives each change of the fleet view.
        on_entries: Receives the number of live entries with each confirmed heartbeat.
        on_members: Receives the addresses of the control members that the group reported.
    """

    on_configuration: Callable[[Configuration], None]
    on_fleet: Callable[[FleetDelta], None]
    on_entries: Callable[[int], None]
    on_members: Callable[[list[Address]], None]


class EntryFollower:
    """Follows one control member at a time.

    Attributes:
        configuration: Newest configuration received; its revision never decreases.
        fleet: Fleet view.
        demand: Requests by resource since the last heartbeat.
    """

    def __init__(
        self,
        local: LocalIdentity,
        members: list[Address],
        hooks: EntryHooks,
        random: Random,
    ) -> None:
        self.configuration = Configuration()
        self.fleet = FleetView()
        self.demand = DemandCounter()
        self._local = local
        self._contacts = GroupContacts(members, random)
        self._hooks = hooks
        self._random = random
        self._required_revision = 0
        self._confirmed_at_s = float("-inf")
        self._was_current = False

    def is_current(self, now_s: float) -> bool:
        """Whether this entry was recently confirmed to have the revision that is in effect."""
        is_fresh = now_s - self._confirmed_at_s <= ENTRY_FRESHNESS_S
        return is_fresh and self.configuration.revision >= self._required_revision

    async def run(self) -> None:
        """Follow members one after the other, until cancelled."""
        backoff = Backoff(INITIAL_RETRY_S, MAX_RETRY_S, self._random)
        while True:
            for address in self._contacts.targets():
                if await self._follow(address):
                    backoff.reset()
                    break
            else:
                self._contacts.note_not_found(monotonic_s())
            await asyncio.sleep(backoff.next_s())

    async def _follow(self, address: Address) -> bool:
        """Follow one member until it fails; return whether it ever confirmed anything."""
        try:
            connection = await open_connection(
                address.host, address.port, self._local, on_push=self._on_push
            )
        except (OSError, TimeoutError, ProtocolError):
            return False
        reader = asyncio.create_task(connection.run())
        was_confirmed = False
        try:
            while not connection.is_closed:
                if not await self._heartbeat(connection):
                    return was_confirmed
                was_confirmed = True
                await asyncio.sleep(ENTRY_HEARTBEAT_INTERVAL_S)
            return was_confirmed
        finally:
            connection.close()
            await asyncio.wait([reader])

    async def _heartbeat(self, connection: Connection) -> bool:
        sent_at_s = monotonic_s()
        status = EntryStatus(
            self._local.identity, self._local.node, self._local.zone, self.configuration.revision
        )
        demand = self.demand.collect()
        heartbeat = Heartbeat(self.fleet.epoch, self.fleet.sequence, [status], demand)
        try:
            reply = await connection.request(heartbeat, HEARTBEAT_TIMEOUT_S)
        except ConnectionLostError:
            self.demand.add(demand)
            return False
        if isinstance(reply, NotLeader):
            self._contacts.add_referrals([parse_address(member) for member in reply.members])
        if not isinstance(reply, Freshness):
            self.demand.add(demand)
            return False
        self._contacts.note_found()
        self._required_revision = max(self._required_revision, reply.revision)
        self._confirmed_at_s = max(self._confirmed_at_s, sent_at_s)
        self._hooks.on_entries(max(1, reply.entries))
        if reply.members:
            self._contacts.set_members([parse_address(member) for member in reply.members])
            self._hooks.on_members(self._contacts.members)
        return True

    def _on_push(self, _connection: Connection, body: Body) -> None:
        if isinstance(body, ConfigurationUpdate):
            self._adopt_configuration(body)
        elif isinstance(body, FleetUpdate) and self.fleet.adopt(body.delta):
            self._hooks.on_fleet(body.delta)

    def _adopt_configuration(self, update: ConfigurationUpdate) -> None:
        previous_revision = self.configuration.revision
        if update.full is not None and update.full.revision > previous_revision:
            self.configuration = update.full
        for delta in update.deltas:
            # If deltas are missing, the member resends them after the next heartbeat.
            if delta.revision == self.configuration.revision + 1:
                self.configuration = self.configuration.with_content(delta.content, delta.revision)
        revision = self.configuration.revision
        require(revision >= previous_revision, "the revision of an entry never decreases")
        if revision > previous_revision:
            REVISION.set(revision)
            log_event(Event.CONFIGURATION_ADOPTED, revision=revision)
            self._hooks.on_configuration(self.configuration)
