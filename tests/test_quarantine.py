"""Which crashes count against a request, and which don't.

Up to a hundred other requests run at a replica that one request crashes. Resets, stops, replicas
that accept no more connections, racks that fail at once and many callers with one body must not
quarantine any of those. Other ids, headers, framing, gateways and leaders must not hide a culprit.
"""

import asyncio
from types import SimpleNamespace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from crowsill.gateway.crash_guard import CrashGuard
from crowsill.gateway.fingerprint import Fingerprints
from crowsill.state.commands import ClearSuspects, RecordCrash
from crowsill.state.crash_record import MAX_SUSPECTS, CrashRecord
from crowsill.state.machine import StateMachine
from tests.crash_world import request, suspect
from tests.gateway_world import ID, encode_response, respond_ok, run, world

KEY = b"k" * 32


# Identity.


@pytest.mark.parametrize(
    "changes",
    [
        {"request_id": b"other"},
        {"wait_ms": 10.0},
        {"headers": [(b"X", b"1"), (b"HOST", b"h")]},
        {"keep_alive": False},
        {"arrived_at_s": 99.0},
    ],
)
def test_what_differs_between_attempts_is_not_part_of_the_fingerprint(changes):
    made = Fingerprints(KEY)
    assert made.of(request(), "") == made.of(request(**changes), "")


@pytest.mark.parametrize(
    "changes",
    [
        {"method": b"PUT"},
        {"target": b"/pay/a?q=2"},
        {"target": b"/pay/a", "body": b"?q=1body"},
        {"host": "other"},
        {"body": b"bodies"},
        {"body": b""},
    ],
)
def test_what_makes_another_request_is_part_of_the_fingerprint(changes):
    made = Fingerprints(KEY)
    assert made.of(request(), "") != made.of(request(**changes), "")


def test_callers_with_keys_are_distinguished_by_tenant():
    made = Fingerprints(KEY)
    assert made.of(request(), "t") != made.of(request(), "u")
    assert made.of(request(), "") != Fingerprints(b"other").of(request(), "")


def test_the_framing_of_a_body_is_not_part_of_the_fingerprint():
    seen = []

    async def scenario():
        async with world(respond_ok) as played:
            role = played.role
            handle = role.handle
            role.handle = lambda connection, read: (
                seen.append(role.fingerprints.of(read, "")),
                handle(connection, read),
            )
            caller = await played.caller()
            await caller.request("once", "r1", b"abcdef")
            lines = ["POST /once/x?q=1 HTTP/1.1", f"{ID}: r2", "HOST: h.example:80"]
            head = "\r\n".join([*lines, "Transfer-Encoding: chunked"]) + "\r\n\r\n"
            caller.writer.write(head.encode() + b"2\r\nab\r\n4\r\ncdef\r\n0\r\n\r\n")
            status, headers = await caller.head()
            assert status == 200 and await caller.body(headers)

    run(scenario())
    assert len(seen) == 2 and seen[0] == seen[1]


# What the group counts.


def test_simultaneous_crashes_of_a_rack_count_once():
    record = CrashRecord()
    for number, instance_id in enumerate("abcdefgh"):
        record.record(instance_id, [suspect(ran_s=0.4)], 10.0 + number * 0.03)
    assert len(record.find(b"f").crashed_instances) == 1


def test_duplicates_sent_one_after_the_other_count_each():
    record = CrashRecord()
    for number, instance_id in enumerate("abc"):
        record.record(instance_id, [suspect(ran_s=0.05)], 10.0 + number * 0.1)
    assert record.find(b"f").is_quarantined


def test_an_attempt_that_knew_of_the_last_crash_counts_however_late_that_is_reported():
    """An attempt that knew of the last crash counts, even if that crash is reported later.

    Under load, a gateway retried the request 36 ms after the first crash, and the report of that
    crash arrived after the report of the next one. The retry then seemed to be sent before the
    first crash, so it did not count, and 4 replicas crashed instead of 3.
    """
    record = CrashRecord()
    record.record("a", [suspect()], 10.05)
    record.record("b", [suspect(ran_s=0.02, known_crashes=1)], 10.06)
    assert len(record.find(b"f").crashed_instances) == 2
    record.record("c", [suspect(ran_s=0.02, known_crashes=1)], 10.07)
    assert len(record.find(b"f").crashed_instances) == 2, (
        "it was sent at the same time as the one before"
    )


def test_a_clock_that_jumps_back_hides_no_crash():
    record = CrashRecord()
    for instance_id, crashed_at_s in (("a", 100.0), ("b", 97.6), ("c", 98.2)):
        record.record(instance_id, [suspect()], crashed_at_s)
    assert record.find(b"f").is_quarantined


