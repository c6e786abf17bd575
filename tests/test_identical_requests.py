"""Identical requests of many callers must not be quarantined for the crashes of another request.

Three replicas crash within 0.2 s under one request, and one of them again after 0.8 s. Identical
ordinary requests run at three of these crashes, and no replica is left to complete one in between.
They would be quarantined, although thousands like them succeeded in the seconds before.
"""

import asyncio

from crowsill.gateway import crash_guard, repeat_guard
from crowsill.state.crash_record import CrashRecord
from crowsill.transport.replica_messages import ReportCrash
from tests.crash_world import Port, Watched, at, request, settle, suspect
from tests.gateway_world import respond_ok, run, world


def test_a_request_that_succeeded_shortly_before_is_no_suspect():
    async def scenario():
        port, watched = await Port().open(), Watched()
        watched.guard.note_success(b"popular", asyncio.get_running_loop().time())
        port.crash()
        watched.watch.note_broken_response(at(port), suspect(b"popular"))
        watched.watch.note_broken_response(at(port), suspect(b"culprit"))
        await settle(watched)
        # The success of the other request is reported about as soon as the crash.
        crashes = [report for report in watched.reported if isinstance(report, ReportCrash)]
        assert [item.fingerprint for report in crashes for item in report.requests] == [b"culprit"]
        await watched.watch.stop()

    run(scenario())


def test_a_gateway_where_a_request_succeeded_clears_it_for_the_others():
    async def scenario():
        watched, record = Watched(), CrashRecord()
        now_s = asyncio.get_running_loop().time()
        watched.guard.note_success(b"popular", now_s)
        watched.guard.note_success(b"long ago", now_s - crash_guard.COMPLETION_VALIDITY_S - 1.0)
        for number, life in enumerate("abc"):
            requests = [suspect(b"popular"), suspect(b"culprit"), suspect(b"long ago")]
            record.record(life, requests, float(number))
            watched.watch.adopt(record.last_change, False)
        assert not watched.guard.is_quarantined(b"popular")
        assert watched.guard.is_quarantined(b"culprit")
        assert watched.guard.is_quarantined(b"long ago")
        await asyncio.sleep(0.2)
        cleared = {item for report in watched.reported for item in report.fingerprints}
        assert cleared == {b"popular"}
        await watched.watch.stop()

    run(scenario())


def test_small_requests_that_succeed_are_remembered_even_without_a_suspect():
    async def scenario():
        async with world(respond_ok) as played:
            role = played.role
            caller = await played.caller()
            await caller.request("once", "r1", b"small")
            await caller.request("once", "r2", b"x" * (repeat_guard.MAX_REMEMBERED_BODY_BYTES + 1))
            now_s = asyncio.get_running_loop().time()
            small = request(target=b"/once/x?q=1", host="h.example", body=b"small")
            assert role.crash_guard.succeeded_recently(role.fingerprints.of(small, ""), now_s)
            assert len(role.crash_guard._succeeded_at_s) == 1

    run(scenario())
