"""Requests membership for a member that belongs to no group or is cut off from its group."""

import asyncio
from random import Random

from crowsill.clock import monotonic_s
from crowsill.consensus.node import RaftNode
from crowsill.events import Event
from crowsill.logs import log_event
from crowsill.settings import Address
from crowsill.transport.group_contacts import GroupContacts
from crowsill.transport.leader_client import parse_address
from crowsill.transport.membership_messages import JoinReply, JoinRequest
from crowsill.transport.messages import NotLeader
from crowsill.transport.query import query_leader
from crowsill.transport.stream import LocalIdentity

CHECK_INTERVAL_S = 0.1
LEADER_CONTACT_LIFETIME_S = 1.0
REPLY_TIMEOUT_S = 0.8


class GroupJoiner:
    """Keeps one member connected to the group."""

    def __init__(
        self,
        node: RaftNode,
        local: LocalIdentity,
        own: Address,
        contacts: GroupContacts,
        random: Random,
    ) -> None:
        """Make a joiner.

        Args:
            node: The member.
            local: Its identity.
            own: Where other members reach it.
            contacts: Addresses to query besides the members in its log.
            random: Randomizes the pauses between requests.
        """
        self._node = node
        self._local = local
        self._own = own
        self._contacts = contacts
        self._random = random

    def _is_attached(self) -> bool:
        node = self._node
        if node.leader is not None:
            return True
        silent_s = monotonic_s() - node.last_leader_contact_at_s
        return node.leader_id is not None and silent_s < LEADER_CONTACT_LIFETIME_S

    def _targets(self) -> list[Address]:
        # The members in its own log may be outdated, so addresses learned elsewhere stay in use.
        logged = [Address(item.host, item.port) for item in self._node.membership.members]
        targets = dict.fromkeys([*self._contacts.targets(), *logged])
        return [item for item in targets if item != self._own]

    async def run(self) -> None:
        """Request membership whenever no leader is in contact, until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S * (0.5 + self._random.random()))
            if self._is_attached():
                self._contacts.note_found()
                continue
            for target in self._targets():
                if await self._request_join(target):
                    break
            else:
                self._contacts.note_not_found(monotonic_s())

    async def _request_join(self, target: Address) -> bool:
        request = JoinRequest(self._local.identity, self._own.host, self._own.port)
        _, reply = await query_leader(target, request, self._local, REPLY_TIMEOUT_S)
        if isinstance(reply, NotLeader):
            self._contacts.add_referrals([parse_address(member) for member in reply.members])
        if not isinstance(reply, JoinReply) or not reply.accepted:
            return False
        log_event(Event.JOIN_ASKED, accepted=True, identity=self._local.identity)
        # The leader's first message follows at once; another request meanwhile has no effect.
        await asyncio.sleep(CHECK_INTERVAL_S)
        return True
