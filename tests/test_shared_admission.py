"""Shared admission: reports, sums, levels, and what a gateway does with them.

The load itself is replayed in `tests/patterns/test_shared_room.py`.
"""

import asyncio
import itertools
import math
from random import Random
from types import SimpleNamespace

import msgspec
import pytest

from crowsill.clock import monotonic_s
from crowsill.control import service as service_module
from crowsill.control.gateway_reports import GatewayReports
from crowsill.control.quota_grants import QuotaBounds, QuotaGrants
from crowsill.control.service import MemberService
from crowsill.gateway.admission_level import (
    FORGET_AFTER_S,
    LEVEL_LIFETIME_S,
    LevelView,
    has_free_room,
)
from crowsill.gateway.quota import QuotaGrantClient
from crowsill.gateway.replica_registry import ReplicaRecord
from crowsill.gateway.request import CallerRequest
from crowsill.gateway.request_pressure import RequestPressure
from crowsill.gateway.selection import Choice, NoReplicaReason
from crowsill.gateway.shared_admission import SharedAdmission
from crowsill.gateway.wait_decision import WaitBudget
from crowsill.model.instances import Instance, LoadedModel
from crowsill.model.replica_use import ReplicaUse
from crowsill.model.service_pressure import (
    MAX_CODE,
    AdmissionLevel,
    PressureReport,
    ServiceLevel,
    ServicePressure,
    TenantDemand,
    TenantLevel,
    TenantWeight,
    admission_class,
    decode_rate,
    decode_rates,
    encode_rate,
    encode_rates,
)
from crowsill.model.tenants import RateUnit, Tenant
from crowsill.overload.fair_shares import TenantCut, tenant_cuts, tenant_weights
from crowsill.overload.level_keeper import LevelKeeper
from crowsill.overload.owed_work import OwedWork
from crowsill.overload.pressure_counter import PressureCounter
from crowsill.overload.pressure_sums import MAX_RATE, PressureSums, total_pressure
from crowsill.state.quota_use import QuotaUse
from crowsill.transport.group_contacts import GroupContacts
from crowsill.transport.messages import EntryStatus, Freshness, GrantReply, Heartbeat
from crowsill.transport.stream import LocalIdentity
from tests.gateway_world import (
    RETRY_DEADLINE_HEADER,
    never_respond,
    reject_not_run,
    respond_ok,
    run,
    world,
)
from tests.test_gateway_tenants import KEY, LIMITED_SHOP, ScriptedLeader, routes_with_tenants

# A tenant that asks three times its share, and one inside its share.
REPORT = PressureReport(
    [TenantWeight("hot"), TenantWeight("calm")],
    [
        ServicePressure(
            "s",
            200,
            100,
            60,
            [
                TenantDemand(0, encode_rates({1: 60.0, 3: 90.0}), encode_rate(60.0)),
                TenantDemand(1, encode_rates({3: 20.0})),
            ],
        )
    ],
)


def level(number=1, *, term=1, tenant="", cut_class=0, share_percent=0, service="plain"):
    cut = TenantLevel(0, cut_class, share_percent, 20)
    return AdmissionLevel(term, number, [ServiceLevel(service, 100, [cut])], [tenant])


def decide(keeper, seconds, *, term=1, report=REPORT, starts_s=0.0):
    """Report at each update for some seconds; return the last level."""
    decided = None
    for step in range(int(seconds / 0.25) + 1):
        now_s = starts_s + step * 0.25
        keeper.note_report("g1", report, now_s)
        decided = keeper.level(term, now_s)
    return decided


def budget_of(remaining_s, target_s=2.0):
    return WaitBudget(0.0, remaining_s, target_s, math.inf)


def refusal_s(view, tenant, number, *, draw=0.5, now_s=0.0, budget=None):
    return view.refusal_delay_s(
        "plain",
        tenant,
        number,
        budget=budget or budget_of(30.0),
        response_s=0.3,
        draws=(draw, 0.0),
        now_s=now_s,
    )


# Sizes.


