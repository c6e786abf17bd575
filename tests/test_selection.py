"""Which replica a gateway chooses."""

import pytest

from crowsill.gateway.availability import Availability
from crowsill.gateway.replica_registry import ReplicaRecord
from crowsill.gateway.request import CallerRequest, PromptPart
from crowsill.gateway.selection import Choice, NoReplicaReason, SelectionLimits, choose
from crowsill.model.instances import Instance, LoadedModel
from crowsill.model.replica_use import ReplicaUse

LIMITS = SelectionLimits("z", 10)


def record(instance_id, models=("m",), **more):
    held = [LoadedModel(name, 1, ["a1"] if name == "m" else []) for name in models]
    return ReplicaRecord(Instance(instance_id, "s", "127.0.0.1:1", "z", 4, models=held), **more)


def closed(**why):
    return record("a", availability=Availability(**why))


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
    warm = record("warm", in_flight=1)
    warm.remember_part(("m", "", b"p"))
    chosen = choose([record("cold"), warm], request(), set(), LIMITS, 0.0)
    assert chosen.record is warm and chosen.known_tokens == 400


def test_a_slow_replica_is_passed_over_and_forgiven():
    slow, fine = record("slow"), record("fine", in_flight=2, pending_prompt_tokens=500)
    for _ in range(10):
        slow.note_response_time(5.0, 0.1, 1.0)
    assert choose([slow, fine], request(), set(), LIMITS, 1.0).record is fine
    assert choose([slow, fine], request(), set(), LIMITS, 30.0).record is slow


@pytest.mark.parametrize(
    ("records", "asked", "tried", "expected"),
    [
        ([], request(), set(), NoReplicaReason.NO_REPLICA),
        (
            [record("a", availability=Availability(is_unreachable=True))],
            request(),
            set(),
            NoReplicaReason.NO_REPLICA,
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
def test_why_nothing_can_be_chosen(records, asked, tried, expected):
    assert choose(records, asked, tried, LIMITS, 0.0) is expected


def test_an_engine_is_not_given_more_than_it_serves_in_time():
    limits = SelectionLimits("z", 1000, max_expected_ms=1000.0)
    crowded = record("a", in_flight=20, pending_prompt_tokens=40_000)
    assert choose([crowded], request(), set(), limits, 0.0) is NoReplicaReason.ALL_FULL
    assert isinstance(choose([record("b")], request(), set(), limits, 0.0), Choice)


def test_what_other_gateways_have_at_an_overwhelmed_replica_counts():
    # Found on a measured day: an overwhelmed engine answers nobody, so what it told was out of
    # date, each gateway saw only its own few requests there, and all went on sending. What the
    # others have is told by them, through the members, and not by the engine.
    pressed = record("a", in_flight=5, pending_prompt_tokens=12_000)
    limits = SelectionLimits("z", 1000, max_expected_ms=1600.0)
    assert isinstance(choose([pressed], request(), set(), limits, 0.0), Choice)
    pressed.note_peer_use(ReplicaUse(40, 96_000), 0.0)
    assert choose([pressed], request(), set(), limits, 0.0) is NoReplicaReason.ALL_FULL


def test_a_request_is_not_turned_away_while_any_replica_has_room():
    crowded = [record(str(number)) for number in range(9)]
    for item in crowded:
        item.note_peer_use(ReplicaUse(40, 96_000), 0.0)
    limits = SelectionLimits("z", 1000, max_expected_ms=1600.0)
    free = record("free", in_flight=9, pending_prompt_tokens=10_000)
    for _ in range(20):
        assert choose([*crowded, free], request(), set(), limits, 0.0).record is free


def test_of_two_replicas_the_one_that_other_gateways_use_less_is_chosen():
    used, unused = record("used"), record("unused")
    used.note_peer_use(ReplicaUse(30, 20_000), 1.0)
    for _ in range(20):
        assert choose([used, unused], request(), set(), LIMITS, 1.2).record is unused
    # What was told long ago is worth nothing any more.
    assert {
        choose([used, unused], request(), set(), LIMITS, 9.0).record.instance.instance_id
        for _ in range(40)
    } == {"used", "unused"}


def test_gateways_that_were_told_the_same_do_not_all_follow_it_to_one_replica():
    # Four replicas, the first of which had least to do when all were told last: two random
    # replicas at a time, it gets no more than half of what comes until they are told again.
    records = [record(str(number)) for number in range(4)]
    for number, item in enumerate(records):
        item.note_peer_use(ReplicaUse(5 + 3 * number, 1000 * number), 0.0)
    chosen = [choose(records, request(), set(), LIMITS, 0.1).record for _ in range(400)]
    assert 100 < sum(item is records[0] for item in chosen) < 230
