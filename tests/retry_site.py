"""A site whose replicas fail every request, with a count of the retries that arrive there."""

import asyncio
import os
import random
import time

import aiohttp

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

    def __init__(self, site, number):
        super().__init__(site, number, "till")
        self.fails = False
        self.arrivals = []

    async def _answer(self, first, headers, body):
        if ID.lower() not in headers:
            return await super()._answer(first, headers, body)
        request_id = headers[ID.lower()]
        self.arrivals.append((time.monotonic(), request_id))
        status = 500 if self.fails else 200
        return status, [f"{ID}: {request_id}", f"{STAMP}: {self.instance_id}"], b"!"


def worst_window(requests_s, arrivals):
    """Return retries and allowed retries in the window with the largest share of what is allowed.

    The requests of a window are those sent in it, in the one before or in the one half a window
    before, whichever are most.

    >>> worst_window([0.0, 0.1], [(0.1, "a"), (0.2, "a"), (0.3, "b")])
    (1, 58.4)

    Args:
        requests_s: Times at which requests were sent, in order.
        arrivals: Times and request ids of arrivals at any replica.
    """
    seen, retries_s = set(), []
    for at_s, request_id in sorted(arrivals):
        if request_id in seen:
            retries_s.append(at_s)
        seen.add(request_id)

    def sent_before(end_s):
        return sum(end_s - WINDOW_S < sent_s <= end_s for sent_s in requests_s)

    found = (0, RATIO * len(requests_s) + ALLOWANCE)
    for end_s in retries_s:
        retries = sum(end_s - WINDOW_S < at_s <= end_s for at_s in retries_s)
        most = max(sent_before(end_s - back * WINDOW_S) for back in (0.0, 0.5, 1.0))
        allowed = RATIO * most + ALLOWANCE
        if retries / allowed > found[0] / found[1]:
            found = (retries, round(allowed, 3))
    return found


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
        self.replicas = [FailingReplica(self.site, number) for number in range(REPLICAS)]
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
        arrivals = [arrival for replica in self.replicas for arrival in replica.arrivals]
        return worst_window(self.requests_s, arrivals)

    async def stop(self):
        """Stop everything."""
        self.site.stop()
        for replica in self.replicas:
            await replica.stop()
            replica.abort_connections()
        await asyncio.sleep(0.1)
