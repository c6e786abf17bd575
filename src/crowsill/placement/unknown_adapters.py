"""How often callers ask for an adapter that nobody asked for lately, learnt by service. Pure.

While an engine loads a model it accepts no adapter. Requests for adapters that it holds go on;
those for others fail or wait.
"""

from collections.abc import Collection
from dataclasses import dataclass, field

# What was seen counts half as much after this time, in seconds.
HALF_LIFE_S = 30.0


@dataclass(slots=True)
class _Counts:
    """Requests for adapters of one service.

    Attributes:
        unknown: First requests for adapters without recent ones.
        requests: All requests for adapters.
    """

    unknown: float = 0.0
    requests: float = 0.0


@dataclass(slots=True)
class UnknownAdapters:
    """Share of the requests for adapters that are for an adapter without recent requests.

    Before any request, all adapters are unknown.

    >>> unknown = UnknownAdapters()
    >>> unknown.add({"s|m": 9, "s|m/a": 3}, {"s|m"}, 0.0), unknown.share("s")
    (None, 0.5)
    >>> unknown.add({"s|m/a": 4}, {"s|m/a"}, 0.0), unknown.share("s"), unknown.share("t")
    (None, 0.25, 1.0)
    """

    _counts: dict[str, _Counts] = field(default_factory=dict)
    _updated_at_s: float | None = None

    def add(self, counts: dict[str, int], recent: Collection[str], now_s: float) -> None:
        """Count requests.

        Args:
            counts: Requests since the last call, by `service|model` and `service|model/adapter`.
            recent: Those with requests shortly before.
            now_s: Monotonic time in seconds.
        """
        self._age(now_s)
        for resource, count in counts.items():
            service, _, name = resource.partition("|")
            if "/" not in name:
                continue
            known = self._counts.setdefault(service, _Counts())
            known.requests += count
            # The first of several requests makes the adapter known.
            known.unknown += resource not in recent

    def _age(self, now_s: float) -> None:
        elapsed_s = 0.0 if self._updated_at_s is None else max(0.0, now_s - self._updated_at_s)
        self._updated_at_s = now_s
        kept = 0.5 ** (elapsed_s / HALF_LIFE_S)
        for counts in self._counts.values():
            counts.unknown *= kept
            counts.requests *= kept

    def share(self, service: str) -> float:
        """Return the share for a service, from 0 to 1."""
        counts = self._counts.get(service, _Counts())
        return (counts.unknown + 1.0) / (counts.requests + 1.0)
