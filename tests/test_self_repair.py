"""Random runs of a group that restores its size automatically while disks and machines fail."""

import pytest

from crowsill.consensus.membership import Member
from crowsill.consensus.replacement import SelfRepair, group_health, next_membership
from tests.scenario import Scenario
from tests.simulation import Disk, SimulatedMember

VOTERS = 5
LOST_AT_ONCE = 2
REPAIR = SelfRepair(VOTERS, replace_voter_after_s=2.0, remove_learner_after_s=20.0)


class SelfRepairing(Scenario):
    """A scenario in which members join and are replaced automatically."""

    def __init__(self, seed):
        super().__init__(VOTERS, seed)
        # New members by id, each with the former identity that it replaces.
        self.joining: dict[str, str] = {}
        self.wipes = 0

    def lost(self):
        """Return the members that are down, removed, or new and not yet voters."""
        newest = max(self.group.members.values(), key=lambda item: item.node.commit_index)
        trusted = set(newest.node.membership.voters)
        down = {name for name, item in self.group.members.items() if not item.up}
        gone = trusted - set(self.group.members)
        return down | gone | {name for name in self.joining if name not in trusted}

    def _add(self, replaces):
        fresh = f"m{self.next_member}"
        self.next_member += 1
        self.group.members[fresh] = SimulatedMember(self.group, fresh, Disk())
        self.joining[fresh] = replaces

    def wipe(self):
        """Lose a disk; the machine returns with an empty disk."""
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
        """Do what a leader does every 0.1 s."""
        leader = self.group.leader()
        if leader is None or leader.node.leader is None:
            return
        membership = leader.node.membership
        change = None
        for fresh, former in self.joining.items():
            if membership.find(fresh) is None and self.group.members[fresh].up:
                replaces = former if former in membership.voters else ""
                change = membership.with_member(Member(fresh, fresh, "h", 1, False, replaces))
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
            commands = [self.open_claim, self.settle_claim, self.change_configuration]
            self.random.choice(commands)()
            return
        faults = [
            self.wipe,
            self.wipe,
            self.isolate,
            self.restore_links,
            self.compact,
            self.add_standby,
        ]
        if len(self.lost()) < LOST_AT_ONCE:
            faults += [self.crash, self.crash_and_restart, self.transfer]
        self.random.choice([*faults, self.restart, self.restart])()

    def until_full(self):
        """Heal the group; it must restore its full size automatically."""
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
        raise AssertionError("the group did not restore its full size")


@pytest.mark.parametrize("seed", range(12))
def test_nothing_committed_is_lost_and_the_group_becomes_full_again(seed):
    scenario = SelfRepairing(seed)
    scenario.group.wait_for_leader()
    for _ in range(120):
        scenario.act()
    scenario.until_full()
    scenario.finish()
    assert scenario.wipes > 0
