"""What a gateway takes for the crash of a replica.

Reset connections, truncated responses, stopping replicas and replicas that accept no more
connections make no request a suspect. A crash is reported to the group, even late.
"""

import asyncio

import pytest

from crowsill.gateway.crash_watch import ABANDONED_MEMORY_S, REMOVAL_WAIT_S, CrashWatch
from crowsill.model.instances import Instance, InstanceState
from crowsill.model.suspects import CRASH_LIMIT
from crowsill.state.commands import Acknowledged
from crowsill.state.crash_record import CrashRecord
from crowsill.transport.messages import Submitted
from crowsill.transport.replica_messages import ReportCrash
from tests.control_group import until
from tests.crash_world import Port, Watched, at, settle, suspect
from tests.gateway_world import (
    ID,
    LOCAL,
    close_connection,
    encode_response,
    never_respond,
    run,
    world,
)


async def _break_at(played, times):
    caller = await played.caller()
    for number in range(times):
        await caller.request("once", f"r{number}", b"same")
        await asyncio.sleep(0.4)
    return await caller.request("once", "last", b"same")


def test_broken_responses_of_running_replicas_make_no_suspect():
    async def scenario():
        async with world(
            close_connection, close_connection, close_connection, close_connection
        ) as played:
            status, _, _ = await _break_at(played, 4)
            assert status == 502
            assert not played.role.crash_guard.has_suspects

    run(scenario())


def test_a_lost_connection_that_is_not_released_yet_hides_no_crash():
    async def scenario():
        port, watched = await Port().open(), Watched()
        await watched.pool.acquire(at(port), 1.0)
        await asyncio.sleep(0.05)
        port.crash()
        watched.watch.note_broken_response(at(port), suspect())
        await settle(watched)
        assert watched.crashed == ["i-1"]

    run(scenario())


def test_a_crash_during_the_check_of_an_earlier_interruption_is_counted():
    """The check found the port open and forgot all interruptions, also those after that."""

    async def scenario():
        port, watched = await Port().open(), Watched()
        opened = watched.pool.open_connection

        async def open_and_crash(instance, timeout_s):
            watched.pool.open_connection = opened
            connection = await opened(instance, timeout_s)
            port.crash()
            watched.watch.note_broken_response(at(port), suspect(b"culprit"))
            return connection

        watched.pool.open_connection = open_and_crash
        watched.watch.note_broken_response(at(port), suspect(b"earlier"))
        await until(lambda: not watched.watch.has_pending_reports)
        assert watched.crashed == ["i-1"]
        reported = [item.fingerprint for report in watched.reported for item in report.requests]
        assert reported == [b"culprit"]
        await watched.watch.stop()

    run(scenario())


def test_a_replica_with_a_closed_port_and_no_connections_has_crashed():
    async def scenario():
        port, watched = await Port().open(), Watched()
        connection = await watched.pool.acquire(at(port), 1.0)
        watched.pool.release("i-1", connection, True)
        await asyncio.sleep(0.05)
        port.crash()
        watched.watch.note_broken_response(at(port), suspect())
        watched.watch.note_broken_response(at(port), suspect(b"g"))
        await settle(watched)
        assert watched.crashed == ["i-1"]
        reported = [item.fingerprint for report in watched.reported for item in report.requests]
        assert sorted(reported) == [b"f", b"g"]
        # A break that is noticed after the crash was detected counts as well.
        watched.watch.note_broken_response(at(port), suspect(b"h"))
        await asyncio.sleep(0.05)
        assert (
            isinstance(watched.reported[-1], ReportCrash)
            and watched.reported[-1].instance_id == "i-1"
        )
        await watched.watch.stop()

    run(scenario())


def test_a_replica_that_accepts_no_more_connections_has_not_crashed():
    async def scenario():
        port, watched = await Port().open(), Watched()
        connection = await watched.pool.acquire(at(port), 1.0)
        watched.pool.release("i-1", connection, True)
        await asyncio.sleep(0.05)
        port.close()
        watched.watch.note_broken_response(at(port), suspect())
        await settle(watched)
        assert (watched.crashed, watched.reported) == ([], [])
        assert not watched.guard.has_suspects
        port.crash()
        await watched.watch.stop()

    run(scenario())


def test_a_crash_is_counted_although_one_connection_is_lost_later():
    """Its last packet had to be sent again; the replica was taken for one at its limit."""

    async def scenario():
        port, watched = await Port().open(), Watched()
        connection = await watched.pool.acquire(at(port), 1.0)
        watched.pool.release("i-1", connection, True)
        await asyncio.sleep(0.05)
        port.close()
        watched.watch.note_broken_response(at(port), suspect())
        await asyncio.sleep(0.6)
        port.crash()
        await until(lambda: not watched.watch.has_pending_reports)
        assert watched.crashed == ["i-1"]
        await watched.watch.stop()

    run(scenario())


def test_a_draining_replica_has_not_crashed():
    async def scenario():
        port, watched = await Port().open(), Watched()
        port.crash()
        watched.watch.note_broken_response(at(port, InstanceState.DRAINING), suspect())
        await settle(watched)
        assert (watched.crashed, watched.reported) == ([], [])
        await watched.watch.stop()

    run(scenario())


def test_a_replica_that_crashes_as_it_begins_to_drain_makes_its_requests_suspects():
    """Its planned end comes later; a request that crashed draining replicas was never counted."""

    async def scenario():
        async def script(headers, writer, number):
            if number == 1:
                await asyncio.sleep(30)
            writer.write(encode_response(headers[ID], extra="crowsill-server-leaving: 1"))
            return True

        async with world(script) as played:
            running = await played.caller()
            running.send("once", "r1", b"crashing")
            await until(lambda: played._replicas[0].requests)
            await (await played.caller()).request("once", "r2", b"other")
            await played._replicas[0].crash()
            await running.head()
            await until(lambda: played.role.crash_guard.has_suspects, 2.0)

    run(scenario())


