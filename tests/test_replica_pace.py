"""The pace of replicas: learned from reports, exchanged through the members, used in the choice."""

from random import Random

import pytest

from crowsill.control.gateway_paces import MAX_KNOWN_REPLICAS, GatewayPaces, PaceChange
from crowsill.control.gateway_reports import GatewayReports
from crowsill.gateway.replica_registry import ReplicaRegistry
from crowsill.gateway.request import CallerRequest
from crowsill.gateway.response_estimate import own_estimate, response_ms
from crowsill.gateway.selection import Choice, NoReplicaReason, choose
from crowsill.gateway.selection_limits import SelectionLimits
from crowsill.model.instances import Instance, LoadedModel
from crowsill.model.replica_use import ReplicaUse
from crowsill.routing.replica_pace import (
    MAX_LEARNED_PERCENT,
    MAX_SAMPLES,
    NOISE_LIFETIME_S,
    PACE_LIFETIME_S,
    SAMPLE_INTERVAL_S,
    PaceWindow,
    ReplicaPace,
)
from crowsill.state.directory import DirectoryChange
from tests.patterns.engine_site import EngineSite


def instance(name):
    return Instance(name, "s", "127.0.0.1:1", "z", 8, models=[LoadedModel("m")])


def registry(*names, uses_pace=True):
    result = ReplicaRegistry(uses_pace)
    result.adopt(DirectoryChange(1, [instance(name) for name in names], []), True, 0.0)
    return result


def request(model="m", tokens=1000):
    return CallerRequest(b"POST", b"/", [], b"", True, 0.0, model=model, prompt_tokens=tokens)


def report(percent, name="a"):
    return {name: ReplicaUse(0, pace_percent=percent)}


def test_noise_and_a_few_absurd_reports_do_not_change_what_is_learned():
    window, random = PaceWindow(), Random(1)
    for step in range(400):
        now_s = step * 0.1
        # Noise of 0.6 s in one of four spans, and a report that is far too low every four seconds.
        percent = 425.0 if step // 6 % 4 == 0 else 170.0
        window.note(5.0 if step % 40 == 0 else percent, now_s + random.random() * 0.05)
        if step > 10:
            assert window.percent(now_s) == 170


def test_a_machine_that_becomes_slower_or_quicker_for_good_is_learned_within_its_window():
    window, now_s = PaceWindow(), 0.0
    for percent in (70.0, 170.0, 70.0):
        for _ in range(MAX_SAMPLES):
            now_s += SAMPLE_INTERVAL_S
            window.note(percent, now_s)
        assert window.percent(now_s) == percent


def test_reports_out_of_order_or_repeated_count_once():
    window = PaceWindow()
    window.note(70.0, 10.0)
    for late_s in (9.0, 9.9, 10.0, 3.0):
        window.note(425.0, late_s)
    assert window.percent(10.0) == 70 and not window.is_certain(10.0)


def test_the_last_report_is_worth_nothing_after_its_lifetime():
    pace = ReplicaPace()
    pace.note_told(70, 0.0)
    pace.note(175.0, 10.0)
    assert pace.factor(10.0) == 1.75
    assert 0.7 < pace.factor(10.0 + NOISE_LIFETIME_S / 2) < 1.75
    assert pace.factor(10.0 + NOISE_LIFETIME_S) == 0.7 == pace.slow_factor(10.0)


def test_a_pace_without_reports_is_forgotten():
    pace = ReplicaPace()
    pace.note_told(170, 0.0)
    assert pace.slow_factor(PACE_LIFETIME_S) == 1.7
    assert pace.slow_factor(PACE_LIFETIME_S + 0.1) == 1.0 == pace.factor(PACE_LIFETIME_S + 0.1)


def test_absurd_reports_have_a_bounded_effect():
    pace = ReplicaPace()
    pace.note(10_000.0, 0.0)
    assert pace.slow_factor(0.0) == MAX_LEARNED_PERCENT / 100


def test_a_gateway_that_starts_and_a_new_leader_know_the_paces_at_once():
    leader, follower = GatewayReports(), GatewayReports()
    for step in range(MAX_SAMPLES):
        leader.note_use("g1", report(170), step * 0.5)
    total = leader.total_use(is_leader=True, now_s=4.5)
    assert total == report(170)
    follower.note_total_use(total, 4.6)
    started = registry("a")
    started.note_total_use(follower.total_use(is_leader=False, now_s=4.7), {}, 4.7)
    assert started.find("a").pace.slow_factor(4.7) == 1.7
    # The leader is lost. Its successor goes on with what it was told, noise or not.
    follower.note_use("g2", report(425), 5.0)
    assert follower.total_use(is_leader=True, now_s=5.1) == report(170)


