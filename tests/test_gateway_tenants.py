"""A gateway with tenants: who is served, what is forwarded, and when a proof is stale."""

import asyncio
import hashlib

import msgspec
import pytest

from crowsill.clock import monotonic_s
from crowsill.gateway.quota import QuotaGrantClient
from crowsill.gateway.routing_table import GatewayRoutingTable
from crowsill.model.tenants import RateUnit, Tenant
from crowsill.settings import LoadControlSettings
from crowsill.transport.messages import GrantReply, NotLeader
from tests.gateway_world import NAMES, never_respond, reject_not_run, respond_ok, routes, run, world

TENANT = NAMES.tenant.decode()
KEY = "Authorization: Bearer shop-key"


def digest(key):
    return hashlib.sha256(key.encode()).hexdigest()


SHOP = Tenant("shop", [digest("shop-key"), digest("old-key")], rank=1)
LIMITED_SHOP = msgspec.structs.replace(
    SHOP, rate_per_s=1000.0, burst=1000.0, unit=RateUnit.TOKENS, plain_tokens=200.0
)


def routes_with_tenants(*tenants, version=1):
    """Return the default routes with tenants; `safe` is open to callers without a key."""
    base = routes(version)
    changed_routes = [
        msgspec.structs.replace(route, public=route.name == "safe") for route in base.routes
    ]
    return msgspec.structs.replace(base, routes=changed_routes, tenants=list(tenants or (SHOP,)))


class ScriptedLeader:
    """Answers grant requests from a script and records them."""

    def __init__(self, *replies):
        self.replies = list(replies)
        self.requests = []

    async def query(self, request, _timeout_s):
        self.requests.append((request.tenant, request.units))
        return self.replies.pop(0) if len(self.replies) > 1 else self.replies[0]


def last_headers(here, number=0):
    """Return the headers of the last request at a replica."""
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
def test_a_caller_without_exactly_one_known_key_is_rejected_and_nothing_runs(headers):
    async def scenario():
        async with world(respond_ok, configuration=routes_with_tenants()) as here:
            status, found, body = await (await here.caller()).request("once", headers=headers)
            assert status == 401 and "retry-after" not in found
            assert here._replicas[0].requests == [] and b"wrong" not in body

    run(scenario())


@pytest.mark.parametrize("scheme", ["Bearer", "bearer", "BEARER", "bEaReR "])
def test_the_scheme_of_a_key_is_case_insensitive(scheme):
    async def scenario():
        async with world(respond_ok, configuration=routes_with_tenants()) as here:
            headers = [f"aUTHORization: {scheme} shop-key", f"{TENANT}: rival"]
            assert (await (await here.caller()).request("once", headers=headers))[0] == 200
            assert last_headers(here)[TENANT] == "shop" and "authorization" not in last_headers(
                here
            )

    run(scenario())


def test_a_key_listed_in_the_connection_header_is_still_checked():
    async def scenario():
        async with world(respond_ok, configuration=routes_with_tenants()) as here:
            headers = [KEY, f"Connection: authorization, {TENANT}"]
            assert (await (await here.caller()).request("once", headers=headers))[0] == 200
            assert last_headers(here)[TENANT] == "shop" and "authorization" not in last_headers(
                here
            )

    run(scenario())


@pytest.mark.parametrize(
    ("headers", "tenant"), [([], None), ([KEY], "shop"), (["Authorization: Bearer wrong"], None)]
)
def test_a_public_route_serves_everybody_and_forwards_no_key(headers, tenant):
    async def scenario():
        async with world(respond_ok, configuration=routes_with_tenants()) as here:
            headers_sent = [*headers, f"{TENANT}: rival"]
            assert (await (await here.caller()).request("safe", headers=headers_sent))[0] == 200
            assert last_headers(here).get(TENANT) == tenant and "authorization" not in last_headers(
                here
            )

    run(scenario())


def test_the_rank_of_a_tenant_takes_precedence_over_that_of_its_route():
    async def scenario():
        async with world(respond_ok, configuration=routes_with_tenants()) as here:
            headers = [KEY, f"{NAMES.model.decode()}: m"]
            assert (await (await here.caller()).request("engine", headers=headers))[0] == 200
            assert last_headers(here)[NAMES.priority.decode()] == "1"

    run(scenario())


