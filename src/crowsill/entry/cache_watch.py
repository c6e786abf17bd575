"""Follows the cache events of the engines that this entry uses.

Only engines that got a request since the last look are asked, and no more than a few a second, so
the cost does not grow with the fleet.
"""

import asyncio

from returns.result import Success

from crowsill.backends.interface import CachePort
from crowsill.model.fleet import FleetView, ReplicaKind
from crowsill.routing.cache_hints import CacheHints

LOOK_S = 1.0
MAX_LOOKS_PER_S = 16


class CacheWatch:
    """Keeps cache hints up to date."""

    def __init__(self, port: CachePort, fleet: FleetView, hints: CacheHints) -> None:
        self._port = port
        self._fleet = fleet
        self._hints = hints
        self._used: dict[str, None] = {}

    def used(self, replica_id: str) -> None:
        """Note that a replica got a request."""
        self._used[replica_id] = None

    async def run(self) -> None:
        """Look until cancelled."""
        while True:
            await asyncio.sleep(LOOK_S)
            chosen = list(self._used)[:MAX_LOOKS_PER_S]
            for replica_id in chosen:
                del self._used[replica_id]
            await asyncio.gather(*(self._look(replica_id) for replica_id in chosen))

    async def _look(self, replica_id: str) -> None:
        state = self._fleet.replicas.get(replica_id)
        if state is None:
            self._hints.forget(replica_id)
            return
        if state.description.kind is not ReplicaKind.ENGINE:
            return
        position = self._hints.last_event(replica_id)
        answered = await self._port.cache_events(state.description, position)
        if isinstance(answered, Success) and answered.unwrap().events:
            self._hints.apply(replica_id, answered.unwrap())
