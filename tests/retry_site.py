"""A site whose replicas fail every request, with a count of the retries that arrive there."""

import asyncio
import os
import random
import time

import aiohttp

from crowsill.routing.earned_retries import RetryBudgetLimits
from crowsill_lab.soak.retry_ledger import RetryLedger
from tests.platform_site import ID, STAMP, PlatformSite, SimulatedReplica, configuration

RATIO = 0.2
WINDOW_S = 10.0
ALLOWANCE = 58
REPLICAS = 3
GATEWAYS = 9
MAX_ATTEMPTS = 3
# A gateway owns its part of the allowance only after a window.
SETTLED_S = WINDOW_S + 3.0


class FailingReplica(SimulatedReplica):
    """Counts what arrives; fails it once `fails` is set."""

    def __init__(self, site, number, ledger):
        super().__init__(site, number, "till")
        self.fails = False
        self.ledger = ledger

    async def _answer(self, first, headers, body):
        if ID.lower() not in headers:
            return await super()._answer(first, headers, body)
        request_id = headers[ID.lower()]
        self.ledger.note_arrival(request_id, time.monotonic())
        status = 500 if self.fails else 200
        return status, [f"{ID}: {request_id}", f"{STAMP}: {self.instance_id}"], b"!"


class RetrySite:
    """The machines, the replicas and the callers.

    Attributes:
        requests_s: Times at which requests were sent.
        statuses: Statuses of their responses; 0 for none.
    """

    def __init__(self, folder, seed=1, gateways=GATEWAYS):
        self.site = PlatformSite(folder, fronts=gateways)
        self.site.bounds = [
            f"budgetRatio = {RATIO}",
            f"budgetWindowS = {WINDOW_S}",
            f"budgetSlack = {ALLOWANCE}",
        ]
        self.ledger = RetryLedger(RetryBudgetLimits(RATIO, WINDOW_S, ALLOWANCE))
        self.replicas = [
            FailingReplica(self.site, number, self.ledger) for number in range(REPLICAS)
        ]
        self.requests_s = []
        self.statuses = []
        self._random = random.Random(seed)

    async def start(self):
        """Start everything, and wait until every gateway serves."""
        self.site.start()
        document = configuration(1)
        route = {**document["routes"][0], "kind": "idempotent", "maxAttempts": MAX_ATTEMPTS}
        document["routes"] = [route]
        document["services"][0]["maxConns"] = 400
        assert await self.site.publish(document) == 200
        for replica in self.replicas:
            await replica.start()
        for front in self.site.fronts:
            await self.site.until(lambda front=front: self._serves(front))

    async def _serves(self, front):
        try:
            return (await self.site.ask(front, "/pay/a"))[0] == 200
        except (aiohttp.ClientError, TimeoutError):
            return False

    async def send(self, rate_per_s, for_s):
        """Send requests to random gateways at a rate, without waiting for responses."""
        timeout = aiohttp.ClientTimeout(total=4.0)
        connector = aiohttp.TCPConnector(limit=0)
        end_at_s = time.monotonic() + for_s
        tasks = []
        async with aiohttp.ClientSession(timeout=timeout, connector=connector) as session:
            while time.monotonic() < end_at_s:
                front = self._random.choice(self.site.fronts)
                self.requests_s.append(time.monotonic())
                tasks.append(asyncio.create_task(self._send(session, front)))
                await asyncio.sleep(1.0 / rate_per_s)
            await asyncio.gather(*tasks)

    async def _send(self, session, front):
        headers = {"Host": "shop.example", ID: os.urandom(8).hex()}
        try:
            url = f"http://{front.front}/pay/a"
            async with session.post(url, data=b"x", headers=headers) as response:
                await response.read()
                self.statuses.append(response.status)
        except (aiohttp.ClientError, TimeoutError):
            self.statuses.append(0)

    def fail_everything(self):
        """Have all replicas fail all requests from now on."""
        for replica in self.replicas:
            replica.fails = True

    def restart(self, machines):
        """Kill machines at once and start them at once."""
        for machine in machines:
            machine.kill()
        for machine in machines:
            machine.start()

    def worst_window(self):
        """Return retries and allowed retries in the worst window."""
        window = self.ledger.worst_window(self.requests_s)
        return window.retries, window.allowed

    async def stop(self):
        """Stop everything."""
        self.site.stop()
        for replica in self.replicas:
            await replica.stop()
            replica.abort_connections()
        await asyncio.sleep(0.1)
