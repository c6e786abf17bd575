"""How a gateway treats the group's word about replicas that several gateways do not reach."""

from dataclasses import replace

import pytest

from crowsill.control.replica_reach import SUSPICION_LIFETIME_S
from crowsill.gateway.group_suspicions import SHARED_CHECKS_PER_S, GroupSuspicions
from crowsill.gateway.replica_registry import ReplicaRegistry
from crowsill.gateway.request import CallerRequest
from crowsill.gateway.selection import Choice, NoReplicaReason, choose
from crowsill.gateway.selection_limits import SelectionLimits
from crowsill.model.instances import Instance
from crowsill.model.replica_reach import ReachedReplica, SuspectedReplica
from crowsill.state.directory import DirectoryChange

LIMITS = SelectionLimits("z", 10)
PLAIN = CallerRequest(b"POST", b"/", [], b"", True, 0.0)


def suspicions_of(*names, gateways=2, since_ago_s=1.0, remaining_s=2.0):
    suspicions = GroupSuspicions()
    told = [SuspectedReplica(name, gateways, since_ago_s, remaining_s) for name in names]
    suspicions.adopt(told, [], 10.0, 10.0)
    return suspicions


def test_what_a_gateway_hears_itself_goes_before_the_groups_word():
    suspicions = suspicions_of("a", "b")
    assert suspicions.is_suspected("a", 8.9, 10.5)
    assert not suspicions.is_suspected("a", 9.1, 10.5)
    assert suspicions.disproved({"a": 9.5, "b": 8.0}.get, 10.5) == {"a": 1.0}


@pytest.mark.parametrize("remaining_s", [-1.0, 0.0, 2.0, 1e9])
def test_a_word_that_is_not_renewed_ends(remaining_s):
    suspicions = suspicions_of("a", remaining_s=remaining_s)
    assert not suspicions.is_suspected("a", 0.0, 10.0 + SUSPICION_LIFETIME_S)
    assert suspicions.expire(10.0 + SUSPICION_LIFETIME_S) == ["a"]
    assert suspicions.count() == 0


def test_a_slow_reply_lengthens_no_suspicion():
    suspicions = GroupSuspicions()
    suspicions.adopt([SuspectedReplica("a", 2, 1.0, 2.0)], [], sent_at_s=10.0, now_s=10.8)
    assert suspicions.is_suspected("a", 9.7, 11.9) and not suspicions.is_suspected("a", 9.7, 12.0)
    assert not suspicions.is_suspected("a", 9.9, 11.9)


def test_a_new_word_replaces_the_last_one():
    suspicions = suspicions_of("a", "b")
    change = suspicions.adopt(
        [SuspectedReplica("b", 2, 1.5, 2.0), SuspectedReplica("c", 2, 0.1, 2.0)], [], 10.5, 10.5
    )
    assert (change.begun, change.ended) == (["c"], ["a"])


def test_a_replica_that_was_reached_is_told_once():
    suspicions = suspicions_of("a")
    reached = [
        suspicions.adopt([], [ReachedReplica("a", at_s - 10.4)], at_s, at_s).reached
        for at_s in (10.5, 11.0, 11.5, 12.0)
    ]
    assert reached == [["a"], [], [], []]
    assert suspicions.adopt([], [ReachedReplica("a", 0.0)], 12.5, 12.5).reached == ["a"]


@pytest.mark.parametrize("gateways", [2, 10, 39, 128])
def test_gateways_share_the_checks_of_a_replica_while_the_word_is_fresh(gateways):
    suspicions = suspicions_of("a", gateways=gateways)
    for interval_s in (0.5, 1.4):
        probability = suspicions.check_probability("a", 0.0, interval_s, 11.0)
        per_s = gateways * probability / interval_s
        assert per_s <= SHARED_CHECKS_PER_S + 1e-9
        assert probability == 1.0 or per_s == pytest.approx(SHARED_CHECKS_PER_S)
    assert suspicions.check_probability("a", 0.0, 0.5, 12.0) == 1.0
    assert suspicions.check_probability("b", 0.0, 0.5, 11.0) == 1.0


def records(*names):
    registry = ReplicaRegistry()
    instances = [Instance(name, "s", "127.0.0.1:1", "z", 4) for name in names]
    registry.adopt(DirectoryChange(1, instances, []), True, 0.0)
    return registry.of_service("s")


def avoiding(*names, **changes):
    return replace(LIMITS, is_suspected=lambda item: item.instance.instance_id in names, **changes)


def test_a_suspected_replica_is_chosen_only_if_no_other_can_take_the_request():
    both = records("a", "b")
    chosen = [choose(both, PLAIN, set(), avoiding("a"), 0.0).record for _ in range(20)]
    assert all(record is both[1] for record in chosen)
    for tried, limits in (({"b"}, avoiding("a")), (set(), avoiding("a", "b"))):
        assert isinstance(choose(both, PLAIN, tried, limits, 0.0), Choice)
    both[1].in_flight = 10
    assert choose(both, PLAIN, set(), avoiding("a"), 0.0).record is both[0]


def test_a_suspicion_changes_nothing_for_a_replica_that_is_excluded_anyway():
    (record,) = records("a")
    record.availability.note_unreachable()
    assert choose([record], PLAIN, set(), avoiding("a"), 0.0) is NoReplicaReason.UNREACHABLE
