"""Operators' view of registered replicas: the recorded state and the exclusions by gateways."""

import msgspec

from crowsill.control.replica_limits import ReplicaLimits
from crowsill.state.directory import Directory
from crowsill.transport.messages import EntryStatus


class ExclusionLine(msgspec.Struct, frozen=True):
    """Why one gateway sends no requests to a replica.

    Attributes:
        gateway: Name of the gateway process.
        why: Reason of the exclusion.
        left_s: Remaining time in seconds; None if it is unknown.
    """

    gateway: str
    why: str
    left_s: float | None


class RegisteredReplicaLine(msgspec.Struct, frozen=True):
    """One registered replica.

    Attributes:
        instance_id: Id of the incarnation.
        service: Its service.
        zone: Its zone.
        address: `IP:port`.
        state: The recorded state.
        models: Models that gateways may use there.
        exclusions: Gateways that currently send it no requests, and the reasons.
        limit_per_s: Rate limit in requests per second for all gateways together, as advertised by
            the replica; None without a limit.
        granted: Number of requests that this leader has granted there since it knows the limit.
        software_version: Version of its software; empty if it reports none.
    """

    instance_id: str
    service: str
    zone: str
    address: str
    state: str
    models: list[str]
    exclusions: list[ExclusionLine]
    limit_per_s: float | None = None
    granted: int = 0
    software_version: str = ""


def replica_lines(
    directory: Directory, entries: list[EntryStatus], limits: ReplicaLimits
) -> list[RegisteredReplicaLine]:
    """Return all registered replicas, sorted by service and id."""
    exclusions: dict[str, list[ExclusionLine]] = {}
    for entry in sorted(entries, key=lambda status: status.node):
        for exclusion in entry.excluded:
            line = ExclusionLine(entry.node, exclusion.reason, exclusion.remaining_s)
            exclusions.setdefault(exclusion.instance_id, []).append(line)
    lines = [
        RegisteredReplicaLine(
            instance.instance_id,
            instance.service,
            instance.zone,
            instance.address,
            instance.state,
            [held.name for held in instance.models],
            exclusions.get(instance.instance_id, []),
            limits.advertised_per_s(instance.instance_id),
            limits.granted(instance.instance_id),
            instance.software_version,
        )
        for instance in directory.instances
    ]
    return sorted(lines, key=lambda line: (line.service, line.instance_id))
