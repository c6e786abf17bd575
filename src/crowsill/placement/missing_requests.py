"""Counts the requests for each model since an engine last served one. Pure.

A copy that is evicted before a request was sent to it does not end the count: callers that left
during its load have not been served. Resources are named as in demand reports, `service|model`.
"""

from dataclasses import dataclass

# After this time without a request, in seconds, the next one begins a new count: the callers of the
# earlier ones have given up.
MAX_REQUEST_GAP_S = 60.0


@dataclass(slots=True)
class MissingModel:
    """Requests for one model since an engine last served one.

    Attributes:
        requests: Their number.
        since_at_s: Monotonic time of the first one, in seconds.
        requested_at_s: Monotonic time of the last one, in seconds.
    """

    requests: float
    since_at_s: float
    requested_at_s: float


class MissingRequests:
    """Requests by `service|model` for models since an engine last served one.

    >>> missing = MissingRequests()
    >>> missing.note("s|m", 2, now_s=10.0), missing.note("s|m", 1, now_s=12.0)
    (None, None)
    >>> missing.counts("s"), missing.since_at_s("s"), missing.ages_s(15.0)
    ({'m': 3.0}, {'m': 10.0}, {'s|m': 5.0})
    >>> missing.note_held("s", {"m"}, set(), {"m"}), missing.counts("s")
    (None, {'m': 0.0})
    >>> missing.note("s|m", 1, now_s=16.0), missing.counts("s")
    (None, {})
    """

    def __init__(self) -> None:
        self._models: dict[str, MissingModel] = {}
        self._held: set[str] = set()

    def note(self, resource: str, count: int, now_s: float) -> None:
        """Count requests for a model; the first one after it was loaded ends the count."""
        if resource in self._held:
            self._models.pop(resource, None)
            return
        known = self._models.get(resource)
        if known is None or now_s - known.requested_at_s > MAX_REQUEST_GAP_S:
            known = self._models[resource] = MissingModel(0.0, now_s, now_s)
        known.requests += count
        known.requested_at_s = now_s

    def inherit(self, requests: dict[str, float], ages_s: dict[str, float], now_s: float) -> None:
        """Add what the last leader recorded.

        Args:
            requests: Number of requests by resource.
            ages_s: Time from the first of them to the record, by resource.
            now_s: Current monotonic time.
        """
        for resource, count in requests.items():
            since_at_s = now_s - ages_s.get(resource, 0.0)
            known = self._models.setdefault(resource, MissingModel(0.0, since_at_s, now_s))
            known.requests += count
            known.since_at_s = min(known.since_at_s, since_at_s)

    def note_held(
        self,
        service: str,
        held: set[str],
        awaited: set[str],
        known_models: set[str],
    ) -> None:
        """Record which models the engines of a service hold.

        Args:
            service: The service.
            held: Models that an engine holds.
            awaited: Models that requests wait for, which are sent as soon as a model is held.
            known_models: Models in the routes. Callers choose the names that they send, so other
                names aren't counted.
        """
        prefix = f"{service}|"
        self._held = {item for item in self._held if not item.startswith(prefix)}
        self._held |= {prefix + model for model in held}
        for model in held:
            if prefix + model in self._models:
                self._models[prefix + model].requests = 0.0
        self._models = {
            resource: known
            for resource, known in self._models.items()
            if not resource.startswith(prefix)
            or _is_counted(resource.removeprefix(prefix), held & awaited, known_models)
        }

    @property
    def requests(self) -> dict[str, float]:
        """Number of requests by resource."""
        return {resource: known.requests for resource, known in self._models.items()}

    def ages_s(self, now_s: float) -> dict[str, float]:
        """Return the time since the first request, by resource."""
        return {resource: now_s - known.since_at_s for resource, known in self._models.items()}

    def counts(self, service: str) -> dict[str, float]:
        """Return the number of requests by model of a service."""
        return {model: known.requests for model, known in self._of_service(service).items()}

    def since_at_s(self, service: str) -> dict[str, float]:
        """Return the time of the first request by model of a service."""
        return {model: known.since_at_s for model, known in self._of_service(service).items()}

    def _of_service(self, service: str) -> dict[str, MissingModel]:
        prefix = f"{service}|"
        return {
            resource.removeprefix(prefix): known
            for resource, known in self._models.items()
            if resource.startswith(prefix)
        }


def _is_counted(model: str, served: set[str], known_models: set[str]) -> bool:
    return model in known_models and model not in served
