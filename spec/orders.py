"""Orders to one engine with lost, delayed and duplicated messages, a restart and a new leader.

The accelerator has memory for one of two models. Messages with orders stay in the network until
they are dropped, and may arrive any number of times before. crowsill's `settlement_of` decides
whether an order is settled, and its `MemoryLedger` whether memory is free.
"""

import msgspec
from minicheck import Protocol

from crowsill.model.fleet import ReplicaReport
from crowsill.placement.ledger import MemoryLedger
from crowsill.placement.settlement import OrderEvidence, Settlement, settlement_of
from crowsill.state.commands import OrderKind
from crowsill.state.orders import Order

CAPACITY_MIB = 1
MODELS = ("a", "b")
MAX_ORDERS = 4
MAX_RESTARTS = 1
MAX_LEADERS = 2
ENGINE = "e"

State = tuple[object, ...]
OrderKey = tuple[int, str, str, int]


class OrdersState(msgspec.Struct, frozen=True):
    """One state of the model; an order is (id, kind, model, incarnation).

    Attributes:
        resident: Loaded models of the engine.
        fence: Newest order that the engine has accepted.
        incarnation: Restarts of the engine.
        outstanding: Unsettled orders.
        in_transit: Orders in the network.
        acknowledged: Orders that the engine has accepted, as far as the current leader knows.
        reported: Models in the newest report that the leader has.
        reported_incarnation: Incarnation in that report.
        not_in_transit: Outstanding orders of which no duplicate was in transit at the time of
            that report.
        fresh: Whether that report is newer than all reports that earlier leaders acted on.
        next_id: Id of the next order.
        leaders: Number of leaders so far.
        overcommitted: Whether a load exceeded the memory.
    """

    resident: tuple[str, ...] = ()
    fence: int = 0
    incarnation: int = 0
    outstanding: tuple[OrderKey, ...] = ()
    in_transit: frozenset[OrderKey] = frozenset()
    acknowledged: frozenset[int] = frozenset()
    reported: tuple[str, ...] = ()
    reported_incarnation: int = 0
    not_in_transit: frozenset[int] = frozenset()
    fresh: bool = True
    next_id: int = 1
    leaders: int = 1
    overcommitted: bool = False


class Variant(msgspec.Struct, frozen=True):
    """A variant of the model.

    Attributes:
        engine_checks: Whether the engine checks fences.
        believed_to_check: Whether the control plane assumes that the engine checks fences.
        waits_for_fresh: Whether a new leader waits for a fresh report.
        counts_outstanding: Whether unsettled orders count as memory.
    """

    engine_checks: bool
    believed_to_check: bool
    waits_for_fresh: bool = True
    counts_outstanding: bool = True


def _change(state: OrdersState, **changes: object) -> OrdersState:
    return msgspec.structs.replace(state, **changes)


def _has_room(state: OrdersState, variant: Variant, model: str) -> bool:
    ledger = MemoryLedger()
    ledger.open(ENGINE, CAPACITY_MIB)
    for resident in state.reported:
        ledger.observe(ENGINE, resident, 1)
    if variant.counts_outstanding:
        for _, _, ordered, _ in state.outstanding:
            ledger.observe(ENGINE, ordered, 1)
    return ledger.reserve(ENGINE, model, 1)


def _place(state: OrdersState, variant: Variant) -> list[tuple[str, OrdersState]]:
    is_ready_to_plan = state.fresh or not variant.waits_for_fresh
    busy = bool(state.outstanding) and not variant.believed_to_check
    if not is_ready_to_plan or busy or state.next_id > MAX_ORDERS:
        return []
    steps = []
    ordered = {model for _, _, model, _ in state.outstanding}
    for model in MODELS:
        if model in ordered:
            continue
        kind = OrderKind.UNLOAD if model in state.reported else OrderKind.LOAD
        if kind is OrderKind.LOAD and not _has_room(state, variant, model):
            continue
        order = (state.next_id, str(kind), model, state.reported_incarnation)
        placed = _change(state, outstanding=(*state.outstanding, order), next_id=state.next_id + 1)
        steps.append((f"place {kind} {model}", placed))
    return steps


