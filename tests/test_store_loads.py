"""Loads from the weight store after a change of leaders.

A new leader that counted all loads that its predecessor might have started ordered none for 5 s,
while callers were rejected for models that no engine held.
"""

import asyncio
from dataclasses import replace
from types import SimpleNamespace
from unittest.mock import Mock

import pytest

from crowsill.backends.engine_calls import OrderResponse
from crowsill.clock import monotonic_s
from crowsill.control.role import ControlRole
from crowsill.control.store_loads import (
    MAX_RECORDED_LOADS,
    RECORD_RENEWAL_S,
    RECORDED_LOAD_LIFETIME_S,
    StoreLoadLog,
)
from crowsill.model.instances import LoadedModel
from crowsill.state.commands import OfferModels, RecordStoreLoad
from crowsill.state.machine import StateMachine
from tests.test_model_placer import ScriptedEngines, World, play

# The store of these tests allows 1.4 loads a second over 5 s, and 3 more, less the safety margin.
ALLOWED_LOADS = 8


class Successor(World):
    """The placer of a leader whose predecessor has placed models, as it knows the loads."""

    def __init__(self, engines, recorded_loads=None):
        super().__init__(engines)
        if recorded_loads is not None:
            self.placer._ports = replace(self.placer._ports, recorded_loads=recorded_loads)
        self.placer._has_predecessor = True
        for number in range(ALLOWED_LOADS + 1):
            self.register(f"i-{number}", number + 1)
            self.machine.apply(OfferModels(f"i-{number}", [LoadedModel("m0")]))


def first_orders(world, limit_s):
    """Return the orders after a caller has waited for a model for some time."""

    async def script(world):
        world.demand = {"s|m1": 20}
        world.placer.note_waiting({"s|m1": 1})
        try:
            await world.until(lambda: world.engines.orders, limit_s)
        except TimeoutError:
            return

    play(world, script)
    return world.engines.orders


def test_a_new_leader_that_knows_the_recorded_loads_loads_at_once():
    world = Successor(ScriptedEngines(OrderResponse.ACCEPTED), lambda _service, _since_s: [])
    assert ("load", "m1") in {(kind, model) for _, kind, model in first_orders(world, 2.0)}


def test_a_new_leader_that_does_not_know_them_waits_for_the_window():
    world = Successor(ScriptedEngines(OrderResponse.ACCEPTED))
    assert all(kind != "load" for _, kind, _ in first_orders(world, 1.0))


def test_recorded_loads_count_against_the_window_of_the_next_leader():
    def recorded(_service, since_s):
        return [since_s + 4.9] * ALLOWED_LOADS

    world = Successor(ScriptedEngines(OrderResponse.ACCEPTED), recorded)
    assert all(kind != "load" for _, kind, _ in first_orders(world, 1.0))


def test_a_load_from_the_store_is_recorded_before_it_is_ordered():
    class Watching(ScriptedEngines):
        recorded_before = True

        async def order(self, instance, order):
            self.recorded_before &= RecordStoreLoad("s") in world.submitted
            return await super().order(instance, order)

    world = Successor(Watching(OrderResponse.ACCEPTED), lambda _service, _since_s: [])
    assert first_orders(world, 2.0)
    assert world.engines.recorded_before


def test_a_load_that_could_not_be_recorded_is_not_ordered():
    class Unrecorded(Successor):
        async def submit(self, command):
            if isinstance(command, RecordStoreLoad):
                self.submitted.append(command)
                return None
            return await super().submit(command)

    world = Unrecorded(ScriptedEngines(OrderResponse.ACCEPTED), lambda _service, _since_s: [])
    assert all(kind != "load" for _, kind, _ in first_orders(world, 1.0))
    assert RecordStoreLoad("s") in world.submitted


def test_the_record_of_a_load_whose_order_gets_no_response_is_renewed():
    class Silent(ScriptedEngines):
        async def order(self, instance, order):
            await asyncio.sleep(0.3)
            return await super().order(instance, order)

    world = Successor(Silent(OrderResponse.UNKNOWN), lambda _service, _since_s: [])

    async def script(world):
        world.demand = {"s|m1": 20}
        world.placer.note_waiting({"s|m1": 1})
        await world.until(lambda: world.submitted.count(RecordStoreLoad("s")) >= 2)

    play(world, script)
    orders_per_record = RECORD_RENEWAL_S / 0.3
    assert len(world.engines.orders) <= 2 * orders_per_record + 1


@pytest.mark.parametrize("note", ["start", "snapshot"])
def test_a_member_knows_nothing_of_loads_before_its_start_or_a_snapshot(note):
    log = StoreLoadLog(now_s=100.0 if note == "start" else 0.0)
    if note == "snapshot":
        log.note_restored(100.0)
    log.note(RecordStoreLoad("s"), 101.0)
    assert log.since("s", 100.5) is None
    assert log.since("s", 101.0 + RECORDED_LOAD_LIFETIME_S) == [101.0 + RECORDED_LOAD_LIFETIME_S]


def test_loads_of_other_services_do_not_count():
    log = StoreLoadLog(0.0)
    log.note(RecordStoreLoad("other"), 5.0)
    assert log.since("s", 2.5) == []


def test_a_log_that_is_full_forgets_the_oldest_and_says_so():
    log = StoreLoadLog(0.0)
    for number in range(MAX_RECORDED_LOADS + 5):
        log.note(RecordStoreLoad("s"), float(number))
    assert log.since("s", 4.0) is None
    assert len(log.since("s", 7.0)) == MAX_RECORDED_LOADS


def test_a_member_notes_what_it_applies_and_forgets_it_with_a_snapshot():
    log = StoreLoadLog(now_s=0.0)
    others = {name: Mock() for name in ("_publisher", "_quota", "_retries", "_subscribers")}
    role = SimpleNamespace(_store_loads=log, **others)
    before_s = monotonic_s()
    ControlRole._on_applied(role, RecordStoreLoad("s"), Mock())
    assert len(log.since("s", before_s)) == 1
    ControlRole._on_restored(role)
    assert log.since("s", before_s) is None


def test_a_record_leaves_the_replicated_state_as_it_is():
    machine = StateMachine()
    before = machine.snapshot()
    machine.apply(RecordStoreLoad("s"))
    assert machine.snapshot() == before
