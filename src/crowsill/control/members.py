"""Membership changes of the group: the leader's side of `crowsill members`."""

import asyncio

from crowsill.clock import monotonic_s
from crowsill.consensus.membership import Member, Membership
from crowsill.consensus.replacement import (
    GroupHealth,
    SelfRepair,
    describe_risk,
    group_health,
    is_fully_replicated,
    next_membership,
)
from crowsill.control.bootstrap import check_if_empty
from crowsill.control.driver import ConsensusDriver
from crowsill.settings import Address, PeerSettings
from crowsill.transport.membership_messages import (
    JoinReply,
    JoinRequest,
    MemberAction,
    MemberReport,
    MembersReport,
    MembersRequest,
)
from crowsill.transport.stream import LocalIdentity

MAX_MEMBER_SILENCE_S = 1.0
RECONCILE_INTERVAL_S = 0.1


class MemberChanges:
    """Reports and changes the group's membership while this member leads."""

    def __init__(
        self, driver: ConsensusDriver, local: LocalIdentity, target_voters: int | None = None
    ) -> None:
        """Make the handler of membership changes.

        Args:
            driver: The driver of this member.
            local: Identity for requests to other members.
            target_voters: Number of voters of a group that maintains its size by itself; None for a
                group whose members are changed by operators.
        """
        self._driver = driver
        self._local = local
        self._repair = None if target_voters is None else SelfRepair(target_voters)

    def _health(self) -> GroupHealth:
        return group_health(self._driver.node, monotonic_s())

    async def handle(self, request: MembersRequest) -> MembersReport:
        """Start the requested change, if any, and report the group."""
        rejection = ""
        match request.action:
            case MemberAction.ADD:
                rejection = await self._add(request, "")
            case MemberAction.REPLACE:
                rejection = await self._replace(request)
            case MemberAction.REMOVE:
                rejection = self._remove(request.name)
            case MemberAction.LIST:
                pass
        return self.report(rejection)

    def report(self, rejection: str = "") -> MembersReport:
        """Describe the group."""
        node = self._driver.node
        health = self._health()
        members = [self._describe(member, health) for member in node.membership.members]
        arguments = (node.membership, node.member_id, health, MAX_MEMBER_SILENCE_S)
        return MembersReport(
            rejection, is_fully_replicated(*arguments), describe_risk(*arguments), members
        )

    def _describe(self, member: Member, health: GroupHealth) -> MemberReport:
        leads = member.member_id == self._driver.node.member_id
        silent_s = 0.0 if leads else health.silent_s.get(member.member_id, -1.0)
        return MemberReport(
            member_id=member.member_id,
            name=member.name,
            address=f"{member.host}:{member.port}",
            voter=member.voter,
            leads=leads,
            behind=0 if leads else health.behind.get(member.member_id, 0),
            silent_s=round(min(silent_s, 1e6), 2),
            replaces=member.replaces,
        )

    def _find(self, name: str) -> Member | None:
        members = self._driver.node.membership.members
        matches = (item for item in members if name in (item.name, item.member_id))
        return next(matches, None)

    async def _replace(self, request: MembersRequest) -> str:
        old = self._find(request.name)
        if old is None:
            return f"no member {request.name!r}"
        if old.member_id == self._driver.node.member_id:
            return "the leader cannot replace itself; stop it first"
        return await self._add(request, old.member_id)

    async def _add(self, request: MembersRequest, replaces: str) -> str:
        peer = PeerSettings(request.name, request.host, request.port)
        state = await check_if_empty(peer, self._local)
        if state is None:
            return f"no control member responds at {request.host}:{request.port}"
        if self._find(state.identity) is not None:
            return ""  # A repeated request: it is a member already.
        if not state.is_empty:
            return "the machine holds the state of another member; empty its data folder first"
        name = state.identity.rpartition(".")[0]
        learner = Member(state.identity, name, request.host, request.port, False, replaces)
        return self._propose(self._driver.node.membership.with_member(learner))

    def join(self, request: JoinRequest) -> JoinReply:
        """Add a member that requests it, first as a learner.

        A member at the same address under another identity has lost its disk or its machine, and
        the learner replaces it.
        """
        membership = self._driver.node.membership
        if self._repair is None or membership.find(request.identity) is not None:
            return JoinReply(accepted=self._repair is not None)
        replaces = ""
        for member in membership.members:
            if (member.host, member.port) != (request.host, request.port):
                continue
            if member.voter:
                replaces = member.member_id
            else:
                membership = membership.without_member(member.member_id)
        name = request.identity.rpartition(".")[0]
        learner = Member(request.identity, name, request.host, request.port, False, replaces)
        return JoinReply(self._driver.propose_membership(membership.with_member(learner)))

    def silent_addresses(self) -> list[Address]:
        """Return the addresses of silent members; an empty member may listen there now."""
        silent_s = self._health().silent_s
        return [
            Address(member.host, member.port)
            for member in self._driver.node.membership.members
            if silent_s.get(member.member_id, 0.0) > MAX_MEMBER_SILENCE_S
        ]

    def is_full(self) -> bool:
        """Whether the group has its target number of voters and its membership is committed."""
        if self._repair is None:
            return True
        node, health = self._driver.node, self._health()
        if len(node.membership.voters) < self._repair.target_voters:
            return False
        return health.membership_committed

    def _remove(self, name: str) -> str:
        member = self._find(name)
        if member is None:
            return ""  # A repeated request: it is removed already.
        if member.member_id == self._driver.node.member_id:
            return "the leader cannot remove itself; stop it first"
        remaining = self._driver.node.membership.without_member(member.member_id)
        return self._propose(remaining)

    def _propose(self, membership: Membership) -> str:
        if self._driver.propose_membership(membership):
            return ""
        return "another membership change is under way; try again"

    async def reconcile(self) -> None:
        """Promote learners that have caught up, and repair the group, until cancelled."""
        while True:
            await asyncio.sleep(RECONCILE_INTERVAL_S)
            node = self._driver.node
            if not node.is_established_leader:
                continue
            health = self._health()
            proposed = next_membership(node.membership, health, MAX_MEMBER_SILENCE_S, self._repair)
            if proposed is not None:
                self._driver.propose_membership(proposed)