def full_report():
    tenants = [f"tenant-{number:02d}" for number in range(16)]
    counter = PressureCounter(0.0)
    random = Random(1)
    for service in ("engines", "embedding", "member-gateway"):
        for tenant in tenants:
            for rank in range(1, 9):
                work = random.uniform(100.0, 100_000.0)
                counter.note_asked(service, tenant, admission_class(rank), work)
            counter.note_refused(service, tenant, random.uniform(100.0, 100_000.0))
        counter.note_started(service, 1e6)
        counter.note_full(service, 1e6)
    return counter.collect(dict.fromkeys(tenants, 250), 0.5)


def test_reports_and_levels_take_well_under_4_kilobytes_a_second():
    report = full_report()
    keeper = LevelKeeper()
    decided = decide(keeper, 2.0, report=report)
    assert len(decided.services) == 3 and all(item.cuts for item in decided.services)
    worst = [TenantLevel(place, 9, 75, 100) for place in range(16)]
    services = [ServiceLevel(item.service, 10**7, worst) for item in decided.services]
    tenants = [item.tenant for item in report.tenants]
    full_level = AdmissionLevel(9, 9999, services, tenants)
    report_bytes = len(msgspec.msgpack.encode(report))
    level_bytes = len(msgspec.msgpack.encode(full_level))
    sum_bytes = len(msgspec.msgpack.encode(keeper.sum_report(2.0)))
    # A gateway sends and receives two a second; every cell is in use, and every tenant cut.
    assert 2 * (report_bytes + level_bytes) < 3300
    assert sum_bytes < 1.1 * report_bytes
    # A follower sends four a second. Usually one service is overloaded; the others cost little.
    one_service = PressureReport(report.tenants, report.services[:1])
    calm = [msgspec.structs.replace(item, full=0) for item in report.services[1:]]
    keeper = LevelKeeper()
    keeper.note_report("g1", PressureReport(report.tenants, [*one_service.services, *calm]), 0.0)
    one_level = AdmissionLevel(9, 9999, services[:1], tenants)
    sum_bytes = len(msgspec.msgpack.encode(keeper.sum_report(0.0)))
    assert 4 * (sum_bytes + len(msgspec.msgpack.encode(one_level))) < 3700
    # The usual: five requests in half a second, one of four tenants cut.
    counter = PressureCounter(0.0)
    for place in range(5):
        counter.note_asked("engines", f"tenant-{place:02d}", 5, 2400.0)
    usual = len(msgspec.msgpack.encode(counter.collect({}, 0.5)))
    assert usual < 200


def test_rates_survive_their_encoding_within_a_few_percent():
    for rate in (0.5, 2.0, 61.0, 2400.0, 312_000.0, 9e6):
        assert abs(decode_rates(encode_rates({7: rate}))[7] / rate - 1.0) < 0.08
    assert encode_rates({1: 1e30}) == bytes([0, MAX_CODE])
    # A report may hold any bytes.
    assert max(decode_rates(b"\xff" * 500)) == admission_class(15)


# Sums and levels at members.


def test_a_report_replaces_the_last_one_of_its_gateway_and_expires():
    sums = PressureSums()
    sums.note("g1", REPORT, 0.0)
    sums.note("g1", REPORT, 0.5)
    sums.note("g2", REPORT, 0.1)
    assert total_pressure(sums.live(0.5)).services["s"].started == 200.0
    assert total_pressure(sums.live(1.7)).services["s"].started == 100.0
    assert sums.live(9.0) == []


