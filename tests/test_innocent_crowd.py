"""Requests that many callers send alike, where a request that ends replicas is about.

A soak of 9 s had three replicas end within 0.2 s under such a request, and the next life of one
0.8 s later. Ordinary requests of one body ran at three of these ends, and no replica was left to
answer one whole in between: "E509 request_quarantined place=shop.example/safe/x replicas=i-2@...,
i-3@...,i-3@..." beside the culprit's own line. From then on they were refused, 57 of them, though
thousands like them had been answered whole in the seconds before.
"""

import asyncio

from crowsill.gateway import crash_guard, repeat_guard
from crowsill.state.crash_record import CrashRecord
from tests.crash_world import Port, Watched, at, request, settle, suspect
from tests.gateway_world import good, run, world


def test_what_was_answered_whole_shortly_before_is_no_suspect():
    async def scenario():
        port, watched = await Port().open(), Watched()
        watched.guard.note_success(b"popular", asyncio.get_running_loop().time())
        port.end()
        watched.watch.note_broken_response(at(port), suspect(b"popular"))
        watched.watch.note_broken_response(at(port), suspect(b"culprit"))
        await settle(watched)
        reported = [item.fingerprint for told in watched.told for item in told.requests]
        assert reported == [b"culprit"]
        await watched.watch.stop()

    run(scenario())


def test_a_gateway_that_answered_it_whole_speaks_for_what_another_one_suspects():
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
        cleared = {item for told in watched.told for item in told.fingerprints}
        assert cleared == {b"popular"}
        await watched.watch.stop()

    run(scenario())


def test_small_requests_that_end_whole_are_remembered_also_without_any_suspect():
    async def scenario():
        async with world(good) as played:
            role = played.role
            caller = await played.caller()
            await caller.ask("once", "r1", b"small")
            await caller.ask("once", "r2", b"x" * (repeat_guard.MAX_REMEMBERED_BODY_BYTES + 1))
            now_s = asyncio.get_running_loop().time()
            small = request(target=b"/once/x?q=1", host="h.example", body=b"small")
            assert role.crash_guard.succeeded_recently(role.fingerprints.of(small, ""), now_s)
            assert len(role.crash_guard._succeeded_at_s) == 1

    run(scenario())