def _send(state: OrdersState) -> list[tuple[str, OrdersState]]:
    """Send the oldest order that is not acknowledged."""
    for order in state.outstanding:
        if order[0] not in state.acknowledged:
            sent = _change(
                state,
                in_transit=state.in_transit | {order},
                not_in_transit=state.not_in_transit - {order[0]},
            )
            return [(f"send {order[0]}", sent)]
    return []


def _deliver(
    state: OrdersState, variant: Variant, order: OrderKey
) -> list[tuple[str, OrdersState]]:
    order_id, kind, model, incarnation = order
    rejected = incarnation != state.incarnation or order_id < state.fence
    acknowledged = _change(state, acknowledged=state.acknowledged | {order_id})
    if variant.engine_checks and rejected:
        # A rejection as stale counts as accepted; one for another incarnation proves nothing.
        same = incarnation == state.incarnation
        return [(f"stale {order_id}", acknowledged)] if same else []
    resident = set(state.resident)
    overcommitted = state.overcommitted
    if kind == OrderKind.UNLOAD:
        resident.discard(model)
    elif model not in resident and len(resident) >= CAPACITY_MIB:
        overcommitted = True
    else:
        resident.add(model)
    accepted = _change(
        state,
        resident=tuple(sorted(resident)),
        fence=max(state.fence, order_id),
        overcommitted=overcommitted,
    )
    replied = _change(accepted, acknowledged=acknowledged.acknowledged)
    return [(f"accept {order_id}", replied), (f"accept {order_id}, response lost", accepted)]


def _settle(state: OrdersState, variant: Variant) -> list[tuple[str, OrdersState]]:
    if not state.fresh and variant.waits_for_fresh:
        return []
    steps = []
    for key in state.outstanding:
        order_id, kind, model, incarnation = key
        order = Order(order_id, ENGINE, str(incarnation), OrderKind(kind), model, 1, 1, 0.0)
        evidence = OrderEvidence(
            report=ReplicaReport(str(state.reported_incarnation), list(state.reported)),
            checks_fence=variant.believed_to_check,
            has_no_copy_in_flight=order_id in state.not_in_transit,
            rejected=False,
        )
        if settlement_of(order, evidence) is not Settlement.OPEN:
            left = tuple(other for other in state.outstanding if other != key)
            steps.append((f"settle {order_id}", _change(state, outstanding=left)))
    return steps


def _environment_steps(state: OrdersState) -> list[tuple[str, OrdersState]]:
    updated = _change(
        state, reported=state.resident, reported_incarnation=state.incarnation, fresh=True
    )
    steps = [("report", updated)]
    if state.incarnation < MAX_RESTARTS:
        restarted = _change(state, resident=(), fence=0, incarnation=state.incarnation + 1)
        steps.append(("restart", restarted))
    if state.leaders < MAX_LEADERS:
        # The new leader's first report may be the oldest one in transit, which is empty.
        taken_over = _change(
            state,
            leaders=state.leaders + 1,
            acknowledged=frozenset(),
            reported=(),
            reported_incarnation=0,
            not_in_transit=frozenset(),
            fresh=False,
        )
        steps.append(("new leader", taken_over))
    for duplicate in state.in_transit:
        steps.append(
            (
                f"duplicate {duplicate[0]} is dropped",
                _change(state, in_transit=state.in_transit - {duplicate}),
            )
        )
    return steps


def protocol(variant: Variant) -> Protocol:
    """Return the model of one variant."""

    def transitions(key: State) -> list[tuple[str, State]]:
        state = OrdersState(*key)  # type: ignore[arg-type]
        found = _place(state, variant) + _send(state) + _settle(state, variant)
        found += _environment_steps(state)
        for duplicate in sorted(state.in_transit):
            found += _deliver(state, variant, duplicate)
        return [(label, msgspec.structs.astuple(new)) for label, new in found]

    return Protocol(
        name="orders",
        candidate=False,
        fields=OrdersState.__struct_fields__,
        initial=msgspec.structs.astuple(OrdersState()),
        transitions=transitions,
        invariants={"memory is not overcommitted": lambda state: not state["overcommitted"]},
    )
