"""The pace in response heads: read by a gateway, told to others through the members."""

import asyncio
from types import SimpleNamespace

import pytest

from crowsill.control import service as service_module
from crowsill.control.quota_grants import QuotaBounds, QuotaGrants
from crowsill.control.service import MemberService
from crowsill.model.replica_use import ReplicaUse
from crowsill.state.quota_use import QuotaUse
from crowsill.transport.group_contacts import GroupContacts
from crowsill.transport.messages import Freshness, Heartbeat
from crowsill.transport.stream import LocalIdentity
from tests.gateway_world import ID, NAMES, encode_response, world

LOAD = NAMES.load.decode()


def respond_with_load(*loads):
    """Return a script whose responses carry these loads, the last one from then on."""

    async def script(headers, writer, number):
        load = loads[min(number, len(loads)) - 1]
        writer.write(encode_response(headers[ID.lower()], extra=f"{LOAD}: {load}"))
        return True

    return script


def pace_after(requests, *loads, uses_pace=True):
    """Return the gateway's pace of a replica after some requests, and what it reports."""

    async def scenario():
        async with world(respond_with_load(*loads)) as here:
            registry = here.role.registry
            registry.uses_pace = uses_pace
            caller = await here.caller()
            for number in range(requests):
                status, _, _ = await caller.request("safe", f"r{number}")
                assert status == 200
            pace = registry.find("i-1").pace
            now_s = asyncio.get_running_loop().time()
            return pace.slow_factor(now_s), registry.with_received_paces(registry.in_use())

    return asyncio.run(scenario())


def test_the_pace_of_a_response_head_is_used_and_reported():
    report = {"i-1": ReplicaUse(0, pace_percent=170)}
    assert pace_after(1, "1,0,8,170") == (1.7, report)


@pytest.mark.parametrize("load", ["1,0,8", "1,0,8,0", "1,0,8,-70", "1,0,8,soon", "1,0,8,1e9"])
def test_a_missing_or_absurd_pace_is_worth_nothing(load):
    assert pace_after(2, load) == (1.0, {})


def test_no_pace_is_read_where_the_switch_is_off():
    assert pace_after(1, "1,0,8,170", uses_pace=False) == (1.0, {})


def make_service(monkeypatch, name, is_leader):
    monkeypatch.setattr(service_module, "PROCESS_STARTED_S", float("-inf"))
    subscribers = SimpleNamespace(
        subscribe=lambda _connection, _heartbeat: None, fleet_position=lambda: (0, 0)
    )
    grants = QuotaGrants(QuotaBounds(), QuotaUse(), lambda: None)
    local = LocalIdentity(name, f"{name}.1", "z", b"k" * 32)
    service = MemberService(
        local, False, subscribers, None, GroupContacts([], None), quota=grants, retries=None
    )
    service.driver = SimpleNamespace(is_leader=is_leader)
    service.own_freshness = lambda: Freshness(0, 3) if service.driver.is_leader else None
    service._has_applied = lambda _freshness: True
    return service


def stream_to(service, source):
    """Return a stream on which requests of `source` reach a member."""
    peer = SimpleNamespace(identity=source, node=source, zone="z")
    accepted = SimpleNamespace(peer=peer)

    async def request(body, _timeout_s):
        return await service.on_request(accepted, body)

    return SimpleNamespace(is_closed=False, request=request, close=lambda: None)


def test_a_pace_reaches_gateways_of_other_members_and_outlives_its_leader(monkeypatch):
    leader = make_service(monkeypatch, "c1", True)
    follower = make_service(monkeypatch, "c2", False)
    follower.leader_stream = stream_to(leader, "c2.1")

    async def scenario():
        report = {"a": ReplicaUse(0, pace_percent=170)}
        gateway, other = stream_to(leader, "g1.1"), stream_to(follower, "g2.1")
        await gateway.request(Heartbeat(0, 0, [], in_use=report), 1.0)
        reply = await other.request(Heartbeat(0, 0, [], in_use={}), 1.0)
        assert reply.in_use == report
        # A heartbeat that asks for no use gets none.
        assert (await other.request(Heartbeat(0, 0, []), 1.0)).in_use is None
        follower.driver.is_leader, follower.leader_stream = True, None
        reply = await other.request(Heartbeat(0, 0, [], in_use={}), 1.0)
        assert reply.in_use == report

    asyncio.run(scenario())
