"""Histories of replicas that restart, with late, duplicate and lost heartbeats.

Heartbeats of one incarnation are ordered by sequence number, incarnations of one replica by their
start. Guards against an order by sequence number alone: then a restarted replica is ignored until
its sequence number reaches that of the earlier incarnation.
"""

import sys
import tracemalloc

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Success

from crowsill.gateway.replica_registry import ReplicaRegistry
from crowsill.model.instances import (
    Instance,
    InstanceState,
    LoadedModel,
    ReplicaHeartbeat,
    instance_id_of,
)
from crowsill.state.commands import OfferModels, RecordHeartbeat, RemoveInstance
from crowsill.state.directory import Directory
from crowsill.state.machine import StateMachine
from tests.platform_site import ROOT

sys.path.insert(0, str(ROOT / "platform"))

from crowsill_platform.heartbeats import HeartbeatDocument, read_heartbeat

READY, DRAINING = InstanceState.READY, InstanceState.DRAINING


def heartbeat(replica="i", started_ms=None, sequence=1, port=1, state=READY, models=()):
    found = Instance(
        instance_id_of(replica, started_ms),
        "s",
        f"127.0.0.1:{port}",
        "z",
        4,
        state,
        [LoadedModel(name) for name in models],
        replica="" if started_ms is None else replica,
        started_ms=started_ms or 0,
    )
    return ReplicaHeartbeat(found, sequence)


def test_a_new_incarnation_keeps_no_state_of_the_earlier_one():
    directory = Directory()
    directory.record(heartbeat(started_ms=10, sequence=500, models=["a", "b"], state=DRAINING))
    directory.offer("i@10", [LoadedModel("a")], [])
    change = directory.record(heartbeat(started_ms=20, models=["c"]))
    assert change.removed == ["i@10"]
    (found,) = directory.instances
    assert (found.instance_id, found.state, [held.name for held in found.models]) == (
        "i@20",
        READY,
        ["c"],
    )


def test_an_earlier_incarnation_changes_nothing_even_after_the_later_one_is_removed():
    directory = Directory()
    directory.record(heartbeat(started_ms=20))
    assert directory.record(heartbeat(started_ms=10, sequence=900)) is None
    directory.remove("i@20")
    assert directory.record(heartbeat(started_ms=10, sequence=901)) is None
    assert directory.record(heartbeat(started_ms=20, sequence=5)) is None
    assert directory.record(heartbeat(started_ms=30)).changed[0].instance_id == "i@30"


def test_a_late_first_heartbeat_does_not_replace_the_current_replica_at_its_address():
    directory = Directory()
    directory.record(heartbeat("new", started_ms=20))
    assert directory.record(heartbeat("old", started_ms=10)) is None
    assert [item.instance_id for item in directory.instances] == ["new@20"]
    assert directory.record(heartbeat("new", started_ms=20, sequence=2, models=["a"])) is not None


def test_heartbeats_without_a_start_time_are_ordered_by_sequence_number():
    directory = Directory()
    directory.record(heartbeat(sequence=7))
    assert directory.record(heartbeat(sequence=6, models=["a"])) is None
    directory.remove("i")
    assert directory.record(heartbeat(sequence=99)) is None
    assert directory.record(heartbeat("j", sequence=1)) is not None


HEARTBEATS = st.builds(
    heartbeat,
    replica=st.sampled_from(["i", "j"]),
    started_ms=st.integers(1, 4),
    sequence=st.integers(1, 5),
    port=st.integers(1, 3),
    state=st.sampled_from([READY, READY, DRAINING]),
    models=st.sampled_from([(), ("a",), ("a", "b")]),
)
STEPS = st.one_of(
    HEARTBEATS.map(RecordHeartbeat),
    st.builds(RemoveInstance, st.sampled_from(["i@1", "i@2", "i@3", "j@2"])),
    st.builds(
        lambda instance_id: OfferModels(instance_id, [LoadedModel("a")]),
        st.sampled_from(["i@2", "j@1"]),
    ),
)


