"""Follows the cache events of the engines that this entry uses.

It polls only engines that got a request since their last poll, and at most `MAX_POLLS_PER_S` of
them per second, so the cost does not grow with the fleet.
"""

import asyncio

from returns.result import Success

from crowsill.backends.interface import CachePort
from crowsill.model.fleet import FleetView, ReplicaKind
from crowsill.routing.cache_hints import CacheHints

POLL_INTERVAL_S = 1.0
MAX_POLLS_PER_S = 16


class CacheWatch:
    """Keeps the cache hints of one entry up to date."""

    def __init__(self, port: CachePort, fleet: FleetView, hints: CacheHints) -> None:
        self._port = port
        self._fleet = fleet
        self._hints = hints
        self._used_ids: dict[str, None] = {}

    def note_used(self, replica_id: str) -> None:
        """Record that a replica got a request."""
        self._used_ids[replica_id] = None

    async def run(self) -> None:
        """Poll periodically until cancelled."""
        while True:
            await asyncio.sleep(POLL_INTERVAL_S)
            chosen = list(self._used_ids)[:MAX_POLLS_PER_S]
            for replica_id in chosen:
                del self._used_ids[replica_id]
            await asyncio.gather(*(self._poll(replica_id) for replica_id in chosen))

    async def _poll(self, replica_id: str) -> None:
        state = self._fleet.replicas.get(replica_id)
        if state is None:
            self._hints.forget(replica_id)
            return
        if state.description.kind is not ReplicaKind.ENGINE:
            return
        position = self._hints.last_event(replica_id)
        result = await self._port.cache_events(state.description, position)
        if isinstance(result, Success) and result.unwrap().events:
            self._hints.apply(replica_id, result.unwrap())
