"""A gateway that knows tenants: who is served, what a replica is told, when a proof is too old."""

import asyncio
import hashlib

import msgspec
import pytest

from crowsill.clock import monotonic_s
from crowsill.gateway.quota import GrantClient
from crowsill.gateway.routing_table import GatewayRoutingTable
from crowsill.model.tenants import RateUnit, Tenant
from crowsill.transport.messages import GrantReply, NotLeader
from tests.gateway_world import NAMES, never_respond, reject_not_run, respond_ok, routes, run, world

TENANT = NAMES.tenant.decode()
KEY = "Authorization: Bearer shop-key"


def digest(key):
    return hashlib.sha256(key.encode()).hexdigest()


SHOP = Tenant("shop", [digest("shop-key"), digest("old-key")], rank=1)
LIMITED = msgspec.structs.replace(
    SHOP, rate_per_s=1000.0, burst=1000.0, unit=RateUnit.TOKENS, plain_tokens=200.0
)


def keyed(*tenants, version=1):
    """The world's routes with tenants; `safe` is open to callers without a key."""
    plain = routes(version)
    made = [msgspec.structs.replace(route, public=route.name == "safe") for route in plain.routes]
    return msgspec.structs.replace(plain, routes=made, tenants=list(tenants or (SHOP,)))


class Leader:
    """Answers questions for grants from a script, and keeps them."""

    def __init__(self, *replies):
        self.replies = list(replies)
        self.asked = []

    async def ask(self, question, _timeout_s):
        self.asked.append((question.tenant, question.units))
        return self.replies.pop(0) if len(self.replies) > 1 else self.replies[0]


def told(here, number=0):
    """Return the headers of the last request that a replica had."""
    return here._replicas[number].requests[-1][1]


@pytest.mark.parametrize(
    "headers",
    [
        [],
        ["Authorization: Bearer wrong"],
        ["Authorization:"],
        ["Authorization: Basic shop-key"],
        ["Authorization: Bearer shop-key, Basic x"],
        [KEY, KEY],
        [KEY, "authorization: Bearer wrong"],
        ["Proxy-Authorization: Bearer shop-key"],
        ["X-Key: shop-key"],
    ],
)
def test_a_caller_without_one_known_key_is_refused_and_nothing_runs(headers):
    async def scenario():
        async with world(respond_ok, configuration=keyed()) as here:
            status, found, body = await (await here.caller()).request("once", headers=headers)
            assert status == 401 and "retry-after" not in found
            assert here._replicas[0].requests == [] and b"wrong" not in body

    run(scenario())


@pytest.mark.parametrize("scheme", ["Bearer", "bearer", "BEARER", "bEaReR "])
def test_the_scheme_of_a_key_is_read_in_any_case(scheme):
    async def scenario():
        async with world(respond_ok, configuration=keyed()) as here:
            headers = [f"aUTHORization: {scheme} shop-key", f"{TENANT}: rival"]
            assert (await (await here.caller()).request("once", headers=headers))[0] == 200
            assert told(here)[TENANT] == "shop" and "authorization" not in told(here)

    run(scenario())


def test_a_key_that_the_connection_names_is_still_asked_for():
    async def scenario():
        async with world(respond_ok, configuration=keyed()) as here:
            headers = [KEY, f"Connection: authorization, {TENANT}"]
            assert (await (await here.caller()).request("once", headers=headers))[0] == 200
            assert told(here)[TENANT] == "shop" and "authorization" not in told(here)

    run(scenario())


@pytest.mark.parametrize(
    ("headers", "tenant"), [([], None), ([KEY], "shop"), (["Authorization: Bearer wrong"], None)]
)
def test_a_public_route_serves_everybody_and_passes_no_key_on(headers, tenant):
    async def scenario():
        async with world(respond_ok, configuration=keyed()) as here:
            headers_sent = [*headers, f"{TENANT}: rival"]
            assert (await (await here.caller()).request("safe", headers=headers_sent))[0] == 200
            assert told(here).get(TENANT) == tenant and "authorization" not in told(here)

    run(scenario())


