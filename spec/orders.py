"""Orders to one engine with lost, late and repeated copies, a restart and a change of leader.

The accelerator has room for one of two models. Copies of orders stay in the network until they die,
and may arrive any number of times before. Whether an order is settled is decided by the product's
`settlement_of`, and room by its `MemoryLedger`.
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
        resident: Models on the engine.
        fence: Newest order the engine has taken.
        incarnation: Restarts of the engine.
        outstanding: Unsettled orders.
        copies: Copies in the network.
        acknowledged: Orders the present leader knows to be taken.
        view: Models in the newest report the leader has.
        view_incarnation: Incarnation in that report.
        quiet: Outstanding orders of which no copy was left when that report was made.
        fresh: Whether that report is newer than everything an earlier leader acted on.
        next_id: Id of the next order.
        leaders: Leaders so far.
        overcommitted: Whether a load found no room.
    """

    resident: tuple[str, ...] = ()
    fence: int = 0
    incarnation: int = 0
    outstanding: tuple[OrderKey, ...] = ()
    copies: frozenset[OrderKey] = frozenset()
    acknowledged: frozenset[int] = frozenset()
    view: tuple[str, ...] = ()
    view_incarnation: int = 0
    quiet: frozenset[int] = frozenset()
    fresh: bool = True
    next_id: int = 1
    leaders: int = 1
    overcommitted: bool = False


class Variant(msgspec.Struct, frozen=True):
    """What is modelled.

    Attributes:
        engine_checks: Whether the engine checks fences.
        believed_to_check: Whether the system believes so.
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
    for resident in state.view:
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
        kind = OrderKind.UNLOAD if model in state.view else OrderKind.LOAD
        if kind is OrderKind.LOAD and not _has_room(state, variant, model):
            continue
        order = (state.next_id, str(kind), model, state.view_incarnation)
        placed = _change(state, outstanding=(*state.outstanding, order), next_id=state.next_id + 1)
        steps.append((f"place {kind} {model}", placed))
    return steps


def _send(state: OrdersState) -> list[tuple[str, OrdersState]]:
    """Send the oldest order that is not acknowledged."""
    for order in state.outstanding:
        if order[0] not in state.acknowledged:
            sent = _change(state, copies=state.copies | {order}, quiet=state.quiet - {order[0]})
            return [(f"send {order[0]}", sent)]
    return []


def _deliver(
    state: OrdersState, variant: Variant, order: OrderKey
) -> list[tuple[str, OrdersState]]:
    order_id, kind, model, incarnation = order
    refused = incarnation != state.incarnation or order_id < state.fence
    acknowledged = _change(state, acknowledged=state.acknowledged | {order_id})
    if variant.engine_checks and refused:
        # A stale reply counts as taken; one for another incarnation tells nothing.
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
    taken = _change(
        state,
        resident=tuple(sorted(resident)),
        fence=max(state.fence, order_id),
        overcommitted=overcommitted,
    )
    told = _change(taken, acknowledged=acknowledged.acknowledged)
    return [(f"take {order_id}", told), (f"take {order_id}, reply lost", taken)]


def _settle(state: OrdersState, variant: Variant) -> list[tuple[str, OrdersState]]:
    if not state.fresh and variant.waits_for_fresh:
        return []
    steps = []
    for key in state.outstanding:
        order_id, kind, model, incarnation = key
        order = Order(order_id, ENGINE, str(incarnation), OrderKind(kind), model, 1, 1, 0.0)
        evidence = OrderEvidence(
            report=ReplicaReport(str(state.view_incarnation), list(state.view)),
            checks_fence=variant.believed_to_check,
            has_no_copy_in_flight=order_id in state.quiet,
            rejected=False,
        )
        if settlement_of(order, evidence) is not Settlement.OPEN:
            left = tuple(other for other in state.outstanding if other != key)
            steps.append((f"settle {order_id}", _change(state, outstanding=left)))
    return steps


def _surroundings(state: OrdersState) -> list[tuple[str, OrdersState]]:
    seen = _change(state, view=state.resident, view_incarnation=state.incarnation, fresh=True)
    steps = [("report", seen)]
    if state.incarnation < MAX_RESTARTS:
        restarted = _change(state, resident=(), fence=0, incarnation=state.incarnation + 1)
        steps.append(("restart", restarted))
    if state.leaders < MAX_LEADERS:
        # The new leader's first report may be the oldest one under way: the empty start.
        taken_over = _change(
            state,
            leaders=state.leaders + 1,
            acknowledged=frozenset(),
            view=(),
            view_incarnation=0,
            quiet=frozenset(),
            fresh=False,
        )
        steps.append(("new leader", taken_over))
    for copy in state.copies:
        steps.append((f"copy {copy[0]} dies", _change(state, copies=state.copies - {copy})))
    return steps


def protocol(variant: Variant) -> Protocol:
    """Return the model of one variant."""

    def transitions(key: State) -> list[tuple[str, State]]:
        state = OrdersState(*key)  # type: ignore[arg-type]
        found = _place(state, variant) + _send(state) + _settle(state, variant)
        found += _surroundings(state)
        for copy in sorted(state.copies):
            found += _deliver(state, variant, copy)
        return [(label, msgspec.structs.astuple(new)) for label, new in found]

    return Protocol(
        name="orders",
        candidate=False,
        fields=OrdersState.__struct_fields__,
        initial=msgspec.structs.astuple(OrdersState()),
        transitions=transitions,
        invariants={"memory is not overcommitted": lambda state: not state["overcommitted"]},
    )
