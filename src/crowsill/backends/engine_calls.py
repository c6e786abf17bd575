"""Calls to registered engines: orders, and reports of their loaded models."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from crowsill.model.instances import Instance, LoadedModel
from crowsill.state.commands import OrderKind


@dataclass(frozen=True, slots=True)
class EngineOrder:
    """An order to one engine.

    Attributes:
        kind: Load or unload.
        model: The model.
        adapter: An adapter of the model; empty for the model itself.
        expected_sequence: Number of orders that the engine must have accepted before this one, so
            that a late duplicate has no effect.
        holder: Name of the member that sends the order.
        fence: Fencing token; increases with every leadership term.
    """

    kind: OrderKind
    model: str
    adapter: str
    expected_sequence: int
    holder: str
    fence: int


class OrderResponse(StrEnum):
    """An engine's response to an order.

    Attributes:
        ACCEPTED: The engine executes the order.
        ALREADY_DONE: The engine is already in the requested state.
        CONFLICT: Another order is in progress, or the expected number of orders does not match.
        STALE_FENCE: The engine has received orders from a later leader.
        OTHER_INSTANCE: The address belongs to another incarnation or another replica.
        INVALID: The engine does not accept such an order.
        BACKING_OFF: The engine requested a backoff and rejected the order, or the order was not
            sent because of the backoff.
        UNKNOWN: No valid response arrived; the engine may still execute the order.
    """

    ACCEPTED = "accepted"
    ALREADY_DONE = "already_so"
    CONFLICT = "not_now"
    STALE_FENCE = "stale_fence"
    OTHER_INSTANCE = "other_instance"
    INVALID = "invalid"
    BACKING_OFF = "rests"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class EngineReport:
    """State of an engine, as reported by itself; may be some hundred milliseconds old.

    Attributes:
        models: Loaded models.
        loading_adapters: Adapters that are being loaded, as `model/adapter`.
        is_busy: Whether an order is in progress.
        sequence: Number of orders that the engine has accepted.
    """

    models: list[LoadedModel]
    loading_adapters: list[str]
    is_busy: bool
    sequence: int


class EngineCalls(Protocol):
    """Client for engines; each wire protocol has its own implementation.

    Attributes:
        on_draining: Called with the ids of incarnations whose response reported that they drain.
    """

    on_draining: Callable[[list[str]], None]

    async def order(self, instance: Instance, order: EngineOrder) -> OrderResponse:
        """Send an order; return `UNKNOWN` if no valid response arrived."""

    async def report(self, instance: Instance) -> EngineReport | None:
        """Read a report; return None if no valid report arrived."""
