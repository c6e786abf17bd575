"""Faults and commands for a simulated group; used by the stateful test and by the soak."""

from random import Random

from crowsill.consensus.membership import Member
from crowsill.consensus.replacement import group_health, is_fully_replicated, next_membership
from crowsill.model.configuration import ConfigurationChange, ConfigurationContent, Template
from crowsill.state.commands import (
    ChangeConfiguration,
    ClaimKey,
    ClaimSettlement,
    OpenClaim,
    SettleClaim,
    encode_batch,
)
from tests.simulation import Disk, SimulatedGroup, SimulatedMember


class Scenario:
    """A simulated group with random actions."""

    def __init__(self, size: int, seed: int) -> None:
        self.random = Random(seed)
        self.group = SimulatedGroup(size, self.random)
        self.next_member = size
        self.next_change = 0
        self.replacing: tuple[str, str] | None = None

    def pick(self, candidates: list[str]) -> str | None:
        return self.random.choice(candidates) if candidates else None

    def voters(self) -> list[str]:
        newest = max(self.group.members.values(), key=lambda member: member.node.commit_index)
        return newest.node.membership.voters

    def propose(self, command: object) -> None:
        leaders = [item for item in self.group.live() if item.node.role == "leader"]
        if leaders:
            member = self.random.choice(leaders)
            member.node.propose(member.now_s(), encode_batch([command]))
            member.process()

    def open_claim(self) -> None:
        number = self.random.randrange(30)
        attempt = f"a{self.random.randrange(4)}"
        key = ClaimKey("t", "s", f"k{number}")
        # All attempts of a key have the same body; at most one attempt is granted.
        self.propose(OpenClaim(key, b"f", attempt, attempt, 1.0))

    def settle_claim(self) -> None:
        key = ClaimKey("t", "s", f"k{self.random.randrange(30)}")
        attempt = f"a{self.random.randrange(4)}"
        kind = self.random.choice([ClaimSettlement.ANSWERED, ClaimSettlement.UNKNOWN])
        self.propose(SettleClaim(key, attempt, kind, None, 1.0))

    def change_configuration(self) -> None:
        leader = self.group.leader()
        base = 0 if leader is None else leader.machine.configuration.current.revision
        if self.random.random() < 0.7:
            self.next_change += 1
        content = ConfigurationContent(templates=[Template(f"t{self.next_change}", {})])
        change = ConfigurationChange(f"c{self.next_change}", base, content)
        self.propose(ChangeConfiguration(change, 1.0))

    def crash(self) -> None:
        """Crash one member: with probability 1/2 the leader, otherwise any member."""
        leader = self.group.leader()
        name = self.pick([item.member_id for item in self.group.live()])
        if leader is not None and self.random.random() < 0.5:
            name = leader.member_id
        if name is not None and len(self.group.live()) > 1:
            self.group.crash(name)

    def crash_and_restart(self) -> None:
        """Crash a member and restart it at once."""
        name = self.pick([item.member_id for item in self.group.live()])
        if name is not None:
            self.group.crash(name)
            self.group.restart(name)

    def propose_and_fail(self) -> None:
        """Propose claims, deliver few messages, and isolate or crash a member."""
        self.open_claim()
        self.group.advance(self.random.choice([0.02, 0.04, 0.1]))
        self.open_claim()
        self.random.choice([self.isolate, self.crash])()

    def crash_at_sync(self) -> None:
        self.group.crash_at_sync = self.random.choice([0.0, 0.02, 0.1])

    def restart(self) -> None:
        name = self.pick([name for name, item in self.group.members.items() if not item.up])
        if name is not None:
            self.group.restart(name)

    def isolate(self) -> None:
        """Isolate one member: with probability 1/2 the leader, otherwise any member."""
        leader = self.group.leader()
        name = self.pick(list(self.group.members))
        if leader is not None and self.random.random() < 0.5:
            name = leader.member_id
        if name is not None:
            self.group.isolated = {name}

    def cut_link(self) -> None:
        """Block the link between two members, which still reach the others."""
        if len(self.group.members) > 1:
            pair = self.random.sample(list(self.group.members), 2)
            self.group.cut_links.add(frozenset(pair))

    def reconnect_except_to_leader(self) -> None:
        """Reconnect the isolated members, but not to the leader."""
        leader = self.group.leader()
        for name in self.group.isolated:
            if leader is not None and name != leader.member_id:
                self.group.cut_links.add(frozenset((name, leader.member_id)))
        self.group.isolated.clear()

    def return_behind_leader(self) -> None:
        """Isolate a follower until it campaigns; then reconnect it to all but the leader."""
        leader = self.group.leader()
        if leader is None or leader.member_id in self.group.isolated:
            return
        others = [name for name in self.group.members if name != leader.member_id]
        returning = self.random.choice(others)
        self.group.isolated = {returning}
        self.group.advance(3.0)
        self.group.cut_links.add(frozenset((returning, leader.member_id)))
        self.group.isolated.clear()
        for name in others:
            if name != returning and self.random.random() < 0.5:
                self.group.crash(name)
                self.group.restart(name)
        self.group.advance(self.random.choice([0.5, 1.5]))

    def transfer_and_cut_links(self) -> None:
        """Start a leadership transfer and block links of the leader soon after."""
        leader = self.group.leader()
        if leader is None or not leader.node.transfer_leadership(leader.now_s()):
            return
        leader.process()
        self.group.advance(self.random.choice([0.02, 0.06, 0.1]))
        for name in self.group.members:
            if name != leader.member_id and self.random.random() < 0.6:
                self.group.cut_links.add(frozenset((name, leader.member_id)))
        self.group.advance(0.5)

    def restore_links(self) -> None:
        self.group.isolated.clear()
        self.group.cut_links.clear()
        self.group.loss = self.random.choice([0.0, 0.05, 0.2])

    def compact(self) -> None:
        live = self.group.live()
        if live:
            self.random.choice(live).compact()

    def transfer(self) -> None:
        leader = self.group.leader()
        if leader is not None:
            leader.node.transfer_leadership(leader.now_s())
            leader.process()

    def advance(self) -> None:
        self.group.advance(self.random.choice([0.1, 0.5, 1.2, 3.0]))

    def replace_member(self) -> None:
        """Lose a disk; the member returns as a learner with a new identity."""
        leader = self.group.leader()
        if self.replacing is not None or leader is None:
            return
        victims = [name for name in leader.node.membership.voters if name != leader.member_id]
        victim = self.pick(victims)
        others_up = [name for name in victims if name != victim and self.group.members[name].up]
        has_quorum = len(others_up) + 1 >= leader.node.membership.quorum
        if victim is None or not has_quorum:
            return
        self.group.crash(victim)
        del self.group.members[victim]
        fresh = f"m{self.next_member}"
        self.next_member += 1
        self.group.members[fresh] = SimulatedMember(self.group, fresh, Disk())
        self.replacing = (victim, fresh)

    def continue_replacement(self) -> None:
        """Add the learner, then apply the steps of `next_membership`."""
        leader = self.group.leader()
        if self.replacing is None or leader is None or leader.node.leader is None:
            return
        lost, fresh = self.replacing
        membership = leader.node.membership
        known = membership.find(fresh)
        if known is None:
            learner = Member(fresh, fresh, "127.0.0.1", 1, voter=False, replaces=lost)
            change = membership.with_member(learner)
        else:
            health = group_health(leader.node, leader.now_s())
            if is_fully_replicated(membership, leader.member_id, health, alive_within_s=1.0):
                self.replacing = None
                return
            change = next_membership(membership, health, alive_within_s=1.0)
        if change is not None:
            leader.node.propose_membership(leader.now_s(), change)
            leader.process()

    def act(self) -> None:
        """Perform one random action: commands more often than faults, and sometimes heal.

        Without healing, most of a run would pass without a leader and test little.
        """
        if self.random.random() < 0.1:
            self.group.heal()
            self.group.advance(1.5)
        commands = [self.open_claim, self.settle_claim, self.change_configuration, self.advance]
        faults = [
            *(
                self.crash,
                self.restart,
                self.isolate,
                self.restore_links,
                self.compact,
                self.transfer,
            ),
            *(self.crash_at_sync, self.replace_member, self.continue_replacement),
            *(
                self.crash_and_restart,
                self.propose_and_fail,
                self.propose_and_fail,
                self.restart,
                self.restore_links,
            ),
            *(
                self.cut_link,
                self.reconnect_except_to_leader,
                self.return_behind_leader,
                self.transfer_and_cut_links,
            ),
        ]
        chosen = commands if self.random.random() < 0.6 else faults
        self.random.choice(chosen)()

    def finish(self) -> None:
        """Heal the group and check that all members agree."""
        self.group.settle()