def test_absurd_figures_in_a_report_do_no_harm():
    demands = [TenantDemand(7, b"\xff"), TenantDemand(-1, b"\xff"), TenantDemand(0, b"\xff" * 999)]
    pressure = ServicePressure("s", -5, 10**30, -(10**30), demands)
    report = PressureReport([TenantWeight("a", -3)], [pressure])
    total = total_pressure([report, REPORT])
    found = total.services["s"]
    assert found.started <= 2 * MAX_RATE and found.full == 60.0 and found.requests == 200.0
    assert total.weights["a"] == 1
    assert set(found.asked) == {"a", "hot", "calm"}
    keeper = LevelKeeper()
    keeper.note_report("g1", report, 0.0)
    assert keeper.level(1, 0.0).services == []
    many = [TenantWeight(f"t{number}") for number in range(5000)]
    services = [ServicePressure(f"s{number}", 1, 1, 1, []) for number in range(5000)]
    total = total_pressure([PressureReport(many, services)])
    assert len(total.weights) <= 256 and len(total.services) <= 64


def test_the_leader_cuts_only_the_tenant_beyond_its_share():
    decided = decide(LevelKeeper(), 3.0)
    assert decided.tenants == ["hot"]
    hot = decided.services[0].cuts[0]
    # Its more urgent class is admitted in full first.
    assert hot.cut_class == 3 and 0 <= hot.share_percent < 60


@pytest.mark.parametrize(
    ("requests", "started", "full"),
    [(6, 3, 3), (200, 0, 60), (200, 100, 2)],
    ids=["very few requests", "all replicas crashed", "room enough"],
)
def test_no_level_without_lack_of_room(requests, started, full):
    pressure = msgspec.structs.replace(
        REPORT.services[0], requests=requests, started=started, full=full
    )
    report = PressureReport(REPORT.tenants, [pressure])
    assert decide(LevelKeeper(), 5.0, report=report).services == []


def test_a_level_ends_at_once_when_all_replicas_crash():
    keeper = LevelKeeper()
    assert decide(keeper, 3.0).services
    crashed = msgspec.structs.replace(REPORT.services[0], started=0, full=0)
    report = PressureReport(REPORT.tenants, [crashed])
    assert decide(keeper, 1.0, report=report, starts_s=3.25).services == []


def test_a_new_leader_starts_from_the_level_that_it_followed():
    former, follower = LevelKeeper(), LevelKeeper()
    decided = decide(former, 3.0)
    follower.note_level(decided, 3.0)
    follower.note_report("g1", REPORT, 3.5)
    inherited = follower.level(2, 3.5)
    assert inherited.term == 2 and inherited.services[0].target == decided.services[0].target
    stale = LevelKeeper()
    stale.note_level(decided, 3.0)
    stale.note_report("g1", REPORT, 9.0)
    assert stale.level(2, 9.0).services == []


def test_a_leader_that_lost_its_lead_passes_on_only_what_the_new_one_decides():
    keeper = LevelKeeper()
    assert decide(keeper, 3.0).services
    assert keeper.level(None, 3.5) is None
    keeper.note_level(level(1, term=2), 3.6)
    assert keeper.level(None, 3.7).term == 2
    assert keeper.level(3, 9.0).services == [], "what it followed is too old to start from"


def test_a_follower_passes_on_the_newest_level_for_a_while():
    keeper = LevelKeeper()
    keeper.note_level(level(5), 0.0)
    keeper.note_level(level(4), 0.1)
    assert keeper.level(None, 0.9).number == 5
    assert keeper.level(None, 1.2) is None


def test_weights_follow_rates_only_where_all_tenants_have_them_in_one_unit():
    rated = [Tenant("a", rate_per_s=30.0), Tenant("b", rate_per_s=10.0)]
    assert tenant_weights(rated) == {"a": 150, "b": 50}
    assert tenant_weights([*rated, Tenant("free")]) == {}
    assert tenant_weights([*rated, Tenant("c", rate_per_s=5.0, unit=RateUnit.TOKENS)]) == {}
    asked = {"a": {1: 100.0}, "b": {1: 100.0}}
    cut = {
        item.tenant: item.share_percent
        for item in tenant_cuts(asked, {"a": 150, "b": 50}, 80.0, {})
    }
    assert cut == {"a": 60, "b": 20}


