"""Orders to engines that may still take effect."""

import msgspec

from crowsill.state.commands import OrderKind, PlaceOrder


class Order(msgspec.Struct, frozen=True):
    """A committed order.

    Attributes:
        order_id: Increases with every order; with the term it is the fence.
        replica_id: The engine.
        incarnation: The engine's incarnation that the order is for.
        kind: Load or unload.
        resource: `model` or `model:adapter`.
        memory_mib: Memory that the resource needs.
        term: Term of the leader that placed it.
        placed_at_s: Wall-clock time when the order was placed.
    """

    order_id: int
    replica_id: str
    incarnation: str
    kind: OrderKind
    resource: str
    memory_mib: int
    term: int
    placed_at_s: float = msgspec.field(name="placed_s")


class OrderTable:
    """Unsettled orders; a new leader takes over all of them.

    Attributes:
        sizes: Largest memory size in any order, for each resource ever ordered, so that the memory
            of a resource is known after its removal from the configuration.
    """

    def __init__(self) -> None:
        self.sizes: dict[str, int] = {}
        self._next_id = 1
        self._outstanding: dict[int, Order] = {}

    @property
    def outstanding(self) -> list[Order]:
        """Unsettled orders in the order of their ids."""
        return list(self._outstanding.values())

    @property
    def next_id(self) -> int:
        """The id of the next order."""
        return self._next_id

    def place(self, command: PlaceOrder) -> int:
        """Add an order and return its id."""
        order = Order(
            order_id=self._next_id,
            replica_id=command.replica_id,
            incarnation=command.incarnation,
            kind=command.kind,
            resource=command.resource,
            memory_mib=command.memory_mib,
            term=command.term,
            placed_at_s=command.at_s,
        )
        self._outstanding[order.order_id] = order
        known_mib = self.sizes.get(order.resource, 0)
        self.sizes[order.resource] = max(known_mib, order.memory_mib)
        self._next_id += 1
        return order.order_id

    def settle(self, order_id: int) -> bool:
        """Remove an order; return whether it was outstanding."""
        return self._outstanding.pop(order_id, None) is not None

    def load(self, next_id: int, outstanding: list[Order], sizes: dict[str, int]) -> None:
        """Replace everything from a snapshot."""
        self.sizes = sizes
        self._next_id = next_id
        self._outstanding = {order.order_id: order for order in outstanding}