def test_the_rank_of_a_tenant_goes_before_that_of_its_route():
    async def scenario():
        async with world(respond_ok, configuration=keyed()) as here:
            headers = [KEY, f"{NAMES.model.decode()}: m"]
            assert (await (await here.caller()).request("engine", headers=headers))[0] == 200
            assert told(here)[NAMES.priority.decode()] == "1"

    run(scenario())


def test_a_key_that_was_taken_away_runs_nothing_more_also_for_a_request_that_waits():
    # A request that waited for its replica was identified before the key was taken away.
    async def scenario():
        async with world(respond_ok, configuration=keyed()) as here:
            here.adopt([])
            caller = await here.caller()
            caller.send("once", headers=[KEY])
            await asyncio.sleep(0.2)
            here.role._table = GatewayRoutingTable(keyed(Tenant("shop"), version=2))
            here.role._notify_change()
            assert (await caller.head())[0] == 401
            assert here._replicas[0].requests == []

    run(scenario())


def test_a_gateway_out_of_touch_runs_nothing_with_a_key_once_its_proof_is_too_old():
    async def scenario():
        async with world(respond_ok, configuration=keyed()) as here:
            # The bound is 5 s, and a gateway stops a second before it.
            here.role._on_current(1, monotonic_s() - 3.0)
            assert (await (await here.caller()).request("once", headers=[KEY]))[0] == 200
            here.role._on_current(1, monotonic_s() - 4.01)
            status, found, _ = await (await here.caller()).request("once", "r2", headers=[KEY])
            assert status == 503 and float(found["retry-after"]) <= 1.0
            assert len(here._replicas[0].requests) == 1
            # What needs no key is served on.
            assert (await (await here.caller()).request("safe", "r3"))[0] == 200

    run(scenario())


def test_a_gateway_that_refuses_every_key_says_that_it_is_not_ready():
    async def scenario():
        async with world(respond_ok, configuration=keyed()) as here:
            assert here.role.is_ready()
            here.role._on_current(1, monotonic_s() - 4.01)
            assert not here.role.is_ready()
            here.role._on_current(1, monotonic_s())
            assert here.role.is_ready()
        async with world(respond_ok) as here:
            here.role._on_current(1, monotonic_s() - 60.0)
            assert here.role.is_ready(), "without tenants there is nothing to prove"

    run(scenario())


def test_a_proof_that_comes_while_a_request_waits_for_it_serves_the_request():
    async def scenario():
        async with world(respond_ok, configuration=keyed()) as here:
            here.role._on_current(1, monotonic_s() - 60.0)
            caller = await here.caller()
            caller.send("once", headers=[KEY])
            await asyncio.sleep(0.2)
            here.role._on_current(1, monotonic_s())
            assert (await caller.head())[0] == 200

    run(scenario())


def test_a_key_counts_as_unknown_only_by_what_is_known_to_be_current():
    async def scenario():
        async with world(respond_ok, configuration=keyed()) as here:
            here.role._on_current(1, monotonic_s() - 2.0)
            headers = ["Authorization: Bearer new-key"]
            assert (await (await here.caller()).request("once", headers=headers))[0] == 503
            here.role._on_current(1, monotonic_s())
            assert (await (await here.caller()).request("once", "r2", headers=headers))[0] == 401

    run(scenario())


def test_the_proof_is_looked_at_again_after_the_connection_has_come_up():
    # A gateway that freezes between its check and its send wakes up with a proof that is too old.
    async def scenario():
        async with world(respond_ok, configuration=keyed()) as here:
            acquire = here.role.pool.acquire

            async def slow(*arguments):
                connection = await acquire(*arguments)
                here.role._on_current(1, monotonic_s() - 60.0)
                return connection

            here.role.pool.acquire = slow
            assert (await (await here.caller()).request("once", headers=[KEY]))[0] == 503
            assert here._replicas[0].requests == []

    run(scenario())


# Quotas.


def limited(here, *replies):
    leader = Leader(*replies)
    here.role.grants = GrantClient(leader.ask)
    return leader


