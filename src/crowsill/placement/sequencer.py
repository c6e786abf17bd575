"""Which orders to send now. Pure.

Orders for one engine go out one after the other: the next only once the engine has acknowledged
the one before, or that one is settled. So when an engine calls an order stale, it has taken it
before, and a newer order never overtakes an older one.
"""

from dataclasses import dataclass, field

from crowsill.state.orders import Order

RESEND_S = 2.0


@dataclass(slots=True)
class _Sending:
    sent_s: float | None = None
    acknowledged: bool = False
    refused: bool = False
    tries: int = 0


@dataclass(slots=True)
class OrderSequencer:
    """What one leadership has sent.

    Attributes:
        started_s: Clock when this leadership began; earlier leaders sent nothing after it.
        max_delay_s: After this time a copy of an order has arrived or never will, and the
            newest report tells what it did.
    """

    started_s: float
    max_delay_s: float
    _orders: dict[int, _Sending] = field(default_factory=dict)

    def due(self, outstanding: list[Order], now_s: float) -> list[Order]:
        """Return the orders to send now, at most one an engine.

        Args:
            outstanding: Unsettled orders, oldest first.
            now_s: Monotonic clock.
        """
        self._forget_settled(outstanding)
        waiting: set[str] = set()
        due: list[Order] = []
        for order in outstanding:
            sending = self._orders.setdefault(order.order_id, _Sending())
            if order.replica_id in waiting or sending.acknowledged:
                continue
            waiting.add(order.replica_id)
            if sending.sent_s is None or now_s - sending.sent_s >= RESEND_S:
                due.append(order)
        return due

    def _forget_settled(self, outstanding: list[Order]) -> None:
        known = {order.order_id for order in outstanding}
        self._orders = {key: value for key, value in self._orders.items() if key in known}

    def sent(self, order: Order, now_s: float) -> bool:
        """Note that an order goes out; return whether it had been sent before."""
        sending = self._orders.setdefault(order.order_id, _Sending())
        sending.sent_s = now_s
        sending.tries += 1
        return sending.tries > 1

    def acknowledged(self, order: Order) -> None:
        """Note that the engine has taken an order, now or before."""
        self._orders.setdefault(order.order_id, _Sending()).acknowledged = True

    def refused(self, order: Order) -> None:
        """Note that the engine has no memory for an order; it is not sent again."""
        sending = self._orders.setdefault(order.order_id, _Sending())
        sending.refused = True
        sending.acknowledged = True

    def is_refused(self, order: Order) -> bool:
        """Whether the engine has refused an order."""
        return self._orders.get(order.order_id, _Sending()).refused

    def copies_are_gone(self, order: Order, now_s: float) -> bool:
        """Whether every copy that any leader sent has landed and shows in the newest report."""
        sent_s = self._orders.get(order.order_id, _Sending()).sent_s
        last_s = self.started_s if sent_s is None else max(sent_s, self.started_s)
        return now_s - last_s > self.max_delay_s
