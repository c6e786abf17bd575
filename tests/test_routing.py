"""Routing decisions without I/O: candidates, slots, selection, circuits, budgets and queues."""

from random import Random

from hypothesis import given, strategies

from crowsill.model.configuration import Urgency
from crowsill.model.fleet import (
    FleetDelta,
    FleetView,
    ReplicaDescription,
    ReplicaKind,
    ReplicaReport,
    ReplicaState,
)
from crowsill.model.request import ClassifiedRequest, RequestTarget
from crowsill.routing.candidates import CandidateIndex
from crowsill.routing.health import FAILURES_TO_OPEN, Circuit
from crowsill.routing.limits import entry_slots
from crowsill.routing.retry_budget import RetryBudget
from crowsill.routing.selection import SelectionReason, Selector
from crowsill.routing.waiting import WaitingQueues


def replica(name, resident=("m",), draining=False, slots=8):
    description = ReplicaDescription(
        name, ReplicaKind.ENGINE, "127.0.0.1:1", "z", "p", 100, slots, draining=draining
    )
    return ReplicaState(description, ReplicaReport("i", list(resident)))


def request(urgency=Urgency.URGENT, resource="m", prefix=0, deadline_s=10.0, tenant="t"):
    return ClassifiedRequest(
        *("r", tenant, RequestTarget.MODEL, resource, "p", "POST", "/", "", b"", urgency, 100),
        *(deadline_s, 0.0),
        prefix_hash=prefix,
    )


def index_of(*replicas):
    view = FleetView()
    view.adopt(FleetDelta(1, 1, True, list(replicas), []))
    index = CandidateIndex()
    index.rebuild(view)
    return index


@given(
    strategies.integers(1, 64),
    strategies.integers(1, 12),
    strategies.integers(0, 80),
    strategies.integers(0, 80),
    strategies.floats(0, 0.9),
)
def test_slots_are_at_least_one_and_urgent_requests_get_no_fewer(
    slots, entries, own, others, headroom
):
    given_slots = [
        entry_slots(
            max_concurrency=slots,
            entries=entries,
            own_in_flight=own,
            others_in_flight=others,
            headroom=headroom,
            urgent=urgent,
        )
        for urgent in (True, False)
    ]
    assert given_slots[0] >= given_slots[1] >= 1
    assert given_slots[0] <= max(1, slots)


def test_equal_shares_never_exceed_the_slots_of_the_replica():
    for entries in range(1, 9):
        share = entry_slots(
            max_concurrency=16,
            entries=entries,
            own_in_flight=16 // entries,
            others_in_flight=16 - 16 // entries,
            headroom=0.0,
            urgent=True,
        )
        assert share * entries <= 16


def test_only_replicas_that_hold_the_model_are_candidates():
    index = index_of(replica("a"), replica("b", ["other"]), replica("c", draining=True))
    assert [state.description.replica_id for state in index.for_model("m", 0.0)] == ["a"]


def test_responses_of_replicas_correct_the_fleet_view():
    first, second = replica("a"), replica("b")
    index = index_of(first, second)
    index.note_not_resident("a", "m", 0.0)
    assert index.for_model("m", 1.0) == [second]
    assert len(index.for_model("m", 10.0)) == 2
    index.note_draining(second)
    assert index.for_model("m", 10.0) == [first]
    assert index.for_pool("p") == [first]


def test_a_prefix_stays_at_its_replica_until_the_replica_is_overloaded():
    selector = Selector(Random(1), 0.0)
    states = [replica(name) for name in "abc"]
    first = selector.select(request(prefix=42), states, 0.0)
    assert first.reason is SelectionReason.PREFIX_AFFINITY
    again = selector.select(request(prefix=42), states, 0.0)
    assert again.replica is first.replica
    name = first.replica.description.replica_id
    for _ in range(5):
        selector.loads.note_started(name)
    moved = selector.select(request(prefix=42), states, 0.0)
    assert moved.replica is not first.replica


def test_patient_requests_leave_headroom_for_urgent_ones():
    selector = Selector(Random(1), headroom=0.5)
    only = [replica("a", slots=4)]
    for _ in range(2):
        selector.loads.note_started("a")
    selector.loads.of("a").others_in_flight = 0
    assert selector.select(request(Urgency.PATIENT), only, 0.0) is None
    assert selector.select(request(Urgency.URGENT), only, 0.0) is not None


def test_a_circuit_opens_probes_and_closes():
    circuit = Circuit()
    opened = [circuit.failed(0.0) for _ in range(FAILURES_TO_OPEN)]
    assert opened == [False] * (FAILURES_TO_OPEN - 1) + [True]
    assert not circuit.allows(0.5)
    assert circuit.allows(1.0)
    circuit.started()
    assert not circuit.allows(1.0)
    circuit.abandoned()
    assert circuit.allows(1.0)
    circuit.started()
    assert circuit.succeeded() and circuit.allows(1.0)


def test_retries_are_a_bounded_share_of_first_attempts():
    budget = RetryBudget(0.1)
    retries = 0
    for _ in range(1000):
        budget.earn()
        retries += budget.spend()
    assert retries <= 1000 * 0.1 + 10


@given(strategies.lists(strategies.tuples(strategies.booleans(), strategies.integers(0, 2))))
def test_queues_serve_urgent_first_and_in_order(arrivals):
    queues = WaitingQueues(1000)
    for number, (urgent, resource) in enumerate(arrivals):
        urgency = Urgency.URGENT if urgent else Urgency.PATIENT
        queues.push(request(urgency, f"m{resource}"), number)
    served = []

    def dispatch(ticket):
        served.append(ticket)
        return True

    queues.dispatch(dispatch)
    assert len(queues) == 0 and len(served) == len(arrivals)
    urgencies = [ticket.request.urgency for ticket in served]
    assert urgencies == sorted(urgencies, key=lambda urgency: urgency is Urgency.PATIENT)
    for name in {ticket.request.resource for ticket in served}:
        for urgency in Urgency:
            numbers = [
                ticket.value
                for ticket in served
                if (ticket.request.resource, ticket.request.urgency) == (name, urgency)
            ]
            assert numbers == sorted(numbers)


def test_expired_requests_are_removed_from_the_queue():
    queues = WaitingQueues(10)
    queues.push(request(deadline_s=1.0), "early")
    queues.push(request(deadline_s=5.0), "late")
    assert [ticket.value for ticket in queues.expired(2.0)] == ["early"]
    assert len(queues) == 1 and queues.count_tenant("t") == 1
