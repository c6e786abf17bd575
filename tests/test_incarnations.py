"""Replicas that restart under the same id, and invalid descriptions of replicas.

A restarted replica counts its heartbeats from 1 again. If a lower count were taken for a delayed
heartbeat, all requests would be rejected with "the service has no replica". If a heartbeat with an
invalid address were recorded, a request to that replica would fail with "E105 internal_error" and
its connection would be closed without a response.
"""

import asyncio
import copy
import time

import pytest

from tests.platform_site import PlatformSite, SimulatedReplica, configuration

USED_WITHIN_S = 1.0
STARTED_MS = 1_700_000_000_000


@pytest.fixture
def site(tmp_path):
    made = PlatformSite(tmp_path)
    made.start()
    yield made
    made.stop()


def run(scenario):
    asyncio.run(asyncio.wait_for(scenario, 60))


async def _crash(replica):
    await replica.stop()
    replica.abort_connections()


async def _is_served(site):
    return [(await site.ask(front, "/pay/a"))[0] for front in site.fronts] == [200, 200]


async def _served(site):
    await site.until(lambda: _is_served(site))


def test_a_replica_that_restarts_under_its_id_is_used_at_once(site):
    async def scenario():
        assert await site.publish(configuration(1)) == 200
        first = SimulatedReplica(site, 1, "till")
        first.started_ms = STARTED_MS
        first._heartbeat_sequence = 500
        await first.start()
        await _served(site)
        await _crash(first)
        restarted = SimulatedReplica(site, 1, "till")
        restarted.started_ms = STARTED_MS + 5000
        await restarted.start()
        started_at_s = time.monotonic()
        await _served(site)
        assert time.monotonic() - started_at_s < USED_WITHIN_S
        # A delayed heartbeat of the former incarnation changes nothing.
        for _ in range(3):
            assert await first.send_heartbeat()
            assert await _is_served(site)
        await restarted.stop()

    run(scenario())


def _without(name):
    return lambda document: document.pop(name)


def _with(**changes):
    return lambda document: document.update(changes)


INVALID_DESCRIPTIONS = {
    "no state": _without("state"),
    "no service": _without("service"),
    "no address": _without("addr"),
    "no count": _without("seq"),
    "no zone": _without("zone"),
    "an unknown state": _with(state="resting"),
    "a state of another type": _with(state=1),
    "an invalid address": _with(addr="nowhere"),
    "a host name as the address": _with(addr="localhost:80"),
    "port 0": _with(addr="127.0.0.1:0"),
    "a port too large": _with(addr="127.0.0.1:70000"),
    "a string for the slots": _with(slots="8"),
    "no slots": _with(slots=0),
    "a negative count": _with(seq=-1),
    "a string for the count": _with(seq="7"),
    "a fractional start time": _with(born=1.5),
    "a string for the start time": _with(born="today"),
    "an unknown service": _with(service="nobody"),
    "a null service": _with(service=None),
    "a number for the models": _with(models=7),
    "bytes that are not UTF-8": None,
}


def test_an_invalid_description_is_rejected_and_not_used(site):
    async def scenario():
        assert await site.publish(configuration(1)) == 200
        good = await SimulatedReplica(site, 1, "till").start()
        await _served(site)
        described = SimulatedReplica(site, 2, "till")
        described.port = 9
        for name, change in INVALID_DESCRIPTIONS.items():
            document = copy.deepcopy(described.description())
            if change is None:
                document = b'{"service":"till\xff"}'
            else:
                change(document)
            # Once for an unknown replica, and once for a replica in use.
            for instance_id in ("i-2", "i-1"):
                status = await site.call("PUT", f"/instances/{instance_id}", document)
                assert status == 400, f"{name}: {status}"
        for path in ("/instances/i%0d%0aX-A:%201", f"/instances/{'i' * 300}"):
            assert await site.call("PUT", path, described.description()) == 400
        for _ in range(20):
            assert await _is_served(site)
        await good.stop()

    run(scenario())
