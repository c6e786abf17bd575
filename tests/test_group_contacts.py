"""Addresses that a process queries for the group, and addresses a leader announces it to."""

import asyncio
from random import Random

import pytest

from crowsill.control import announcer as announcer_module
from crowsill.control.announcer import AnnouncerPorts, GroupAnnouncer
from crowsill.settings import Address
from crowsill.state.commands import RecordControlAddress
from crowsill.state.control_addresses import MAX_CONTROL_ADDRESSES
from crowsill.state.machine import StateMachine
from crowsill.transport.group_contacts import MAX_REFERRALS, GroupContacts
from crowsill.transport.messages import Pong, Submitted

LEADER, FOLLOWER, EMPTY = (Address("10.0.0.1", 7), Address("10.0.0.2", 7), Address("10.0.0.3", 7))
DISKLESS, SEED = Address("10.0.0.4", 7), Address("10.0.0.5", 7)


def contacts(seeds=()):
    return GroupContacts(list(seeds), Random(1))


def test_targets_are_members_then_referrals_then_seeds():
    known_contacts = contacts([SEED])
    known_contacts.set_members([LEADER])
    known_contacts.add_referrals([FOLLOWER])
    assert known_contacts.targets() == [LEADER, FOLLOWER, SEED]


def test_referrals_never_replace_the_members_reported_by_a_leader():
    # A former member's response must not lead a process back to members that no longer exist.
    known_contacts = contacts([SEED])
    known_contacts.set_members([LEADER])
    known_contacts.add_referrals([Address("10.9.0.1", number) for number in range(100)])
    assert known_contacts.targets()[0] == LEADER and known_contacts.targets()[-1] == SEED
    assert len(known_contacts.targets()) == MAX_REFERRALS + 2


def test_members_reported_by_a_leader_replace_referrals():
    # Each outdated address costs a search 0.3 s. Sixteen of them, left from machines that were
    # replaced one by one, would delay a gateway that has just lost all members by 5 s.
    known_contacts = contacts([SEED])
    known_contacts.add_referrals([Address("10.9.0.1", number) for number in range(MAX_REFERRALS)])
    known_contacts.set_members([LEADER])
    assert known_contacts.targets() == [LEADER, SEED]


def test_empty_response_removes_no_member():
    known_contacts = contacts()
    known_contacts.set_members([LEADER])
    known_contacts.set_members([])
    assert known_contacts.known_addresses() == [LEADER]


def test_control_addresses_are_bounded_and_survive_a_snapshot():
    machine, other = StateMachine(), StateMachine()
    for number in range(MAX_CONTROL_ADDRESSES + 3):
        machine.apply(RecordControlAddress(f"10.0.0.1:{number}"))
    other.restore(machine.snapshot())
    assert other.control_addresses.addresses == machine.control_addresses.addresses
    assert len(other.control_addresses.addresses) == MAX_CONTROL_ADDRESSES
    assert other.digest() == machine.digest()


class Site:
    """Addresses that respond, and the addresses to which the group was announced."""

    def __init__(self, monkeypatch, responding):
        self.responding = set(responding)
        self.announced_to = []
        self.silent = [EMPTY]
        self.seeds = [LEADER, SEED]
        self.machine = StateMachine()
        monkeypatch.setattr(announcer_module, "query_once", self.query_once)
        ports = AnnouncerPorts(
            members=lambda: [LEADER, FOLLOWER, EMPTY],
            silent_members=lambda: self.silent,
            seeds=lambda: self.seeds,
            recorded=self.machine.control_addresses,
            submit=self.submit,
        )
        self.announcer = GroupAnnouncer(ports, None)

    async def submit(self, command):
        return Submitted(self.machine.apply(command))

    async def query_once(self, address, referral, _local, _timeout_s):
        self.announced_to.append(address)
        assert referral.members == ["10.0.0.1:7", "10.0.0.2:7", "10.0.0.3:7"]
        return Pong() if address in self.responding else None

    def run(self, duration_s):
        async def scenario():
            announcer_task = asyncio.create_task(self.announcer.run())
            await asyncio.sleep(duration_s)
            announcer_task.cancel()
            await asyncio.gather(announcer_task, return_exceptions=True)

        asyncio.run(scenario())


def test_group_is_announced_to_seeds_silent_members_and_recorded_processes_only(monkeypatch):
    site = Site(monkeypatch, [EMPTY, SEED, DISKLESS])
    site.machine.apply(RecordControlAddress("10.0.0.4:7"))
    site.run(0.1)
    assert set(site.announced_to) == {EMPTY, SEED, DISKLESS} and len(site.announced_to) == 3


def test_process_that_queries_is_recorded_and_gets_no_announcement_while_in_contact(monkeypatch):
    site = Site(monkeypatch, [])
    site.silent = site.seeds = []
    site.announcer.note_request("10.0.0.4:7")
    site.run(0.1)
    members = {"10.0.0.1:7", "10.0.0.2:7", "10.0.0.3:7"}
    assert set(site.machine.control_addresses.addresses) == {"10.0.0.4:7", *members}
    assert site.announced_to == []
    monkeypatch.setattr(announcer_module, "CONTACT_LIFETIME_S", 0.0)
    site.run(0.1)
    assert site.announced_to == [DISKLESS]


@pytest.mark.parametrize(("responding", "max_announcements"), [([SEED], 1), ([], 4)])
def test_announcements_are_rare_after_an_acknowledgement_and_back_off_without_one(
    monkeypatch, responding, max_announcements
):
    site = Site(monkeypatch, responding)
    site.silent, site.seeds = [], [SEED]
    site.run(1.6)
    assert 1 <= len(site.announced_to) <= max_announcements