@pytest.mark.parametrize("is_ordered", [False, True])
def test_a_revoked_key_runs_nothing_even_for_a_waiting_request(is_ordered):
    # The waiting request was identified before the key was revoked.
    load_control = LoadControlSettings(ordered_waiting=is_ordered)

    async def scenario():
        async with world(
            respond_ok, configuration=routes_with_tenants(), load_control=load_control
        ) as here:
            here.adopt([])
            caller = await here.caller()
            caller.send("once", headers=[KEY])
            await asyncio.sleep(0.2)
            here.role._table = GatewayRoutingTable(routes_with_tenants(Tenant("shop"), version=2))
            here.role._notify_change()
            assert (await caller.head())[0] == 401
            assert here._replicas[0].requests == []

    run(scenario())


def test_an_isolated_gateway_runs_nothing_with_a_key_once_its_proof_is_stale():
    async def scenario():
        async with world(respond_ok, configuration=routes_with_tenants()) as here:
            # The bound is 5 s; a gateway stops one second before it.
            here.role._on_current(1, monotonic_s() - 3.0)
            assert (await (await here.caller()).request("once", headers=[KEY]))[0] == 200
            here.role._on_current(1, monotonic_s() - 4.01)
            status, found, _ = await (await here.caller()).request("once", "r2", headers=[KEY])
            assert status == 503 and float(found["retry-after"]) <= 1.0
            assert len(here._replicas[0].requests) == 1
            # Requests without a key are still served.
            assert (await (await here.caller()).request("safe", "r3"))[0] == 200

    run(scenario())


def test_a_gateway_that_rejects_every_key_is_not_ready():
    async def scenario():
        async with world(respond_ok, configuration=routes_with_tenants()) as here:
            assert here.role.is_ready()
            here.role._on_current(1, monotonic_s() - 4.01)
            assert not here.role.is_ready()
            here.role._on_current(1, monotonic_s())
            assert here.role.is_ready()
        async with world(respond_ok) as here:
            here.role._on_current(1, monotonic_s() - 60.0)
            assert here.role.is_ready(), "without tenants there is nothing to prove"

    run(scenario())


def test_a_request_that_waits_for_a_proof_is_served_when_it_arrives():
    async def scenario():
        async with world(respond_ok, configuration=routes_with_tenants()) as here:
            here.role._on_current(1, monotonic_s() - 60.0)
            caller = await here.caller()
            caller.send("once", headers=[KEY])
            await asyncio.sleep(0.2)
            here.role._on_current(1, monotonic_s())
            assert (await caller.head())[0] == 200

    run(scenario())


def test_a_key_is_unknown_only_by_state_that_is_proved_current():
    async def scenario():
        async with world(respond_ok, configuration=routes_with_tenants()) as here:
            here.role._on_current(1, monotonic_s() - 2.0)
            headers = ["Authorization: Bearer new-key"]
            assert (await (await here.caller()).request("once", headers=headers))[0] == 503
            here.role._on_current(1, monotonic_s())
            assert (await (await here.caller()).request("once", "r2", headers=headers))[0] == 401

    run(scenario())


def test_the_proof_is_checked_again_after_the_connection_opens():
    # A gateway that freezes between the check and sending resumes with a stale proof.
    async def scenario():
        async with world(respond_ok, configuration=routes_with_tenants()) as here:
            acquire = here.role.pool.acquire

            async def acquire_with_stale_proof(*arguments):
                connection = await acquire(*arguments)
                here.role._on_current(1, monotonic_s() - 60.0)
                return connection

            here.role.pool.acquire = acquire_with_stale_proof
            assert (await (await here.caller()).request("once", headers=[KEY]))[0] == 503
            assert here._replicas[0].requests == []

    run(scenario())


# Quotas.


def with_scripted_leader(here, *replies):
    leader = ScriptedLeader(*replies)
    here.role.quota_grants = QuotaGrantClient(leader.query)
    return leader


def test_a_request_is_charged_its_tokens_or_the_plain_figure():
    async def scenario():
        async with world(respond_ok, configuration=routes_with_tenants(LIMITED_SHOP)) as here:
            leader = with_scripted_leader(here, GrantReply(True, 0.0, 0.8))
            counts = f"{NAMES.token_counts.decode()}: 700,80"
            caller = await here.caller()
            assert (await caller.request("once", "r1", headers=[KEY, counts]))[0] == 200
            assert (await caller.request("once", "r2", headers=[KEY]))[0] == 200
            assert leader.requests == [("shop", 780.0), ("shop", 200.0)]

    run(scenario())