def test_a_tenant_is_judged_by_its_work_and_one_with_few_requests_is_not_cut():
    # A long request of 40,000 tokens a second weighs more than many short ones.
    asked = {"long": {1: 40_000.0}, "short": {1: 9_000.0}, "": {1: 500.0}}
    assert [item.tenant for item in tenant_cuts(asked, {}, 30_000.0, {})] == ["long"]


def test_without_tenants_the_more_urgent_class_is_admitted_first():
    cuts = tenant_cuts({"": {0: 10.0, 1: 50.0, 3: 100.0}}, {}, 80.0, {"": 1.5})
    assert cuts == [TenantCut("", 3, 20, 1.5)]


# The gateway's decision.


def test_levels_that_are_late_or_out_of_order_are_ignored():
    view = LevelView()
    assert view.note(level(7, term=2), 0.0)
    assert not view.note(level(8, term=1), 0.1)
    assert not view.note(level(7, term=2), 0.2), "an equal one does not renew the lifetime"
    assert view.note(level(1, term=3), 0.3)
    # A group that was formed anew starts with lower terms.
    assert not view.note(level(1, term=1), 0.3 + FORGET_AFTER_S - 0.1)
    assert view.note(level(1, term=1), 0.3 + FORGET_AFTER_S)


def test_a_level_that_is_not_renewed_expires():
    view = LevelView()
    view.note(level(), 0.0)
    assert refusal_s(view, "", 3, now_s=LEVEL_LIFETIME_S - 0.1) is not None
    assert refusal_s(view, "", 3, now_s=LEVEL_LIFETIME_S + 0.1) is None
    assert view.limited_services(LEVEL_LIFETIME_S + 0.1) == frozenset()


def test_the_more_urgent_is_admitted_never_less():
    view, random = LevelView(), Random(1)
    view.note(level(cut_class=5, share_percent=40), 0.0)
    admitted = [
        sum(refusal_s(view, "", number, draw=random.random()) is None for _ in range(1000))
        for number in range(10)
    ]
    assert admitted == sorted(admitted, reverse=True)
    assert admitted[:5] == [1000] * 5 and 350 < admitted[5] < 450 and admitted[6:] == [0] * 4
    assert refusal_s(view, "other", 9) is None


def test_refused_callers_are_told_to_come_back_at_different_times_before_their_deadlines():
    view, random = LevelView(), Random(1)
    view.note(level(), 0.0)
    delays_s = [
        view.refusal_delay_s(
            "plain",
            "",
            3,
            budget=budget_of(remaining_s),
            response_s=0.3,
            draws=(0.5, random.random()),
            now_s=0.0,
        )
        for remaining_s in (30.0, 3.0)
        for _ in range(200)
    ]
    assert 2.0 <= min(delays_s[:200]) < 2.1 and 3.9 < max(delays_s[:200]) <= 4.0
    assert all(1.0 <= delay_s <= 2.7 for delay_s in delays_s[200:])


def admitted_share(view, budget, number):
    random = Random(1)
    draws = [random.random() for _ in range(2000)]
    return sum(
        refusal_s(view, "", number, draw=draw, budget=budget) is None for draw in draws
    ) / len(draws)


@pytest.mark.parametrize("number", [3, 4])
def test_the_less_time_callers_have_to_come_back_the_more_are_admitted_without_a_jump(number):
    view = LevelView()
    view.note(level(cut_class=3, share_percent=40), 0.0)
    lefts_s = [tenths / 10.0 for tenths in range(4, 80)]
    # As for callers that have less time than their route gives: the target is shorter, too.
    shares = [admitted_share(view, budget_of(left_s, left_s / 4.0), number) for left_s in lefts_s]
    assert shares == sorted(shares, reverse=True)
    # Coming back after a second costs all, or nothing.
    assert shares[0] == 1.0 and 0.3 < admitted_share(view, budget_of(30.0), 3) < 0.5
    assert admitted_share(view, budget_of(30.0), 4) == 0.0
    steps = [before - after for before, after in itertools.pairwise(shares)]
    assert max(steps) < 0.2


