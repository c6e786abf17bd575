"""The share of each engine's time that the requests for its models take. Pure.

Gateways send the requests of a model to the least loaded of its holders. So its work spreads over
them until all have the same load, apart from holders that have a higher load without it.
"""

from dataclasses import dataclass, field

# Mean engine time of one request, in seconds (docs/POLICY.md).
ENGINE_TIME_PER_REQUEST_S = 0.12
# Load, as a share of an engine's time, up to which all requests are served in time.
EASY_LOAD = 0.6
# Above the easy load, the share of requests served in time falls linearly to
# `FULL_LOAD_SERVED_SHARE` at this load.
FULL_LOAD = 1.4
FULL_LOAD_SERVED_SHARE = 0.4
# Number of rounds in which the work of each model is spread again, given that of the others.
SPREAD_ROUNDS = 2
# Lower bound of the relative speed of an engine that advertises a limit.
MIN_SPEED = 0.01


def served_share(load: float) -> float:
    """Return the share of the requests that an engine with this load serves in time.

    >>> served_share(0.3), round(served_share(1.0), 2), round(served_share(2.8), 2)
    (1.0, 0.7, 0.2)
    """
    if load <= EASY_LOAD:
        return 1.0
    if load >= FULL_LOAD:
        return FULL_LOAD_SERVED_SHARE * FULL_LOAD / load
    return 1.0 - (1.0 - FULL_LOAD_SERVED_SHARE) * (load - EASY_LOAD) / (FULL_LOAD - EASY_LOAD)


def speed_under_limit(limit_per_s: float | None) -> float:
    """Return the relative speed of an engine that advertises a limit; 1 without one.

    >>> speed_under_limit(None), round(speed_under_limit(2.0), 2), speed_under_limit(9.0)
    (1.0, 0.4, 1.0)
    """
    if limit_per_s is None:
        return 1.0
    return min(1.0, max(MIN_SPEED, limit_per_s * ENGINE_TIME_PER_REQUEST_S / EASY_LOAD))


def spread(work: float, others: list[float]) -> list[float]:
    """Spread work over engines that have other work, so that the highest load is minimal.

    Args:
        work: The total work, as a share of one engine's time.
        others: Load of each engine from other work.

    Returns:
        The part of the work for each engine.

    >>> spread(1.0, [0.0, 0.5])
    [0.75, 0.25]
    >>> spread(0.2, [0.0, 0.5])
    [0.2, 0.0]
    """
    ascending = sorted(others)
    level, left = ascending[0], work
    for number, lower in enumerate(ascending, start=1):
        upper = ascending[number] if number < len(ascending) else float("inf")
        room = (upper - lower) * number
        if left <= room:
            level = lower + left / number
            break
        left -= room
        level = upper
    return [max(0.0, level - other) for other in others]


def spread_unequal(work: float, others: list[float], speeds: list[float]) -> list[float]:
    """Spread work as `spread` does, over engines of unequal speed.

    Args:
        work: The total work, as a share of the time of an engine of usual speed.
        others: Load of each engine from other work.
        speeds: Speed of each engine relative to the usual.

    Returns:
        The part of the work for each engine.

    >>> spread_unequal(0.75, [0.0, 0.0], [1.0, 0.5])
    [0.5, 0.25]
    """
    ascending = sorted(zip(others, speeds, strict=True))
    level, left, speed = ascending[0][0], work, 0.0
    uppers = [*(other for other, _ in ascending[1:]), float("inf")]
    for (lower, own_speed), upper in zip(ascending, uppers, strict=True):
        speed += own_speed
        room = (upper - lower) * speed
        if left <= room:
            level = lower + left / speed
            break
        left -= room
        level = upper
    pairs = zip(others, speeds, strict=True)
    return [max(0.0, level - other) * own_speed for other, own_speed in pairs]


@dataclass(slots=True)
class EngineLoad:
    """The load of one engine.

    Attributes:
        load: Share of its time that its requests take.
        weight: Weighted requests per second that are sent to it.
    """

    load: float = 0.0
    weight: float = 0.0


