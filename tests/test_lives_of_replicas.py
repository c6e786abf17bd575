"""Histories of replicas that start again, with heartbeats that come late, twice or never.

Heartbeats of one life are ordered by their count, lives of one replica by their start. Ordered by
the count alone, a replica that starts again is passed over until its count has caught up.
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


def beat(replica="i", born=None, sequence=1, port=1, state=READY, models=()):
    found = Instance(
        instance_id_of(replica, born),
        "s",
        f"127.0.0.1:{port}",
        "z",
        4,
        state,
        [LoadedModel(name) for name in models],
        replica="" if born is None else replica,
        started_ms=born or 0,
    )
    return ReplicaHeartbeat(found, sequence)


def test_a_later_life_knows_nothing_of_the_earlier_one():
    directory = Directory()
    directory.record(beat(born=10, sequence=500, models=["a", "b"], state=DRAINING))
    directory.offer("i@10", [LoadedModel("a")], [])
    change = directory.record(beat(born=20, models=["c"]))
    assert change.removed == ["i@10"]
    (now,) = directory.instances
    assert (now.instance_id, now.state, [held.name for held in now.models]) == (
        "i@20",
        READY,
        ["c"],
    )


def test_an_earlier_life_changes_nothing_also_after_the_later_one_is_gone():
    directory = Directory()
    directory.record(beat(born=20))
    assert directory.record(beat(born=10, sequence=900)) is None
    directory.remove("i@20")
    assert directory.record(beat(born=10, sequence=901)) is None
    assert directory.record(beat(born=20, sequence=5)) is None
    assert directory.record(beat(born=30)).changed[0].instance_id == "i@30"


def test_a_late_first_heartbeat_does_not_end_who_has_the_address_now():
    directory = Directory()
    directory.record(beat("new", born=20))
    assert directory.record(beat("old", born=10)) is None
    assert [item.instance_id for item in directory.instances] == ["new@20"]
    assert directory.record(beat("new", born=20, sequence=2, models=["a"])) is not None


def test_where_no_start_is_told_all_stays_as_it_was():
    directory = Directory()
    directory.record(beat(sequence=7))
    assert directory.record(beat(sequence=6, models=["a"])) is None
    directory.remove("i")
    assert directory.record(beat(sequence=99)) is None
    assert directory.record(beat("j", sequence=1)) is not None


BEATS = st.builds(
    beat,
    replica=st.sampled_from(["i", "j"]),
    born=st.integers(1, 4),
    sequence=st.integers(1, 5),
    port=st.integers(1, 3),
    state=st.sampled_from([READY, READY, DRAINING]),
    models=st.sampled_from([(), ("a",), ("a", "b")]),
)
STEPS = st.one_of(
    BEATS.map(RecordHeartbeat),
    st.builds(RemoveInstance, st.sampled_from(["i@1", "i@2", "i@3", "j@2"])),
    st.builds(lambda life: OfferModels(life, [LoadedModel("a")]), st.sampled_from(["i@2", "j@1"])),
)


@settings(max_examples=300)
@given(st.lists(STEPS, max_size=40), st.sets(st.integers(0, 39), max_size=3))
def test_no_replica_steps_back_and_gateways_agree(steps, restarts):
    machine, registry = StateMachine(), ReplicaRegistry()
    newest, removed = {}, set()
    for number, step in enumerate(steps):
        if number in restarts:
            # A snapshot at another member, and a gateway that starts over.
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
        assert len(names) == len(set(names)), "one life of each replica at most"
        assert len({item.address for item in instances}) == len(instances)
        for item in instances:
            assert item.instance_id not in removed
            assert item.started_ms >= newest.get(item.replica_name, 0), "a step back"
            newest[item.replica_name] = item.started_ms
        known = {item.instance_id: item for item in instances}
        assert {record.instance.instance_id for record in registry.of_service("s")} == set(known)
        assert all(
            known[item.instance.instance_id] == item.instance for item in registry.of_service("s")
        )


@settings(max_examples=100)
@given(st.lists(BEATS, max_size=20))
def test_the_newest_life_is_always_heard(beats):
    directory = Directory()
    for item in beats:
        directory.record(item)
    for replica in ("i", "j"):
        last = beat(replica, born=9, sequence=1, port=9)
        assert directory.record(last) is not None
        assert directory.find(f"{replica}@9") is not None
        directory.remove(f"{replica}@9")


# The boundary: no input ends in an exception, and none is taken for what is not described.

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


def test_a_heartbeat_as_it_is_described_is_read():
    found = read_heartbeat("i-1", msgspec.json.encode({**GOOD, "born": 7, "remainingMs": 3}))
    instance = found.unwrap().instance
    assert (instance.instance_id, instance.replica_name, instance.started_ms) == ("i-1@7", "i-1", 7)


@settings(max_examples=500)
@given(st.binary(max_size=200), st.text(max_size=30))
def test_no_bytes_end_in_an_exception(body, replica):
    assert not isinstance(read_heartbeat(replica, body), Success)


@settings(max_examples=500)
@given(st.sampled_from([*GOOD, "born", "models", "atHand"]), JSON)
def test_what_is_read_is_what_is_described(field, value):
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
def test_what_lacks_a_field_is_not_read(field):
    body = {name: value for name, value in GOOD.items() if name != field}
    assert not isinstance(read_heartbeat("i-1", msgspec.json.encode(body)), Success)


def test_texts_that_are_too_long_are_not_remembered():
    """A heartbeat may have 4 MiB, and addresses that were looked at were remembered, sound or not.

    Sixteen heartbeats with addresses of that length took all the memory that a member may have.
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