def test_the_record_is_bounded_and_keeps_requests_with_most_crashes():
    record = CrashRecord()
    for instance_id, crashed_at_s in (("a", 1.0), ("b", 2.0), ("c", 3.0)):
        record.record(instance_id, [suspect(b"culprit")], crashed_at_s)
    for number in range(MAX_SUSPECTS + 50):
        record.record(f"l{number}", [suspect(b"%d" % number)], 4.0 + number)
    assert len(record.suspects) == MAX_SUSPECTS
    assert record.find(b"culprit").is_quarantined
    assert record.find(b"0") is None and record.find(b"%d" % (MAX_SUSPECTS + 49)) is not None


INSTANCES = st.sampled_from(["a", "b", "c", "d"])
FINGERPRINTS = st.sampled_from([b"f", b"g", b"h"])
CRASHES = st.builds(
    lambda instance_id, ran_s, ago_s: RecordCrash(
        instance_id, [suspect(item, ran_s) for item, ran_s in ran_s.items()], ago_s
    ),
    INSTANCES,
    st.dictionaries(FINGERPRINTS, st.sampled_from([0.01, 0.1])),
    st.sampled_from([0.0, 0.2, 5.0]),
)
CLEARS = st.builds(
    ClearSuspects,
    st.lists(FINGERPRINTS, unique=True),
    st.just("answered whole"),
    completed_ago_s=st.lists(st.sampled_from([0.0, 50.0, 61.0, float("inf")]), max_size=3),
)


@settings(max_examples=200)
@given(st.lists(st.one_of(CRASHES, CLEARS), max_size=30), st.integers(0, 30))
def test_gateways_know_what_the_group_knows(commands, restart_at):
    """A gateway that gets each change, one that starts later and a restored member agree."""
    machine, follower, latecomer = StateMachine(), CrashGuard(), CrashGuard()
    never_restored = StateMachine()
    for number, command in enumerate(commands):
        if number == restart_at:
            restored = StateMachine()
            restored.restore(machine.snapshot())
            machine = restored
            latecomer.adopt(machine.crashes.full_change(), True)
        before = machine.crashes.version
        stamped = type(command)(**{**_fields(command), "at_s": 10.0 + number})
        changed = machine.apply(stamped).accepted
        assert never_restored.apply(stamped).accepted == changed
        assert changed == (machine.crashes.version > before)
        if changed:
            follower.adopt(machine.crashes.last_change, False)
            # A change that is sent twice, or late, has no effect.
            follower.adopt(machine.crashes.last_change, False)
            if number >= restart_at:
                latecomer.adopt(machine.crashes.last_change, False)
    assert machine.crashes.dump() == never_restored.crashes.dump()
    known = {item.request.fingerprint: item for item in machine.crashes.suspects}
    for guard in (follower, latecomer) if restart_at < len(commands) else (follower,):
        for fingerprint in (b"f", b"g", b"h"):
            is_quarantined = fingerprint in known and known[fingerprint].is_quarantined
            assert guard.is_quarantined(fingerprint) == is_quarantined
            assert guard.is_suspect(fingerprint) == (fingerprint in known)


def _fields(command):
    return {name: getattr(command, name) for name in command.__struct_fields__}


def test_the_count_of_one_leader_is_known_to_the_next():
    first, second = StateMachine(), StateMachine()
    for machine in (first, second):
        for instance_id, at_s in (("a", 1.0), ("b", 2.0)):
            machine.apply(RecordCrash(instance_id, [suspect()], 0.0, at_s))
    second.apply(RecordCrash("c", [suspect()], 0.0, 3.0))
    assert not first.crashes.find(b"f").is_quarantined
    assert second.crashes.find(b"f").is_quarantined


# Decisions of an exchange.


def _quarantine(role, fingerprint):
    record = CrashRecord()
    for instance_id, crashed_at_s in (("a", 1.0), ("b", 2.0), ("c", 3.0)):
        record.record(instance_id, [suspect(fingerprint)], crashed_at_s)
    role.crash_guard.adopt(record.full_change(), True)


def test_a_quarantined_request_is_rejected_at_once_as_not_run():
    async def scenario():
        async with world(respond_ok, respond_ok) as played:
            caller = await played.caller()
            role = played.role
            found = request(target=b"/once/x?q=1", host="h.example", body=b"culprit")
            _quarantine(role, role.fingerprints.of(found, ""))
            counted = []
            role.demand.note_request = lambda *words: counted.append(words)
            status, headers, body = await caller.request("once", "r1", b"culprit")
            assert (status, headers["retry-after"]) == (503, "300")
            assert b'"kind":"quarantined","outcome":"not_run"' in body
            assert counted == []
            status, _, _ = await caller.request("once", "r2", b"innocent")
            assert status == 200 and len(counted) == 1
            assert sum(len(replica.requests) for replica in played._replicas) == 1

    run(scenario())


