"""How an entry follows the control members: newest configuration, fleet view, and currency.

The entry holds one stream to any control member. A heartbeat each second carries what it serves
and the demand it saw; the reply, vouched for by the leader's lease, says which revision is in
force. The entry is current for `ENTRY_CURRENCY_S` after the sending of a heartbeat that proved it.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from crowsill.clock import monotonic_s
from crowsill.consensus.invariants import require
from crowsill.constants import ENTRY_CURRENCY_S, ENTRY_HEARTBEAT_S
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
FIRST_RETRY_S = 0.05
LARGEST_RETRY_S = 1.0


@dataclass(frozen=True, slots=True)
class FollowerHooks:
    """What the entry does when something changes.

    Attributes:
        on_configuration: A newer configuration was adopted.
        on_fleet: The fleet view changed; receives the step.
        on_entries: The number of live entries became known.
        on_members: The addresses of the control members became known.
    """

    on_configuration: Callable[[Configuration], None]
    on_fleet: Callable[[FleetDelta], None]
    on_entries: Callable[[int], None]
    on_members: Callable[[list[Address]], None]


class ControlFollower:
    """Keeps one entry up to date.

    Attributes:
        configuration: Newest configuration seen; its revision never falls.
        fleet: Fleet view.
        demand: Requests by resource since the last heartbeat.
    """

    def __init__(
        self,
        local: LocalIdentity,
        members: list[Address],
        hooks: FollowerHooks,
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
        self._proven_s = float("-inf")
        self._was_current = False

    def is_current(self, now_s: float) -> bool:
        """Whether this entry can prove that it serves the revision in force."""
        fresh = now_s - self._proven_s <= ENTRY_CURRENCY_S
        return fresh and self.configuration.revision >= self._required_revision

    async def run(self) -> None:
        """Follow for as long as the entry runs, one member after the other."""
        backoff = Backoff(FIRST_RETRY_S, LARGEST_RETRY_S, self._random)
        while True:
            for address in self._contacts.targets():
                if await self._follow(address):
                    backoff.reset()
                    break
            else:
                self._contacts.missed(monotonic_s())
            await asyncio.sleep(backoff.next_s())

    async def _follow(self, address: Address) -> bool:
        """Follow one member until it fails; return whether it ever proved anything."""
        try:
            connection = await open_connection(
                address.host, address.port, self._local, on_push=self._on_push
            )
        except (OSError, TimeoutError, ProtocolError):
            return False
        reader = asyncio.create_task(connection.run())
        proved = False
        try:
            while not connection.is_closed:
                if not await self._heartbeat(connection):
                    return proved
                proved = True
                await asyncio.sleep(ENTRY_HEARTBEAT_S)
            return proved
        finally:
            connection.close()
            await asyncio.wait([reader])

    async def _heartbeat(self, connection: Connection) -> bool:
        sent_s = monotonic_s()
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
            self._contacts.refer([parse_address(member) for member in reply.members])
        if not isinstance(reply, Freshness):
            self.demand.add(demand)
            return False
        self._contacts.found()
        self._required_revision = max(self._required_revision, reply.revision)
        self._proven_s = max(self._proven_s, sent_s)
        self._hooks.on_entries(max(1, reply.entries))
        if reply.members:
            self._contacts.learn([parse_address(member) for member in reply.members])
            self._hooks.on_members(self._contacts.members)
        return True

    def _on_push(self, _connection: Connection, body: Body) -> None:
        if isinstance(body, ConfigurationUpdate):
            self._adopt_configuration(body)
        elif isinstance(body, FleetUpdate) and self.fleet.adopt(body.delta):
            self._hooks.on_fleet(body.delta)

    def _adopt_configuration(self, update: ConfigurationUpdate) -> None:
        before = self.configuration.revision
        if update.full is not None and update.full.revision > before:
            self.configuration = update.full
        for delta in update.deltas:
            # A gap is healed by the reply to the next heartbeat.
            if delta.revision == self.configuration.revision + 1:
                self.configuration = self.configuration.with_content(delta.content, delta.revision)
        revision = self.configuration.revision
        require(revision >= before, "an entry never goes back to an older revision")
        if revision > before:
            REVISION.set(revision)
            log_event(Event.CONFIGURATION_ADOPTED, revision=revision)
            self._hooks.on_configuration(self.configuration)