def engines_with(*used, model="m", reported_at_s=10.0):
    records = []
    for number, requests in enumerate(used):
        models = [LoadedModel(model)]
        instance = Instance(f"i-{number}", "s", "127.0.0.1:1", "z", 8, models=models)
        records.append(ReplicaRecord(instance))
        records[-1].note_peer_use(ReplicaUse(requests), reported_at_s)
    return records


def test_nothing_is_refused_while_the_replicas_that_could_run_it_have_room():
    request = CallerRequest(b"POST", b"/", [], b"", True, 0.0, model="m")

    def has_room(records, *, expected_ms=150.0, now_s=10.2):
        choice = Choice(records[0], expected_ms, 0, 1)
        return has_free_room(records, request, choice, idle_ms=100.0, now_s=now_s)

    assert has_room(engines_with(8, 3))
    # A service may be overloaded for other models only.
    assert has_room([*engines_with(8, 8, model="other"), *engines_with(2)])
    assert not has_room([*engines_with(0, 0, model="other"), *engines_with(8)])
    # Of many small replicas some have free places by chance.
    assert not has_room(engines_with(3, 8, 8, 7, 8, 7))
    # An engine with long prompts is busy with few requests.
    assert not has_room(engines_with(2), expected_ms=250.0)
    assert not has_room(engines_with(2), now_s=20.0), "what others have there is not known"
    full = NoReplicaReason.ALL_FULL
    assert not has_free_room(engines_with(2), request, full, idle_ms=100.0, now_s=10.2)


# What a request contributes.


def request_pressure(**more):
    shared = SharedAdmission(Random(1))
    context = SimpleNamespace(
        shared_admission=shared, registry=SimpleNamespace(of_service=lambda _service: [])
    )
    request = CallerRequest(
        b"POST", b"/", [], b"", True, 0.0, model="m", prompt_tokens=100, output_tokens=50
    )
    pressure = RequestPressure(context, request, is_from_peer=False, **more)
    route = SimpleNamespace(
        timeout_ms=5000.0, target_latency_ms=500.0, target_gap_ms=0.0, kind=None, rank=2
    )
    admission = SimpleNamespace(rank=lambda _route: 2, tenant=None)
    assert pressure.admit(route, "s", admission, lambda _route: None) is None
    return shared, pressure


def collected(shared):
    report = shared.counter.collect({}, shared.counter.started_at_s + 1.0)
    return report.services[0] if report.services else None


def test_a_request_counts_once_however_often_it_looks_for_a_replica():
    shared, pressure = request_pressure()
    for _ in range(5):
        pressure.note_no_replica(NoReplicaReason.ALL_FULL)
    pressure.note_rejected(NoReplicaReason.ALL_FULL)
    found = collected(shared)
    assert (found.requests, found.started, found.full) == (1, 0, 150)
    assert abs(decode_rate(found.demands[0].refused) / 150.0 - 1.0) < 0.04


@pytest.mark.parametrize(
    "reason",
    [
        NoReplicaReason.NO_MODEL,
        NoReplicaReason.NO_REPLICA,
        NoReplicaReason.UNREACHABLE,
        NoReplicaReason.ALL_CLOSED,
    ],
)
def test_what_fails_for_another_reason_than_room_is_no_pressure(reason):
    shared, pressure = request_pressure()
    pressure.note_no_replica(reason)
    pressure.note_rejected(reason)
    found = collected(shared)
    assert found is None or (found.requests, found.full, found.demands) == (0, 0, [])


def test_a_request_that_a_replica_rejected_is_not_counted_as_started():
    shared, pressure = request_pressure()
    pressure.note_sent()
    pressure.note_end(None)
    pressure.note_sent()
    assert collected(shared).started == 150


def test_what_is_taken_back_late_reduces_one_more_report_and_then_ends():
    counter = PressureCounter(0.0)
    counter.note_asked("s", "t", 3, 10.0)
    assert counter.collect({}, 1.0).services
    counter.note_asked("s", "t", 3, -10.0)
    assert counter.collect({}, 2.0).tenants == []
    counter.note_asked("s", "t", 3, 25.0)
    assert decode_rates(counter.collect({}, 3.0).services[0].demands[0].asked)[3] < 16.0
    assert counter.collect({}, 4.0).services == []


