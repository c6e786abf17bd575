"""Engines of one service in simulated time; the real planner places their models and adapters.

An engine runs one job at a time: it waits until the requests for the evicted model have ended, and
then loads. It serves what it holds meanwhile. Callers of missing models and adapters wait for a
while and then leave.
"""

from collections import Counter, OrderedDict, defaultdict
from dataclasses import dataclass, field
from random import Random

from crowsill.control.model_placer import DEMAND_HALF_LIFE_S, PLAN_INTERVAL_S
from crowsill.model.instances import Instance
from crowsill.model.routes import EngineLimits, ModelWeights
from crowsill.placement.copy_planner import CopyPlanner
from crowsill.placement.copy_views import EngineView, Job, ServiceView
from crowsill.placement.demand import DemandEstimate
from crowsill.placement.load_window import LoadWindow
from crowsill.placement.missing_requests import MissingRequests

SERVICE = "s"
MEMORY_MB = 220.0
MODEL_MB = 70.0
SLOTS = 64
ADAPTER_SLOTS = 8
STORE_LOADS_PER_S = 2.0
STORE_LOAD_S = 6.4
HOST_LOAD_S = 0.6
DISK_LOAD_S = 1.3
MODELS_ON_DISK = 6
ADAPTER_LOAD_S = 0.03
# Time that running requests delay an unload, at an engine whose model is in demand.
RUNNING_REQUEST_S = 1.0
AWAITED_LIFETIME_S = 0.7
# Requests of one resource count as requested throughout from this number and time span on.
MIN_REQUESTS = 4
MIN_SPAN_S = 8.0
TURN_SHARE = 0.17


@dataclass
class SimulatedEngine:
    """One engine."""

    number: int
    held: dict = field(default_factory=dict)
    on_disk: OrderedDict = field(default_factory=OrderedDict)
    loaded_at_s: dict = field(default_factory=dict)
    job: Job | None = None
    loads_at_s: float = 0.0
    ends_at_s: float = 0.0

    @property
    def instance_id(self):
        return f"e{self.number}"

    def keep_on_disk(self, model):
        self.on_disk[model] = None
        self.on_disk.move_to_end(model)
        if len(self.on_disk) > MODELS_ON_DISK:
            self.on_disk.popitem(last=False)


@dataclass
class Traffic:
    """Requests for one resource.

    Attributes:
        rate_per_s: Requests per second.
        is_urgent: Whether its callers wait only `wait_s` and the target is short.
        wait_s: Time after which a caller leaves.
    """

    rate_per_s: float
    is_urgent: bool
    wait_s: float


@dataclass
class Waiting:
    """A request that waits for its resource."""

    resource: str
    leaves_at_s: float


