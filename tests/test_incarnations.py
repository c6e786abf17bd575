"""Replicas that start again under the id that they had, and what is no replica at all.

A replica that had counted its heartbeats up to 500 ended and started again at another port, with
its count at 1: every request was answered "the service has no replica" for as long as was waited,
since a count that does not rise was taken for a late heartbeat. And a heartbeat with an address
that is none was recorded: the request that chose it ended by "E105 internal_error where=exchange
error=ValueError(...)" and its connection was closed without an answer.
"""

import asyncio
import copy
import time

import pytest

from tests.platform_site import PlatformSite, StandInReplica, configuration

USED_WITHIN_S = 1.0
BORN_MS = 1_700_000_000_000


@pytest.fixture
def site(tmp_path):
    made = PlatformSite(tmp_path)
    made.start()
    yield made
    made.stop()


def run(scenario):
    asyncio.run(asyncio.wait_for(scenario, 60))


async def _end(replica):
    await replica.stop()
    replica.end_connections()


async def _is_served(site):
    return [(await site.ask(front, "/pay/a"))[0] for front in site.fronts] == [200, 200]


async def _served(site):
    await site.until(lambda: _is_served(site))


def test_a_replica_that_starts_again_under_its_id_is_used_at_once(site):
    async def scenario():
        assert await site.publish(configuration(1)) == 200
        first = StandInReplica(site, 1, "till")
        first.born = BORN_MS
        first._beat_sequence = 500
        await first.start()
        await _served(site)
        await _end(first)
        again = StandInReplica(site, 1, "till")
        again.born = BORN_MS + 5000
        await again.start()
        began_s = time.monotonic()
        await _served(site)
        assert time.monotonic() - began_s < USED_WITHIN_S
        # A heartbeat of the earlier life that was held up on its way changes nothing.
        for _ in range(3):
            assert await first.beat()
            assert await _is_served(site)
        await again.stop()

    run(scenario())


def _without(name):
    return lambda document: document.pop(name)


def _with(**changes):
    return lambda document: document.update(changes)


BAD = {
    "no state": _without("state"),
    "no service": _without("service"),
    "no address": _without("addr"),
    "no count": _without("seq"),
    "no zone": _without("zone"),
    "a state that is none": _with(state="resting"),
    "a state of another type": _with(state=1),
    "an address that is none": _with(addr="nowhere"),
    "a name for an address": _with(addr="localhost:80"),
    "a port that is none": _with(addr="127.0.0.1:0"),
    "a port too large": _with(addr="127.0.0.1:70000"),
    "a text for slots": _with(slots="8"),
    "no slots": _with(slots=0),
    "a count below zero": _with(seq=-1),
    "a text for the count": _with(seq="7"),
    "a start that is no whole number": _with(born=1.5),
    "a text for the start": _with(born="today"),
    "a service that nobody named": _with(service="nobody"),
    "no text for a service": _with(service=None),
    "models that are none": _with(models=7),
    "bytes that are no text": None,
}


def test_what_does_not_describe_a_replica_names_none_to_use(site):
    async def scenario():
        assert await site.publish(configuration(1)) == 200
        good = await StandInReplica(site, 1, "till").start()
        await _served(site)
        described = StandInReplica(site, 2, "till")
        described.port = 9
        for name, change in BAD.items():
            document = copy.deepcopy(described.description())
            if change is None:
                document = b'{"service":"till\xff"}'
            else:
                change(document)
            # Of a replica that nobody knows, and of one that is in use.
            for instance_id in ("i-2", "i-1"):
                status = await site.call("PUT", f"/instances/{instance_id}", document)
                assert status == 400, f"{name}: {status}"
        for path in ("/instances/i%0d%0aX-A:%201", f"/instances/{'i' * 300}"):
            assert await site.call("PUT", path, described.description()) == 400
        for _ in range(20):
            assert await _is_served(site)
        await good.stop()

    run(scenario())
