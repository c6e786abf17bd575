"""The gateways' use of replicas, exchanged through the members.

On a site of 195 gateways and 59 engines, a gateway has a request at a given engine only every 47 s.
Without this exchange, 85 of 100 choices are made without any knowledge of the engine's load (E200
with in_flight=0 others=0.0).
"""

import asyncio
from random import Random
from types import SimpleNamespace

from crowsill.control import service as service_module
from crowsill.control.gateway_reports import GatewayReports
from crowsill.control.gateway_use import REPORT_LIFETIME_S, TOTAL_LIFETIME_S, GatewayUse
from crowsill.control.quota_grants import QuotaBounds, QuotaGrants
from crowsill.control.service import MemberService
from crowsill.control.subscribers import LiveEntries
from crowsill.gateway.replica_registry import ReplicaRegistry
from crowsill.model.instances import Instance
from crowsill.model.replica_use import NO_USE, ReplicaUse
from crowsill.state.directory import DirectoryChange
from crowsill.state.quota_use import QuotaUse
from crowsill.transport.group_contacts import GroupContacts
from crowsill.transport.messages import EntryStatus, Freshness, Heartbeat
from crowsill.transport.stream import LocalIdentity


def registry(*names):
    instances = [Instance(name, "s", "127.0.0.1:1", "z", 4) for name in names]
    result = ReplicaRegistry()
    result.adopt(DirectoryChange(1, instances, []), True, 0.0)
    return result


def test_sum_includes_the_latest_report_of_each_gateway_and_no_expired_one():
    use = GatewayUse()
    use.note("g1", {"a": ReplicaUse(2, 900)}, 0.0)
    use.note("g2", {"a": ReplicaUse(1), "b": ReplicaUse(1, 50)}, 0.4)
    use.note("g1", {"a": ReplicaUse(1, 100)}, 0.5)
    assert use.sum(0.6) == {"a": ReplicaUse(2, 100), "b": ReplicaUse(1, 50)}
    assert use.sum(0.45 + REPORT_LIFETIME_S) == {"a": ReplicaUse(1, 100)}


def test_follower_reports_to_its_leader_at_intervals_and_to_a_new_one_at_once():
    reports = GatewayReports()
    entry = EntryStatus("g1.1", "g1", "z", 0)
    reports.note(Heartbeat(0, 0, [entry]), 0.0)
    reports.use.note("g1.1", {"a": ReplicaUse(2)}, 0.0)
    first_heartbeat = reports.make_heartbeat("leader 1", (0, 0), 0.0)
    assert first_heartbeat.entries == [entry] and first_heartbeat.in_use == {"a": ReplicaUse(2)}
    next_heartbeat = reports.make_heartbeat("leader 1", (0, 0), 0.1)
    assert next_heartbeat.entries == [] and next_heartbeat.in_use is None
    aged_entry = EntryStatus("g1.1", "g1", "z", 0, age_s=0.15)
    assert reports.make_heartbeat("leader 2", (0, 0), 0.15).entries == [aged_entry]
    assert reports.make_heartbeat("leader 2", (0, 0), 0.5).in_use == {"a": ReplicaUse(2)}


def test_total_from_the_leader_expires():
    reports = GatewayReports()
    assert reports.total_use(is_leader=False, now_s=0.0) is None
    reports.use.note_total({"a": ReplicaUse(7)}, 1.0)
    assert reports.total_use(is_leader=False, now_s=1.1) == {"a": ReplicaUse(7)}
    assert reports.total_use(is_leader=False, now_s=1.1 + TOTAL_LIFETIME_S) is None


def test_gateway_subtracts_its_own_use():
    local_registry = registry("a", "b", "c")
    local_registry.find("a").in_flight = 2
    local_registry.find("a").pending_prompt_tokens = 300
    own = local_registry.in_use()
    assert own == {"a": ReplicaUse(2, 300)}
    local_registry.note_total_use({"a": ReplicaUse(5, 900), "b": ReplicaUse(1)}, own, 3.0)
    assert local_registry.find("a").peer_use == ReplicaUse(3, 600)
    assert local_registry.find("b").peer_use == ReplicaUse(1)
    assert local_registry.find("c").peer_use == NO_USE
    assert local_registry.find("a").peer_requests(3.0) == 3.0
    assert local_registry.find("a").peer_requests(9.0) == 0.0


def test_leader_sums_the_reports_of_gateways_and_followers(monkeypatch):
    monkeypatch.setattr(service_module, "PROCESS_STARTED_S", float("-inf"))
    subscribers = SimpleNamespace(subscribe=lambda _connection, _heartbeat: None)
    grants = QuotaGrants(QuotaBounds(), QuotaUse(), lambda: None)
    local = LocalIdentity("c1", "c1.1", "z", b"k" * 32)
    contacts = GroupContacts([], Random(1))
    service = MemberService(local, False, subscribers, None, contacts, quota=grants, retries=None)
    service.driver = SimpleNamespace(is_leader=True)
    service.own_freshness = lambda: Freshness(0, 3)
    service._has_applied = lambda _freshness: True

    async def send_heartbeat(source, **in_use):
        stream = SimpleNamespace(peer=SimpleNamespace(identity=source, node=source, zone="z"))
        return await service.on_request(stream, Heartbeat(0, 0, [], **in_use))

    async def scenario():
        await send_heartbeat("g1.1", in_use={"a": ReplicaUse(1, 100)})
        reply = await send_heartbeat("c2.1", in_use={"a": ReplicaUse(3), "b": ReplicaUse(2)})
        assert reply.in_use == {"a": ReplicaUse(4, 100), "b": ReplicaUse(2)}
        assert (await send_heartbeat("e1.1")).in_use is None, "no report, so no total in return"

    asyncio.run(scenario())


def test_a_member_that_a_gateway_has_left_does_not_overwrite_its_newer_status():
    # The last status that such a member got was passed on for 4 s, and was taken for the newest.
    left, leader = LiveEntries(), LiveEntries()
    left.note([EntryStatus("g1.1", "g1", "z", 0)], 10.0)
    leader.note([EntryStatus("g1.1", "g1", "z", 1)], 11.0)
    leader.note(left.to_reports(11.5), 11.5)
    assert [status.revision for status in leader.live(11.5)] == [1]
    # Passing it on does not prolong its life.
    assert left.to_reports(13.9)[0].age_s == 3.9 and leader.live(15.1) == []
