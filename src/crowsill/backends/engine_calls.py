"""Calls to registered engines: orders, and reports of what they hold."""

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
        adapter: An adapter of it; empty for the model itself.
        expected_sequence: Orders that the engine must have accepted before, so that a copy that
            arrives late changes nothing.
        holder: Name of the member that gives orders.
        fence: Rises with every leadership.
    """

    kind: OrderKind
    model: str
    adapter: str
    expected_sequence: int
    holder: str
    fence: int


class OrderAnswer(StrEnum):
    """What an engine answered to an order.

    Attributes:
        ACCEPTED: It is being carried out.
        ALREADY_SO: It holds already.
        NOT_NOW: Another order is under way, or the expected number of orders does not match.
        STALE_FENCE: A later leader has given orders.
        OTHER_INSTANCE: Another life, or another replica, has the address.
        INVALID: There is no such order.
        RESTS: The engine asked for rest: the order was turned away, or not even sent.
        UNKNOWN: No answer came, so that it may still be carried out.
    """

    ACCEPTED = "accepted"
    ALREADY_SO = "already_so"
    NOT_NOW = "not_now"
    STALE_FENCE = "stale_fence"
    OTHER_INSTANCE = "other_instance"
    INVALID = "invalid"
    RESTS = "rests"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class EngineReport:
    """What an engine told of itself, some hundred milliseconds ago.

    Attributes:
        models: What it holds.
        coming: Adapters on their way, as `model/adapter`.
        is_busy: Whether an order is in progress.
        sequence: Orders that it has accepted.
    """

    models: list[LoadedModel]
    coming: list[str]
    is_busy: bool
    sequence: int


class EngineCalls(Protocol):
    """Speaks to engines; one implementation for each dialect.

    Attributes:
        on_draining: Receives the ids of lives that said in an answer that they leave.
    """

    on_draining: Callable[[list[str]], None]

    async def order(self, instance: Instance, order: EngineOrder) -> OrderAnswer:
        """Send an order; `UNKNOWN` when no answer came, so that it may still be carried out."""

    async def report(self, instance: Instance) -> EngineReport | None:
        """Read a report; None when it could not be had."""