def test_a_follower_passes_each_report_on_once():
    follower = GatewayReports()
    follower.note_use("g1", {"a": ReplicaUse(2, 90, pace_percent=175)}, 0.0)
    follower.note_use("g2", {"a": ReplicaUse(1, 10, pace_percent=70)}, 0.1)
    first = follower.make_heartbeat("leader", (0, 0), 0.1)
    assert first.in_use == {"a": ReplicaUse(3, 100, pace_percent=70)}
    assert follower.make_heartbeat("leader", (0, 0), 0.4).in_use == {"a": ReplicaUse(3, 100)}


def test_a_member_that_restarts_learns_again_and_forgets_what_is_not_reported():
    member = GatewayReports()
    assert member.total_use(is_leader=True, now_s=0.0) == {}
    member.note_use("g1", report(70), 1.0)
    assert member.total_use(is_leader=True, now_s=1.0) == report(70)
    assert member.total_use(is_leader=True, now_s=1.1 + PACE_LIFETIME_S) == {}


def test_placement_gets_no_pace_that_was_learned_from_a_few_reports():
    # A single report may be noise, and a load takes seconds.
    leader, follower = GatewayPaces(), GatewayPaces()
    for step in range(MAX_SAMPLES):
        assert (leader.certain_percent_of("a", step * 0.5) is None) is (step < 5)
        leader.note_reports(report(425 if step == 0 else 170), step * 0.5)
    assert leader.certain_percent_of("a", 5.0) == 170
    follower.note_learned(leader.with_learned({}, 5.0), 5.0)
    assert follower.certain_percent_of("a", 5.0) == 170


def test_a_member_reports_a_change_by_a_quarter_once():
    paces = GatewayPaces()
    assert paces.note_reports(report(170), 0.0) == [PaceChange("a", 100, 170)]
    assert paces.note_reports(report(175), 0.5) == []
    assert paces.note_reports(report(90, "b"), 0.5) == []


def test_a_member_keeps_a_bounded_number_of_replicas():
    paces = GatewayPaces()
    for number in range(MAX_KNOWN_REPLICAS + 5):
        paces.note_reports(report(70, str(number)), 0.0)
    known = paces.with_learned({}, 0.0)
    assert "4" not in known and known["5"].pace_percent == 70
    assert len(known) == MAX_KNOWN_REPLICAS


def test_a_gateway_reports_what_it_received_once_also_of_replicas_without_its_requests():
    own = registry("a", "b")
    own.note_pace(own.find("a"), 175.0, 0.0)
    own.note_pace(own.find("a"), 70.0, 0.1)
    own.note_pace(own.find("b"), None, 0.1)
    assert own.with_received_paces(own.in_use()) == report(70)
    assert own.with_received_paces(own.in_use()) == {}


def test_a_replica_that_starts_again_is_at_the_usual_pace():
    own = registry("a")
    own.note_pace(own.find("a"), 170.0, 0.0)
    own.adopt(DirectoryChange(2, [instance("a2")], ["a"]), False, 1.0)
    assert own.find("a2").pace.factor(1.0) == 1.0 and own.paces(1.0) == {}


def test_a_gateway_that_does_not_use_the_pace_neither_reads_nor_reports_it():
    off = registry("a", uses_pace=False)
    off.note_pace(off.find("a"), 170.0, 0.0)
    off.note_total_use(report(170), {}, 0.0)
    assert off.with_received_paces({}) == {} and off.paces(0.0) == {}
    assert off.find("a").pace.factor(0.0) == 1.0


def test_expected_times_and_requests_of_others_count_by_pace():
    both = registry("quick", "slow")
    for name, percent in (("quick", 70), ("slow", 170)):
        both.find(name).note_peer_use(ReplicaUse(4, 2000), 0.0)
        both.find(name).pace.note_told(percent, 0.0)
    limits = SelectionLimits("z", 10)
    expected = {
        name: own_estimate(both.find(name), request(), limits, 0.0).expected_ms
        for name in ("quick", "slow")
    }
    assert expected["slow"] / expected["quick"] == pytest.approx(1.7 / 0.7)
    slow, quick = (response_ms(both.find(name), 20.0, 0.0) for name in ("slow", "quick"))
    assert slow / quick == pytest.approx(1.7 / 0.7)


