"""One gateway at a time runs a request during which a replica crashed, and the group remembers it.

Guards against crashes that only one gateway saw: it was killed, or no leader accepted its report,
and a request crashed up to seven replicas. Also against copies that several gateways sent at the
same moment.
"""

import asyncio

import pytest

from crowsill.errors import ErrorKind
from crowsill.gateway.suspect_runs import RunPermission, SuspectRunClient
from crowsill.model.instances import Instance, InstanceState, ReplicaHeartbeat
from crowsill.model.suspects import CRASH_LIMIT
from crowsill.state.commands import (
    Acknowledged,
    BeginSuspectRun,
    ClearSuspects,
    EndSuspectRun,
    RecordCrash,
    RecordHeartbeat,
    decode_batch,
    encode_batch,
)
from crowsill.state.crash_record import CrashRecord
from crowsill.state.machine import StateMachine
from crowsill.state.suspect_runs import RUN_LIFETIME_S
from crowsill.transport.messages import Submitted
from crowsill.transport.replica_messages import FinishSuspectRun, ReportCrash, StartSuspectRun
from tests.control_group import ControlGroup, FollowingGateway, until, until_done
from tests.crash_world import Port, Watched, at, settle, suspect
from tests.gateway_world import respond_ok, run, world


def begin(run_id, instance_id="a@1", fingerprint=b"f", at_s=10.0, **more):
    return BeginSuspectRun(run_id, suspect(fingerprint, **more), instance_id, at_s)


def heartbeat(started_ms, state=InstanceState.READY, sequence=1):
    instance = Instance(
        f"a@{started_ms}", "s", "127.0.0.1:1", "z", 8, state, replica="a", started_ms=started_ms
    )
    return RecordHeartbeat(ReplicaHeartbeat(instance, sequence), at_s=11.0)


def crashes_of(machine, fingerprint=b"f"):
    found = machine.crashes.find(fingerprint)
    return [] if found is None else found.counted_crashes


def test_a_crash_counts_against_a_run_whose_gateway_reports_nothing():
    machine = StateMachine()
    machine.apply(RecordCrash("z@1", [suspect()], 0.0, at_s=5.0))
    assert machine.apply(begin("r1")) == Acknowledged(True)
    # Another gateway saw the crash, with another request.
    machine.apply(RecordCrash("a@1", [suspect(b"g")], 0.0, at_s=11.0))
    assert machine.apply(begin("r2", "b@1", at_s=12.9)) == Acknowledged(False)
    assert machine.apply(begin("r2", "b@1", at_s=13.0)) == Acknowledged(True)
    assert crashes_of(machine) == ["z@1", "a@1"]


def test_a_run_that_its_gateway_ends_after_the_crash_does_not_count():
    """It was granted as the replica crashed, and never sent: 119 requests were quarantined."""
    machine = StateMachine()
    machine.apply(RecordCrash("z@1", [suspect()], 0.0, at_s=5.0))
    machine.apply(begin("r1"))
    machine.apply(RecordCrash("a@1", [suspect(b"g")], 0.0, at_s=11.0))
    machine.apply(EndSuspectRun("r1"))
    assert machine.apply(begin("r2", "b@1", at_s=20.0)) == Acknowledged(True)
    assert crashes_of(machine) == ["z@1"]


def test_an_interrupted_run_counts_if_another_gateway_saw_the_crash():
    """Its gateway kept one connection for longer, and took the replica for a running one."""
    machine = StateMachine()
    machine.apply(RecordCrash("z@1", [suspect()], 0.0, at_s=5.0))
    machine.apply(begin("r1"))
    machine.apply(RecordCrash("a@1", [suspect(b"g")], 0.0, at_s=11.0))
    machine.apply(EndSuspectRun("r1", is_interrupted=True))
    assert crashes_of(machine) == ["z@1", "a@1"]


def test_a_delayed_report_of_a_crash_does_not_hide_the_next_one():
    record = CrashRecord()
    record.record("a@1", [suspect(ran_s=0.01)], 5.0)
    # Sent at 5.5 and delayed for 1.5 s; the next crash was at 6.9, its request sent at 6.5.
    record.record("b@1", [suspect(ran_s=0.01)], 7.0)
    assert record.record("c@1", [suspect(ran_s=0.4)], 6.9) is None
    record.record("b@1", [suspect(ran_s=0.01)], 5.5)
    record.record("c@1", [suspect(ran_s=0.4)], 6.9)
    assert record.find(b"f").counted_crashes == ["a@1", "b@1", "c@1"]