@settings(max_examples=300)
@given(st.lists(STEPS, max_size=40), st.sets(st.integers(0, 39), max_size=3))
def test_no_replica_returns_to_an_earlier_incarnation_and_gateways_agree(steps, restarts):
    machine, registry = StateMachine(), ReplicaRegistry()
    newest, removed = {}, set()
    for number, step in enumerate(steps):
        if number in restarts:
            # Another member restores a snapshot, and the gateway restarts.
            restored = StateMachine()
            restored.restore(machine.snapshot())
            machine, registry = restored, ReplicaRegistry()
            registry.adopt(machine.directory.full_change(), True, 0.0)
        changed = machine.apply(step).accepted
        if changed:
            registry.adopt(machine.directory.last_change, False, 0.0)
        if isinstance(step, RemoveInstance):
            removed.add(step.instance_id)
        instances = machine.directory.instances
        names = [item.replica_name for item in instances]
        assert len(names) == len(set(names)), "at most one incarnation of each replica"
        assert len({item.address for item in instances}) == len(instances)
        for item in instances:
            assert item.instance_id not in removed
            assert item.started_ms >= newest.get(item.replica_name, 0), "an earlier incarnation"
            newest[item.replica_name] = item.started_ms
        known = {item.instance_id: item for item in instances}
        assert {record.instance.instance_id for record in registry.of_service("s")} == set(known)
        assert all(
            known[item.instance.instance_id] == item.instance for item in registry.of_service("s")
        )


@settings(max_examples=100)
@given(st.lists(HEARTBEATS, max_size=20))
def test_the_newest_incarnation_is_always_recorded(heartbeats):
    directory = Directory()
    for item in heartbeats:
        directory.record(item)
    for replica in ("i", "j"):
        last = heartbeat(replica, started_ms=9, sequence=1, port=9)
        assert directory.record(last) is not None
        assert directory.find(f"{replica}@9") is not None
        directory.remove(f"{replica}@9")


# Parsing: no input raises an exception, and no input outside of the format is accepted.

GOOD = {
    "service": "till",
    "addr": "10.0.0.1:80",
    "zone": "z",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "coldLeftMs": 0,
    "seq": 1,
}
JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=20),
    lambda inner: (
        st.lists(inner, max_size=4) | st.dictionaries(st.text(max_size=8), inner, max_size=4)
    ),
    max_leaves=8,
)


def test_a_heartbeat_in_the_documented_format_is_accepted():
    found = read_heartbeat("i-1", msgspec.json.encode({**GOOD, "born": 7, "remainingMs": 3}))
    instance = found.unwrap().instance
    assert (instance.instance_id, instance.replica_name, instance.started_ms) == ("i-1@7", "i-1", 7)


@settings(max_examples=500)
@given(st.binary(max_size=200), st.text(max_size=30))
def test_no_bytes_raise_an_exception(body, replica):
    assert not isinstance(read_heartbeat(replica, body), Success)


@settings(max_examples=500)
@given(st.sampled_from([*GOOD, "born", "models", "atHand"]), JSON)
def test_every_accepted_heartbeat_has_the_documented_format(field, value):
    try:
        body = msgspec.json.encode({**GOOD, field: value})
    except (ValueError, OverflowError, msgspec.MsgspecError):
        return
    found = read_heartbeat("i-1", body)
    if not isinstance(found, Success):
        return
    document = msgspec.json.decode(body, type=HeartbeatDocument)
    instance = found.unwrap().instance
    assert document.state in ("ready", "draining") and instance.slots >= 1
    host, _, port = instance.address.rpartition(":")
    assert len(host.split(".")) == 4 and 0 < int(port) < 65536
    assert found.unwrap().sequence >= 0 and instance.service


@settings(max_examples=100)
@given(st.sampled_from(list(GOOD)))
def test_a_heartbeat_without_a_required_field_is_rejected(field):
    body = {name: value for name, value in GOOD.items() if name != field}
    assert not isinstance(read_heartbeat("i-1", msgspec.json.encode(body)), Success)


def test_texts_that_are_too_long_are_not_cached():
    """A heartbeat may have 4 MiB, and the result for each address was cached, valid or not.

    Sixteen heartbeats with addresses of that length used all the memory that a member may have.
    """
    tracemalloc.start()
    try:
        before, _ = tracemalloc.get_traced_memory()
        for number in range(40):
            text = f"{number:04}" * 25_000
            body = msgspec.json.encode({**GOOD, "addr": text})
            assert not isinstance(read_heartbeat("i-1", body), Success)
            assert not isinstance(read_heartbeat(text, msgspec.json.encode(GOOD)), Success)
        kept, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert kept - before < 500_000
