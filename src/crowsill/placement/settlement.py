"""The rule by which an order is settled, so that it can no longer change anything. Pure.

A back end that checks fences rejects every copy of an order once it has accepted a newer one, and
all orders for an earlier incarnation. A back end that doesn't check fences may accept any copy that
is still in flight. So none of its orders is settled before the last sent copy has arrived or is
lost.
"""

from dataclasses import dataclass
from enum import StrEnum

from crowsill.model.fleet import ReplicaReport
from crowsill.state.commands import OrderKind
from crowsill.state.orders import Order


class Settlement(StrEnum):
    """The state of an order.

    Attributes:
        OPEN: It may still change something.
        SUCCEEDED: It was carried out.
        DEAD: It was not carried out and never will be.
    """

    OPEN = "open"
    SUCCEEDED = "succeeded"
    DEAD = "dead"


@dataclass(frozen=True, slots=True)
class OrderEvidence:
    """What a leader knows about one order.

    Attributes:
        report: The newest report of the engine.
        checks_fence: Whether the engine rejects older orders.
        has_no_copy_in_flight: Whether the report was made after every copy that any leader sent had
            arrived or was lost. An earlier report may not show the effect of a late copy.
        rejected: Whether the engine has rejected the order for lack of memory.
    """

    report: ReplicaReport
    checks_fence: bool
    has_no_copy_in_flight: bool
    rejected: bool


def settlement_of(order: Order, evidence: OrderEvidence) -> Settlement:
    """Return whether and how an order is settled.

    Args:
        order: A committed order.
        evidence: What the leader knows about it.
    """
    report = evidence.report
    if not evidence.checks_fence and not evidence.has_no_copy_in_flight:
        return Settlement.OPEN
    if report.incarnation != order.incarnation:
        return Settlement.DEAD
    present = order.resource in report.resident
    if present == (order.kind is OrderKind.LOAD):
        return Settlement.SUCCEEDED
    # A late copy of a rejected order may still be accepted once the engine has memory again.
    if (
        evidence.rejected
        and evidence.has_no_copy_in_flight
        and order.resource not in report.loading
    ):
        return Settlement.DEAD
    return Settlement.OPEN
