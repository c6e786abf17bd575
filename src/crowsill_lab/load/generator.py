"""Open-loop load: Poisson arrivals with bursts, independent of the responses."""

import asyncio
import random
from dataclasses import dataclass, field

import aiohttp

from crowsill_lab.load.balancer import Balancer
from crowsill_lab.load.requests import Caller, PlannedRequest
from crowsill_lab.load.tally import KeyLedger, Tally
from crowsill_lab.settings import LabDeployment, TrafficShape

ZIPF_EXPONENT = 0.8
SHARED_PROMPTS = 20
REQUEST_TIMEOUT_S = 120.0


@dataclass
class LoadResult:
    """Results of one run of the load."""

    tallies: dict[str, Tally] = field(default_factory=dict)
    keys: KeyLedger = field(default_factory=KeyLedger)


class LoadGenerator:
    """Generates the traffic of a deployment for a limited time."""

    def __init__(
        self, deployment: LabDeployment, balancer: Balancer, seed: int, rate_factor: float = 1.0
    ) -> None:
        """Initialize the generator.

        Args:
            deployment: Defines the traffic and the tokens.
            balancer: Selects entries.
            seed: Seed of arrival times and other random choices.
            rate_factor: Factor for all rates.
        """
        self._deployment = deployment
        self._balancer = balancer
        self._seed = seed
        self._rate_factor = rate_factor
        self.result = LoadResult()
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self, duration_s: float) -> LoadResult:
        """Send requests for `duration_s`, then wait for the outstanding responses."""
        timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
        connector = aiohttp.TCPConnector(limit=0, keepalive_timeout=5)
        async with aiohttp.ClientSession(timeout=timeout, connector=connector) as session:
            caller = Caller(session, self._balancer, self._deployment.tokens, self.result.keys)
            generators = [
                self._generate_traffic(
                    shape, caller, random.Random(f"{self._seed}/{shape.name}"), duration_s
                )
                for shape in self._deployment.traffic
            ]
            await asyncio.gather(*generators)
            while self._tasks:
                await asyncio.wait(self._tasks)
        return self.result

    async def _generate_traffic(
        self, shape: TrafficShape, caller: Caller, random_source: random.Random, duration_s: float
    ) -> None:
        tally = self.result.tallies.setdefault(shape.name, Tally())
        loop = asyncio.get_running_loop()
        started_at_s = loop.time()
        arrival_s = 0.0
        while True:
            rate = shape.requests_per_s * self._rate_factor * _burst_factor(shape, arrival_s)
            arrival_s += random_source.expovariate(rate)
            if arrival_s >= duration_s:
                return
            await asyncio.sleep(max(0.0, started_at_s + arrival_s - loop.time()))
            planned = plan_request(shape, random_source)
            send_twice = random_source.random() < shape.resend_ratio
            task = asyncio.create_task(caller.run(planned, tally, send_twice))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)


def _burst_factor(shape: TrafficShape, at_s: float) -> float:
    if shape.burst_every_s <= 0 or at_s % shape.burst_every_s >= shape.burst_s:
        return 1.0
    return shape.burst_factor


def plan_request(shape: TrafficShape, random_source: random.Random) -> PlannedRequest:
    """Draw a request: popular models are more frequent, and prompts share a few starts."""
    model = ""
    if shape.models:
        weights = [1.0 / (rank + 1) ** ZIPF_EXPONENT for rank in range(len(shape.models))]
        model = random_source.choices(shape.models, weights)[0]
    tokens = max(1, int(random_source.expovariate(1.0 / shape.tokens)))
    prompt_start = f"shared prompt {random_source.randrange(SHARED_PROMPTS)} ".ljust(
        shape.prompt_bytes, "x"
    )
    return PlannedRequest(
        shape, model, min(tokens, shape.tokens * 4), f"{prompt_start}{random_source.random()}"
    )
