"""Models and adapters that a gateway asks the control group for. Pure.

The group forgets what is not asked for again. A request that is held asks again by itself; for one
that was refused the gateway goes on asking for as long as the operator chose.
"""

from collections import OrderedDict

# A resource is asked for once in so long, however many requests lack it.
REPEAT_INTERVAL_S = 0.3
# Callers choose the names that they ask for: beyond so many the one refused longest ago is dropped.
MAX_RETAINED = 500


class MissingResources:
    """What was asked for lately, and what is to be asked for again.

    >>> asked = MissingResources()
    >>> asked.is_due("m", 0.0), asked.note_reported("m", 0.0), asked.is_due("m", 0.2)
    (True, None, False)
    >>> asked.retain("m", 0.2), asked.due(0.25), asked.due(0.4), asked.due(9.0)
    (None, [], ['m'], [])
    """

    def __init__(self, retention_s: float = 8.0) -> None:
        """Make it.

        Args:
            retention_s: How long what a refused caller lacked is asked for.
        """
        self._retention_s = retention_s
        self._reported_at_s: dict[str, float] = {}
        self._retained_until_at_s: OrderedDict[str, float] = OrderedDict()

    def is_due(self, resource: str, now_s: float) -> bool:
        """Whether a resource was not asked for lately."""
        return now_s - self._reported_at_s.get(resource, float("-inf")) >= REPEAT_INTERVAL_S

    def note_reported(self, resource: str, now_s: float) -> None:
        """A resource has been asked for."""
        self._reported_at_s[resource] = now_s

    def retain(self, resource: str, now_s: float) -> None:
        """Go on asking for a resource whose caller was refused."""
        self._retained_until_at_s[resource] = now_s + self._retention_s
        self._retained_until_at_s.move_to_end(resource)
        if len(self._retained_until_at_s) > MAX_RETAINED:
            self._retained_until_at_s.popitem(last=False)

    def due(self, now_s: float) -> list[str]:
        """Return what is to be asked for again now, and forget what is over."""
        horizon_s = now_s - REPEAT_INTERVAL_S
        self._reported_at_s = {
            resource: at_s for resource, at_s in self._reported_at_s.items() if at_s > horizon_s
        }
        while self._retained_until_at_s and next(iter(self._retained_until_at_s.values())) <= now_s:
            self._retained_until_at_s.popitem(last=False)
        return [resource for resource in self._retained_until_at_s if self.is_due(resource, now_s)]


def resource_name(service: str, model: str, adapter: str) -> str:
    """Return the name under which demand is counted.

    >>> resource_name("s", "m", "a1"), resource_name("s", "m", "")
    ('s|m/a1', 's|m')
    """
    return f"{service}|{model}/{adapter}" if adapter else f"{service}|{model}"