class PlacementSite:
    """The site; `run` advances the time."""

    def __init__(self, models, held, on_disk, seed):
        """Create it.

        Args:
            models: Number of adapters by model.
            held: Models that each engine holds.
            on_disk: Further models on the disk of each engine.
            seed: Seed of all randomness.
        """
        self.limits = EngineLimits(
            MEMORY_MB,
            ADAPTER_SLOTS,
            SLOTS,
            100_000,
            STORE_LOADS_PER_S,
            [
                ModelWeights(name, MODEL_MB, STORE_LOAD_S, HOST_LOAD_S, DISK_LOAD_S, adapters, 0.05)
                for name, adapters in models.items()
            ],
        )
        self.random = Random(seed)
        self.now_s = 0.0
        self.traffic = {}
        self.engines = []
        for number, (names, disk) in enumerate(zip(held, on_disk, strict=True)):
            engine = SimulatedEngine(number, {name: set() for name in names})
            for name in (*disk, *names):
                engine.keep_on_disk(name)
            self.engines.append(engine)
        self.demand = DemandEstimate(DEMAND_HALF_LIFE_S)
        self.urgent = DemandEstimate(DEMAND_HALF_LIFE_S)
        self.window = LoadWindow(5.0, STORE_LOADS_PER_S, 3)
        self.requested_at_s = {}
        self.awaited_at_s = {}
        self.missing = MissingRequests()
        self.waiting = []
        self.requests_at_s = defaultdict(list)
        self.served = Counter()
        self.is_led = True

    # Requests.

    def holds(self, resource):
        model, _, adapter = resource.partition("/")
        return any(
            model in engine.held and (not adapter or adapter in engine.held[model])
            for engine in self.engines
        )

    def _arrive(self, resource, traffic):
        self.requests_at_s[resource].append(self.now_s)
        model = resource.partition("/")[0]
        counts = Counter({resource: 1})
        counts[model] += model != resource
        for name in counts:
            self.requested_at_s[name] = self.now_s
        self._counts += counts
        if traffic.is_urgent:
            self._urgent_counts += counts
        self.missing.note(f"{SERVICE}|{model}", 1, self.now_s)
        self.waiting.append(Waiting(resource, self.now_s + traffic.wait_s))

    def _serve(self):
        left = []
        for item in self.waiting:
            if self.holds(item.resource):
                self.served[item.resource] += 1
            elif item.leaves_at_s > self.now_s:
                self.awaited_at_s[item.resource] = self.now_s
                left.append(item)
        self.waiting = left

    # Engines.

    def _advance(self, engine):
        job = engine.job
        if job is None or self.now_s < engine.loads_at_s:
            return
        for name in job.unload:
            model, _, adapter = name.partition("/")
            if adapter:
                engine.held.get(model, set()).discard(adapter)
            else:
                engine.held.pop(model, None)
        if self.now_s < engine.ends_at_s:
            return
        if job.adapter:
            engine.held[job.model].add(job.adapter)
        else:
            engine.held.setdefault(job.model, set())
            engine.keep_on_disk(job.model)
            engine.loaded_at_s[job.model] = self.now_s
        engine.job = None

    def _start(self, job):
        engine = self.engines[int(job.instance_id[1:])]
        assert engine.job is None
        is_in_use = any(self.demand.rates.get(name, 0.0) > 0.5 for name in job.unload)
        engine.job = job
        engine.loads_at_s = self.now_s + (RUNNING_REQUEST_S if is_in_use else 0.0)
        engine.ends_at_s = engine.loads_at_s + (ADAPTER_LOAD_S if job.adapter else job.load_s)
        if job.from_store:
            self.window.note_load(self.now_s)

    def lose(self, number):
        """Replace an engine by an empty one."""
        self.engines[number] = SimulatedEngine(number)

    # Placement.

    def _engine_view(self, engine):
        job = engine.job
        unloading = set() if job is None else set(job.unload)
        loading = job.model if job is not None and not job.adapter else ""
        instance = Instance(
            engine.instance_id,
            SERVICE,
            f"127.0.0.1:{engine.number + 1}",
            "z",
            SLOTS,
            on_disk=[name for name in engine.on_disk if name not in engine.held],
        )
        return EngineView(
            instance,
            self.limits,
            {
                name: {item for item in names if f"{name}/{item}" not in unloading}
                for name, names in engine.held.items()
                if name not in unloading
            },
            is_busy=job is not None,
            is_fetching=job is not None and job.from_store,
            free_at_s=0.0 if job is None else engine.ends_at_s,
            accepts_adapter_jobs=job is None,
            pending_mb=MODEL_MB if loading and loading not in engine.held else 0.0,
            loaded_at_s=engine.loaded_at_s,
            loading=loading,
        )

    def view(self):
        """Return the planner's view."""
        awaited = [
            name
            for name, at_s in self.awaited_at_s.items()
            if self.now_s - at_s < AWAITED_LIFETIME_S
        ]
        engines = [self._engine_view(engine) for engine in self.engines]
        held = {name for engine in engines for name in engine.held}
        models = {model.name for model in self.limits.models}
        self.missing.note_held(SERVICE, held, set(awaited), models)
        return ServiceView(
            limits=self.limits,
            engines=engines,
            demand=dict(self.demand.rates),
            urgent=dict(self.urgent.rates),
            overloaded={},
            requested_at_s=dict(self.requested_at_s),
            awaited=awaited,
            awaited_since_at_s={},
            store_loads=self.window.loads_left(self.now_s),
            now_s=self.now_s,
            longest_wait_s=max((item.wait_s for item in self.traffic.values()), default=0.0),
            missed_requests=self.missing.counts(SERVICE),
            missing_since_at_s=self.missing.since_at_s(SERVICE),
            turn_share=TURN_SHARE,
        )

    def run(self, seconds):
        """Simulate some seconds."""
        end_s = self.now_s + seconds
        while self.now_s < end_s:
            self.now_s = round(self.now_s + PLAN_INTERVAL_S, 3)
            self._counts, self._urgent_counts = Counter(), Counter()
            for resource, traffic in self.traffic.items():
                if self.random.random() < traffic.rate_per_s * PLAN_INTERVAL_S:
                    self._arrive(resource, traffic)
            self.demand.add(self._counts, self.now_s)
            self.urgent.add(self._urgent_counts, self.now_s)
            for engine in self.engines:
                self._advance(engine)
            self._serve()
            if self.is_led:
                for job in CopyPlanner(self.view()).plan():
                    self._start(job)

    def never_served(self):
        """Return the resources that were requested throughout and never served."""
        return sorted(
            name
            for name, at_s in self.requests_at_s.items()
            if len(at_s) >= MIN_REQUESTS
            and at_s[-1] - at_s[0] >= MIN_SPAN_S
            and not self.served[name]
        )

    @property
    def served_share(self):
        """Share of all requests that were served."""
        return sum(self.served.values()) / sum(map(len, self.requests_at_s.values()))
