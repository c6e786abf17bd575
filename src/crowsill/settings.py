"""The daemon's settings: one TOML file, validated completely before any role starts."""

import ipaddress
import tomllib
from pathlib import Path
from typing import Annotated, Literal

import msgspec
from returns.result import Failure, Result, Success

Port = Annotated[int, msgspec.Meta(ge=0, le=65535)]
PositiveSeconds = Annotated[float, msgspec.Meta(gt=0)]
NonNegativeSeconds = Annotated[float, msgspec.Meta(ge=0)]
NodeName = Annotated[str, msgspec.Meta(pattern=r"^[a-z0-9][a-z0-9._-]*$", max_length=64)]


class Address(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An IP address and a port."""

    host: str
    port: Port


class TlsSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Files of a TLS listener, in PEM format."""

    certificate: str
    private_key: str


class HttpListener(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An HTTP listener; with port 0 the operating system chooses the port."""

    host: str
    port: Port
    tls: TlsSettings | None = None


class PeerSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Name of a control member, and the address at which other members reach it."""

    name: NodeName
    host: str
    port: Port


class ControlSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The control role.

    Attributes:
        data_folder: The folder for durable files; created if missing. Empty on a machine without a
            disk: the process then never votes and redirects callers to the members.
        listen: Address for other crowsill processes.
        operators: HTTP listener for operators.
        operator_token_sha256: SHA-256 of each operator token.
        initial_members: Members of a new group; ignored once the data folder has a state.
        platform_list: `IP:port` of the platform's list of machines.
        weight_store_loads_per_s: Maximum rate of loads from the weight store, per second.
        weight_store_concurrent: Maximum number of concurrent loads from the weight store.
        longest_order_delay_s: Time after which an order sent to a back end has arrived or is lost.
            Placement waits this long for back ends that do not check fences.
        longest_report_lag_s: Maximum age of a back end's report.
        tick_s: Length of one consensus tick.
        election_ticks: Ticks without a leader before an election.
        seeds: Addresses at which other processes reach the control members to form a group with or
            to join; replaces `initial_members`.
        bootstrap: Whether this is the first start of a new system, so that the seeds form a group.
        tolerated_losses: Disks that may be lost at the same time; a group formed from seeds grows
            to `2 x tolerated_losses + 1` voters.
        registrations: HTTP listener for replicas that register themselves and for operators of
            routes.
        replica_heartbeat_s: Interval of the heartbeats of a replica that registers itself.
        store_window_s: Window in which loads from the weight store are counted.
        store_burst: Loads beyond the store's rate in one window.
        order_lease_s: Time during which a new leader sends no orders to replicas, unless they check
            fences.
        replicas_check_fences: Whether replicas reject orders of a former leader after the first
            order of a newer one, so that a new leader need not wait.
        rare_model_turns: Share of the engines that may at once fetch models that have been missing
            for too long, at least one engine; 0 disables that, so that nothing bounds how long a
            rarely requested model is missing.
        quota_window_s: Sliding window in which the usage of a tenant is counted.
        quota_tolerance: Share by which a tenant may exceed its rate and burst in a window.
        quota_slack: Units that a tenant may use beyond that.
        retry_window_s: Length of the window in which retries are counted; as of the gateways.
        retry_allowance: Retries of a service in a window beyond those that its requests earn, over
            all gateways together.
        quarantine_s: Time after the last crash of a replica under a request after which its crashes
            no longer count. A request that still crashes replicas may then crash three more each
            time.
    """

    data_folder: str
    listen: Address
    operators: HttpListener | None = None
    operator_token_sha256: list[str] = []
    initial_members: list[PeerSettings] = []
    platform_list: str = ""
    weight_store_loads_per_s: PositiveSeconds = 1.5
    weight_store_concurrent: Annotated[int, msgspec.Meta(ge=1)] = 15
    longest_order_delay_s: PositiveSeconds = 10.0
    longest_report_lag_s: PositiveSeconds = 2.0
    tick_s: PositiveSeconds = 0.05
    election_ticks: Annotated[int, msgspec.Meta(ge=4)] = 10
    seeds: list[Address] = []
    bootstrap: bool = False
    tolerated_losses: Annotated[int, msgspec.Meta(ge=0, le=4)] = 1
    registrations: HttpListener | None = None
    replica_heartbeat_s: PositiveSeconds = 1.0
    store_window_s: PositiveSeconds = 5.0
    store_burst: Annotated[int, msgspec.Meta(ge=0)] = 3
    order_lease_s: NonNegativeSeconds = 3.0
    replicas_check_fences: bool = False
    rare_model_turns: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.17
    quota_window_s: PositiveSeconds = 10.0
    quota_tolerance: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.0
    quota_slack: Annotated[float, msgspec.Meta(ge=0)] = 0.0
    retry_window_s: PositiveSeconds = 10.0
    retry_allowance: Annotated[float, msgspec.Meta(ge=0)] = 20.0
    quarantine_s: PositiveSeconds = 3600.0

    @property
    def target_voters(self) -> int | None:
        """Number of voters that a group formed from seeds grows to; None without seeds."""
        return 2 * self.tolerated_losses + 1 if self.seeds else None


class EntrySettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The entry role.

    Attributes:
        callers: HTTP listener for callers.
        control_members: Control members to follow, tried in random order.
        readiness_lag_s: Time the load balancer may need to notice that the entry is not ready.
        drain_limit_s: Maximum wait for requests in flight at a planned stop.
        max_queued: Maximum number of requests that wait in this process.
        max_body_bytes: Maximum size of a request body.
        retry_budget_ratio: Retries allowed per first attempt.
        urgent_headroom: Share of each replica's slots that is reserved for urgent requests.
    """

    callers: HttpListener
    control_members: list[Address]
    readiness_lag_s: NonNegativeSeconds = 2.0
    drain_limit_s: PositiveSeconds = 600.0
    max_queued: Annotated[int, msgspec.Meta(ge=1)] = 2000
    max_body_bytes: Annotated[int, msgspec.Meta(ge=1024)] = 4 * 1024 * 1024
    retry_budget_ratio: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.1
    urgent_headroom: Annotated[float, msgspec.Meta(ge=0, lt=1)] = 0.25


class LoadControlSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Decisions of a gateway under load that a deployment asks for; each can be switched off.

    Attributes:
        ordered_waiting: Whether requests that wait for a replica are served by rank, remaining time
            and tenant, instead of at once whenever something changes.
        shared_admission: Whether all gateways together admit requests by rank and tenant while a
            service is overloaded, from sums that the control group keeps.
        replica_pace: Whether the pace that replicas report is used; without reports it has no
            effect.
        cost_estimates: Whether replicas are compared by the work that they still have to do, with
            the cost of each request estimated from what was observed.
        shared_failures: Whether gateways tell one another which replicas they fail to reach, so
            that each checks fewer of them. Where replicas report their pace and it is used, they
            do in any case.
    """

    ordered_waiting: bool = False
    shared_admission: bool = False
    replica_pace: bool = True
    cost_estimates: bool = False
    shared_failures: bool = False


class GatewaySettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The gateway role: forwards plain HTTP requests to registered replicas.

    Attributes:
        callers: Listener for callers.
        ready: Listener for readiness checks of the load balancer and for metrics.
        control_seeds: Control members to follow first; they report the others.
        readiness_lag_s: Time the load balancer may need to notice that the gateway is not ready.
        grace_s: Time from the stop signal to the end of the process.
        retry_ratio: Retries per request, over all gateways together.
        retry_window_s: Length of the window in which retries are counted.
        retry_allowance: Retries beyond the ratio in a window, over all gateways together.
        key_revocation_s: Time after which no gateway accepts a key whose removal was acknowledged,
            even if it is disconnected from the control group; 0 for no bound.
        keep_asking_s: Time for which a gateway keeps reporting demand for the model that a rejected
            caller was missing. It may then be loaded for callers that retry, in place of models
            that others wait for. 0 disables this; see `ControlSettings.rare_model_turns`.
        peers: Listener for other gateways, which pass on requests of callers while they reach no
            replica themselves. Without it this gateway accepts none; it still passes its own on.
        load_control: Decisions under load that are switched on.
    """

    callers: Address
    ready: Address
    control_seeds: list[Address]
    readiness_lag_s: NonNegativeSeconds = 2.5
    grace_s: PositiveSeconds = 30.0
    retry_ratio: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.1
    retry_window_s: PositiveSeconds = 10.0
    retry_allowance: NonNegativeSeconds = 20.0
    key_revocation_s: NonNegativeSeconds = 5.0
    keep_asking_s: NonNegativeSeconds = 0.0
    peers: Address | None = None
    load_control: LoadControlSettings = LoadControlSettings()


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All settings of one process.

    Attributes:
        node: Unique name of the process.
        zone: Site where the process runs.
        cluster_key_file: File with the key that all processes of the system share; empty on a
            network that only the system's own machines reach.
        log_level: Minimum level of logged events.
        control: Present when the process has the control role.
        entry: Present when the process has the entry role.
        gateway: Present when the process has the gateway role.
    """

    node: NodeName
    zone: NodeName
    cluster_key_file: str = ""
    log_level: Literal["DEBUG", "INFO", "WARNING", "ERROR"] = "INFO"
    control: ControlSettings | None = None
    entry: EntrySettings | None = None
    gateway: GatewaySettings | None = None


def _hosts(settings: Settings) -> list[tuple[str, str]]:
    found: list[tuple[str, str]] = []
    if settings.control is not None:
        control = settings.control
        found.append(("control.listen.host", control.listen.host))
        if control.operators is not None:
            found.append(("control.operators.host", control.operators.host))
        if control.registrations is not None:
            found.append(("control.registrations.host", control.registrations.host))
        if control.platform_list:
            found.append(("control.platform_list", control.platform_list.rpartition(":")[0]))
        for index, seed in enumerate(control.seeds):
            found.append((f"control.seeds[{index}].host", seed.host))
        for index, member in enumerate(control.initial_members):
            found.append((f"control.initial_members[{index}].host", member.host))
    if settings.entry is not None:
        found.append(("entry.callers.host", settings.entry.callers.host))
        for index, address in enumerate(settings.entry.control_members):
            found.append((f"entry.control_members[{index}].host", address.host))
    if settings.gateway is not None:
        gateway = settings.gateway
        found.append(("gateway.callers.host", gateway.callers.host))
        found.append(("gateway.ready.host", gateway.ready.host))
        if gateway.peers is not None:
            found.append(("gateway.peers.host", gateway.peers.host))
        for index, address in enumerate(gateway.control_seeds):
            found.append((f"gateway.control_seeds[{index}].host", address.host))
    return found


def _is_ip_number(host: str) -> bool:
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return True


def settings_fault(settings: Settings) -> str | None:
    """Return the first error that validation of single fields does not find, or None."""
    if settings.control is None and settings.entry is None and settings.gateway is None:
        return "at least one of the tables [control], [entry] and [gateway] is needed"
    for path, host in _hosts(settings):
        if not _is_ip_number(host):
            return f"{path}: {host!r} is not an IP number"
    if settings.entry is not None and not settings.entry.control_members:
        return "entry.control_members: at least one address is needed"
    if settings.gateway is not None and not settings.gateway.control_seeds:
        return "gateway.control_seeds: at least one address is needed"
    return None if settings.control is None else _control_fault(settings.control)


def _control_fault(control: ControlSettings) -> str | None:
    if not control.data_folder and not control.seeds:
        return "control: without data_folder, seeds are needed: the process only redirects callers"
    if control.seeds and control.initial_members:
        return "control: seeds and initial_members exclude each other"
    names = [member.name for member in control.initial_members]
    if len(set(names)) != len(names):
        return "control.initial_members: names must differ"
    return None


def parse_settings(text: str, file_name: str) -> Result[Settings, str]:
    """Parse and check the settings.

    Args:
        text: Content of the file.
        file_name: Name of the file, for the error message.

    Returns:
        The settings, or one line with the file, the key and the error.

    >>> parse_settings("node = 3", "crowsilld.toml").failure()
    'crowsilld.toml: Expected `str`, got `int` - at `$.node`'
    """
    try:
        table = tomllib.loads(text)
        settings = msgspec.convert(table, Settings)
    except tomllib.TOMLDecodeError as error:
        return Failure(f"{file_name}: not valid TOML: {error}")
    except msgspec.ValidationError as error:
        return Failure(f"{file_name}: {error}")
    fault = settings_fault(settings)
    if fault is not None:
        return Failure(f"{file_name}: {fault}")
    return Success(settings)


def load_settings(path: Path) -> Result[Settings, str]:
    """Read, parse and check the settings file."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return Failure(f"{path}: cannot be read: {error}")
    return parse_settings(text, str(path))
