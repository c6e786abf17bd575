"""Tenants of a soak: one with a fixed key, one with a rate limit, one with rotating keys."""

import hashlib
from dataclasses import dataclass
from random import Random

from crowsill.model.tenants import Tenant

STEADY = "steady"
LIMITED = "limited"
ROTATING = "turning"
RATE_PER_S = 20.0
BURST = 60.0
# Defaults of the product: the rate holds in this window, and a revoked key is rejected after this
# time.
QUOTA_WINDOW_S = 10.0
MAX_REVOCATION_S = 5.0
# Callers of the rotating tenant use keys of this many last versions: most are already revoked.
MAX_KEY_AGE_VERSIONS = 8


@dataclass(frozen=True, slots=True)
class CallerKey:
    """An API key and its tenant.

    Attributes:
        tenant: The tenant's name.
        key: The key that the caller sends.
        version: Version of the routes that defines a rotating key; 0 for other keys.
    """

    tenant: str
    key: str
    version: int = 0


STEADY_KEY = CallerKey(STEADY, "steady-key")
LIMITED_KEY = CallerKey(LIMITED, "limited-key")


def rotating_key(version: int) -> CallerKey:
    """Return the key that is valid in one version only."""
    return CallerKey(ROTATING, f"key-of-{version}", version)


def draw_key(random: Random, acknowledged: int) -> CallerKey:
    """Draw the key of a caller's next request.

    Args:
        random: Source of randomness.
        acknowledged: Newest acknowledged version of the routes.
    """
    drawn = random.random()
    if drawn < 0.5:
        return STEADY_KEY
    if drawn < 0.75:
        return LIMITED_KEY
    return rotating_key(max(1, acknowledged - random.randrange(MAX_KEY_AGE_VERSIONS)))


def tenants_of(version: int) -> list[Tenant]:
    """Return the tenants of a version of the routes."""
    return [
        Tenant(STEADY, [_digest(STEADY_KEY)]),
        Tenant(LIMITED, [_digest(LIMITED_KEY)], rate_per_s=RATE_PER_S, burst=BURST),
        Tenant(ROTATING, [_digest(rotating_key(version))]),
    ]


def _digest(key: CallerKey) -> str:
    return hashlib.sha256(key.key.encode()).hexdigest()
