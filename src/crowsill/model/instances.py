"""Replicas that register themselves, as control members and entries know them."""

import functools
import ipaddress
import re
from enum import StrEnum

import msgspec

# Names of replicas go into a header of each request.
_REPLICA_NAME = re.compile(r"[A-Za-z0-9._:@-]+")
LARGEST_PORT = 65535
# Heartbeats repeat their names and addresses. Only texts that can be right are remembered: a
# heartbeat may have 4 MiB.
REMEMBERED_TEXTS = 4096
LONGEST_NAME = 128
LONGEST_ADDRESS = len("255.255.255.255:65535")


class InstanceState(StrEnum):
    """Whether new work may go to an instance; it only ever moves down this list."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class HeldModel(msgspec.Struct, frozen=True, gc=False, array_like=True):
    """A model that an engine holds, with the adapters beside it."""

    name: str
    version: int = 1
    adapters: list[str] = []


class ComingModel(msgspec.Struct, frozen=True, gc=False, array_like=True):
    """A model whose load is under way at an engine.

    Attributes:
        name: The model.
        load_s: Expected time of the load, from its beginning.
    """

    name: str
    load_s: float


class Instance(msgspec.Struct, frozen=True, gc=False, array_like=True):
    """One life of one replica, as it describes itself.

    A replica may start again under its own name; then it holds and knows nothing of before. So all
    that is known is kept by the id of a life.

    Attributes:
        instance_id: Changes at each start of the replica; see `life_of`.
        service: Service it belongs to.
        address: `IP:port`.
        zone: Site it stands in.
        slots: Requests it works on at once.
        state: Whether new work may go there.
        models: What it holds, for an engine.
        in_memory: Models with a copy in the machine's memory.
        on_disk: Models with a copy on the machine's disk.
        coming: Models whose load is under way, by the word of whoever places models.
        replica: What it calls itself, if that outlasts a start; else empty.
        born_ms: Unix milliseconds of its start; 0 where it does not tell.
    """

    instance_id: str
    service: str
    address: str
    zone: str
    slots: int
    state: InstanceState = InstanceState.READY
    models: list[HeldModel] = []
    in_memory: list[str] = []
    on_disk: list[str] = []
    coming: list[ComingModel] = []
    replica: str = ""
    born_ms: int = 0

    @property
    def replica_name(self) -> str:
        """What it calls itself, in calls to it and from it."""
        return self.replica or self.instance_id

    @property
    def accepts_work(self) -> bool:
        """Whether new requests may be sent to it."""
        return self.state is InstanceState.READY

    def holds(self, model: str, adapter: str = "") -> bool:
        """Whether it answers for a model, and for an adapter of it if one is named."""
        for held in self.models:
            if held.name == model:
                return not adapter or adapter in held.adapters
        return False


def life_of(replica: str, born_ms: int | None) -> str:
    """Return the id of one life of a replica.

    >>> life_of("i-7", None), life_of("i-7", 1700000000000)
    ('i-7', 'i-7@1700000000000')
    """
    return replica if born_ms is None else f"{replica}@{born_ms}"


def is_replica_name(text: str) -> bool:
    """Whether a text may be a replica's name, or the id of one of its lives.

    >>> is_replica_name("i-7f3a91c2"), is_replica_name("i 7"), is_replica_name("")
    (True, False, False)
    """
    return len(text) <= LONGEST_NAME and _has_letters_of_names(text)


@functools.lru_cache(REMEMBERED_TEXTS)
def _has_letters_of_names(text: str) -> bool:
    return _REPLICA_NAME.fullmatch(text) is not None


def is_address(text: str) -> bool:
    """Whether a text is `IP:port`.

    >>> is_address("10.0.0.1:80"), is_address("nowhere"), is_address("10.0.0.1:0")
    (True, False, False)
    """
    return len(text) <= LONGEST_ADDRESS and _names_host_and_port(text)


@functools.lru_cache(REMEMBERED_TEXTS)
def _names_host_and_port(text: str) -> bool:
    host, _, port = text.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return port.isascii() and port.isdigit() and 0 < int(port) <= LARGEST_PORT


def instance_fault(instance: Instance) -> str | None:
    """Return why a description names no replica to use, or None."""
    if not is_replica_name(instance.instance_id) or not is_replica_name(instance.replica_name):
        return f"a replica's name is 1 to {LONGEST_NAME} letters, digits and any of ._:@-"
    if not instance.service:
        return "a replica belongs to a service"
    if not is_address(instance.address):
        return "the address is not IP:port"
    if instance.slots < 1 or instance.born_ms < 0:
        return "slots are at least 1, and a start is not below 0"
    return None


class Beat(msgspec.Struct, frozen=True, gc=False):
    """A heartbeat of a replica: its description and the number that orders its heartbeats."""

    instance: Instance
    sequence: int
