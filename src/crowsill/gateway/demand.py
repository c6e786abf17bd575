"""Reports the demand of a gateway's requests for models to the control group."""

import asyncio

from crowsill.gateway.follower import GatewayFollower
from crowsill.gateway.missing_resources import (
    REPEAT_INTERVAL_S,
    MissingResource,
    MissingResources,
    demand_key,
)
from crowsill.gateway.request import CallerRequest
from crowsill.transport.replica_messages import DemandNotice


class DemandReporter:
    """Counts demand for the next heartbeat, and reports missing resources at once."""

    def __init__(self, follower: GatewayFollower, retention_s: float) -> None:
        """Create it.

        Args:
            follower: The stream to the control group.
            retention_s: Time for which the missing resource of a rejected request is reported.
        """
        self._follower = follower
        self._missing = MissingResources(retention_s)
        # Resumed streams that found a resource missing and are not reported yet.
        self._streams: dict[MissingResource, int] = {}
        # Accumulated urgency of requests; each whole 1 counts as one urgent request.
        self._urgency = 0.0

    def report_missing(self, service: str, request: CallerRequest, *, is_new: bool = True) -> None:
        """Report that a request waits for a model or adapter that no suitable replica holds.

        Args:
            service: Its service.
            request: The request.
            is_new: Whether it begins to wait, so that it is counted.
        """
        now_s = asyncio.get_running_loop().time()
        resource = _missing_resource(service, request)
        if is_new and resource.software_version is not None:
            self._streams[resource] = self._streams.get(resource, 0) + 1
        if self._missing.is_due(resource, now_s):
            self._send_demand([resource], now_s)

    def keep_reporting(self, service: str, request: CallerRequest) -> None:
        """Continue to report what a rejected request needs."""
        now_s = asyncio.get_running_loop().time()
        self._missing.retain(_missing_resource(service, request), now_s)

    def _send_demand(self, resources: list[MissingResource], now_s: float) -> None:
        versions: dict[str, list[str]] = {}
        for key, software_version in resources:
            if software_version is not None:
                versions.setdefault(key, []).append(software_version)
        missing = {resource.key: 1 for resource in resources}
        for key in versions:
            missing[key] = sum(
                self._streams.get(resource, 0) for resource in resources if resource.key == key
            )
        if not self._follower.send_notice(DemandNotice(missing, versions)):
            return
        for resource in resources:
            self._missing.note_reported(resource, now_s)
            self._streams.pop(resource, None)

    async def repeat_reports(self) -> None:
        """Report the missing resources of rejected requests, until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(REPEAT_INTERVAL_S)
            due = self._missing.due(loop.time())
            if due:
                self._send_demand(due, loop.time())

    def note_request(self, service: str, model: str, adapter: str, urgency: float) -> None:
        """Count a request for a model or adapter.

        Args:
            service: Its service.
            model: The model; empty for a plain service, which is not counted.
            adapter: The adapter; empty if none.
            urgency: Its urgency, from 0 to 1.
        """
        if not model:
            return
        count = {demand_key(service, model, adapter): 1}
        self._follower.demand.add(count)
        self._urgency += urgency
        if self._urgency >= 1.0:
            self._urgency -= 1.0
            self._follower.urgent.add(count)

    def note_overloaded(self, service: str, model: str) -> None:
        """Count a request whose model has too few copies."""
        self._follower.overloaded.add({demand_key(service, model, ""): 1})


def _missing_resource(service: str, request: CallerRequest) -> MissingResource:
    key = demand_key(service, request.model, request.adapter)
    return MissingResource(key, request.software_version)
