"""Two hundred gateways that reconnect at once to a small control group.

The gateways are real followers in this process; the members are the real programs.
"""

import asyncio
import time
from random import Random

from crowsill.clock import monotonic_s
from crowsill.gateway.crash_guard import CrashGuard
from crowsill.gateway.follower import GatewayFollower, GatewayHooks
from crowsill.gateway.replica_registry import ReplicaRegistry
from crowsill.settings import Address
from crowsill.transport.stream import LocalIdentity, load_cluster_key
from tests.platform_site import PlatformSite, configuration

GATEWAYS = 200
ROUTES = 300
REPLICAS = 60
# Bound on the time until all gateways are current again; set by the users.
MAX_RECOVERY_S = 15.0


class FollowerOnlyGateway:
    """A gateway without callers: its follower, and when its state was proved to be current.

    Attributes:
        registry: Its replicas.
        proved_at_s: Monotonic time of the last proof.
    """

    def __init__(self, number, seeds, key):
        self.proved_at_s = float("-inf")
        self.registry = ReplicaRegistry()
        guard = CrashGuard()
        hooks = GatewayHooks(
            lambda _document: None, lambda _ended: None, self._note_current, guard.adopt
        )
        local = LocalIdentity(f"hollow-{number}", f"hollow-{number}.1", "Hall-A", key)
        self.follower = GatewayFollower(
            local, seeds, self.registry, guard, hooks=hooks, random=Random(number)
        )
        self.task = asyncio.create_task(self.follower.run())

    def _note_current(self, _gateways, proved_s):
        self.proved_at_s = proved_s


def large_configuration():
    document = configuration(1)
    first = document["routes"][0]
    document["routes"] += [
        {**first, "name": f"r{number}", "pathPrefix": f"/r{number}/"} for number in range(ROUTES)
    ]
    return document


async def register(site, number):
    body = {
        "service": "till",
        "addr": f"127.0.0.1:{20000 + number}",
        "zone": "Hall-A",
        "version": "v1",
        "slots": 8,
        "state": "ready",
        "coldLeftMs": 0,
        "seq": 1,
    }
    assert await site.call("PUT", f"/instances/i-{number}", body) == 200


def current_gateways(gateways, since_s):
    """Return the gateways with the full state and a proof of its freshness since a time."""
    return [
        gateway
        for gateway in gateways
        if gateway.proved_at_s >= since_s
        and gateway.follower.routes_version == 1
        and len(gateway.registry.of_service("till")) == REPLICAS
    ]


async def recovery_times(gateways, since_s):
    """Wait until all are current; return when 50, 90 and 100% of them were."""
    began_s, reached = time.monotonic(), {}
    while len(reached) < 3:
        share = len(current_gateways(gateways, since_s)) / len(gateways)
        for part in (0.5, 0.9, 1.0):
            if share >= part:
                reached.setdefault(part, round(time.monotonic() - began_s, 2))
        assert time.monotonic() - began_s < MAX_RECOVERY_S, f"only {share:.2f} are back: {reached}"
        await asyncio.sleep(0.02)
    return list(reached.values())


def test_two_hundred_gateways_recover_in_time_after_all_members_were_killed(tmp_path):
    async def scenario(site):
        assert await site.publish(large_configuration()) == 200
        for number in range(REPLICAS):
            await register(site, number)
        key = load_cluster_key("").unwrap()
        seeds = [Address(machine.ip, site.inner_port) for machine in site.core[:3]]
        gateways = [FollowerOnlyGateway(number, seeds, key) for number in range(GATEWAYS)]
        first_s = await recovery_times(gateways, monotonic_s())
        for machine in site.core:
            machine.kill()
        for machine in site.core:
            machine.start()
        restarted_s = await recovery_times(gateways, monotonic_s())
        # One more member is lost while they recover.
        for machine in site.core:
            machine.kill()
        for machine in site.core:
            machine.start()
        await asyncio.sleep(1.0)
        site.core[0].kill()
        with_loss_s = await recovery_times(gateways, monotonic_s())
        for gateway in gateways:
            gateway.task.cancel()
        return first_s, restarted_s, with_loss_s

    site = PlatformSite(tmp_path, fronts=0)
    site.start()
    try:
        times = asyncio.run(scenario(site))
    finally:
        site.stop()
    print("seconds until 50, 90 and 100 in 100 were current:", *times)
