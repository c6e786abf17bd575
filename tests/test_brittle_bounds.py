"""What gateways may have in flight at brittle replicas, counted over all gateways."""

import sys
from statistics import mean

import pytest

from crowsill.gateway.brittle_replicas import BrittleReplicas
from crowsill.gateway.replica_registry import ReplicaRecord
from crowsill.gateway.replica_signals import read_signals
from crowsill.gateway.request import CallerRequest
from crowsill.gateway.selection import NoReplicaReason, choose
from crowsill.gateway.selection_limits import SelectionLimits
from crowsill.model.instances import Instance
from tests.platform_site import ROOT

sys.path.insert(0, str(ROOT / "platform"))

from crowsill_platform.headers import HEADER_NAMES

SLOTS = 8
REPLICAS = 60


def record(number):
    return ReplicaRecord(Instance(f"i-{number}", "s", "127.0.0.1:1", "z", SLOTS))


def brittle(records, gateway="g", rejections_per_s=4.0):
    known = BrittleReplicas(gateway)
    for item in records:
        known.note_brittle(item.instance.instance_id, rejections_per_s, 0.0)
    return known


def fill(known, records, gateways, now_s=1.0):
    """Send requests until none may be sent; return how many each replica has."""
    while open_records := known.with_room(records, gateways, now_s):
        open_records[0].in_flight += 1
    return [item.in_flight for item in records]


@pytest.mark.parametrize("gateways", [1, 6, 90, 200])
def test_all_gateways_together_send_what_the_replicas_run_at_once(gateways):
    totals = [0] * REPLICAS
    for number in range(gateways):
        records = [record(item) for item in range(REPLICAS)]
        sent = fill(brittle(records, f"g{number}"), records, gateways)
        assert any(sent)
        totals = [total + more for total, more in zip(totals, sent, strict=True)]
    assert mean(totals) == pytest.approx(SLOTS, rel=0.1)
    # A few more than the slots at one replica are rejected once, and not sent again soon.
    assert max(totals) <= 2 * SLOTS


def test_a_request_that_was_rejected_gives_its_gateway_no_further_replica():
    # 200 gateways, each with one of 20 replicas, sent a rejected request to each of the others.
    records = [record(item) for item in range(20)]
    limits = SelectionLimits("z", 100, brittle=brittle(records), gateways=200)
    request = CallerRequest(b"POST", b"/", [], b"", True, 0.0)
    first = choose(records, request, set(), limits, 1.0)
    tried = {first.record.instance.instance_id}
    assert choose(records, request, tried, limits, 1.0) is NoReplicaReason.ALL_FULL


def test_each_gateway_can_use_the_only_replica_of_a_service():
    for number in range(200):
        only = [record(0)]
        assert fill(brittle(only, f"g{number}"), only, 200) == [1]


def test_a_rejected_gateway_sends_less_and_then_one_more_at_a_time():
    busy = record(0)
    known = brittle([busy])
    assert fill(known, [busy], 2) == [4]
    known.note_rejection(busy, 2, 10.0, spread=0.0)
    # Three were accepted; two gateways probe with half of the four rejections a second.
    assert known.with_room([busy], 2, 10.5) == []
    busy.in_flight = 2
    assert known.with_room([busy], 2, 10.5) == [busy]
    busy.in_flight = 3
    assert known.with_room([busy], 2, 10.9) == []
    assert known.with_room([busy], 2, 11.0) == [busy]


def test_gateways_probe_a_replica_with_fewer_requests_than_it_can_reject():
    probes_per_s = 0.0
    for number in range(200):
        item = record(0)
        known = brittle([item], f"g{number}")
        assert fill(known, [item], 200) == [1]
        known.note_rejection(item, 200, 0.0, spread=number / 200)
        probes_per_s += 1.0 / known._reduced["i-0"].interval_s
    assert probes_per_s <= 4.0


def test_replicas_that_are_not_brittle_are_used_as_before():
    records = [record(0), record(1)]
    known = brittle(records[:1])
    known.note_sound("i-1", sent_at_s=2.0)
    records[1].in_flight = 50
    assert records[1] in known.with_room(records, 200, 3.0)


def test_a_new_incarnation_is_brittle_until_it_says_otherwise():
    known = brittle([record(0)])
    assert known.is_brittle("i-9", 1.0)
    known.note_sound("i-9", sent_at_s=2.0)
    assert not known.is_brittle("i-9", 2.0) and known.is_brittle("i-0", 2.0)


def test_brittleness_that_no_response_confirms_is_forgotten():
    known = brittle([record(0)])
    assert known.is_brittle("i-0", 59.0) and not known.is_brittle("i-0", 61.0)
    assert not known.is_in_effect


def test_no_more_is_chosen_than_the_share():
    records = [record(0)]
    limits = SelectionLimits("z", 100, brittle=brittle(records), gateways=4)
    request = CallerRequest(b"POST", b"/", [], b"", True, 0.0)
    for _ in range(2):
        assert choose(records, request, set(), limits, 1.0).record is records[0]
        records[0].in_flight += 1
    assert choose(records, request, set(), limits, 1.0) is NoReplicaReason.ALL_FULL


@pytest.mark.parametrize(
    ("values", "rejections_per_s", "unreadable"),
    [
        ([b"4"], 4.0, ""),
        ([b" 2.5 ", b"3"], 2.5, ""),
        ([b"0"], 0.0, ""),
        ([b"many"], None, "brittle: many"),
        ([b"many", b"3"], 3.0, "brittle: many"),
        ([], None, ""),
    ],
)
def test_the_header_is_read(values, rejections_per_s, unreadable):
    headers = [(b"Server-Brittle", value) for value in values]
    signals = read_signals(200, headers, HEADER_NAMES, 0.0)
    assert signals.rejections_per_s == rejections_per_s
    assert signals.unreadable == unreadable
    assert signals.has_brittle_header is bool(values)
