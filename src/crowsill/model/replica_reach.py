"""What the control group knows about replicas that several gateways do not reach."""

import msgspec

# Limits the size of a reply to a heartbeat: 64 of about 50 bytes, twice a second, are 6 KB/s.
MAX_REPORTED_REPLICAS = 64


class SuspectedReplica(msgspec.Struct, frozen=True, array_like=True):
    """A replica that several gateways failed to reach, and that none has reached since.

    Attributes:
        instance_id: Id of the incarnation.
        gateways: Number of gateways that do not reach it.
        since_ago_s: Time in seconds since the suspicion began.
        remaining_s: Time in seconds until it ends, without further failures.
    """

    instance_id: str
    gateways: int
    since_ago_s: float
    remaining_s: float


class ReachedReplica(msgspec.Struct, frozen=True, array_like=True):
    """A replica that some gateway has reached after others had failed to.

    Attributes:
        instance_id: Id of the incarnation.
        ago_s: Time in seconds since it was last reached.
    """

    instance_id: str
    ago_s: float
