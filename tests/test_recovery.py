"""How soon processes find one another after a loss of all power."""

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
from crowsill.transport.messages import Currency, EntryStatus, Heartbeat, NotLeader
from crowsill.transport.stream import LocalIdentity

LOCAL = LocalIdentity("g1", "g1.1", "z", b"k" * 32)
HEARTBEAT = Heartbeat(0, 0, [EntryStatus("g1.1", "g1", "z", 0)], {}, False)


def test_an_address_that_says_nothing_is_given_up_before_the_system_would_ask_it_again():
    # Found on every day of the third site that ends with all power lost: the opening packet went to
    # a machine without power, and the system sends it again after a second only.
    async def scenario():
        with socket.socket() as silent:
            silent.bind(("127.0.0.1", 0))
            silent.listen(0)
            # A full queue of new connections drops further opening packets.
            fillers = [socket.socket() for _ in range(4)]
            for filler in fillers:
                filler.setblocking(False)
                filler.connect_ex(silent.getsockname())
            await asyncio.sleep(0.05)
            started_s = time.monotonic()
            with pytest.raises(TimeoutError):
                await open_connection(*silent.getsockname(), LOCAL)
            for filler in fillers:
                filler.close()
            return time.monotonic() - started_s

    assert asyncio.run(scenario()) < 0.9


class ElectingDriver:
    """A member's driver that comes to lead after a while."""

    def __init__(self):
        self.node = SimpleNamespace(membership=Membership())
        self.is_leader = False
        self.machine = StateMachine()

    def has_lease(self):
        return self.is_leader

    def leader_address(self):
        return None


class Follows:
    """A list of followers that takes none."""

    def subscribe(self, connection, heartbeat):
        """Nothing is pushed here."""


def ask_while_electing(monkeypatch, is_fresh):
    """Ask a member that comes to lead a moment later; return its answer."""
    age_s = 0.0 if is_fresh else 100.0
    monkeypatch.setattr(service_module, "PROCESS_STARTED_S", service_module.monotonic_s() - age_s)

    async def scenario():
        service = MemberService(
            LOCAL,
            False,
            Follows(),
            None,
            GroupContacts([], Random(1)),
            quota=QuotaGrants(QuotaBounds(), QuotaUse(), lambda: None),
        )
        driver = service.driver = ElectingDriver()
        service.own_freshness = lambda: Currency(0, 1) if driver.is_leader else None
        asking = asyncio.create_task(service.on_request(None, HEARTBEAT))
        await asyncio.sleep(0.1)
        driver.is_leader = True
        return await asking

    return asyncio.run(asyncio.wait_for(scenario(), 5))


def test_a_member_that_has_just_started_answers_a_gateway_once_a_leader_is_known(monkeypatch):
    assert isinstance(ask_while_electing(monkeypatch, is_fresh=True), Currency)


def test_a_member_that_lost_its_leader_sends_gateways_on_at_once(monkeypatch):
    assert isinstance(ask_while_electing(monkeypatch, is_fresh=False), NotLeader)
