"""Tenants: which callers are served, with which rank and at which rate.

Keys are stored only as SHA-256 digests; no value in crowsill contains a key.
"""

from collections import Counter
from enum import StrEnum

import msgspec

from crowsill.json_input import Quantity, WholeNumber
from crowsill.model.configuration import Sha256Hex


class RateUnit(StrEnum):
    """Unit of a tenant's rate limit."""

    REQUESTS = "requests"
    TOKENS = "tokens"


class Tenant(msgspec.Struct, frozen=True):
    """One tenant.

    Attributes:
        name: Unique name; requests carry it to replicas.
        key_sha256: SHA-256 of each key, as lower-case hex. A tenant without keys is not
            served.
        rank: Overrides the rank of the route for its requests; 0 is the most urgent.
        rate_per_s: Units per second over all gateways together; 0 for no limit.
        burst: Units above the rate that it may use at once.
        unit: Unit of `rate_per_s` and `burst`.
        plain_tokens: Tokens charged for a request that states no token counts.
    """

    name: str
    key_sha256: list[Sha256Hex] = []
    rank: WholeNumber | None = None
    rate_per_s: Quantity = 0.0
    burst: Quantity = 0.0
    unit: RateUnit = RateUnit.REQUESTS
    plain_tokens: Quantity = 0.0

    @property
    def is_limited(self) -> bool:
        """Whether the tenant has a rate limit."""
        return self.rate_per_s > 0.0

    def cost(self, tokens: int) -> float:
        """Return the units that a request is charged.

        Args:
            tokens: Prompt tokens plus maximum output tokens; 0 if the request states none.

        >>> Tenant("t").cost(700), Tenant("t", unit=RateUnit.TOKENS, plain_tokens=9.0).cost(0)
        (1.0, 9.0)
        """
        if self.unit is RateUnit.REQUESTS:
            return 1.0
        return float(tokens) if tokens > 0 else self.plain_tokens


def tenant_faults(tenants: list[Tenant]) -> list[str]:
    """Return the errors in the tenants of a configuration; no text contains a key or a digest.

    >>> tenant_faults([Tenant("a", ["x"]), Tenant("b", ["x"])])
    ['tenant b: a key is listed twice']
    """
    faults: list[str] = []
    names: set[str] = set()
    digests: set[str] = set()
    for tenant in tenants:
        faults.extend(_single_tenant_faults(tenant))
        if tenant.name in names:
            faults.append(f"tenant {tenant.name}: another tenant has its name")
        repeated = [key for key, count in Counter(tenant.key_sha256).items() if count > 1]
        if repeated or not digests.isdisjoint(tenant.key_sha256):
            faults.append(f"tenant {tenant.name}: a key is listed twice")
        names.add(tenant.name)
        digests.update(tenant.key_sha256)
    return faults


def _single_tenant_faults(tenant: Tenant) -> list[str]:
    faults: list[str] = []
    if not tenant.name:
        faults.append("a tenant has no name")
    if min(tenant.rate_per_s, tenant.burst, tenant.plain_tokens) < 0:
        faults.append(f"tenant {tenant.name}: rate, burst and plain tokens must not be negative")
    if tenant.rank is not None and tenant.rank < 0:
        faults.append(f"tenant {tenant.name}: the rank must not be negative")
    return faults
