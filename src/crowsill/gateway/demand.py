"""What a gateway tells the control group of the models that its requests need."""

import asyncio

from crowsill.gateway.follower import GatewayFollower
from crowsill.gateway.missing_resources import REPEAT_INTERVAL_S, MissingResources, resource_name
from crowsill.transport.replica_messages import DemandNotice


class DemandReporter:
    """Counts demand for the next heartbeat; asks at once for what no replica holds."""

    def __init__(self, follower: GatewayFollower, keep_asking_s: float) -> None:
        """Make it.

        Args:
            follower: The stream to the group.
            keep_asking_s: How long what a refused caller lacked is asked for.
        """
        self._follower = follower
        self._missing = MissingResources(keep_asking_s)
        # Shares of requests that count as urgent, until they make a whole one.
        self._urgency = 0.0

    def report_missing(self, service: str, model: str, adapter: str) -> None:
        """Tell the control group that a resource is asked for and held nowhere."""
        now_s = asyncio.get_running_loop().time()
        resource = resource_name(service, model, adapter)
        if self._missing.is_due(resource, now_s):
            self._send_demand([resource], now_s)

    def keep_reporting(self, service: str, model: str, adapter: str) -> None:
        """Go on asking for a resource whose caller was refused."""
        now_s = asyncio.get_running_loop().time()
        self._missing.retain(resource_name(service, model, adapter), now_s)

    def _send_demand(self, resources: list[str], now_s: float) -> None:
        if not self._follower.send_notice(DemandNotice(dict.fromkeys(resources, 1))):
            return
        for resource in resources:
            self._missing.note_reported(resource, now_s)

    async def repeat_reports(self) -> None:
        """Ask for what refused callers lacked, until cancelled."""
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
            adapter: The adapter, or an empty text.
            urgency: How far it counts as urgent, from 0 to 1.
        """
        if not model:
            return
        count = {resource_name(service, model, adapter): 1}
        self._follower.demand.add(count)
        self._urgency += urgency
        if self._urgency >= 1.0:
            self._urgency -= 1.0
            self._follower.urgent.add(count)

    def note_overloaded(self, service: str, model: str) -> None:
        """Count a request whose model has too few copies."""
        self._follower.overloaded.add({resource_name(service, model, ""): 1})
