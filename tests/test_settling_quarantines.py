"""Requests whose quarantine may still prove wrong, because others ran at the same crashes."""

import asyncio

import pytest

from crowsill.gateway.crash_guard import PARTS_SETTLING_S, REPORTS_SETTLING_S, CrashGuard
from crowsill.model.prompt_parts import PartsState
from crowsill.model.suspects import SuspectChange, SuspectCrashes
from tests.crash_world import request
from tests.gateway_world import respond_ok, run, world

CRASHED = ["a", "b", "c"]
SUSPECT_PART, RIVAL = b"part", b"rival"


def _quarantine(fingerprint, rival_crashes=(), suspect_parts=(), version=1):
    """Return a change that quarantines a request, beside another one and parts of prompts."""
    crashes = [SuspectCrashes(fingerprint, CRASHED)]
    if rival_crashes:
        crashes.append(SuspectCrashes(RIVAL, list(rival_crashes)))
    return SuspectChange(version, crashes, PartsState(list(suspect_parts), []))


@pytest.mark.parametrize(
    ("changes", "settled_after_s"),
    [
        ({}, 0.0),
        ({"rival_crashes": ["a"]}, 0.0),
        ({"rival_crashes": ["a", "x", "y"]}, 0.0),
        ({"rival_crashes": ["a", "c"]}, REPORTS_SETTLING_S),
        ({"suspect_parts": [SUSPECT_PART]}, PARTS_SETTLING_S),
    ],
)
def test_a_quarantine_is_settled_unless_something_else_ran_at_the_crashes(changes, settled_after_s):
    guard = CrashGuard()
    change = _quarantine(b"f", **changes)
    guard.adopt(change, False, 10.0)
    guard.parts.adopt(change.parts, 10.0)
    assert guard.is_quarantined(b"f")
    assert guard.is_settled(b"f", 10.0 + settled_after_s)
    assert settled_after_s == 0.0 or not guard.is_settled(b"f", 9.99 + settled_after_s)


def test_a_quarantine_is_as_old_as_before_after_the_record_was_adopted_again():
    guard = CrashGuard()
    change = _quarantine(b"f", ["a", "b"])
    guard.adopt(change, False, 10.0)
    guard.adopt(change, True, 20.0)
    assert guard.is_settled(b"f", 20.0)
    guard.adopt(SuspectChange(2, [], None), True, 30.0)
    guard.adopt(_quarantine(b"f", ["a", "b"], version=3), False, 40.0)
    assert not guard.is_settled(b"f", 40.0)


@pytest.mark.parametrize(
    "changes", [{"rival_crashes": ["b", "c"]}, {"suspect_parts": [SUSPECT_PART]}]
)
@pytest.mark.parametrize("is_released", [True, False])
def test_requests_are_not_rejected_before_the_cause_of_the_crashes_is_known(changes, is_released):
    # Requests of one body were rejected for the time that a part's last crashes took.
    async def scenario():
        async with world(respond_ok, respond_ok) as played:
            role = played.role
            fingerprint = role.fingerprints.of(
                request(target=b"/once/x?q=1", host="h.example", body=b"crowd"), ""
            )
            role.crash_watch.adopt(_quarantine(fingerprint, **changes), False)
            caller = await played.caller()
            asking = asyncio.create_task(caller.request("once", "r1", b"crowd"))
            await asyncio.sleep(REPORTS_SETTLING_S / 2)
            assert not asking.done()
            if is_released:
                released = SuspectChange(2, [SuspectCrashes(fingerprint, [])], None)
                role.crash_watch.adopt(released, False)
            status, _, body = await asking
            assert status == (200 if is_released else 503)
            assert is_released or b'"kind":"quarantined","outcome":"not_run"' in body

    run(scenario())