@pytest.mark.parametrize(
    ("state", "expected"),
    [(InstanceState.READY, ["z@1", "a@1"]), (InstanceState.DRAINING, ["z@1"])],
)
def test_a_replica_that_restarts_while_it_runs_a_suspect_has_crashed_unless_it_drained(
    state, expected
):
    machine = StateMachine()
    machine.apply(heartbeat(1))
    machine.apply(heartbeat(1, state, sequence=2))
    machine.apply(RecordCrash("z@1", [suspect()], 0.0, at_s=5.0))
    machine.apply(begin("r1"))
    machine.apply(heartbeat(2))
    machine.apply(begin("r2", "b@1", at_s=13.0))
    assert crashes_of(machine) == expected


def test_a_run_ends_by_report_by_completion_or_after_its_lifetime():
    for end, at_s in [
        (EndSuspectRun("r1"), 11.0),
        (ClearSuspects([b"f"], "answered whole", 11.0, [0.0]), 11.0),
        (None, 10.0 + RUN_LIFETIME_S),
    ]:
        machine = StateMachine()
        assert machine.apply(begin("r1")) == Acknowledged(True)
        assert machine.apply(begin("r2", "b@1", at_s=10.5)) == Acknowledged(False)
        if end is not None:
            machine.apply(end)
        assert machine.apply(begin("r2", "b@1", at_s=at_s)) == Acknowledged(True)


def test_a_suspect_of_two_crashes_shares_no_replica_with_another_suspect():
    machine = StateMachine()
    machine.apply(begin("r1", fingerprint=b"f"))
    assert machine.apply(begin("r2", fingerprint=b"g", known_crashes=1)) == Acknowledged(True)
    alone = begin("r3", fingerprint=b"h", known_crashes=2)
    assert not machine.may_have_effect(alone, 10.0)
    assert machine.apply(alone) == Acknowledged(False)
    elsewhere = begin("r3", "b@1", b"h", known_crashes=2)
    assert machine.apply(elsewhere) == Acknowledged(True)


def test_a_quarantined_request_gets_no_run():
    machine = StateMachine()
    for number in range(CRASH_LIMIT):
        machine.apply(RecordCrash(f"i-{number}", [suspect()], 0.0, at_s=5.0 + number))
    assert machine.apply(begin("r1")) == Acknowledged(False)


def test_runs_are_replicated_and_part_of_the_snapshot():
    machine, copy = StateMachine(), StateMachine()
    for command in decode_batch(encode_batch([begin("r1")])):
        machine.apply(command)
    copy.restore(machine.snapshot())
    assert copy.digest() == machine.digest()
    assert copy.apply(begin("r2", "b@1")) == Acknowledged(False)


async def _is_granted(follower, run_id, instance_id):
    reply = await follower.query(StartSuspectRun(run_id, suspect(), instance_id), 2.0)
    return isinstance(reply, Submitted) and reply.result.accepted


def test_one_of_several_gateways_gets_the_run_and_the_next_one_after_its_end(tmp_path):
    async def scenario():
        group = ControlGroup(tmp_path)
        await group.start()
        await group.publish(1)
        gateways = [FollowingGateway(address) for address in group.addresses]
        for gateway in gateways:
            await gateway.start()
        try:
            await gateways[0].follower.query(ReportCrash("i-0", [suspect()], 0.0), 0.8)
            replies = await asyncio.gather(
                *(
                    gateway.follower.query(StartSuspectRun(f"r{number}", suspect(), "i-1"), 2.0)
                    for number, gateway in enumerate(gateways)
                )
            )
            granted = [
                number
                for number, reply in enumerate(replies)
                if isinstance(reply, Submitted) and reply.result.accepted
            ]
            assert len(granted) == 1
            follower = gateways[granted[0] - 1].follower
            await follower.query(FinishSuspectRun(f"r{granted[0]}"), 2.0)
            # A follower refuses what is in progress as far as it has applied the log.
            await until_done(lambda: _is_granted(follower, "next", "i-1"))
            # The group counts a crash of that replica if the holder does not report in time.
            holder = gateways[granted[0]]
            await holder.follower.query(ReportCrash("i-1", [suspect(b"g")], 0.0), 2.0)
            await until_done(lambda: _is_granted(holder.follower, "last", "i-2"))
            await until(lambda: all(gateway.guard.crash_count(b"f") == 2 for gateway in gateways))
        finally:
            for gateway in gateways:
                await gateway.stop()
            await group.stop()

    asyncio.run(asyncio.wait_for(scenario(), 60))


