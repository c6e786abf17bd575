"""Which replica a gateway chooses."""

import pytest

from crowsill.gateway.availability import Availability
from crowsill.gateway.replica_registry import ReplicaRecord
from crowsill.gateway.request import CallerRequest, PromptPart
from crowsill.gateway.selection import Choice, NoReplicaReason, choose
from crowsill.gateway.selection_limits import SelectionLimits
from crowsill.model.instances import Instance, LoadedModel
from crowsill.model.replica_use import ReplicaUse

LIMITS = SelectionLimits("z", 10)


def record(instance_id, models=("m",), **more):
    held = [LoadedModel(name, 1, ["a1"] if name == "m" else []) for name in models]
    return ReplicaRecord(Instance(instance_id, "s", "127.0.0.1:1", "z", 4, models=held), **more)


def closed_record(**attributes):
    return record("a", availability=Availability(**attributes))


def request(model="m", adapter="", tokens=1000):
    parts = [PromptPart(b"p", 400), PromptPart(b"q", 600)]
    return CallerRequest(
        b"POST",
        b"/",
        [],
        b"",
        True,
        0.0,
        model=model,
        adapter=adapter,
        prompt_tokens=tokens,
        parts=parts,
    )


def test_the_replica_that_has_read_the_prompt_is_preferred():
    with_prompt = record("warm", in_flight=1)
    with_prompt.remember_part(("m", "", b"p"))
    chosen = choose([record("cold"), with_prompt], request(), set(), LIMITS, 0.0)
    assert chosen.record is with_prompt and chosen.known_tokens == 400


def test_a_slow_replica_is_avoided_until_its_slowness_decays():
    slow, fine = record("slow"), record("fine", in_flight=2, pending_prompt_tokens=500)
    for _ in range(10):
        slow.note_response_time(5.0, 0.1, 1.0)
    assert choose([slow, fine], request(), set(), LIMITS, 1.0).record is fine
    assert choose([slow, fine], request(), set(), LIMITS, 30.0).record is slow


@pytest.mark.parametrize(
    ("records", "requested", "tried", "expected"),
    [
        ([], request(), set(), NoReplicaReason.NO_REPLICA),
        (
            [record("a", availability=Availability(is_unreachable=True))],
            request(),
            set(),
            NoReplicaReason.UNREACHABLE,
        ),
        ([record("a", ["n"])], request(), set(), NoReplicaReason.NO_MODEL),
        ([record("a")], request(adapter="a2"), set(), NoReplicaReason.NO_MODEL),
        (
            [record("a", availability=Availability(missing_resources={"m"}))],
            request(),
            set(),
            NoReplicaReason.NO_MODEL,
        ),
        ([record("a")], request(), {"a"}, NoReplicaReason.ALL_TRIED),
        ([record("a", in_flight=10)], request(), set(), NoReplicaReason.ALL_FULL),
    ],
)
def test_reason_why_no_replica_can_be_chosen(records, requested, tried, expected):
    assert choose(records, requested, tried, LIMITS, 0.0) is expected


def test_an_engine_gets_no_more_than_it_serves_in_time():
    limits = SelectionLimits("z", 1000, max_expected_ms=1000.0)
    full = record("a", in_flight=20, pending_prompt_tokens=40_000)
    assert choose([full], request(), set(), limits, 0.0) is NoReplicaReason.ALL_FULL
    assert isinstance(choose([record("b")], request(), set(), limits, 0.0), Choice)


def test_requests_of_other_gateways_at_an_overloaded_replica_count():
    # An overloaded engine responds to nobody, so its own load report is stale, and each gateway
    # sees only its own few requests there. Other gateways report theirs through the members
    # instead.
    overloaded = record("a", in_flight=5, pending_prompt_tokens=12_000)
    limits = SelectionLimits("z", 1000, max_expected_ms=1600.0)
    assert isinstance(choose([overloaded], request(), set(), limits, 0.0), Choice)
    overloaded.note_peer_use(ReplicaUse(40, 96_000), 0.0)
    assert choose([overloaded], request(), set(), limits, 0.0) is NoReplicaReason.ALL_FULL


def test_a_request_is_not_rejected_while_any_replica_has_capacity():
    full = [record(str(number)) for number in range(9)]
    for item in full:
        item.note_peer_use(ReplicaUse(40, 96_000), 0.0)
    limits = SelectionLimits("z", 1000, max_expected_ms=1600.0)
    free = record("free", in_flight=9, pending_prompt_tokens=10_000)
    for _ in range(20):
        assert choose([*full, free], request(), set(), limits, 0.0).record is free


def test_of_two_replicas_the_one_that_other_gateways_use_less_is_chosen():
    used, unused = record("used"), record("unused")
    used.note_peer_use(ReplicaUse(30, 20_000), 1.0)
    for _ in range(20):
        assert choose([used, unused], request(), set(), LIMITS, 1.2).record is unused
    # An old report has no weight.
    assert {
        choose([used, unused], request(), set(), LIMITS, 9.0).record.instance.instance_id
        for _ in range(40)
    } == {"used", "unused"}


def test_gateways_with_the_same_report_do_not_all_choose_one_replica():
    # Of four replicas, the first one had the least load in the last report. With two random
    # replicas compared per request, it gets at most half of the requests until the next report.
    records = [record(str(number)) for number in range(4)]
    for number, item in enumerate(records):
        item.note_peer_use(ReplicaUse(5 + 3 * number, 1000 * number), 0.0)
    chosen = [choose(records, request(), set(), LIMITS, 0.1).record for _ in range(400)]
    assert 100 < sum(item is records[0] for item in chosen) < 230


def test_a_model_whose_engines_are_not_reached_is_not_taken_for_missing():
    # A gateway that had lost most of its links reported such models as not loaded.
    reached = [record(f"r{number}", models=()) for number in range(3)]
    lost = [record(f"l{number}", availability=Availability(is_unreachable=True)) for number in "ab"]
    found = [choose([*reached, *lost[:1]], request(), set(), LIMITS, 0.0)]
    limits = SelectionLimits("z", 10, has_idle=lambda _instance_id: False)
    lost += [
        record(f"n{number}", models=(), availability=Availability(is_unreachable=True))
        for number in range(2)
    ]
    found.append(choose([*reached, *lost], request(), set(), limits, 0.0))
    assert found == [NoReplicaReason.NO_MODEL, NoReplicaReason.UNREACHABLE]