def test_a_request_counts_its_tokens_in_and_out_or_the_plain_figure():
    async def scenario():
        async with world(respond_ok, configuration=keyed(LIMITED)) as here:
            leader = limited(here, GrantReply(True, 0.0, 0.8))
            counts = f"{NAMES.token_counts.decode()}: 700,80"
            caller = await here.caller()
            assert (await caller.request("once", "r1", headers=[KEY, counts]))[0] == 200
            assert (await caller.request("once", "r2", headers=[KEY]))[0] == 200
            assert leader.asked == [("shop", 780.0), ("shop", 200.0)]

    run(scenario())


def test_what_is_over_the_rate_is_refused_with_the_time_at_which_there_is_room():
    async def scenario():
        async with world(respond_ok, configuration=keyed(LIMITED)) as here:
            limited(here, GrantReply(False, 1.75, 0.8))
            status, found, body = await (await here.caller()).request("once", headers=[KEY])
            assert (status, found["retry-after"]) == (429, "1.75")
            assert here._replicas[0].requests == [] and b"not_run" in body

    run(scenario())


def test_a_grant_that_takes_effect_later_is_waited_for():
    async def scenario():
        async with world(respond_ok, configuration=keyed(LIMITED)) as here:
            limited(here, GrantReply(True, 0.25, 0.8))
            began_s = monotonic_s()
            assert (await (await here.caller()).request("once", headers=[KEY]))[0] == 200
            assert monotonic_s() - began_s >= 0.25

    run(scenario())


def test_a_grant_that_was_too_long_on_its_way_is_not_used():
    async def scenario():
        async with world(respond_ok, configuration=keyed(LIMITED)) as here:
            leader = limited(here, GrantReply(True, 0.0, 0.0), GrantReply(True, 0.0, 0.8))
            assert (await (await here.caller()).request("once", headers=[KEY]))[0] == 200
            assert len(leader.asked) == 2

    run(scenario())


def test_without_a_leader_nothing_runs_on_a_limited_rate():
    async def scenario():
        async with world(respond_ok, configuration=keyed(LIMITED)) as here:
            limited(here, NotLeader(None))
            status, found, _ = await (await here.caller()).request("once", headers=[KEY])
            assert status == 503 and "retry-after" in found
            assert here._replicas[0].requests == []

    run(scenario())


def test_units_of_a_request_that_no_replica_ran_serve_the_next_one():
    async def scenario():
        async with world(reject_not_run, configuration=keyed(LIMITED)) as here:
            leader = limited(here, GrantReply(True, 0.0, 30.0))
            assert (await (await here.caller()).request("once", "r1", headers=[KEY]))[0] == 503
            here._replicas[0].script = respond_ok
            here.role.registry.find("i-1").availability.missing_resources.clear()
            assert (await (await here.caller()).request("once", "r2", headers=[KEY]))[0] == 200
            assert len(leader.asked) == 1

    run(scenario())


def test_a_second_run_of_a_request_is_counted_again():
    begun = []

    async def closes_first(headers, writer, number):
        begun.append(number)
        return False if len(begun) == 1 else await respond_ok(headers, writer, number)

    async def scenario():
        plain = keyed(LIMITED)
        made = [msgspec.structs.replace(route, public=False) for route in plain.routes]
        configuration = msgspec.structs.replace(plain, routes=made)
        async with world(closes_first, closes_first, configuration=configuration) as here:
            leader = limited(here, GrantReply(True, 0.0, 0.8))
            # Whichever replica is asked first breaks off, and the other one runs it again.
            for number in range(6):
                await (await here.caller()).request("safe", f"r{number}", headers=[KEY])
            ran = sum(len(replica.requests) for replica in here._replicas)
            assert ran == 7 and len(leader.asked) == 7

    run(scenario())


def test_a_caller_that_leaves_while_its_units_are_asked_for_costs_no_run():
    async def scenario():
        async with world(never_respond, configuration=keyed(LIMITED)) as here:
            limited(here, GrantReply(True, 0.28, 0.8))
            caller = await here.caller()
            caller.send("once", headers=[KEY])
            await asyncio.sleep(0.1)
            caller.disconnect()
            await asyncio.sleep(0.4)
            assert here._replicas[0].requests == []

    run(scenario())
