"""Settings of the lab: the back ends and the load of a deployment, in TOML."""

from pathlib import Path

import msgspec


class EngineShape(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Engines of one pool.

    Attributes:
        pool: Pool name.
        memory_mib: Accelerator memory of each engine.
        slots: Maximum number of sequences in a batch.
        zones: Zone of each engine; the list has one item for each engine.
        step_base_ms: Duration of a decoding step with an empty batch.
        step_per_sequence_ms: Time that each running sequence adds to a step.
        prefill_ms_per_100_bytes: Prefill time of an uncached prompt.
        prefix_cache_entries: Capacity of the prefix cache.
        checks_fence: Whether the engines reject orders with an older fence.
    """

    pool: str
    memory_mib: int
    slots: int
    zones: list[str]
    step_base_ms: float = 8.0
    step_per_sequence_ms: float = 0.5
    prefill_ms_per_100_bytes: float = 5.0
    prefix_cache_entries: int = 256
    checks_fence: bool = True


class ServiceShape(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Replicas of one plain service.

    Attributes:
        pool: Pool name.
        slots: Maximum number of concurrent calls.
        zones: Zone of each replica; the list has one item for each replica.
        mean_ms: Mean duration of a call; durations are exponentially distributed.
    """

    pool: str
    slots: int
    zones: list[str]
    mean_ms: float = 10.0


class StoreShape(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The weight store.

    Attributes:
        loads_per_s: Maximum rate of loads.
        concurrent: Maximum number of concurrent loads.
        mib_per_s: Transfer rate of a load.
    """

    loads_per_s: float
    concurrent: int
    mib_per_s: float = 8000.0


class TrafficShape(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One kind of load.

    Attributes:
        name: Name of its row in the report.
        tenant: Tenant whose token the requests carry.
        requests_per_s: Mean rate outside bursts.
        models: Requested models, in Zipf-like order of popularity; empty for a service.
        service: Requested service; empty for models.
        path: Path within the service.
        unsafe: Whether calls are not idempotent and carry an idempotency key.
        streamed: Whether responses are streamed.
        tokens: Mean number of tokens of a response.
        prompt_bytes: Size of the shared start of a prompt.
        target_ms: Maximum time to the first byte of a response that attains the target.
        burst_factor: Ratio of the rate during a burst to `requests_per_s`.
        burst_every_s: Time between the starts of bursts; 0 for none.
        burst_s: Length of a burst.
        resend_ratio: Share of unsafe calls that are deliberately sent twice.
    """

    name: str
    tenant: str
    requests_per_s: float
    target_ms: int
    models: list[str] = []
    service: str = ""
    path: str = ""
    unsafe: bool = False
    streamed: bool = True
    tokens: int = 30
    prompt_bytes: int = 400
    burst_factor: float = 1.0
    burst_every_s: float = 0.0
    burst_s: float = 0.0
    resend_ratio: float = 0.0


class LabDeployment(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Back ends and load of one deployment.

    Attributes:
        zones: Zones; control members and entries are spread over them.
        entries: Number of entries.
        control_members: Number of control members.
        tokens: Bearer token of each tenant, for the load.
        configuration: Folder of templates and parameters, relative to this file.
        engines: Pools of engines.
        services: Pools of services.
        store: Properties of the weight store.
        traffic: Kinds of load.
        platform_lag_s: Delay with which the list of machines shows changes.
        report_lag_s: Delay of load reports.
    """

    zones: list[str]
    entries: int
    control_members: int
    tokens: dict[str, str]
    configuration: str
    engines: list[EngineShape]
    services: list[ServiceShape]
    store: StoreShape
    traffic: list[TrafficShape]
    platform_lag_s: float = 1.0
    report_lag_s: float = 0.3


def load_deployment(path: Path) -> LabDeployment:
    """Read a deployment file.

    Raises:
        msgspec.DecodeError: The file is malformed.
    """
    return msgspec.toml.decode(path.read_bytes(), type=LabDeployment)