def test_a_request_over_the_rate_is_rejected_with_the_time_until_capacity():
    async def scenario():
        async with world(respond_ok, configuration=routes_with_tenants(LIMITED_SHOP)) as here:
            with_scripted_leader(here, GrantReply(False, 1.75, 0.8))
            status, found, body = await (await here.caller()).request("once", headers=[KEY])
            assert (status, found["retry-after"]) == (429, "1.75")
            assert here._replicas[0].requests == [] and b"not_run" in body

    run(scenario())


def test_a_grant_that_takes_effect_later_is_waited_for():
    async def scenario():
        async with world(respond_ok, configuration=routes_with_tenants(LIMITED_SHOP)) as here:
            with_scripted_leader(here, GrantReply(True, 0.25, 0.8))
            began_s = monotonic_s()
            assert (await (await here.caller()).request("once", headers=[KEY]))[0] == 200
            assert monotonic_s() - began_s >= 0.25

    run(scenario())


def test_a_grant_that_arrives_expired_is_not_used():
    async def scenario():
        async with world(respond_ok, configuration=routes_with_tenants(LIMITED_SHOP)) as here:
            leader = with_scripted_leader(
                here, GrantReply(True, 0.0, 0.0), GrantReply(True, 0.0, 0.8)
            )
            assert (await (await here.caller()).request("once", headers=[KEY]))[0] == 200
            assert len(leader.requests) == 2

    run(scenario())


def test_without_a_leader_nothing_runs_on_a_limited_rate():
    async def scenario():
        async with world(respond_ok, configuration=routes_with_tenants(LIMITED_SHOP)) as here:
            with_scripted_leader(here, NotLeader(None))
            status, found, _ = await (await here.caller()).request("once", headers=[KEY])
            assert status == 503 and "retry-after" in found
            assert here._replicas[0].requests == []

    run(scenario())


def test_units_of_a_request_that_no_replica_ran_are_used_for_the_next_one():
    async def scenario():
        async with world(reject_not_run, configuration=routes_with_tenants(LIMITED_SHOP)) as here:
            leader = with_scripted_leader(here, GrantReply(True, 0.0, 30.0))
            assert (await (await here.caller()).request("once", "r1", headers=[KEY]))[0] == 503
            here._replicas[0].script = respond_ok
            here.role.registry.find("i-1").availability.missing_resources.clear()
            assert (await (await here.caller()).request("once", "r2", headers=[KEY]))[0] == 200
            assert len(leader.requests) == 1

    run(scenario())


def test_a_second_run_of_a_request_is_charged_again():
    begun_runs = []

    async def closes_first(headers, writer, number):
        begun_runs.append(number)
        return False if len(begun_runs) == 1 else await respond_ok(headers, writer, number)

    async def scenario():
        base = routes_with_tenants(LIMITED_SHOP)
        changed_routes = [msgspec.structs.replace(route, public=False) for route in base.routes]
        configuration = msgspec.structs.replace(base, routes=changed_routes)
        async with world(closes_first, closes_first, configuration=configuration) as here:
            leader = with_scripted_leader(here, GrantReply(True, 0.0, 0.8))
            # The replica chosen first interrupts the response, and the other one runs the request
            # again.
            for number in range(6):
                await (await here.caller()).request("safe", f"r{number}", headers=[KEY])
            ran = sum(len(replica.requests) for replica in here._replicas)
            assert ran == 7 and len(leader.requests) == 7

    run(scenario())


def test_a_caller_that_disconnects_while_its_grant_is_pending_causes_no_run():
    async def scenario():
        async with world(never_respond, configuration=routes_with_tenants(LIMITED_SHOP)) as here:
            with_scripted_leader(here, GrantReply(True, 0.28, 0.8))
            caller = await here.caller()
            caller.send("once", headers=[KEY])
            await asyncio.sleep(0.1)
            caller.disconnect()
            await asyncio.sleep(0.4)
            assert here._replicas[0].requests == []

    run(scenario())
