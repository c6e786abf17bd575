"""State of each engine as the leader knows it, for one leadership term."""

import asyncio
from dataclasses import dataclass, field

from crowsill.model.instances import Instance
from crowsill.model.routes import EngineLimits
from crowsill.placement.copy_views import EngineView


@dataclass(slots=True)
class EngineState:
    """State of one engine as the leader knows it.

    Attributes:
        sequence: Number of orders that the engine has accepted; None while its state is unknown.
        is_fenced: Whether the engine has accepted an order of this term since its state was read,
            and therefore rejects orders of former leaders.
        held: Models in the engine's memory, each with its adapters.
        job: The current or last model job.
        adapter_job: The current or last adapter job.
        lock: Allows one order at a time.
        free_at_s: Monotonic time in seconds at which the model job is expected to end; 0 without a
            job.
        is_fetching: Whether the last model job loads from the weight store.
        loading: Model that is being loaded, or an empty string.
        unloading: Model that is being unloaded, or an empty string.
        retry_at_s: Monotonic time in seconds before which the engine is not called again.
        loaded_at_s: Monotonic time in seconds of the last load of each resource.
    """

    sequence: int | None = None
    is_fenced: bool = False
    held: dict[str, set[str]] = field(default_factory=dict)
    job: asyncio.Task[None] | None = None
    adapter_job: asyncio.Task[None] | None = None
    lock: asyncio.Lock = field(default_factory=asyncio.Lock)
    free_at_s: float = 0.0
    is_fetching: bool = False
    loading: str = ""
    unloading: str = ""
    retry_at_s: float = 0.0
    loaded_at_s: dict[str, float] = field(default_factory=dict)

    @property
    def is_busy(self) -> bool:
        """Whether a job is running, so that no other job may start.

        A model load and an adapter load can't overlap: during a model load the engine rejects
        every order, including the repeated order that would confirm the adapter.
        """
        return any(job is not None and not job.done() for job in (self.job, self.adapter_job))

    @property
    def accepts_adapter_jobs(self) -> bool:
        """Whether an adapter job may start; an engine rejects adapter orders during a load."""
        return not self.is_busy and self.sequence is not None


def to_engine_view(
    instance: Instance, engine: EngineState, limits: EngineLimits, busy: bool
) -> EngineView:
    """Return the planner's view of an engine.

    A model that is being loaded counts towards memory, and a model that is being unloaded is no
    longer listed.
    """
    pending_mb = 0.0
    for model in limits.models:
        if model.name == engine.loading and model.name not in engine.held:
            pending_mb = model.memory_mb
    return EngineView(
        instance=instance,
        limits=limits,
        held={name: names for name, names in engine.held.items() if name != engine.unloading},
        is_busy=busy,
        is_fetching=engine.is_busy and engine.is_fetching,
        free_at_s=engine.free_at_s,
        accepts_adapter_jobs=engine.accepts_adapter_jobs,
        pending_mb=pending_mb,
        loaded_at_s=engine.loaded_at_s,
        loading=engine.loading if engine.is_busy else "",
    )
