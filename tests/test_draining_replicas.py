"""The group records that a replica drains because its responses say so, once for each incarnation.

Its heartbeats may report ready until it stops. The recorded state stays until a later incarnation
starts.
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


def incarnation(started_ms=1, **more):
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


def test_heartbeats_with_state_ready_do_not_end_draining():
    directory = Directory()
    directory.record(ReplicaHeartbeat(incarnation(), 1))
    change = directory.drain("a@1")
    assert [item.state for item in change.changed] == [InstanceState.DRAINING]
    assert directory.drain("a@1") is None and directory.drain("b@1") is None
    assert directory.record(ReplicaHeartbeat(incarnation(), 2)) is None
    # Its models may still change, and the state stays.
    directory.record(ReplicaHeartbeat(incarnation(models=[LoadedModel("m")]), 3))
    found = directory.find("a@1")
    assert (found.state, found.serves("m")) == (InstanceState.DRAINING, True)


def test_next_incarnation_is_ready_and_a_snapshot_keeps_the_former_one_draining():
    directory, other = Directory(), Directory()
    directory.record(ReplicaHeartbeat(incarnation(), 1))
    directory.drain("a@1")
    other.load(directory.dump())
    assert not other.find("a@1").accepts_work
    other.record(ReplicaHeartbeat(incarnation(2), 1))
    assert other.find("a@2").accepts_work and other.find("a@1") is None
    assert other.record(ReplicaHeartbeat(incarnation(), 9)) is None


def test_drain_command_is_decoded_and_takes_effect_once():
    machine = StateMachine()
    machine.apply(RecordHeartbeat(ReplicaHeartbeat(incarnation(), 1)))
    command = decode_batch(encode_batch([DrainInstance("a@1")]))[0]
    assert [machine.apply(command).accepted for _ in range(2)] == [True, False]
    restored = StateMachine()
    restored.restore(machine.snapshot())
    assert not restored.directory.find("a@1").accepts_work


class Group:
    """Commits commands after a delay; the first `failures` of them fail."""

    def __init__(self, failures=0):
        self.machine = StateMachine()
        self.machine.apply(RecordHeartbeat(ReplicaHeartbeat(incarnation(), 1)))
        self.submitted = []
        self._failures = failures
        self.draining = DrainingReplicas(lambda: self.machine.directory, self.submit)

    async def submit(self, request):
        self.submitted.append(request.command)
        await asyncio.sleep(0.01)
        if len(self.submitted) <= self._failures:
            raise ConnectionLostError
        self.machine.apply(request.command)


def test_repeated_notices_commit_one_entry_for_each_incarnation():
    async def scenario():
        group = Group()
        for _ in range(50):
            group.draining.note(["a@1", "unknown"])
        await asyncio.sleep(0.05)
        group.draining.note(["a@1"])
        await asyncio.sleep(0.05)
        assert group.submitted == [DrainInstance("a@1")]

    asyncio.run(scenario())


def test_failed_commit_is_repeated_with_the_next_notice():
    async def scenario():
        group = Group(failures=1)
        for _ in range(2):
            group.draining.note(["a@1"])
            await asyncio.sleep(0.05)
        assert len(group.submitted) == 2
        assert not group.machine.directory.find("a@1").accepts_work

    asyncio.run(scenario())


def test_member_without_a_group_commits_nothing():
    async def scenario():
        submitted = []

        async def submit(request):
            submitted.append(request)

        DrainingReplicas(lambda: None, submit).note(["a@1"])
        await asyncio.sleep(0)
        assert not submitted

    asyncio.run(scenario())


def test_draining_is_permanent_in_any_order_of_commands_and_heartbeats():
    for order in ("bdb", "bbd", "dbb"):
        directory = Directory()
        directory.record(ReplicaHeartbeat(incarnation(), 0))
        for sequence, step in enumerate(order, start=1):
            if step == "d":
                directory.drain("a@1")
            else:
                models = [LoadedModel(str(sequence))]
                directory.record(
                    ReplicaHeartbeat(
                        msgspec.structs.replace(incarnation(), models=models), sequence
                    )
                )
        assert directory.find("a@1").state is InstanceState.DRAINING