# A gateway and a member, on and off.


def test_a_request_that_is_not_admitted_is_refused_at_once_as_not_run():
    async def scenario():
        async with world(respond_ok) as here:
            here.role.shared_admission = SharedAdmission(Random(1))
            here.role.shared_admission.view.note(level(), monotonic_s())
            status, headers, body = await (await here.caller()).request("once")
            assert status == 503 and 1.0 <= float(headers["retry-after"]) <= 2.7
            assert b"overloaded" in body and b"not_run" in body
            assert here._replicas[0].requests == []
            here.role.shared_admission.view = LevelView()
            assert (await (await here.caller()).request("once"))[0] == 200

    run(scenario())


def test_units_of_a_request_that_is_not_admitted_are_returned():
    async def scenario():
        configuration = routes_with_tenants(LIMITED_SHOP)
        async with world(respond_ok, configuration=configuration) as here:
            leader = ScriptedLeader(GrantReply(True, 0.0, 5.0))
            here.role.quota_grants = QuotaGrantClient(leader.query)
            here.role.shared_admission = SharedAdmission(Random(1))
            here.role.shared_admission.view.note(level(tenant="shop"), monotonic_s())
            assert (await (await here.caller()).request("once", headers=[KEY]))[0] == 503
            here.role.shared_admission.view = LevelView()
            assert (await (await here.caller()).request("once", headers=[KEY]))[0] == 200
            assert len(leader.requests) == 1

    run(scenario())


def test_a_caller_that_leaves_while_its_request_is_held_leaves_nothing_behind():
    async def scenario():
        async with world(never_respond) as here:
            here.role.shared_admission = shared = SharedAdmission(Random(1))
            caller = await here.caller()
            caller.send("once")
            await asyncio.sleep(0.1)
            caller.disconnect()
            await asyncio.sleep(0.1)
            assert shared.report().services[0].requests > 0
            for _ in range(2):
                await asyncio.sleep(0.01)
                shared.report()
            assert shared.report() == PressureReport()

    run(scenario())


@pytest.mark.parametrize("cut_class, status", [(5, 503), (6, 200)])
def test_callers_of_one_rank_are_admitted_alike_however_often_they_tried(cut_class, status):
    async def scenario():
        async with world(respond_ok) as here:
            here.role.shared_admission = SharedAdmission(Random(1))
            cut = level(cut_class=admission_class(cut_class))
            here.role.shared_admission.view.note(cut, monotonic_s())
            for headers in ([], [RETRY_DEADLINE_HEADER]):
                assert (await (await here.caller()).request("once", headers=headers))[0] == status
            demands = here.role.shared_admission.report().services[0].demands
            assert [list(decode_rates(demand.asked)) for demand in demands] == [[5]]

    run(scenario())


def test_callers_that_are_refused_later_are_told_to_come_after_those_before():
    owed = OwedWork()
    cut = TenantCut("a", 1, 50, 0.0)
    asked = {1: 20.0}
    told = [owed.retry_after_s(cut, asked, 0.0)]
    for _ in range(40):
        owed.update({"a": 10.0}, {"a": told[-1]}, 0.25)
        told.append(owed.retry_after_s(cut, asked, 0.0))
    assert told == sorted(told) and told[0] == 1.0 < told[-1]
    # Once nothing is refused, what is owed comes back at the times told, and no later.
    for _ in range(80):
        owed.update({}, {}, 0.25)
    assert owed.of("a") == 0.0


def test_a_request_that_a_peer_passes_on_is_neither_judged_nor_counted():
    shared = SharedAdmission(Random(1))
    shared.view.note(level(service="s"), monotonic_s())
    request = CallerRequest(b"POST", b"/", [], b"", True, 0.0)
    pressure = RequestPressure(
        SimpleNamespace(shared_admission=shared, registry=None), request, is_from_peer=True
    )
    assert pressure.admit(None, "s", None, None) is None
    pressure.note_sent()
    pressure.note_end(None)
    pressure.note_rejected(NoReplicaReason.ALL_FULL)
    assert shared.report() == PressureReport()


