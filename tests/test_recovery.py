"""Recovery times of processes after a full power loss."""

import asyncio
import socket
import time
from random import Random
from types import SimpleNamespace

import pytest

from crowsill.consensus.membership import Membership
from crowsill.control import service as service_module
from crowsill.control.quota_grants import QuotaGrants
from crowsill.control.service import MemberService
from crowsill.state.machine import StateMachine
from crowsill.state.quota_use import QuotaUse
from crowsill.tenancy.grant_ledger import QuotaBounds
from crowsill.transport.connection import open_connection
from crowsill.transport.group_contacts import GroupContacts
from crowsill.transport.messages import EntryStatus, Freshness, Heartbeat, NotLeader
from crowsill.transport.stream import LocalIdentity

LOCAL = LocalIdentity("g1", "g1.1", "z", b"k" * 32)
HEARTBEAT = Heartbeat(0, 0, [EntryStatus("g1.1", "g1", "z", 0)], {}, False)


def test_connection_attempt_to_a_silent_address_times_out_before_the_first_retransmission():
    # After a power loss the first packet of a connection may go to a machine without power, and the
    # operating system retransmits it only after a second.
    async def scenario():
        with socket.socket() as silent:
            silent.bind(("127.0.0.1", 0))
            silent.listen(0)
            # A full queue of pending connections drops further SYN packets.
            queue_fillers = [socket.socket() for _ in range(4)]
            for filler in queue_fillers:
                filler.setblocking(False)
                filler.connect_ex(silent.getsockname())
            await asyncio.sleep(0.05)
            started_s = time.monotonic()
            with pytest.raises(TimeoutError):
                await open_connection(*silent.getsockname(), LOCAL)
            for filler in queue_fillers:
                filler.close()
            return time.monotonic() - started_s

    assert asyncio.run(scenario()) < 0.9


class ElectingDriver:
    """A member's driver that becomes the leader later."""

    def __init__(self):
        self.node = SimpleNamespace(membership=Membership())
        self.is_leader = False
        self.machine = StateMachine()

    def has_lease(self):
        return self.is_leader

    def leader_address(self):
        return None


class NoSubscribers:
    """Subscribers that ignore all subscriptions."""

    def subscribe(self, connection, heartbeat):
        """Do nothing."""


def send_heartbeat_during_election(monkeypatch, has_just_started):
    """Send a heartbeat to a member that becomes the leader shortly after; return the response."""
    age_s = 0.0 if has_just_started else 100.0
    monkeypatch.setattr(service_module, "PROCESS_STARTED_S", service_module.monotonic_s() - age_s)

    async def scenario():
        service = MemberService(
            LOCAL,
            False,
            NoSubscribers(),
            None,
            GroupContacts([], Random(1)),
            quota=QuotaGrants(QuotaBounds(), QuotaUse(), lambda: None),
            retries=None,
        )
        driver = service.driver = ElectingDriver()
        service.own_freshness = lambda: Freshness(0, 1) if driver.is_leader else None
        request_task = asyncio.create_task(service.on_request(None, HEARTBEAT))
        await asyncio.sleep(0.1)
        driver.is_leader = True
        return await request_task

    return asyncio.run(asyncio.wait_for(scenario(), 5))


def test_member_that_has_just_started_responds_once_a_leader_is_known(monkeypatch):
    assert isinstance(send_heartbeat_during_election(monkeypatch, has_just_started=True), Freshness)


def test_member_that_lost_its_leader_redirects_gateways_at_once(monkeypatch):
    assert isinstance(
        send_heartbeat_during_election(monkeypatch, has_just_started=False), NotLeader
    )
