"""Why a replica is not to be sent requests, and until when."""

import math
from dataclasses import dataclass
from enum import StrEnum


class ExclusionReason(StrEnum):
    """Why a replica is not to be sent requests; the first one that applies counts.

    Attributes:
        REPORTED_DRAINING: It reported in a response that it drains.
        LISTED_DRAINING: The directory lists it as draining.
        BACKING_OFF: It asked for a backoff in a response.
        RATE_LIMITED: All gateways together have used up the rate limit that it advertises.
        UNREACHABLE: No connection could be made to it from here.
        FAILING: It interrupted responses; it is tried if no other replica is left.
    """

    REPORTED_DRAINING = "leaving"
    LISTED_DRAINING = "draining"
    BACKING_OFF = "resting"
    RATE_LIMITED = "limited"
    UNREACHABLE = "unreachable"
    FAILING = "broken"


@dataclass(frozen=True, slots=True)
class Exclusion:
    """Why a replica is not to be sent requests, and until when.

    Attributes:
        reason: The reason.
        ends_at_s: Time when it ends; infinite if unknown.
    """

    reason: ExclusionReason
    ends_at_s: float = float("inf")

    def remaining_s(self, now_s: float) -> float | None:
        """Return for how many more seconds it lasts, or None if unknown.

        >>> Exclusion(ExclusionReason.BACKING_OFF, 5.0).remaining_s(3.0)
        2.0
        >>> Exclusion(ExclusionReason.REPORTED_DRAINING).remaining_s(3.0)
        """
        return None if math.isinf(self.ends_at_s) else round(max(0.0, self.ends_at_s - now_s), 2)
