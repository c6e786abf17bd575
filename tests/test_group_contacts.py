"""Whom a process asks for the group, and whom a leader tells where it is."""

import asyncio
from random import Random

import pytest

from crowsill.control import announcer as announcer_module
from crowsill.control.announcer import AnnouncerPorts, GroupAnnouncer
from crowsill.settings import Address
from crowsill.state.commands import RecordControlAddress
from crowsill.state.control_addresses import MAX_CONTROL_ADDRESSES
from crowsill.state.machine import StateMachine
from crowsill.transport.group_contacts import MOST_REFERRED, GroupContacts
from crowsill.transport.messages import Pong, Submitted

LEADER, FOLLOWER, BLANK = (Address("10.0.0.1", 7), Address("10.0.0.2", 7), Address("10.0.0.3", 7))
DISKLESS, SEED = Address("10.0.0.4", 7), Address("10.0.0.5", 7)


def contacts(seeds=()):
    return GroupContacts(list(seeds), Random(1))


def test_members_come_before_hearsay_and_hearsay_before_seeds():
    made = contacts([SEED])
    made.learn([LEADER])
    made.refer([FOLLOWER])
    assert made.targets() == [LEADER, FOLLOWER, SEED]


def test_hearsay_never_replaces_what_a_leader_told():
    # An old member's word must not take anybody back to members that are no more.
    made = contacts([SEED])
    made.learn([LEADER])
    made.refer([Address("10.9.0.1", number) for number in range(100)])
    assert made.targets()[0] == LEADER and made.targets()[-1] == SEED
    assert len(made.targets()) == MOST_REFERRED + 2


def test_what_a_leader_tells_ends_hearsay():
    # Each address that is no more costs a search 0.3 s: sixteen of them, kept from machines that
    # were replaced one by one, would hold up a gateway that has just lost all members for 5 s.
    made = contacts([SEED])
    made.refer([Address("10.9.0.1", number) for number in range(MOST_REFERRED)])
    made.learn([LEADER])
    assert made.targets() == [LEADER, SEED]


def test_an_empty_answer_takes_nothing_away():
    made = contacts()
    made.learn([LEADER])
    made.learn([])
    assert made.known() == [LEADER]


def test_control_addresses_are_bounded_and_survive_a_snapshot():
    machine, other = StateMachine(), StateMachine()
    for number in range(MAX_CONTROL_ADDRESSES + 3):
        machine.apply(RecordControlAddress(f"10.0.0.1:{number}"))
    other.restore(machine.snapshot())
    assert other.control_addresses.addresses == machine.control_addresses.addresses
    assert len(other.control_addresses.addresses) == MAX_CONTROL_ADDRESSES
    assert other.digest() == machine.digest()


class Site:
    """Addresses that answer, and who was visited."""

    def __init__(self, monkeypatch, answering):
        self.answering = set(answering)
        self.visited = []
        self.silent = [BLANK]
        self.seeds = [LEADER, SEED]
        self.machine = StateMachine()
        monkeypatch.setattr(announcer_module, "ask_once", self.ask_once)
        ports = AnnouncerPorts(
            members=lambda: [LEADER, FOLLOWER, BLANK],
            silent_members=lambda: self.silent,
            seeds=lambda: self.seeds,
            recorded=self.machine.control_addresses,
            submit=self.submit,
        )
        self.announcer = GroupAnnouncer(ports, None)

    async def submit(self, command):
        return Submitted(self.machine.apply(command))

    async def ask_once(self, address, told, _local, _timeout_s):
        self.visited.append(address)
        assert told.members == ["10.0.0.1:7", "10.0.0.2:7", "10.0.0.3:7"]
        return Pong() if address in self.answering else None

    def run(self, for_s):
        async def scenario():
            running = asyncio.create_task(self.announcer.run())
            await asyncio.sleep(for_s)
            running.cancel()
            await asyncio.gather(running, return_exceptions=True)

        asyncio.run(scenario())


def test_seeds_silent_members_and_recorded_processes_are_visited_others_are_not(monkeypatch):
    site = Site(monkeypatch, [BLANK, SEED, DISKLESS])
    site.machine.apply(RecordControlAddress("10.0.0.4:7"))
    site.run(0.1)
    assert set(site.visited) == {BLANK, SEED, DISKLESS} and len(site.visited) == 3


def test_one_that_asks_is_recorded_and_not_visited_while_it_is_in_touch(monkeypatch):
    site = Site(monkeypatch, [])
    site.silent = site.seeds = []
    site.announcer.note_request("10.0.0.4:7")
    site.run(0.1)
    members = {"10.0.0.1:7", "10.0.0.2:7", "10.0.0.3:7"}
    assert set(site.machine.control_addresses.addresses) == {"10.0.0.4:7", *members}
    assert site.visited == []
    monkeypatch.setattr(announcer_module, "CONTACT_LIFETIME_S", 0.0)
    site.run(0.1)
    assert site.visited == [DISKLESS]


@pytest.mark.parametrize(("answering", "most"), [([SEED], 1), ([], 4)])
def test_a_visit_is_repeated_seldom_after_an_answer_and_ever_less_often_without(
    monkeypatch, answering, most
):
    site = Site(monkeypatch, answering)
    site.silent, site.seeds = [], [SEED]
    site.run(1.6)
    assert 1 <= len(site.visited) <= most