def test_a_disconnected_gateway_counts_by_itself_and_reports_later():
    async def scenario():
        watched = Watched(is_connected=False)
        for number in range(CRASH_LIMIT):
            port = await Port().open()
            port.crash()
            replica = Instance(f"i-{number}", "s", f"{LOCAL}:{port.port}", "z", 8)
            watched.watch.note_broken_response(replica, suspect(ran_s=0.0))
            await watched.watch.has_crashed(replica.instance_id)
        assert watched.guard.is_quarantined(b"f")
        watched.is_connected = True
        await asyncio.sleep(0.2)
        assert sorted(report.instance_id for report in watched.reported) == ["i-0", "i-1", "i-2"]
        assert all(0.0 <= report.ago_s < 5.0 for report in watched.reported)
        await watched.watch.stop()

    run(scenario())


def test_a_complete_response_clears_a_suspect_everywhere():
    async def scenario():
        record, watched = CrashRecord(), Watched()
        record.record("a", [suspect()], 1.0)
        watched.guard.adopt(record.full_change(), True)
        watched.watch.note_success(b"f")
        watched.watch.note_success(b"f")
        assert not watched.guard.has_suspects
        await asyncio.sleep(0.3)
        assert [report.fingerprints for report in watched.reported] == [[b"f"]]
        await watched.watch.stop()

    run(scenario())


def test_a_request_abandoned_just_before_the_crash_is_a_suspect():
    """A caller's timeout may be shorter than the time its request needs to crash a replica.

    The caller's disconnect closes the connection to the replica, so no broken response shows the
    crash; only the next request to that replica finds its port closed.
    """

    async def scenario():
        port, watched = await Port().open(), Watched()
        watched.watch.note_abandoned(at(port), suspect(b"left"))
        watched.watch.note_refused_connection(at(port))
        await settle(watched)
        assert watched.reported == [], "the port is open: it has not crashed"
        watched.watch.note_abandoned(at(port), suspect(b"left"))
        port.crash()
        watched.watch.note_refused_connection(at(port))
        await settle(watched)
        assert {item.fingerprint for report in watched.reported for item in report.requests} == {
            b"left"
        }
        # A request that was abandoned long before the crash is no suspect.
        later = Instance("i-2", "s", f"{LOCAL}:{port.port}", "z", 8)
        watched.watch.note_abandoned(later, suspect(b"long ago"))
        await asyncio.sleep(ABANDONED_MEMORY_S + 0.1)
        watched.watch.note_refused_connection(later)
        await watched.watch.has_crashed("i-2")
        assert all(report.instance_id != "i-2" for report in watched.reported)
        await watched.watch.stop()

    run(scenario())


def test_an_exchange_reports_a_caller_that_disconnected():
    async def scenario():
        async with world(never_respond) as played:
            left = []
            played.role.crash_watch.note_abandoned = lambda found, request: left.append(request)
            caller = await played.caller()
            caller.send("once", "r1", b"slow")
            await asyncio.sleep(0.2)
            caller.disconnect()
            await asyncio.sleep(0.2)
            assert [(request.request_id, request.ran_s > 0.1) for request in left] == [("r1", True)]

    run(scenario())


@pytest.mark.parametrize("is_removed", [True, False])
def test_a_gateway_that_reaches_no_replica_reports_only_crashes_that_the_group_confirms(is_removed):
    async def scenario():
        port, watched = await Port().open(), Watched()
        watched.has_lost_links = True
        port.crash()
        watched.watch.note_broken_response(at(port), suspect())
        await settle(watched)
        assert watched.crashed == [] and watched.reported == []
        if is_removed:
            watched.listed.clear()
        await until(lambda: not watched.watch._checks, REMOVAL_WAIT_S + 1.0)
        assert watched.crashed == (["i-1"] if is_removed else [])
        await watched.watch.stop()

    run(scenario())


def test_a_gateway_that_reaches_no_replica_takes_the_word_of_another_one_for_a_crash():
    """Two replicas crashed at one moment; the one that its request crashed was never counted."""

    async def scenario():
        port, watched = await Port().open(), Watched()
        watched.has_lost_links = True
        port.crash()
        watched.watch.note_broken_response(at(port), suspect(b"culprit"))
        await settle(watched)
        record = CrashRecord()
        record.record("i-1", [suspect(b"other")], 1.0)
        watched.watch.adopt(record.last_change, False)
        await until(lambda: not watched.watch._checks)
        assert watched.crashed == ["i-1"]
        await watched.watch.stop()

    run(scenario())


def test_a_stopping_gateway_reports_a_crash_first():
    """A crash that only a stopping gateway observed must be reported before it stops.

    Crashes observed shortly before a gateway was killed were missing in the group's record, so that
    a fourth to sixth replica crashed. A planned stop dropped unfinished reports in the same way.
    """

    async def scenario():
        async with world(never_respond) as played:
            role, reported = played.role, []

            async def query(message, _timeout_s):
                await asyncio.sleep(role._settings.readiness_lag_s + 0.3)
                reported.append(message)
                return Submitted(Acknowledged())

            role.crash_watch = CrashWatch(
                role.pool,
                role.crash_guard,
                query,
                lambda _instance_id: None,
                find_lost_beside=role.replica_watch.find_lost_beside,
                is_listed=role.registry.is_listed,
            )
            port = await Port().open()
            port.crash()
            role.crash_watch.note_broken_response(at(port), suspect())
            await asyncio.sleep(0.1)
            await role.drain()
            await role.crash_watch.stop()
            assert [message.instance_id for message in reported] == ["i-1"]

    run(scenario())
