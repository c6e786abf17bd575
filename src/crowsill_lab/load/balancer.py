"""An emulated load balancer of the platform, with periodic readiness probes."""

import asyncio
import itertools

import aiohttp

POLL_S = 0.5
PROBE_TIMEOUT_S = 0.5


class Balancer:
    """Selects entries in round robin among those whose last readiness probe succeeded.

    Attributes:
        ready: `IP:port` of the entries that receive requests.
    """

    def __init__(self, entries: list[str]) -> None:
        """Initialize the balancer.

        Args:
            entries: `IP:port` of each entry.
        """
        self.entries = entries
        self.ready: list[str] = []
        self._counter = itertools.count()

    def pick(self, avoid: str = "") -> str | None:
        """Return the next ready entry, other than `avoid` if possible; None if none is ready."""
        candidates = [entry for entry in self.ready if entry != avoid] or self.ready
        if not candidates:
            return None
        return candidates[next(self._counter) % len(candidates)]

    async def run(self) -> None:
        """Probe readiness until cancelled."""
        async with aiohttp.ClientSession() as session:
            while True:
                results = await asyncio.gather(
                    *(self._probe(session, item) for item in self.entries)
                )
                ready = zip(self.entries, results, strict=True)
                self.ready = [entry for entry, is_ready in ready if is_ready]
                await asyncio.sleep(POLL_S)

    async def _probe(self, session: aiohttp.ClientSession, entry: str) -> bool:
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                async with session.get(f"http://{entry}/readyz") as response:
                    return response.status == 200
        except (aiohttp.ClientError, OSError, TimeoutError):
            return False

    async def wait_ready(self, count: int, timeout_s: float) -> bool:
        """Wait until `count` entries are ready; return whether they are within the timeout."""
        deadline_at_s = asyncio.get_running_loop().time() + timeout_s
        while len(self.ready) < count:
            if asyncio.get_running_loop().time() > deadline_at_s:
                return False
            await asyncio.sleep(0.05)
        return True
