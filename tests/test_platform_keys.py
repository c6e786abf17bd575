"""Tenants and API keys on a small site of the users' platform, with the real programs."""

import asyncio
import copy
import os
import signal
import time

import pytest

from tests.platform_site import ID, PlatformSite, SimulatedReplica, configuration

REVOKE_S = 2.0
RATE = 50
KEY = {"Authorization": "Bearer shop-key"}
STEADY = {"Authorization": "Bearer steady-key"}


@pytest.fixture
def site(tmp_path):
    made = PlatformSite(tmp_path)
    made.bounds = [
        "revokeStrict = true",
        f"revokeMs = {int(REVOKE_S * 1000)}",
        "quotaWindowS = 2",
        "quotaOver = 0.1",
        "quotaSlack = 20",
    ]
    made.start()
    yield made
    made.stop()


def run(scenario):
    asyncio.run(asyncio.wait_for(scenario, 90))


def document(version, *keys, **more):
    """Return a configuration with two tenants; `pay` requires a key, `draft` is public."""
    made = copy.deepcopy(configuration(version))
    made["routes"][1]["public"] = True
    made["tenants"] = [
        {"name": "shop", "apiKeys": list(keys), "priority": 1, **more},
        {"name": "steady", "apiKeys": ["steady-key"]},
    ]
    return made


async def publish_and_start(site, *keys, **more):
    """Publish, wait until every gateway serves it; return the replica of the plain service."""
    replica = await SimulatedReplica(site, 1, "till").start()
    assert await site.publish(document(1, *keys, **more)) == 200

    async def served():
        statuses = [await status(site, front, STEADY) for front in site.fronts]
        return statuses == [200] * len(site.fronts)

    await site.until(served, 20.0)
    return replica


async def status(site, front, headers):
    try:
        return (await site.ask(front, "/pay/x", headers))[0]
    except (OSError, TimeoutError):
        return 0


def signal_all(machines, number):
    for machine in machines:
        os.kill(machine.process.pid, number)


def test_the_replica_receives_the_tenant_but_not_the_key(site):
    async def scenario():
        replica = await publish_and_start(site, "shop-key")
        front = site.fronts[0]
        claimed = {**KEY, "X-Crowsill-Tenant": "rival"}
        assert await status(site, front, claimed) == 200
        assert replica.last_headers["x-crowsill-tenant"] == "shop"
        assert "authorization" not in replica.last_headers
        served = replica.served
        for headers in ({}, {"Authorization": "Bearer nobody"}, {"Authorization": "shop-key"}):
            assert await status(site, front, headers) == 401
        assert replica.served == served
        log = front.log.read_text()
        assert "shop-key" not in log and "nobody" not in log
        await replica.stop()

    run(scenario())


def test_a_key_shared_by_two_tenants_never_takes_effect(site):
    async def scenario():
        replica = await publish_and_start(site, "shop-key")
        assert await site.publish(document(5, "steady-key")) == 422
        assert await status(site, site.fronts[0], KEY) == 200
        # Each document is validated by itself, not against previous versions.
        assert await site.publish(document(6, "other-key")) == 200
        await replica.stop()

    run(scenario())


def test_added_and_revoked_keys_take_effect_at_all_gateways_soon(site):
    async def scenario():
        replica = await publish_and_start(site, "shop-key")
        assert await site.publish(document(2, "new-key")) == 200
        new = {"Authorization": "Bearer new-key"}

        async def in_force():
            found = [
                (await status(site, front, new), await status(site, front, KEY))
                for front in site.fronts
            ]
            return found == [(200, 401)] * len(site.fronts)

        await site.until(in_force, 2.0)
        await replica.stop()

    run(scenario())


def test_a_gateway_suspended_during_a_key_revocation_rejects_the_key_afterwards(site):
    # When the gateway resumes, its sockets have pending requests, and its last proof of the key's
    # validity is older than the bound.
    async def scenario():
        replica = await publish_and_start(site, "shop-key")
        front = site.fronts[0]
        assert await status(site, front, KEY) == 200
        signal_all([front], signal.SIGSTOP)
        assert await site.publish(document(2)) == 200
        acknowledged_s = time.monotonic()
        await asyncio.sleep(REVOKE_S + 0.1)
        served = replica.served
        asked = [asyncio.create_task(status(site, front, KEY)) for _ in range(20)]
        await asyncio.sleep(0.3)
        assert time.monotonic() - acknowledged_s > REVOKE_S
        signal_all([front], signal.SIGCONT)
        assert set(await asyncio.gather(*asked)) <= {0, 401, 503}
        assert replica.served == served
        await replica.stop()

    run(scenario())


def test_a_gateway_without_control_members_stops_serving_in_time_and_recovers(site):
    async def scenario():
        replica = await publish_and_start(site, "shop-key")
        front = site.fronts[0]
        signal_all(site.core, signal.SIGSTOP)
        suspended_s = time.monotonic()
        assert await status(site, front, KEY) == 200
        while await status(site, front, KEY) == 200:
            assert time.monotonic() - suspended_s < REVOKE_S
            await asyncio.sleep(0.05)
        served = replica.served
        assert await status(site, front, KEY) == 503
        assert replica.served == served
        signal_all(site.core, signal.SIGCONT)

        async def serves():
            return await status(site, front, KEY) == 200

        await site.until(serves, 10.0)
        await replica.stop()

    run(scenario())


def test_all_gateways_together_enforce_the_rate_limit_of_a_tenant(site):
    async def scenario():
        replica = await publish_and_start(site, "shop-key", ratePerS=RATE, burst=RATE)
        replica.delay_s = 0.0
        # The token bucket of a newly elected leader is empty.
        await asyncio.sleep(1.5)
        completed = []

        async def send_repeatedly(front, until_s):
            while time.monotonic() < until_s:
                sent_s = time.monotonic()
                if await status(site, front, KEY) == 200:
                    completed.append((sent_s, time.monotonic()))

        until_s = time.monotonic() + 5.0
        await asyncio.gather(
            *(send_repeatedly(front, until_s) for front in site.fronts for _ in range(6))
        )
        max_completed = max(
            sum(
                1 for sent_s, ended_s in completed if begin_s <= sent_s and ended_s <= begin_s + 2.0
            )
            for begin_s, _ in completed
        )
        assert max_completed <= (RATE * 2 + RATE) * 1.1 + 20
        assert len(completed) > RATE * 5 * 0.8, "requests within the rate limit are served"
        # Other tenants are not affected.
        assert await status(site, site.fronts[0], STEADY) == 200
        await replica.stop()

    run(scenario())


def test_a_public_route_serves_callers_without_a_key(site):
    async def scenario():
        engine = await SimulatedReplica(site, 2, "models", ["m0"]).start()
        replica = await publish_and_start(site, "shop-key")
        named = {"X-Crowsill-Model": "m0", "X-Crowsill-Tenant": "rival", ID: "r1"}

        async def serves():
            return (await site.ask(site.fronts[0], "/draft/x", named))[0] == 200

        await site.until(serves, 10.0)
        assert "x-crowsill-tenant" not in engine.last_headers
        await engine.stop()
        await replica.stop()

    run(scenario())