@dataclass(slots=True)
class ModelWork:
    """The work of all requests for one model.

    Attributes:
        work: Share of one engine's time that the requests take.
        weight: Weighted requests per second.
        shares: Share of the work at each holder, by engine.
    """

    work: float
    weight: float
    shares: dict[str, float] = field(default_factory=dict)


class EngineLoads:
    """Loads of all engines of one view, and the effect of more or fewer copies."""

    def __init__(
        self,
        models: dict[str, ModelWork],
        holders: dict[str, list[str]],
        speeds: dict[str, float] | None = None,
    ) -> None:
        """Spread the work of all models over their holders.

        Args:
            models: Work by model.
            holders: Engines that hold each model.
            speeds: Speeds by engine, for the engines that are slower or quicker than usual; the
                rest have 1.
        """
        self._models = models
        self._speeds = speeds or {}
        self._engines: dict[str, EngineLoad] = {}
        for name, engines in holders.items():
            for engine_id in engines:
                self._engines.setdefault(engine_id, EngineLoad())
            if engines and name in models:
                models[name].shares = dict.fromkeys(engines, 1.0 / len(engines))
        for _ in range(SPREAD_ROUNDS):
            for model in models.values():
                if model.shares and model.work > 0.0:
                    self._rebalance(model)
        self._update_loads()

    def _rebalance(self, model: ModelWork) -> None:
        self._update_loads()
        engines = list(model.shares)
        model.shares = self._shares(model, engines)

    def _update_loads(self) -> None:
        for engine in self._engines.values():
            engine.load = engine.weight = 0.0
        for model in self._models.values():
            for engine_id, share in model.shares.items():
                self._engines[engine_id].load += share * model.work
                self._engines[engine_id].weight += share * model.weight
        for engine_id, speed in self._speeds.items():
            if engine_id in self._engines:
                self._engines[engine_id].load /= speed

    def _speed(self, engine_id: str) -> float:
        return self._speeds.get(engine_id, 1.0)

    def _load_without(self, model: ModelWork, engine_id: str) -> float:
        """Return the load of an engine without that of one model."""
        engine = self._engines.get(engine_id)
        if engine is None:
            return 0.0
        own = model.shares.get(engine_id, 0.0) * model.work
        if self._speeds:
            own /= self._speed(engine_id)
        return max(0.0, engine.load - own)

    def _shares(self, model: ModelWork, engines: list[str]) -> dict[str, float]:
        if model.work <= 0.0:
            return dict.fromkeys(engines, 1.0 / len(engines))
        others = [self._load_without(model, item) for item in engines]
        if self._speeds:
            parts = spread_unequal(model.work, others, [self._speed(item) for item in engines])
        else:
            parts = spread(model.work, others)
        return {item: part / model.work for item, part in zip(engines, parts, strict=True)}

    def load_of(self, engine_id: str) -> float:
        """Return the share of an engine's time that its requests take."""
        engine = self._engines.get(engine_id)
        return 0.0 if engine is None else engine.load

    def late_weight(self, engine_id: str) -> float:
        """Return the weighted requests per second that an engine doesn't serve in time."""
        engine = self._engines.get(engine_id, EngineLoad())
        return engine.weight * (1.0 - served_share(engine.load))

    def gain_with_holders(self, name: str, engines: list[str]) -> float:
        """Return how many more weighted requests per second other holders would serve in time.

        Args:
            name: The model.
            engines: Its new holders, at least one.
        """
        model = self._models[name]
        after = self._shares(model, engines)
        gained = 0.0
        for engine_id in dict.fromkeys([*model.shares, *engines]):
            engine = self._engines.get(engine_id, EngineLoad())
            own_before = model.shares.get(engine_id, 0.0)
            own_after = after.get(engine_id, 0.0)
            more = (own_after - own_before) * model.work
            if self._speeds:
                more /= self._speed(engine_id)
            load_after = engine.load + more
            others = max(0.0, engine.weight - own_before * model.weight)
            before = served_share(engine.load) * (others + own_before * model.weight)
            gained += served_share(load_after) * (others + own_after * model.weight) - before
        return gained
