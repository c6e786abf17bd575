"""Rate limits that replicas advertise in responses, as processes report them to one another."""

import msgspec

# A message carries at most this many limits, the most recently advertised ones: about 60 bytes
# each.
MAX_REPORTED_LIMITS = 64


class LimitReport(msgspec.Struct, frozen=True, gc=False, array_like=True):
    """The known rate limit of one incarnation of a replica.

    Ages are measured at the time when the report is sent.

    Attributes:
        instance_id: Id of the incarnation.
        per_s: Requests per second that the replica accepts from all gateways together.
        advertised_ago_s: Seconds since a response last advertised the limit.
        lifted_ago_s: Seconds since the first request after that was sent whose response advertised
            no limit; None while the limit is advertised.
    """

    instance_id: str
    per_s: float
    advertised_ago_s: float
    lifted_ago_s: float | None = None
