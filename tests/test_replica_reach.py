"""What control members keep about replicas that gateways fail to reach."""

import math

import pytest
from hypothesis import given
from hypothesis import strategies as st

from crowsill.control.replica_liveness import ReplicaLiveness
from crowsill.control.replica_reach import (
    GATEWAY_LIFETIME_S,
    MAX_GATEWAYS_PER_REPLICA,
    MAX_REPLICAS,
    REACHED_LIFETIME_S,
    SUSPICION_LIFETIME_S,
    ReplicaReach,
)
from crowsill.model.replica_reach import MAX_REPORTED_REPLICAS
from crowsill.transport.replica_messages import SuspectInstances


def suspected_ids(reach, now_s):
    return [item.instance_id for item in reach.suspected(now_s)]


def failed_at(*gateways, at_s=10.0):
    reach = ReplicaReach()
    for gateway in gateways:
        reach.note_failed(gateway, ["a"], at_s)
    return reach


def test_one_gateway_suspects_nothing_however_often_it_reports():
    assert suspected_ids(failed_at("g1", "g1", "g1"), 10.0) == []
    assert suspected_ids(failed_at("g1", "g2"), 10.0) == ["a"]


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["failed", "reached", "wait"]),
        st.sampled_from(["g1", "g2", "g3"]),
        st.sampled_from(["a", "b"]),
        st.floats(0.0, 4.0),
    )
)


@given(STEPS)
def test_no_replica_is_suspected_for_longer_than_stated_after_the_last_report(steps):
    reach, now_s = ReplicaReach(), 100.0
    for kind, gateway, instance_id, value in steps:
        if kind == "failed":
            reach.note_failed(gateway, [instance_id], now_s)
        elif kind == "reached":
            reach.note_reached(gateway, [instance_id], [value], now_s)
        else:
            now_s += value
        for item in reach.suspected(now_s):
            assert item.gateways >= 2
            assert 0.0 < item.remaining_s <= SUSPICION_LIFETIME_S
        told = suspected_ids(reach, now_s)
        assert not {item.instance_id for item in reach.reached(now_s)} & set(told)
    assert reach.suspected(now_s + SUSPICION_LIFETIME_S) == []
    reach.suspected(now_s + GATEWAY_LIFETIME_S)
    assert not reach._replicas


def test_a_gateway_that_reached_a_replica_ends_the_suspicion_of_all():
    reach = failed_at("g1", "g2", "g3")
    reach.note_reached("g4", ["a"], [0.0], 11.0)
    assert suspected_ids(reach, 11.0) == []
    assert [item.instance_id for item in reach.reached(12.0)] == ["a"]
    assert reach.reached(11.0 + REACHED_LIFETIME_S) == []


def test_gateways_that_failed_before_it_was_reached_may_have_lost_their_links():
    reach = failed_at("g1", "g2", "g3")
    reach.note_reached("g4", ["a"], [0.0], 11.0)
    for gateway in ("g1", "g2", "g3"):
        reach.note_failed(gateway, ["a"], 11.5)
    assert suspected_ids(reach, 11.5) == []
    reach.note_failed("g5", ["a"], 11.6)
    reach.note_failed("g4", ["a"], 11.7)
    assert suspected_ids(reach, 11.7) == ["a"]


def test_what_was_heard_before_the_failures_does_not_end_a_suspicion():
    reach = failed_at("g1", "g2")
    reach.note_reached("g4", ["a"], [2.0], 11.0)
    assert suspected_ids(reach, 11.0) == ["a"]


def test_a_replica_that_crashes_again_and_again_is_suspected_again():
    reach = failed_at("g1", "g2")
    reach.note_reached("g3", ["a"], [0.0], 11.0)
    for at_s in (11.5, 12.5, 13.5, 14.5):
        reach.note_failed("g1", ["a"], at_s)
        reach.note_failed("g2", ["a"], at_s)
    assert suspected_ids(reach, 14.5) == ["a"]


def test_a_gateway_that_restarted_no_longer_counts():
    reach = failed_at("g1.old", "g2", at_s=10.0)
    for at_s in (11.0, 12.0, 13.1):
        reach.note_failed("g2", ["a"], at_s)
    assert suspected_ids(reach, 13.1) == []


@pytest.mark.parametrize("ago_s", [math.nan, -math.inf, -5.0, 1e30, math.inf])
def test_absurd_ages_are_bounded(ago_s):
    reach = failed_at("g1", "g2")
    reach.note_reached("g3", ["a", "b"], [ago_s], 11.0)
    for item in reach.reached(11.0):
        assert 0.0 <= item.ago_s <= REACHED_LIFETIME_S
    assert suspected_ids(reach, 11.0 + SUSPICION_LIFETIME_S) == []


def test_floods_of_reports_are_bounded():
    reach = ReplicaReach()
    for number in range(2 * MAX_REPLICAS):
        reach.note_failed("g1", [f"i-{number}"], 10.0)
        reach.note_failed(f"g-{number}", [f"i-{number}", "a"], 10.0)
    assert len(reach._replicas) <= MAX_REPLICAS
    assert len(reach._replicas["a"].failures) <= MAX_GATEWAYS_PER_REPLICA
    assert len(reach.suspected(10.0)) == MAX_REPORTED_REPLICAS


def test_a_member_passes_reports_on_and_counts_only_gateways_that_name_themselves():
    pushed = []
    liveness = ReplicaLiveness(1.0, pushed.append)
    notices = [SuspectInstances(["a"]), SuspectInstances(["a"], "g1"), SuspectInstances(["a"])]
    for notice in notices:
        liveness.note_suspects(notice)
    assert pushed == notices and liveness.suspected(0.0) == []
    assert not liveness.reach._replicas["a"].failures.keys() - {"g1"}
    liveness.note_suspects(SuspectInstances(["a"], "g2"))
    now_s = liveness.reach._replicas["a"].failures["g2"].last_at_s
    assert [item.instance_id for item in liveness.suspected(now_s)] == ["a"]
    liveness.forget("a")
    assert liveness.suspected(now_s) == []
