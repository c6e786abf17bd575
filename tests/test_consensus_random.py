"""Random runs of simulated groups, which check the invariants while they run."""

from random import Random

import pytest
from hypothesis import settings, strategies
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from crowsill.consensus.replacement import group_health, is_fully_replicated
from tests.scenario import Scenario
from tests.simulation import SimulatedGroup

ACTIONS = [
    *("open_claim", "settle_claim", "change_configuration", "advance", "advance", "crash"),
    *(
        "restart",
        "isolate",
        "restore_links",
        "compact",
        "transfer",
        "crash_at_sync",
        "replace_member",
    ),
    *(
        "continue_replacement",
        "crash_and_restart",
        "propose_and_fail",
        "cut_link",
        "reconnect_except_to_leader",
    ),
    *("return_behind_leader", "transfer_and_cut_links"),
]


class GroupMachine(RuleBasedStateMachine):
    @initialize(size=strategies.sampled_from([3, 5]), seed=strategies.integers(0, 10**6))
    def begin(self, size, seed):
        self.scenario = Scenario(size, seed)
        self.scenario.group.wait_for_leader()

    @rule(action=strategies.sampled_from(ACTIONS))
    def act(self, action):
        getattr(self.scenario, action)()

    def teardown(self):
        if hasattr(self, "scenario"):
            self.scenario.finish()


GroupMachine.TestCase.settings = settings(max_examples=25, stateful_step_count=40)
TestGroup = GroupMachine.TestCase


@pytest.mark.parametrize("seed", range(12))
def test_long_random_run(seed):
    scenario = Scenario(3 if seed % 2 else 5, seed)
    for _ in range(150):
        scenario.act()
    scenario.finish()
    assert scenario.group.steps > 0


def test_an_isolated_leader_loses_its_lease_before_another_gets_one():
    group = SimulatedGroup(3, Random(5), loss=0.0)
    old = group.wait_for_leader()
    group.isolated.add(old.member_id)
    group.advance(10.0)
    new = group.leader()
    assert new is not None and new is not old
    assert new.node.has_lease(new.now_s())
    assert not old.node.has_lease(old.now_s())


def test_a_returning_member_does_not_disturb_the_leader():
    group = SimulatedGroup(3, Random(6), loss=0.0)
    leader = group.wait_for_leader()
    other = next(name for name in group.members if name != leader.member_id)
    group.isolated.add(other)
    group.advance(20.0)
    term = leader.node.term
    group.isolated.clear()
    group.advance(5.0)
    assert leader.node.term == term and leader.node.is_established_leader


@pytest.mark.parametrize("seed", range(40))
def test_a_leadership_transfer_takes_less_than_an_election_timeout(seed):
    group = SimulatedGroup(3, Random(seed), loss=0.0)
    old = group.wait_for_leader()
    group.advance(1.0)
    assert old.node.transfer_leadership(old.now_s())
    for _ in range(19):
        group.advance(0.05)
        if group.leader() not in (None, old):
            break
    assert group.leader() not in (None, old)


def test_a_group_is_not_fully_replicated_while_a_promotion_is_uncommitted():
    # Guards against a leader that reports a full group and is then lost with the promotion.
    scenario = Scenario(3, 11)
    group = scenario.group
    group.loss = 0.0
    group.wait_for_leader()
    group.advance(1.0)
    scenario.replace_member()
    lost, fresh = scenario.replacing
    leader = group.leader()
    while (known := leader.node.membership.find(fresh)) is None or not known.voter:
        scenario.continue_replacement()
        if leader.node.membership.find(fresh).voter:
            break
        group.advance(0.1)
    assert lost not in leader.node.membership.voters
    assert not leader.node.membership_is_committed
    health = group_health(leader.node, leader.now_s())
    assert not is_fully_replicated(leader.node.membership, leader.member_id, health, 1.0)
    group.advance(1.0)
    health = group_health(leader.node, leader.now_s())
    assert is_fully_replicated(leader.node.membership, leader.member_id, health, 1.0)