@pytest.mark.parametrize("model", ["m", ""])
def test_idle_replicas_are_chosen_in_proportion_to_their_speed(model):
    both = registry("quick", "slow")
    both.find("quick").pace.note_told(100, 0.0)
    both.find("slow").pace.note_told(250, 0.0)
    limits = SelectionLimits("z", 10, random=Random(4))
    chosen = [
        choose(both.of_service("s"), request(model, 100), set(), limits, 0.0).record
        for _ in range(2000)
    ]
    share = sum(item is both.find("slow") for item in chosen) / len(chosen)
    # 0.29 of the requests for a speed of 0.4; never none, so that its pace is learned again.
    assert 0.15 < share < 0.35


def test_a_slow_replica_has_room_for_fewer_requests_of_one_gateway():
    both = registry("slow", "quick")
    slow, quick = both.find("slow"), both.find("quick")
    slow.in_flight, quick.in_flight = 5, 7
    limits = SelectionLimits("z", 8)
    slow.pace.note_told(170, 0.0)
    for _ in range(50):
        assert choose([slow, quick], request(), set(), limits, 0.0).record is quick
    # Where no other has room, it is not refused beside free places.
    assert choose([slow], request(), set(), limits, 0.0).record is slow
    quick.in_flight = 8
    assert choose([slow, quick], request(), set(), limits, 0.0).record is slow
    # No replica may have more connections than the service allows, however quick it is.
    slow.pace.note_told(50, 0.0)
    slow.in_flight = 8
    assert choose([slow], request(), set(), limits, 0.0) is NoReplicaReason.ALL_FULL


def test_two_holders_of_a_popular_model_are_chosen_in_proportion_to_speed():
    # The slow one got 13 of 521 choices while the quick one was overloaded.
    both = registry("slow", "quick")
    both.find("quick").pace.note_told(70, 0.0)
    both.find("slow").pace.note_told(170, 0.0)
    connected = {"quick"}
    limits = SelectionLimits("z", 64, has_idle=connected.__contains__, random=Random(3))
    chosen = [
        choose(both.of_service("s"), request(), set(), limits, 0.0).record.instance.instance_id
        for _ in range(1000)
    ]
    assert 0.2 < chosen.count("slow") / len(chosen) < 0.4


def test_a_request_is_not_refused_beside_a_replica_within_its_limit():
    both = registry("quick", "slow")
    quick, slow = both.find("quick"), both.find("slow")
    quick.pace.note_told(70, 0.0)
    slow.pace.note_told(170, 0.0)
    quick.pending_prompt_tokens = 15_000
    limits = SelectionLimits(
        "z", 64, max_expected_ms=1600.0, target_ms=800.0, target_gap_ms=400.0, random=Random(5)
    )
    for _ in range(50):
        chosen = choose(both.of_service("s"), request(tokens=18_000), set(), limits, 0.0)
        assert isinstance(chosen, Choice) and chosen.record is quick


def test_a_long_prompt_goes_to_a_quick_engine_where_streams_have_targets():
    both = registry("quick", "slow")
    both.find("quick").pace.note_told(70, 0.0)
    both.find("slow").pace.note_told(170, 0.0)
    limits = SelectionLimits("z", 10, target_ms=800.0, target_gap_ms=400.0, random=Random(4))
    chosen = [
        choose(both.of_service("s"), request(tokens=8000), set(), limits, 0.0).record
        for _ in range(400)
    ]
    assert sum(item is both.find("slow") for item in chosen) < 20


def test_a_quick_engine_with_more_work_does_not_look_slow():
    own = registry("a")
    busy = own.find("a")
    for step in range(20):
        own.note_pace(busy, 70.0, step * 0.5)
        busy.note_response_time(0.9, 0.1, step * 0.5)
    assert busy.pace.slow_factor(10.0) == 0.7


def test_without_reported_paces_choices_are_the_same_with_the_same_seed():
    chosen = []
    for uses_pace in (False, True):
        site = EngineSite([["m"]] * 12, {"m": 1.0}, 20, 60.0, 5)
        for gateway in site.gateways:
            gateway.registry.uses_pace = uses_pace
        chosen.append(site.run(8).sent_at_s)
    assert chosen[0] == chosen[1] and len(chosen[0]) > 300
