"""Tracks the models and adapters that a gateway reports as missing. Pure.

The control group forgets demand that is not reported again. A waiting request repeats its report;
for a rejected request, the gateway repeats it for a time set by the operator.
"""

from collections import OrderedDict
from typing import NamedTuple

# Minimum time between two reports of a resource, however many requests need it.
REPEAT_INTERVAL_S = 0.3
# Callers choose the names of resources, so their number is bounded: beyond this, the resource whose
# request was rejected longest ago is dropped.
MAX_RETAINED = 500


class MissingResource(NamedTuple):
    """A model or adapter that no replica holds which may serve a request.

    Attributes:
        key: See `demand_key`.
        software_version: Software version of the replicas that may serve it; None for any.
    """

    key: str
    software_version: str | None = None


class MissingResources:
    """The missing resources reported lately, and those to be reported again.

    >>> missing, model = MissingResources(), MissingResource("s|m")
    >>> missing.is_due(model, 0.0), missing.note_reported(model, 0.0), missing.is_due(model, 0.2)
    (True, None, False)
    >>> missing.retain(model, 0.2), missing.due(0.25), len(missing.due(0.4)), missing.due(9.0)
    (None, [], 1, [])
    """

    def __init__(self, retention_s: float = 8.0) -> None:
        """Create it.

        Args:
            retention_s: Time for which the missing resource of a rejected request is reported.
        """
        self._retention_s = retention_s
        self._reported_at_s: dict[MissingResource, float] = {}
        self._retention_ends_at_s: OrderedDict[MissingResource, float] = OrderedDict()

    def is_due(self, resource: MissingResource, now_s: float) -> bool:
        """Whether a resource has not been reported lately."""
        return now_s - self._reported_at_s.get(resource, float("-inf")) >= REPEAT_INTERVAL_S

    def note_reported(self, resource: MissingResource, now_s: float) -> None:
        """Record that a resource has been reported."""
        self._reported_at_s[resource] = now_s

    def retain(self, resource: MissingResource, now_s: float) -> None:
        """Continue to report a resource whose request was rejected."""
        self._retention_ends_at_s[resource] = now_s + self._retention_s
        self._retention_ends_at_s.move_to_end(resource)
        if len(self._retention_ends_at_s) > MAX_RETAINED:
            self._retention_ends_at_s.popitem(last=False)

    def due(self, now_s: float) -> list[MissingResource]:
        """Return the resources to report again now, and drop expired ones."""
        horizon_at_s = now_s - REPEAT_INTERVAL_S
        self._reported_at_s = {
            resource: at_s for resource, at_s in self._reported_at_s.items() if at_s > horizon_at_s
        }
        while self._retention_ends_at_s and next(iter(self._retention_ends_at_s.values())) <= now_s:
            self._retention_ends_at_s.popitem(last=False)
        return [resource for resource in self._retention_ends_at_s if self.is_due(resource, now_s)]


def demand_key(service: str, model: str, adapter: str) -> str:
    """Return the key of a model or adapter in demand reports: its service and its name.

    >>> demand_key("s", "m", "a1"), demand_key("s", "m", "")
    ('s|m/a1', 's|m')
    """
    return f"{service}|{model}/{adapter}" if adapter else f"{service}|{model}"
