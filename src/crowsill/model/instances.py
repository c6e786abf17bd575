"""Self-registered replicas, as control members, gateways and entries know them."""

import functools
import ipaddress
import re
from enum import StrEnum

import msgspec

from crowsill.json_input import WholeNumber

# Each request carries the replica's name in a header, which restricts its characters.
_REPLICA_NAME = re.compile(r"[A-Za-z0-9._:@-]+")
MAX_PORT = 65535
# Heartbeats repeat their names and addresses, so results of the syntax checks are cached. Only
# texts within the length limits enter the cache, because a heartbeat may have 4 MiB.
VALIDATION_CACHE_SIZE = 4096
MAX_REPLICA_NAME_LENGTH = 128
MAX_ADDRESS_LENGTH = len("255.255.255.255:65535")


class InstanceState(StrEnum):
    """Whether an instance accepts new work; the state only changes to a later one of this list."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class LoadedModel(msgspec.Struct, frozen=True, gc=False, array_like=True):
    """A model that an engine has loaded, with its loaded adapters."""

    name: str
    version: WholeNumber = 1
    adapters: list[str] = []


class LoadingModel(msgspec.Struct, frozen=True, gc=False, array_like=True):
    """A model that an engine is loading.

    Attributes:
        name: Name of the model.
        load_s: Expected duration of the load, from its start.
    """

    name: str
    load_s: float


class Instance(msgspec.Struct, frozen=True, gc=False, array_like=True):
    """One incarnation of one replica, as it describes itself.

    A replica that restarts under the same name has lost its models and its state. So everything
    known about a replica is keyed by the id of the incarnation.

    Attributes:
        instance_id: Id of the incarnation; see `instance_id_of`.
        service: Service that the replica belongs to.
        address: `IP:port`.
        zone: Zone where the replica runs.
        slots: Number of requests that the replica runs concurrently.
        state: Whether it accepts new work.
        models: Loaded models; only an engine has any.
        in_memory: Models with a copy in the host's memory.
        on_disk: Models with a copy on the host's disk.
        loading: Models that are being loaded, as reported by the member that places models.
        replica: Name of the replica, if it stays the same across restarts; otherwise empty.
        started_ms: Start time in Unix milliseconds; 0 if the replica does not report it.
        software_version: Version of its software, which has no order; empty if it reports none.
            Versions of weights are those of `models`.
    """

    instance_id: str
    service: str
    address: str
    zone: str
    slots: WholeNumber
    state: InstanceState = InstanceState.READY
    models: list[LoadedModel] = []
    in_memory: list[str] = []
    on_disk: list[str] = []
    loading: list[LoadingModel] = []
    replica: str = ""
    started_ms: WholeNumber = 0
    software_version: str = ""

    @property
    def replica_name(self) -> str:
        """Name of the replica in calls to it and from it."""
        return self.replica or self.instance_id

    @property
    def accepts_work(self) -> bool:
        """Whether new requests may be sent to it."""
        return self.state is InstanceState.READY

    def serves(self, model: str, adapter: str = "") -> bool:
        """Return whether a model is loaded, and the adapter if one is given."""
        for loaded in self.models:
            if loaded.name == model:
                return not adapter or adapter in loaded.adapters
        return False


def instance_id_of(replica: str, started_ms: int | None) -> str:
    """Return the id of one incarnation of a replica.

    >>> instance_id_of("i-7", None), instance_id_of("i-7", 1700000000000)
    ('i-7', 'i-7@1700000000000')
    """
    return replica if started_ms is None else f"{replica}@{started_ms}"


def is_replica_name(text: str) -> bool:
    """Return whether a text is a valid replica name or instance id.

    >>> is_replica_name("i-7f3a91c2"), is_replica_name("i 7"), is_replica_name("")
    (True, False, False)
    """
    return len(text) <= MAX_REPLICA_NAME_LENGTH and _matches_replica_name(text)


@functools.lru_cache(VALIDATION_CACHE_SIZE)
def _matches_replica_name(text: str) -> bool:
    return _REPLICA_NAME.fullmatch(text) is not None


def is_address(text: str) -> bool:
    """Return whether a text is `IP:port`.

    >>> is_address("10.0.0.1:80"), is_address("nowhere"), is_address("10.0.0.1:0")
    (True, False, False)
    """
    return len(text) <= MAX_ADDRESS_LENGTH and _is_host_and_port(text)


@functools.lru_cache(VALIDATION_CACHE_SIZE)
def _is_host_and_port(text: str) -> bool:
    host, _, port = text.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return port.isascii() and port.isdigit() and 0 < int(port) <= MAX_PORT


def instance_fault(instance: Instance) -> str | None:
    """Return the first error in a replica's description, or None if it is valid."""
    if not is_replica_name(instance.instance_id) or not is_replica_name(instance.replica_name):
        return (
            f"a replica's name is 1 to {MAX_REPLICA_NAME_LENGTH} letters, digits and any of ._:@-"
        )
    if not instance.service:
        return "the service is empty"
    if not is_address(instance.address):
        return "the address is not IP:port"
    if instance.slots < 1 or instance.started_ms < 0:
        return "slots must be at least 1, and the start time must not be negative"
    return None


class ReplicaHeartbeat(msgspec.Struct, frozen=True, gc=False):
    """A heartbeat of a replica: its description and the sequence number of the heartbeat."""

    instance: Instance
    sequence: WholeNumber
