"""Random runs of a group that maintains its size while disks and machines are lost."""

import pytest

from crowsill.consensus.membership import Member
from crowsill.consensus.replacement import SelfRepair, group_health, next_membership
from tests.scenario import Scenario
from tests.simulation import Disk, SimulatedMember

VOTERS = 5
LOST_AT_ONCE = 2
REPAIR = SelfRepair(VOTERS, dead_after_s=2.0, forget_after_s=20.0)


class SelfRepairing(Scenario):
    """A scenario in which members join and are replaced as on a real platform."""

    def __init__(self, seed):
        super().__init__(VOTERS, seed)
        # New members by id, each with the member that it replaces.
        self.joining: dict[str, str] = {}
        self.wipes = 0

    def lost(self):
        """Members that are down, or new and not yet voters."""
        newest = max(self.group.members.values(), key=lambda item: item.node.commit_index)
        trusted = set(newest.node.membership.voters)
        down = {name for name, item in self.group.members.items() if not item.up}
        removed = trusted - set(self.group.members)
        return down | removed | {name for name in self.joining if name not in trusted}

    def _add(self, replaces):
        new_member = f"m{self.next_member}"
        self.next_member += 1
        self.group.members[new_member] = SimulatedMember(self.group, new_member, Disk())
        self.joining[new_member] = replaces

    def wipe(self):
        """Lose a disk; the machine restarts empty, at the same address."""
        if len(self.lost()) >= LOST_AT_ONCE:
            return
        victim = self.pick([name for name, item in self.group.members.items() if item.up])
        if victim is None:
            return
        if victim in self.group.members and self.group.members[victim].up:
            self.group.crash(victim)
        del self.group.members[victim]
        self.joining.pop(victim, None)
        self._add(victim)
        self.wipes += 1

    def add_standby(self):
        """Add a machine."""
        if len(self.group.members) < VOTERS + 2:
            self._add("")

    def repair(self):
        """Do what a leader does every tenth of a second."""
        leader = self.group.leader()
        if leader is None or leader.node.leader is None:
            return
        membership = leader.node.membership
        change = None
        for new_member, former_member in self.joining.items():
            if membership.find(new_member) is None and self.group.members[new_member].up:
                replaces = former_member if former_member in membership.voters else ""
                change = membership.with_member(
                    Member(new_member, new_member, "h", 1, False, replaces)
                )
                break
        if change is None:
            health = group_health(leader.node, leader.now_s())
            change = next_membership(membership, health, 1.0, REPAIR)
        if change is not None:
            leader.node.propose_membership(leader.now_s(), change)
            leader.process()

    def act(self):
        for _ in range(3):
            self.repair()
            self.group.advance(0.1)
        if self.random.random() < 0.25:
            self.group.heal()
            self.group.advance(1.0)
        if self.random.random() < 0.6:
            work = [self.open_claim, self.settle_claim, self.change_configuration]
            self.random.choice(work)()
            return
        harm = [self.wipe, self.wipe, self.cut, self.uncut, self.compact, self.add_standby]
        if len(self.lost()) < LOST_AT_ONCE:
            harm += [self.crash, self.bounce, self.transfer]
        self.random.choice([*harm, self.restart, self.restart])()

    def repair_until_full(self):
        """Heal all faults; the group must regain its full size by itself."""
        self.group.heal()
        for _ in range(300):
            self.repair()
            self.group.advance(0.1)
            leader = self.group.leader()
            if leader is None:
                continue
            voters = leader.node.membership.voters
            present = [name for name in voters if name in self.group.members]
            if len(voters) == len(present) == VOTERS and leader.node.membership_is_committed:
                return
        raise AssertionError("the group did not regain its full size")


@pytest.mark.parametrize("seed", range(12))
def test_no_committed_entry_is_lost_and_the_group_regains_its_full_size(seed):
    scenario = SelfRepairing(seed)
    scenario.group.wait_for_leader()
    for _ in range(120):
        scenario.act()
    scenario.repair_until_full()
    scenario.finish()
    assert scenario.wipes > 0
