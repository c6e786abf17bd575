"""The sequence in which orders are sent to engines. Pure.

Orders for one engine are sent one at a time: the next one only after the engine has acknowledged
the previous one, or after that one is settled. So a newer order never overtakes an older one, and
when an engine reports an order as stale, it has accepted that order before.
"""

from dataclasses import dataclass, field

from crowsill.state.orders import Order

# Time after which an order without an acknowledgement is sent again, in seconds.
RESEND_S = 2.0


@dataclass(slots=True)
class _SendState:
    sent_at_s: float | None = None
    acknowledged: bool = False
    rejected: bool = False
    sends: int = 0


@dataclass(slots=True)
class OrderSequencer:
    """The orders that one leader has sent in its term.

    Attributes:
        started_at_s: Monotonic time when the term started, in seconds; earlier leaders sent nothing
            after it.
        max_delay_s: Time after which a sent copy of an order has arrived or is lost, and the newest
            report shows its effect, in seconds.
    """

    started_at_s: float
    max_delay_s: float
    _sends: dict[int, _SendState] = field(default_factory=dict)

    def due_orders(self, outstanding: list[Order], now_s: float) -> list[Order]:
        """Return the orders to send now, at most one for each engine.

        Args:
            outstanding: Unsettled orders, oldest first.
            now_s: Monotonic time in seconds.
        """
        self._forget_settled(outstanding)
        waiting: set[str] = set()
        due: list[Order] = []
        for order in outstanding:
            state = self._sends.setdefault(order.order_id, _SendState())
            if order.replica_id in waiting or state.acknowledged:
                continue
            waiting.add(order.replica_id)
            if state.sent_at_s is None or now_s - state.sent_at_s >= RESEND_S:
                due.append(order)
        return due

    def _forget_settled(self, outstanding: list[Order]) -> None:
        known = {order.order_id for order in outstanding}
        self._sends = {key: value for key, value in self._sends.items() if key in known}

    def note_sent(self, order: Order, now_s: float) -> bool:
        """Record that an order is sent; return whether it was sent before."""
        state = self._sends.setdefault(order.order_id, _SendState())
        state.sent_at_s = now_s
        state.sends += 1
        return state.sends > 1

    def note_acknowledged(self, order: Order) -> None:
        """Record that the engine has accepted an order, now or before."""
        self._sends.setdefault(order.order_id, _SendState()).acknowledged = True

    def note_rejected(self, order: Order) -> None:
        """Record that the engine has no memory for an order, which is then not sent again."""
        state = self._sends.setdefault(order.order_id, _SendState())
        state.rejected = True
        state.acknowledged = True

    def is_rejected(self, order: Order) -> bool:
        """Whether the engine has rejected an order for lack of memory."""
        return self._sends.get(order.order_id, _SendState()).rejected

    def has_no_copy_in_flight(self, order: Order, now_s: float) -> bool:
        """Whether each copy that any leader sent has arrived or is lost.

        The newest report then shows the effects of all of them.
        """
        sent_at_s = self._sends.get(order.order_id, _SendState()).sent_at_s
        last_at_s = self.started_at_s if sent_at_s is None else max(sent_at_s, self.started_at_s)
        return now_s - last_at_s > self.max_delay_s