@pytest.mark.parametrize(("crashes", "expected_status"), [(1, 200), (2, 503)])
def test_without_a_leader_only_a_request_with_a_single_crash_is_sent(crashes, expected_status):
    async def scenario():
        async with world(respond_ok) as played:
            caller = await played.caller()
            await caller.request("once", "r0", b"other")
            guard, found = played.role.crash_guard, []
            guard.is_suspect = lambda fingerprint: found.append(fingerprint) or True
            guard.crash_count = lambda fingerprint: crashes
            guard.note_crash(b"any", "i-9", 0.0, 1.0)
            status, headers, body = await caller.request("once", "r1", b"same")
            assert status == expected_status
            if status == 503:
                assert float(headers["retry-after"]) > 0.0
                assert b"not_run" in body and ErrorKind.NOT_READY.encode() in body
                assert len(played._replicas[0].requests) == 1

    run(scenario())


def test_a_refused_suspect_waits_for_the_run_elsewhere_and_is_then_rejected():
    async def scenario():
        async with world(respond_ok) as played:
            guard = played.role.crash_guard
            guard.is_suspect = lambda fingerprint: True
            guard.note_crash(b"any", "i-9", 0.0, 1.0)
            asked = []

            async def refuse(_run_id, _request, instance_id):
                asked.append(instance_id)
                return RunPermission.REFUSED

            played.role.suspect_runs.start = refuse
            status, _, body = await (await played.caller()).request("once", "r1", b"same")
            assert status == 503 and b"not_run" in body and b"duplicate" in body
            assert len(asked) > 1 and played._replicas[0].requests == []

    run(scenario())


def test_a_caller_that_leaves_while_its_gateway_asks_blocks_no_further_run():
    async def scenario():
        async with world(respond_ok) as played:
            guard, runs = played.role.crash_guard, played.role.suspect_runs
            guard.is_suspect = lambda fingerprint: True
            guard.note_crash(b"any", "i-9", 0.0, 1.0)
            asked, ended = [], []

            async def never_answer(run_id, _request, _instance_id):
                asked.append(run_id)
                await asyncio.sleep(30)

            runs.start = never_answer
            runs.end = lambda run_id, *_more: ended.append(run_id)
            caller = await played.caller()
            caller.send("once", "r1", b"same")
            await until(lambda: asked)
            caller.disconnect()
            await until(lambda: ended == asked)

    run(scenario())


def test_the_end_of_a_run_is_reported_once_its_replica_is_known_to_go_on():
    async def scenario():
        port, watched = await Port().open(), Watched()
        client = SuspectRunClient(watched._query, lambda: True, watched.watch)
        run_id = client.new_run_id()
        assert await client.start(run_id, suspect(), "i-1") is RunPermission.GRANTED
        watched.watch.note_broken_response(at(port), suspect())
        client.end(run_id, "i-1")
        await until(lambda: FinishSuspectRun(run_id) in watched.reported)
        port.crash()
        watched.watch.note_broken_response(at(port), suspect())
        client.end(run_id, "i-1")
        await settle(watched)
        await until(lambda: not watched.watch.has_pending_reports)
        assert watched.reported.count(FinishSuspectRun(run_id)) == 1
        assert any(isinstance(report, ReportCrash) for report in watched.reported)
        await watched.watch.stop()

    run(scenario())


def test_a_stream_is_not_quarantined_for_crashes_of_a_request_that_always_runs_briefly():
    """Streams with one body ran at three crashes in the first seconds; none was complete yet."""
    record = CrashRecord()
    record.record("a@1", [suspect(b"culprit", 0.01), suspect(b"stream", 0.3)], 1.0)
    record.record("b@1", [suspect(b"culprit", 0.02), suspect(b"stream", 0.4)], 2.0)
    record.record("c@1", [suspect(b"stream", 0.2)], 3.0)
    assert len(record.find(b"stream").counted_crashes) == CRASH_LIMIT - 1
    record.record("d@1", [suspect(b"culprit", 0.01)], 4.0)
    assert record.find(b"culprit").is_quarantined
    # The excuse is for one crash only.
    record.record("e@1", [suspect(b"stream", 0.2)], 5.0)
    assert record.find(b"stream").is_quarantined


def test_a_request_is_not_excused_by_one_that_ran_at_its_crashes_for_any_time():
    record = CrashRecord()
    record.record("a@1", [suspect(b"culprit", 0.04), suspect(b"other", 0.005)], 1.0)
    record.record("b@1", [suspect(b"culprit", 0.04), suspect(b"other", 0.07)], 2.0)
    record.record("c@1", [suspect(b"culprit", 0.04)], 3.0)
    assert record.find(b"culprit").is_quarantined
