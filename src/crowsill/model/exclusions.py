"""Why replicas are not sent requests, as gateways say it of themselves."""

import msgspec

# A heartbeat of a gateway names so many at most: 16 of some 60 bytes, twice a second, are 2 KB/s.
MOST_TOLD = 16


class ExcludedReplica(msgspec.Struct, frozen=True, array_like=True):
    """One life of a replica to which a gateway sends nothing at present.

    Attributes:
        instance_id: The life.
        why: Why not; a value of `gateway.availability.ExclusionReason`.
        left_s: For how much longer; None where nobody can tell.
    """

    instance_id: str
    why: str
    left_s: float | None = None
