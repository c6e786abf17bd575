"""Likely contents of the engines' prompt caches, from cache events that may be lost. Pure.

A hint only changes the order of preference, so a wrong hint costs a cache miss and nothing else.
A gap in the event numbers or a new incarnation discards all hints of that engine.
"""

from collections import OrderedDict
from dataclasses import dataclass, field

from crowsill.backends.interface import CacheEvents

MAX_PREFIXES_PER_REPLICA = 2000


@dataclass(slots=True)
class _CachedPrefixes:
    incarnation: str = ""
    last_event: int = 0
    prefixes: OrderedDict[int, None] = field(default_factory=OrderedDict)


class CacheHints:
    """Prefixes that the caches probably hold, by replica."""

    def __init__(self) -> None:
        self._cached: dict[str, _CachedPrefixes] = {}

    def last_event(self, replica_id: str) -> int:
        """Return the number of the last applied event; the next query starts after it."""
        cached = self._cached.get(replica_id)
        return 0 if cached is None else cached.last_event

    def apply(self, replica_id: str, events: CacheEvents) -> bool:
        """Apply cache events of a replica.

        Returns:
            False if a gap or a restart discarded all earlier hints of the replica.
        """
        cached = self._cached.setdefault(replica_id, _CachedPrefixes(events.incarnation))
        continues = (
            cached.incarnation == events.incarnation and events.first == cached.last_event + 1
        )
        if not continues:
            cached.prefixes.clear()
            cached.incarnation = events.incarnation
        for event in events.events:
            if event.stored:
                cached.prefixes[event.prefix] = None
                cached.prefixes.move_to_end(event.prefix)
            else:
                cached.prefixes.pop(event.prefix, None)
        while len(cached.prefixes) > MAX_PREFIXES_PER_REPLICA:
            cached.prefixes.popitem(last=False)
        cached.last_event = events.first + len(events.events) - 1
        return continues

    def holds(self, replica_id: str, prefix: int) -> bool:
        """Whether the cache of a replica probably holds a prefix."""
        cached = self._cached.get(replica_id)
        return cached is not None and prefix in cached.prefixes

    def forget(self, replica_id: str) -> None:
        """Drop the hints of a replica that is gone."""
        self._cached.pop(replica_id, None)
