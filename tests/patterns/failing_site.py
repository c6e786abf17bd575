"""Gateways of a site in which engines fail, in simulated time.

The real watch of each gateway, its selection and the group's record run; connections and messages
are replaced by their times.
"""

import asyncio
import selectors
from collections import Counter
from random import Random

from crowsill.control.replica_reach import ReplicaReach
from crowsill.gateway.follower import HEARTBEAT_S
from crowsill.gateway.link_state import LinkState
from crowsill.gateway.pool import CONNECT_TIMEOUT_S, ConnectError
from crowsill.gateway.replica_check import RESPONSE_TIMEOUT_S, CheckReason, CheckResult
from crowsill.gateway.replica_watch import ReplicaWatch
from crowsill.gateway.request import CallerRequest
from crowsill.gateway.selection import NoReplicaReason, choose
from crowsill.gateway.selection_limits import SelectionLimits
from crowsill.settings import LoadControlSettings
from tests.patterns.engine_site import SERVICE, SLOTS, Gateway, _instance

ENGINES = 45
COPIES = 2
MODELS_PER_ENGINE = 8
REQUESTS_PER_S = 7.0
ANSWER_S = 0.05
ROUND_TRIP_S = 0.002
MESSAGE_S = 0.01
MAX_ATTEMPTS = 3


class SimulatedLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock jumps to the next timer."""

    def __init__(self):
        self._simulated_s = 1000.0
        super().__init__(_JumpingSelector(self))

    def time(self):
        return self._simulated_s

    def jump(self, seconds):
        self._simulated_s += seconds


class _JumpingSelector(selectors.SelectSelector):
    def __init__(self, loop):
        super().__init__()
        self._loop = loop

    def select(self, timeout=None):
        assert timeout is not None, "nothing is left to happen"
        self._loop.jump(timeout)
        return super().select(0)


class Connections:
    """The pool of one gateway: what it received, and where idle connections are open."""

    def __init__(self):
        self.received = {}
        self.idle = set()

    def received_at_s(self, instance_id):
        return self.received.get(instance_id, float("-inf"))

    def has_idle(self, instance_id):
        return instance_id in self.idle

    has_open = has_idle

    def lost_at_s(self, _instance_id):
        return float("-inf")

    def close_idle(self, instance_id):
        self.idle.discard(instance_id)

    def hear(self, instance_id, now_s):
        self.received[instance_id] = now_s
        self.idle.add(instance_id)


class SimulatedGateway(Gateway):
    """A gateway with the real watch; it is the checker of its watch, too."""

    def __init__(self, site, number, instances, load_control):
        super().__init__(number, instances, Random(site.seed * 1000 + number))
        self.site = site
        self.pool = Connections()
        self.links = LinkState(self.registry, self.pool.has_idle)
        self.watch = ReplicaWatch(
            self.registry,
            self.pool,
            self.links,
            self,
            notify=self._notify,
            on_change=lambda: None,
            random=self.random,
            load_control=load_control,
            identity=self.name,
        )
        self.is_cut = False
        self.cut_from = set()

    def _notify(self, notice):
        loop = asyncio.get_running_loop()
        if self.site.has_leader:
            loop.call_later(MESSAGE_S, self.site.note, notice)
        return True

    def _fails(self, instance_id):
        """Return how a replica fails from here; empty if it does not."""
        return (
            "dark"
            if self.is_cut or instance_id in self.cut_from
            else self.site.failed.get(instance_id, "")
        )

    async def check(self, record, reason, _min_open_s):
        loop = asyncio.get_running_loop()
        self.site.checks.append((loop.time(), reason, self.name))
        instance_id = record.instance.instance_id
        how = self._fails(instance_id)
        await asyncio.sleep({"": ROUND_TRIP_S, "crashed": ROUND_TRIP_S}.get(how, CONNECT_TIMEOUT_S))
        if how:
            return CheckResult.REFUSED if how == "crashed" else CheckResult.NOT_OPENED
        self.pool.hear(instance_id, loop.time())
        return CheckResult.REACHED

    async def heartbeats(self):
        loop = asyncio.get_running_loop()
        await asyncio.sleep(self.random.random() * HEARTBEAT_S)
        while True:
            sent_at_s = loop.time()
            self.watch.sharing.expire(sent_at_s)
            if self.site.has_leader:
                word = self.site.word(sent_at_s)
                await asyncio.sleep(2 * MESSAGE_S)
                self.watch.note_group_word(*word, sent_at_s, len(self.site.gateways))
            await asyncio.sleep(HEARTBEAT_S)

    async def requests(self):
        while True:
            await asyncio.sleep(self.random.expovariate(REQUESTS_PER_S))
            self.site.start(self._serve(f"m-{self.random.randrange(self.site.models)}"))

    async def _serve(self, model):
        request = CallerRequest(b"POST", b"/", [], b"", True, 0.0, model=model, prompt_tokens=100)
        tried = set()
        for _ in range(MAX_ATTEMPTS):
            choice = self._choose(request, tried)
            if isinstance(choice, NoReplicaReason):
                break
            tried.add(choice.record.instance.instance_id)
            if await self._try(choice.record, model, tried):
                self.site.served += 1
                return
        self.site.unserved += 1

    def _choose(self, request, tried):
        now_s = asyncio.get_running_loop().time()
        limits = SelectionLimits(
            self.zone,
            SLOTS,
            has_idle=self.pool.has_idle,
            has_open=self.pool.has_open,
            random=self.random,
            is_suspected=self.watch.sharing.avoidance(SERVICE, now_s),
        )
        return choose(self.registry.of_service(SERVICE), request, tried, limits, now_s)

    def _has_other(self, model, tried):
        """Whether an untried engine that works holds a model."""
        return any(
            record.instance.serves(model, "")
            and record.instance.instance_id not in tried
            and not self._fails(record.instance.instance_id)
            for record in self.registry.of_service(SERVICE)
        )

    async def _try(self, record, model, tried):
        loop = asyncio.get_running_loop()
        instance_id = record.instance.instance_id
        how = self._fails(instance_id)
        if not how:
            await asyncio.sleep(ANSWER_S)
            self.pool.hear(instance_id, loop.time())
            record.note_success()
            return True
        if self._has_other(model, tried):
            self.site.sent_in_vain.append(loop.time())
        self.pool.close_idle(instance_id)
        await asyncio.sleep(ROUND_TRIP_S if how == "crashed" else RESPONSE_TIMEOUT_S)
        error = ConnectError(how)
        if how == "crashed":
            error.__cause__ = ConnectionRefusedError()
        record.note_failure(loop.time())
        self.watch.note_connect_failed(record, error)
        return False


class FailingSite:
    """Gateways, engines that fail, and the group's record of them."""

    def __init__(self, gateways=60, seed=1, load_control=None):
        self.seed = seed
        self.random = Random(seed)
        self.reach = ReplicaReach()
        self.has_leader = True
        self.failed = {}
        self.checks = []
        self.sent_in_vain = []
        self.served = self.unserved = 0
        self.models = ENGINES * MODELS_PER_ENGINE // COPIES
        copies = [f"m-{number % self.models}" for number in range(ENGINES * MODELS_PER_ENGINE)]
        self.random.shuffle(copies)
        held = [set(copies[number::ENGINES]) for number in range(ENGINES)]
        instances = [_instance(number, models) for number, models in enumerate(held)]
        self.ids = [item.instance_id for item in instances]
        self.gateways = [
            SimulatedGateway(self, number, instances, load_control or LoadControlSettings())
            for number in range(gateways)
        ]
        self._tasks = set()

    def start(self, work):
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def note(self, notice):
        """Record a gateway's notice, as a member does."""
        if notice.gateway:
            now_s = asyncio.get_running_loop().time()
            self.reach.note_failed(notice.gateway, notice.instance_ids, now_s)
            self.reach.note_reached(notice.gateway, notice.reached_ids, notice.reached_ago_s, now_s)

    def word(self, now_s):
        return self.reach.suspected(now_s), self.reach.reached(now_s)

    def fail(self, share, how):
        """Let a share of the engines fail; `both` are crashed and dark ones in turn."""
        ids = self.random.sample(self.ids, round(share * len(self.ids)))
        for number, instance_id in enumerate(ids):
            self.failed[instance_id] = ("crashed", "dark")[number % 2] if how == "both" else how
        return asyncio.get_running_loop().time()

    def counted(self, from_s, to_s):
        """Return the checks of a time by reason."""
        return Counter(reason for at_s, reason, _ in self.checks if from_s <= at_s < to_s)

    def excluded(self):
        """Return the replicas that any gateway excludes or chooses last."""
        now_s = asyncio.get_running_loop().time()
        return {
            record.instance.instance_id
            for gateway in self.gateways
            for record in gateway.registry.listed()
            if record.availability.is_unreachable
            or gateway.watch.sharing.is_suspected(record, now_s)
        }

    async def run(self, scenario):
        for gateway in self.gateways:
            self.start(gateway.heartbeats())
            self.start(gateway.requests())
        try:
            return await scenario
        finally:
            for gateway in self.gateways:
                await gateway.watch.stop()
            for task in list(self._tasks):
                task.cancel()
            await asyncio.gather(*self._tasks, return_exceptions=True)


def play(site, scenario):
    """Run a scenario of a site in simulated time, and return its result."""
    with asyncio.Runner(loop_factory=SimulatedLoop) as runner:
        return runner.run(site.run(scenario(site)))


__all__ = ["CheckReason", "FailingSite", "play"]
