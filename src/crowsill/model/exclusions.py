"""Replicas that gateways exclude from routing, with the reason, as gateways report them."""

import msgspec

# A gateway's heartbeat carries at most this many exclusions: 16 of about 60 bytes, twice a second,
# are 2 KB/s.
MAX_REPORTED_EXCLUSIONS = 16


class ExcludedReplica(msgspec.Struct, frozen=True, array_like=True):
    """One incarnation of a replica to which a gateway currently sends no requests.

    Attributes:
        instance_id: Id of the incarnation.
        reason: Reason for the exclusion; a value of `gateway.availability.ExclusionReason`.
        remaining_s: Time until the exclusion ends; None if unknown.
    """

    instance_id: str
    reason: str
    remaining_s: float | None = None
