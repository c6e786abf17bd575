"""What a gateway does with prompts whose parts are suspects, quarantined or sound."""

import asyncio

import msgspec

from crowsill.gateway.request import PromptPart
from crowsill.model.prompt_parts import InterruptedPrompt, PartsState
from crowsill.model.suspects import SuspectChange
from crowsill.transport.replica_messages import ReportCrash, ReportSoundParts
from tests.crash_world import Port, Watched, at, request, settle, suspect
from tests.gateway_world import ID, NAMES, encode_response, respond_ok, run, world

HEADER = NAMES.prompt_parts.decode()
SYSTEM, BAD = "5a5a", "dead"


def _prompt(*parts):
    return [f"{HEADER}: {','.join(f'{part}:9' for part in (*parts, 'own'))}"]


def _digest(role, part):
    parts = [PromptPart(part.encode(), 9), PromptPart(b"own", 9)]
    (digest,) = role.fingerprints.of_shared_parts(request(parts=parts), "")
    return digest


def _adopt(role, suspects=(), quarantined=()):
    state = PartsState(
        [_digest(role, part) for part in suspects],
        [[_digest(role, part) for part in parts] for parts in quarantined],
    )
    version = role.crash_guard.version + 1
    role.crash_watch.adopt(SuspectChange(version, [], state), False)


def _reports(role):
    """Record the parts that a gateway reports as sound."""
    reported = []

    async def query(message, _timeout_s):
        if isinstance(message, ReportSoundParts):
            reported.extend(message.parts)
            message = None
        await asyncio.sleep(0)

    role.crash_watch._query = query
    return reported


def test_a_prompt_with_a_quarantined_part_is_rejected_before_it_counts_as_demand():
    async def scenario():
        async with world(respond_ok) as played:
            role, caller = played.role, await played.caller()
            _adopt(role, quarantined=[[BAD]])
            counted = []
            role.demand.note_request = lambda *words: counted.append(words)
            for number, parts in enumerate([(BAD,), (SYSTEM, BAD), (BAD, SYSTEM)]):
                status, headers, body = await caller.request(
                    "once", f"r{number}", b"", headers=_prompt(*parts)
                )
                assert (status, headers["retry-after"]) == (503, "300")
                assert b'"kind":"quarantined","outcome":"not_run"' in body
            assert counted == []
            # The last part is the request's own.
            own = [f"{HEADER}: {SYSTEM}:9,{BAD}:9"]
            for headers in (_prompt(SYSTEM), own, []):
                status, _, _ = await caller.request("once", "sound", b"", headers=headers)
                assert status == 200

    run(scenario())


def test_parts_quarantined_together_are_rejected_only_together():
    async def scenario():
        async with world(respond_ok) as played:
            caller = await played.caller()
            _adopt(played.role, quarantined=[[SYSTEM, BAD]])
            for parts, expected in [((SYSTEM, BAD), 503), ((SYSTEM,), 200), ((BAD,), 200)]:
                status, _, _ = await caller.request("once", "r", b"", headers=_prompt(*parts))
                assert status == expected

    run(scenario())


def test_a_prompt_that_waits_is_not_sent_once_its_part_is_quarantined():
    async def scenario():
        async with world(respond_ok) as played:
            role, caller = played.role, await played.caller()
            opened = asyncio.Event()
            acquire = role.pool.acquire

            async def acquire_late(*words):
                connection = await acquire(*words)
                _adopt(role, quarantined=[[BAD]])
                opened.set()
                return connection

            role.pool.acquire = acquire_late
            status, _, _ = await caller.request("once", "r1", b"", headers=_prompt(SYSTEM, BAD))
            assert opened.is_set() and status == 503
            assert played._replicas[0].requests == []

    run(scenario())


def test_a_response_to_a_suspect_part_is_reported():
    async def scenario():
        async with world(respond_ok) as played:
            role, caller = played.role, await played.caller()
            reported = _reports(role)
            await caller.request("once", "before", b"", headers=_prompt(SYSTEM))
            # Known before the part became a suspect.
            _adopt(role, suspects=[SYSTEM, BAD])
            await asyncio.sleep(0.2)
            assert set(reported) == {_digest(role, SYSTEM)}
            reported.clear()
            await asyncio.sleep(0.2)
            await caller.request("once", "after", b"", headers=_prompt(SYSTEM, BAD))
            await asyncio.sleep(0.2)
            assert set(reported) == {_digest(role, SYSTEM), _digest(role, BAD)}

    run(scenario())


def test_a_long_response_is_reported_a_second_after_it_began():
    async def slow(headers, writer, _number):
        head = encode_response(headers[ID], b"", length=False, extra="Transfer-Encoding: chunked")
        writer.write(head + b"7\r\nid: 1\n\n\r\n")
        await asyncio.sleep(30.0)
        return False

    async def scenario():
        async with world(slow) as played:
            role, caller = played.role, await played.caller()
            reported = _reports(role)
            _adopt(role, suspects=[SYSTEM])
            caller.send("stream", "r1", headers=_prompt(SYSTEM))
            await asyncio.sleep(0.7)
            assert reported == []
            await asyncio.sleep(0.7)
            assert set(reported) == {_digest(role, SYSTEM)}

    run(scenario())


def test_prompts_of_requests_that_are_no_suspects_are_reported_at_a_crash():
    # Requests of one body complete all the time, and their prompts differ.
    async def scenario():
        port, watched = await Port().open(), Watched()
        watched.guard.note_success(b"f", asyncio.get_running_loop().time())
        prompt = InterruptedPrompt("r", [b"bad"], 0.1)
        watched.watch.note_broken_response(
            at(port), msgspec.structs.replace(suspect(), prompt=prompt)
        )
        port.crash()
        await settle(watched)
        (report,) = [item for item in watched.reported if isinstance(item, ReportCrash)]
        assert (report.requests, report.prompts) == ([], [prompt])
        await watched.watch.stop()

    asyncio.run(asyncio.wait_for(scenario(), 10))
