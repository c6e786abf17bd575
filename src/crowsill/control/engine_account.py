"""What a leadership knows of the engines that it gives orders to."""

import asyncio
from dataclasses import dataclass, field

from crowsill.model.instances import Instance
from crowsill.model.routes import EngineLimits
from crowsill.placement.copy_views import EngineView


@dataclass(slots=True)
class EngineAccount:
    """What this leadership knows of one engine.

    Attributes:
        sequence: Orders that it has accepted; None while its state is not known.
        is_fenced: Whether it has accepted an order of this leadership since its state was read, so
            that it refuses those of former leaders.
        held: Models that it holds, each with its adapters.
        job: The model job under way there, or the last one.
        adapter_job: The adapter job under way there, or the last one.
        lock: Held while an order is sent.
        free_at_s: Clock when the model job should have ended; 0 without one.
        is_fetching: Whether the last model job is a load from the weight store.
        loading: The model that is being loaded, or an empty text.
        leaving: The model that is being unloaded, or an empty text.
        rests_until_s: Clock until which nothing is asked of it.
        loaded_at_s: Clock of the last load of each resource.
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
    leaving: str = ""
    rests_until_s: float = 0.0
    loaded_at_s: dict[str, float] = field(default_factory=dict)

    @property
    def is_busy(self) -> bool:
        """Whether a job is under way, so that no other one may begin.

        A model's load and an adapter's do not go together: during the first the engine refuses
        every order, also the one that would tell whether the adapter has come.
        """
        return any(job is not None and not job.done() for job in (self.job, self.adapter_job))

    @property
    def accepts_adapters(self) -> bool:
        """Whether an adapter may be exchanged; an engine refuses that during a load."""
        return not self.is_busy and self.sequence is not None


def view_of(
    instance: Instance, engine: EngineAccount, limits: EngineLimits, busy: bool
) -> EngineView:
    """Return the planner's view; what is being exchanged counts on both sides."""
    pending_mb = 0.0
    for model in limits.models:
        if model.name == engine.loading and model.name not in engine.held:
            pending_mb = model.memory_mb
    return EngineView(
        instance=instance,
        limits=limits,
        held={name: names for name, names in engine.held.items() if name != engine.leaving},
        is_busy=busy,
        is_fetching=engine.is_busy and engine.is_fetching,
        free_at_s=engine.free_at_s,
        accepts_adapters=engine.accepts_adapters,
        pending_mb=pending_mb,
        loaded_at_s=engine.loaded_at_s,
        loading=engine.loading if engine.is_busy else "",
    )
