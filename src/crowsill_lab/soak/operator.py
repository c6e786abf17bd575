"""The operator of a soak: publishes versions of the routes, each with one route of its own."""

import asyncio
import time
from collections.abc import Sequence
from random import Random

import msgspec

from crowsill.model.routes import (
    CallerLimits,
    Route,
    RouteConfiguration,
    RouteKind,
    ServiceDefinition,
    WeightedService,
)
from crowsill_lab.soak.control_calls import put
from crowsill_lab.soak.ledger import MAX_ATTEMPTS, TIMEOUT_S, Ledger
from crowsill_lab.soak.replica import PROBE_PATH, SERVICE
from crowsill_lab.soak.seeded_site import SeededSite
from crowsill_lab.soak.site import SoakSite
from crowsill_lab.soak.tenants import tenants_of

HOST_NAME = "shop.example"
TIMEOUT_MS = TIMEOUT_S * 1000.0
RESUMED_TIMEOUT_MS = 8000.0
MAX_PAUSE_S = 1.5


def routes_of(version: int, resumed_services: Sequence[str] = ()) -> RouteConfiguration:
    """Return a version: routes that all versions have, and one that only this one has.

    Args:
        version: The version.
        resumed_services: Services whose streams callers may resume; each has a route of its name.
    """

    def route(name: str, kind: RouteKind, attempts: int) -> Route:
        share = [WeightedService(SERVICE, 1.0)]
        return Route(name, HOST_NAME, f"/{name}/", kind, TIMEOUT_MS, share, max_attempts=attempts)

    routes = [
        route("once", RouteKind.AT_MOST_ONCE, 1),
        route("safe", RouteKind.IDEMPOTENT, MAX_ATTEMPTS),
        route("stream", RouteKind.STREAM, 1),
        route(f"v{version}", RouteKind.AT_MOST_ONCE, 1),
    ]
    routes += [_resumable_route(service) for service in resumed_services]
    names = [SERVICE, *resumed_services]
    services = [ServiceDefinition(name, 100, probe_path=PROBE_PATH) for name in names]
    return RouteConfiguration(version, routes, services, CallerLimits(), tenants_of(version))


def _resumable_route(service: str) -> Route:
    share = [WeightedService(service, 1.0)]
    return Route(
        service,
        HOST_NAME,
        f"/{service}/",
        RouteKind.STREAM,
        RESUMED_TIMEOUT_MS,
        share,
        max_attempts=2,
        resumable=True,
    )


class Operator:
    """Publishes versions of the routes until cancelled."""

    def __init__(
        self,
        site: SoakSite | SeededSite,
        ledger: Ledger,
        random: Random,
        resumed_services: Sequence[str] = (),
    ) -> None:
        self._resumed_services = resumed_services
        self._site = site
        self._ledger = ledger
        self._random = random
        self.acknowledged_at_s = 0.0

    async def publish(self, version: int) -> None:
        """Send a version to randomly chosen members until one acknowledges it."""
        body = msgspec.json.encode(routes_of(version, self._resumed_services))
        while not await self._send(body):
            await asyncio.sleep(0.1)
        self._ledger.note_acknowledged(version, time.monotonic())
        self.acknowledged_at_s = time.monotonic()

    async def _send(self, body: bytes) -> bool:
        member = self._random.choice(self._site.members)
        status = await put(member, "/v1/routes", body)
        if 400 <= status < 500:
            self._ledger.note_violation(f"a valid version was rejected: {status}")
        return status == 200

    async def run(self) -> None:
        """Publish increasing versions until cancelled."""
        version = self._ledger.acknowledged
        while True:
            version += self._random.randint(1, 3)
            await self.publish(version)
            await asyncio.sleep(self._random.random() * MAX_PAUSE_S)
