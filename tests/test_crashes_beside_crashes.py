"""Crashed replicas that the group knows of are no sign that a gateway lost its links.

Three replicas crashed within 0.4 s under one request. The gateway of the third one tried two others
to see whether its own links work, chose the two that had crashed before, and waited 6 s for the
group to confirm. Meanwhile the request was sent to a fourth replica.
"""

import asyncio
import time
from random import Random

import pytest

from crowsill.gateway.response_collector import ResponseCollector
from crowsill.state.crash_record import CrashRecord
from crowsill.state.directory import DirectoryChange
from tests.control_group import until
from tests.crash_world import suspect
from tests.gateway_world import ID, World, instance, never_respond, respond_ok, routes, run, world

# The group records a crash within this time, and a gateway learns of it.
RECORDED_AFTER_S = 0.5


class PlainWorld(World):
    """A gateway whose replicas serve one service each."""

    def adopt(self, instances):
        version = self.role.registry.version + 1
        change = DirectoryChange(version, instances, [])
        self.role._on_directory(self.role.registry.adopt(change, True, time.monotonic()))


def _world():
    played = world(never_respond, *[respond_ok] * 4)
    return PlainWorld(played._replicas, routes(), ("m",), None)


async def _crash(played, number):
    """Crash a replica; the gateway notices that it refuses connections."""
    await played._replicas[number - 1].crash()
    record = played.role.registry.find(f"i-{number}")
    played.role.replica_watch.check(record)
    await until(lambda: record.availability.is_unreachable)


def _record_crashes(played, numbers):
    record = CrashRecord()
    for at_s, number in enumerate(numbers, start=1):
        record.record(f"i-{number}", [suspect(b"other")], float(at_s))
        played.role.crash_watch.adopt(record.last_change, False)


async def _crash_under_a_request(played):
    """Crash the first replica while it runs a request."""
    found = instance(played._replicas[0])
    connection = await played.role.pool.acquire(found, 1.0)
    head = f"POST /once/x HTTP/1.1\r\nHost: h\r\n{ID}: r1\r\n\r\n"
    connection.send(head.encode(), b"r1", False, ResponseCollector())
    await until(lambda: played._replicas[0].requests)
    await _crash(played, 1)
    played.role.pool.release("i-1", connection, False)
    played.role.crash_watch.note_broken_response(found, suspect(b"culprit"))


# Seeds 7 to 9 choose the two crashed replicas.
@pytest.mark.parametrize("seed", range(6, 10))
@pytest.mark.parametrize("recorded_after_s", [0.0, RECORDED_AFTER_S])
def test_a_crash_beside_known_crashes_is_counted_at_once(seed, recorded_after_s):
    async def scenario():
        async with _world() as played:
            played.role.replica_watch._random = Random(seed)
            await _crash(played, 2)
            await _crash(played, 3)
            if not recorded_after_s:
                _record_crashes(played, (2, 3))
            await _crash_under_a_request(played)
            await asyncio.sleep(recorded_after_s)
            if recorded_after_s:
                _record_crashes(played, (2, 3))
            await until(lambda: played.role.crash_guard.is_suspect(b"culprit"), 1.0)

    run(scenario())


def test_a_loss_of_all_links_is_no_crash_beside_a_known_crash():
    async def scenario():
        async with _world() as played:
            _record_crashes(played, (2,))
            for number in (2, 3, 4, 5):
                await _crash(played, number)
            await _crash_under_a_request(played)
            await asyncio.sleep(1.0)
            assert not played.role.crash_guard.is_suspect(b"culprit")

    run(scenario())
