"""How long requests wait for a replica, learnt from the waits at this gateway. Pure.

A wait that ends without a replica still shows that none came for so long. So the mean wait is the
time that all requests waited together, divided by the number of waits that ended with a replica.
"""

from dataclasses import dataclass, field
from enum import StrEnum
from typing import NamedTuple

# What was seen counts half as much after this time, in seconds.
HALF_LIFE_S = 30.0
# Number of waits that the prior mean counts as.
PRIOR_WAITS = 4.0
# Bounds the memory; beyond it the key that was used longest ago is forgotten.
MAX_KEYS = 1000


class WaitCause(StrEnum):
    """What a request waits for whose time is not known."""

    CAPACITY = "capacity"
    ADAPTER = "adapter"
    LOAD_ORDER = "load_order"
    NO_REPLICA = "no_replica"


# Assumed mean waits in seconds before any was seen.
PRIOR_MEAN_S = {
    WaitCause.CAPACITY: 0.3,
    WaitCause.ADAPTER: 0.45,
    WaitCause.LOAD_ORDER: 0.5,
    WaitCause.NO_REPLICA: 0.5,
}


class WaitKey(NamedTuple):
    """What waits have in common.

    Attributes:
        service: The service.
        cause: What they wait for.
        model: The model that they need; empty for a plain service.
    """

    service: str
    cause: WaitCause
    model: str = ""


@dataclass(slots=True)
class _Waits:
    """Waits of one key.

    Attributes:
        waited_s: Time that requests waited.
        ended: Number of waits that ended with a replica.
        updated_at_s: Time up to which both were halved.
    """

    waited_s: float
    ended: float
    updated_at_s: float

    def age(self, now_s: float) -> None:
        kept = 0.5 ** (max(0.0, now_s - self.updated_at_s) / HALF_LIFE_S)
        self.waited_s, self.ended, self.updated_at_s = (
            self.waited_s * kept,
            self.ended * kept,
            now_s,
        )


@dataclass(slots=True)
class WaitHistory:
    """Mean waits by key.

    >>> history, key = WaitHistory(), WaitKey("s", WaitCause.CAPACITY)
    >>> history.mean_s(key, 0.0)
    0.3
    >>> history.note_waited(key, 4.8, 0.0), history.mean_s(key, 0.0)
    (None, 1.5)
    >>> history.note_ended(key, 0.0), round(history.mean_s(key, 0.0), 2)
    (None, 1.2)
    """

    _waits: dict[WaitKey, _Waits] = field(default_factory=dict)

    def mean_s(self, key: WaitKey, now_s: float) -> float:
        """Return the expected time until a wait ends with a replica, in seconds."""
        prior_s = PRIOR_MEAN_S[key.cause] * PRIOR_WAITS
        waits = self._waits.get(key)
        if waits is None:
            return prior_s / PRIOR_WAITS
        waits.age(now_s)
        return (prior_s + waits.waited_s) / (PRIOR_WAITS + waits.ended)

    def note_waited(self, key: WaitKey, waited_s: float, now_s: float) -> None:
        """Add time that a request waited, whether or not its wait has ended."""
        self._updated(key, now_s).waited_s += max(0.0, waited_s)

    def note_ended(self, key: WaitKey, now_s: float) -> None:
        """Count a wait that ended with a replica."""
        self._updated(key, now_s).ended += 1.0

    def _updated(self, key: WaitKey, now_s: float) -> _Waits:
        waits = self._waits.pop(key, None) or _Waits(0.0, 0.0, now_s)
        waits.age(now_s)
        # The last key is the one that was used last.
        self._waits[key] = waits
        if len(self._waits) > MAX_KEYS:
            del self._waits[next(iter(self._waits))]
        return waits
