"""The group records that a replica leaves by word of its answers, once a life.

Its heartbeats may say ready for as long as it lives: what the group recorded by the answers stands
until a later life begins.
"""

import asyncio

import msgspec

from crowsill.control.draining_replicas import DrainingReplicas
from crowsill.model.instances import (
    Instance,
    InstanceState,
    LoadedModel,
    ReplicaHeartbeat,
    instance_id_of,
)
from crowsill.state.commands import DrainInstance, RecordHeartbeat, decode_batch, encode_batch
from crowsill.state.directory import Directory
from crowsill.state.machine import StateMachine
from crowsill.transport.connection import ConnectionLostError


def life(started_ms=1, **more):
    return Instance(
        instance_id_of("a", started_ms),
        "s",
        "127.0.0.1:1",
        "z",
        4,
        replica="a",
        started_ms=started_ms,
        **more,
    )


def test_heartbeats_that_say_ready_do_not_undo_it():
    directory = Directory()
    directory.record(ReplicaHeartbeat(life(), 1))
    change = directory.drain("a@1")
    assert [item.state for item in change.changed] == [InstanceState.DRAINING]
    assert directory.drain("a@1") is None and directory.drain("b@1") is None
    assert directory.record(ReplicaHeartbeat(life(), 2)) is None
    # What it holds may still change, and its state does not with it.
    directory.record(ReplicaHeartbeat(life(models=[LoadedModel("m")]), 3))
    found = directory.find("a@1")
    assert (found.state, found.serves("m")) == (InstanceState.DRAINING, True)


def test_the_next_life_is_ready_and_a_snapshot_keeps_the_last_one_leaving():
    directory, other = Directory(), Directory()
    directory.record(ReplicaHeartbeat(life(), 1))
    directory.drain("a@1")
    other.load(directory.dump())
    assert not other.find("a@1").accepts_work
    other.record(ReplicaHeartbeat(life(2), 1))
    assert other.find("a@2").accepts_work and other.find("a@1") is None
    assert other.record(ReplicaHeartbeat(life(), 9)) is None


def test_the_command_is_read_back_and_applied_once():
    machine = StateMachine()
    machine.apply(RecordHeartbeat(ReplicaHeartbeat(life(), 1)))
    command = decode_batch(encode_batch([DrainInstance("a@1")]))[0]
    assert [machine.apply(command).accepted for _ in range(2)] == [True, False]
    restored = StateMachine()
    restored.restore(machine.snapshot())
    assert not restored.directory.find("a@1").accepts_work


class Group:
    """Takes commands in, slowly; loses the first ones where it is told to."""

    def __init__(self, losing=0):
        self.machine = StateMachine()
        self.machine.apply(RecordHeartbeat(ReplicaHeartbeat(life(), 1)))
        self.submitted = []
        self._losing = losing
        self.leaving = DrainingReplicas(lambda: self.machine.directory, self.submit)

    async def submit(self, request):
        self.submitted.append(request.command)
        await asyncio.sleep(0.01)
        if len(self.submitted) <= self._losing:
            raise ConnectionLostError
        self.machine.apply(request.command)


def test_one_entry_a_life_whoever_says_it_and_however_often():
    async def scenario():
        group = Group()
        for _ in range(50):
            group.leaving.note(["a@1", "unknown"])
        await asyncio.sleep(0.05)
        group.leaving.note(["a@1"])
        await asyncio.sleep(0.05)
        assert group.submitted == [DrainInstance("a@1")]

    asyncio.run(scenario())


def test_what_was_lost_on_its_way_is_told_again():
    async def scenario():
        group = Group(losing=1)
        for _ in range(2):
            group.leaving.note(["a@1"])
            await asyncio.sleep(0.05)
        assert len(group.submitted) == 2
        assert not group.machine.directory.find("a@1").accepts_work

    asyncio.run(scenario())


def test_a_member_that_belongs_to_no_group_has_nothing_recorded():
    async def scenario():
        submitted = []

        async def submit(request):
            submitted.append(request)

        DrainingReplicas(lambda: None, submit).note(["a@1"])
        await asyncio.sleep(0)
        assert not submitted

    asyncio.run(scenario())


def test_states_only_move_down_in_any_order_of_words_and_heartbeats():
    for order in ("bdb", "bbd", "dbb"):
        directory = Directory()
        directory.record(ReplicaHeartbeat(life(), 0))
        for sequence, step in enumerate(order, start=1):
            if step == "d":
                directory.drain("a@1")
            else:
                models = [LoadedModel(str(sequence))]
                directory.record(
                    ReplicaHeartbeat(msgspec.structs.replace(life(), models=models), sequence)
                )
        assert directory.find("a@1").state is InstanceState.DRAINING