def test_rejections_by_replicas_are_reported_as_full():
    async def scenario():
        async with world(reject_not_run) as here:
            here.role.shared_admission = SharedAdmission(Random(1))
            assert (await (await here.caller()).request("short"))[0] == 503
            report = here.role.shared_admission.report()
            assert report.services[0].service == "plain"
            assert report.services[0].full > 0 and report.services[0].started == 0

    run(scenario())


def test_switched_off_a_gateway_reports_nothing_and_judges_nothing():
    async def scenario():
        async with world(respond_ok) as here:
            assert here.role.shared_admission is None
            assert here.role._follower._hooks.pressure() is None
            assert (await (await here.caller()).request("once"))[0] == 200

    run(scenario())
    heartbeat = Heartbeat(0, 0, [EntryStatus("g1.1", "g1", "z", 0)])
    fields = msgspec.msgpack.decode(msgspec.msgpack.encode(heartbeat))
    assert fields.pop("pressure") is None
    assert len(fields) == len(Heartbeat.__struct_fields__)


def test_a_member_keeps_nothing_of_gateways_that_report_nothing():
    reports = GatewayReports()
    reports.use.note("g1.1", {}, 0.0)
    reports.note(Heartbeat(0, 0, [EntryStatus("g1.1", "g1", "z", 0)]), 0.0)
    assert reports.make_heartbeat("leader", (0, 0), 0.0).pressure is None
    assert reports.levels.sum_report(0.0) is None


def test_a_member_replies_with_the_level_only_to_those_that_report(monkeypatch):
    monkeypatch.setattr(service_module, "PROCESS_STARTED_S", float("-inf"))
    subscribers = SimpleNamespace(subscribe=lambda _connection, _heartbeat: None)
    grants = QuotaGrants(QuotaBounds(), QuotaUse(), lambda: None)
    local = LocalIdentity("c1", "c1.1", "z", b"k" * 32)
    contacts = GroupContacts([], Random(1))
    service = MemberService(local, False, subscribers, None, contacts, quota=grants, retries=None)
    service.driver = SimpleNamespace(is_leader=True, node=SimpleNamespace(term=4))
    service.own_freshness = lambda: Freshness(0, 3)
    service._has_applied = lambda _freshness: True

    async def send_heartbeat(source, **more):
        stream = SimpleNamespace(peer=SimpleNamespace(identity=source, node=source, zone="z"))
        return await service.on_request(stream, Heartbeat(0, 0, [], **more))

    async def scenario():
        reply = await send_heartbeat("g1.1", in_use={}, pressure=REPORT)
        assert (reply.level.term, reply.level.number) == (4, 1) and reply.in_use is not None
        assert (await send_heartbeat("g2.1", in_use={})).level is None

    asyncio.run(scenario())


def test_a_follower_reports_its_sum_and_keeps_the_level_of_the_leader():
    grants = QuotaGrants(QuotaBounds(), QuotaUse(), lambda: None)
    local = LocalIdentity("c2", "c2.1", "z", b"k" * 32)
    subscribers = SimpleNamespace(fleet_position=lambda: (0, 0))
    service = MemberService(
        local, False, subscribers, None, GroupContacts([], Random(1)), quota=grants, retries=None
    )
    sent = []

    async def reply(request, _timeout_s):
        sent.append(request)
        return Freshness(0, 3, in_use={}, level=level(7))

    service.leader_stream = SimpleNamespace(is_closed=False, request=reply)
    service.reports.levels.note_report("g1", REPORT, monotonic_s())
    shared_reply = asyncio.run(service._query_leader())
    assert sent[0].pressure.services[0].started == 100
    assert shared_reply.level is None, "each subscriber's own reply carries it"
    assert service.reports.levels.level(None, monotonic_s()).number == 7
