"""Models and adapters that a gateway asks the control group for. Pure.

The group forgets what is not asked for again. A request that is held asks again by itself; for one
that was refused the gateway goes on asking for as long as the operator chose.
"""

from collections import OrderedDict

# A resource is asked for once in so long, however many requests lack it.
ASK_INTERVAL_S = 0.3
# Callers choose the names that they ask for: beyond so many the one refused longest ago is dropped.
MOST_KEPT = 500


class MissingResources:
    """What was asked for lately, and what is to be asked for again.

    >>> asked = MissingResources()
    >>> asked.is_due("m", 0.0), asked.note_asked("m", 0.0), asked.is_due("m", 0.2)
    (True, None, False)
    >>> asked.keep("m", 0.2), asked.due(0.25), asked.due(0.4), asked.due(9.0)
    (None, [], ['m'], [])
    """

    def __init__(self, asking_s: float = 8.0) -> None:
        """Make it.

        Args:
            asking_s: How long what a refused caller lacked is asked for.
        """
        self._asking_s = asking_s
        self._asked_s: dict[str, float] = {}
        self._until_s: OrderedDict[str, float] = OrderedDict()

    def is_due(self, resource: str, now_s: float) -> bool:
        """Whether a resource was not asked for lately."""
        return now_s - self._asked_s.get(resource, float("-inf")) >= ASK_INTERVAL_S

    def note_asked(self, resource: str, now_s: float) -> None:
        """A resource has been asked for."""
        self._asked_s[resource] = now_s

    def keep(self, resource: str, now_s: float) -> None:
        """Go on asking for a resource whose caller was refused."""
        self._until_s[resource] = now_s + self._asking_s
        self._until_s.move_to_end(resource)
        if len(self._until_s) > MOST_KEPT:
            self._until_s.popitem(last=False)

    def due(self, now_s: float) -> list[str]:
        """Return what is to be asked for again now, and forget what is over."""
        horizon_s = now_s - ASK_INTERVAL_S
        self._asked_s = {
            resource: at_s for resource, at_s in self._asked_s.items() if at_s > horizon_s
        }
        while self._until_s and next(iter(self._until_s.values())) <= now_s:
            self._until_s.popitem(last=False)
        return [resource for resource in self._until_s if self.is_due(resource, now_s)]


def resource_name(service: str, model: str, adapter: str) -> str:
    """Return the name under which demand is counted.

    >>> resource_name("s", "m", "a1"), resource_name("s", "m", "")
    ('s|m/a1', 's|m')
    """
    return f"{service}|{model}/{adapter}" if adapter else f"{service}|{model}"