def test_a_suspect_waits_for_its_running_duplicate():
    gate = asyncio.Event()
    running = SimpleNamespace(now=0, highest=0)

    async def slow(headers, writer, _number):
        running.now += 1
        running.highest = max(running.highest, running.now)
        await gate.wait()
        running.now -= 1
        writer.write(encode_response(headers[ID]))
        return True

    async def scenario():
        async with world(slow, slow) as played:
            role = played.role
            found = request(target=b"/once/x?q=1", host="h.example", body=b"s")
            record = CrashRecord()
            record.record("a", [suspect(role.fingerprints.of(found, ""))], 1.0)
            role.crash_guard.adopt(record.full_change(), True)
            callers = [await played.caller() for _ in range(3)]
            asking = [
                asyncio.create_task(caller.request("once", f"r{number}", b"s"))
                for number, caller in enumerate(callers)
            ]
            await asyncio.sleep(0.3)
            gate.set()
            assert [(await task)[0] for task in asking] == [200, 200, 200]
            assert running.highest == 1

    run(scenario())


def test_crashes_explained_by_other_requests_do_not_count():
    """Crashes that two culprits explain must not quarantine a crowd of identical requests.

    All three replicas of a service crash repeatedly within 2 s under two requests. The crowd runs
    at three of these crashes before it has ever succeeded. Each of the three belongs to one of the
    culprits, both of which crash further replicas.
    """
    record = CrashRecord()
    seen = [
        ("i-2@962", 46.65, [b"safe/c"]),
        ("i-1@962", 46.82, [b"once/c", b"crowd"]),
        ("i-3@963", 47.34, [b"safe/c", b"crowd"]),
        ("i-1@588", 47.80, [b"once/c", b"crowd"]),
        ("i-2@046", 48.14, [b"once/c"]),
        ("i-3@119", 48.75, [b"safe/c"]),
    ]
    for instance_id, crashed_at_s, fingerprints in seen:
        record.record(
            instance_id, [suspect(item, ran_s=0.01) for item in fingerprints], crashed_at_s
        )
    quarantined = {item.request.fingerprint for item in record.suspects if item.is_quarantined}
    assert quarantined == {b"once/c", b"safe/c"}
    assert record.find(b"crowd") is None


def test_of_two_requests_with_the_same_crashes_one_is_released():
    """A culprit and a crowd that ran at the same three crashes must not both stay quarantined.

    All three replicas crash in the first 0.6 s, before either has succeeded, so only the running
    times differ: the replicas crashed 1 to 4 ms after they started the culprit and 5 to 31 ms after
    they started the crowd. While quarantined, the crowd could never succeed and be cleared.
    """
    record = CrashRecord()
    for instance_id, crashed_at_s in (("i-2", 42.85), ("i-1", 43.30), ("i-3", 43.75)):
        ran = [suspect(b"crowd", ran_s=0.02), suspect(b"culprit", ran_s=0.001)]
        record.record(instance_id, ran, crashed_at_s)
    quarantined = {item.request.fingerprint for item in record.suspects if item.is_quarantined}
    assert quarantined == {b"culprit"}
    follower, latecomer = CrashGuard(), CrashGuard()
    follower.adopt(record.last_change, False)
    latecomer.adopt(record.full_change(), True)
    for guard in (follower, latecomer):
        assert guard.is_quarantined(b"culprit") and not guard.is_quarantined(b"crowd")
        assert not guard.may_repeat(b"crowd"), "it is sent once and not retried"


@pytest.mark.parametrize("is_slow", [False, True])
def test_releasing_the_wrong_request_costs_one_crash_and_clears_the_other(is_slow):
    record = CrashRecord()
    culprit_s, crowd_s = (0.05, 0.001) if is_slow else (0.001, 0.05)
    for instance_id, crashed_at_s in (("i-2", 42.85), ("i-1", 43.30), ("i-3", 43.75)):
        ran = [suspect(b"crowd", ran_s=crowd_s), suspect(b"culprit", ran_s=culprit_s)]
        record.record(instance_id, ran, crashed_at_s)
    if is_slow:
        assert not record.find(b"culprit").is_quarantined
        record.record("i-4", [suspect(b"culprit", ran_s=culprit_s, known_crashes=2)], 44.5)
        assert record.find(b"crowd") is None
    assert record.find(b"culprit").is_quarantined


def test_crashes_of_two_culprits_do_not_count_against_a_crowd_before_both_are_known():
    """Two crashes of one culprit and the first of another must not quarantine a crowd.

    The second culprit is quarantined only after two further crashes, three seconds later; until
    then its first crash would count against the crowd.
    """
    record = CrashRecord()
    seen = [
        ("i-1@536", 36.0, {b"once/c": 0.002}),
        ("i-2@537", 36.5, {b"once/c": 0.001, b"crowd": 0.04}),
        ("i-3@604", 37.0, {b"once/c": 0.002, b"crowd": 0.06}),
        ("i-1@603", 38.2, {b"safe/c": 0.001, b"crowd": 0.03}),
    ]
    for instance_id, crashed_at_s, ran_s in seen:
        record.record(
            instance_id, [suspect(item, taken_s) for item, taken_s in ran_s.items()], crashed_at_s
        )
    assert record.find(b"once/c").is_quarantined
    assert not record.find(b"crowd").is_quarantined
