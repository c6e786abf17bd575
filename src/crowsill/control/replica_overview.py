"""What operators see of registered replicas: what the group recorded, and what gateways say."""

import msgspec

from crowsill.control.replica_limits import ReplicaLimits
from crowsill.state.directory import Directory
from crowsill.transport.messages import EntryStatus


class ExclusionLine(msgspec.Struct, frozen=True):
    """Why one gateway sends a replica nothing.

    Attributes:
        gateway: Name of the process.
        why: Why not.
        left_s: For how much longer; None where nobody can tell.
    """

    gateway: str
    why: str
    left_s: float | None


class RegisteredReplicaLine(msgspec.Struct, frozen=True):
    """One registered replica.

    Attributes:
        instance_id: The id of its life.
        service: Its service.
        zone: Its site.
        address: `IP:port`.
        state: What the group recorded.
        models: What gateways may use there.
        exclusions: Gateways that send it nothing at present, and why.
        limit_per_s: Requests a second that it takes from all gateways, as it names it; None
            without a limit.
        granted: Requests that this leader has granted there since it knows of the limit.
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


def overview(
    directory: Directory, entries: list[EntryStatus], limits: ReplicaLimits
) -> list[RegisteredReplicaLine]:
    """Return all registered replicas, by service and id."""
    found: dict[str, list[ExclusionLine]] = {}
    for entry in sorted(entries, key=lambda status: status.node):
        for told in entry.excluded:
            line = ExclusionLine(entry.node, told.reason, told.remaining_s)
            found.setdefault(told.instance_id, []).append(line)
    lines = [
        RegisteredReplicaLine(
            instance.instance_id,
            instance.service,
            instance.zone,
            instance.address,
            instance.state,
            [held.name for held in instance.models],
            found.get(instance.instance_id, []),
            limits.advertised_per_s(instance.instance_id),
            limits.granted(instance.instance_id),
        )
        for instance in directory.instances
    ]
    return sorted(lines, key=lambda line: (line.service, line.instance_id))
