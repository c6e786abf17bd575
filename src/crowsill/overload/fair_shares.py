"""Divides the room of an overloaded service between tenants. Pure."""

from dataclasses import dataclass

from crowsill.model.tenants import Tenant
from crowsill.overload.pressure_sums import DemandByTenant

# A tenant is cut only if it asks for more than its share by this factor: measured demand varies by
# as much, and a tenant at its share would be cut now and then.
MIN_EXCESS = 1.05
# Weights beyond these, in percent of the mean, would leave the other tenants next to nothing.
MIN_WEIGHT_PERCENT = 5
MAX_WEIGHT_PERCENT = 2000


@dataclass(frozen=True, slots=True)
class TenantCut:
    """What is admitted of a tenant that asks for more than its share.

    Attributes:
        tenant: The tenant; empty for callers without one.
        cut_class: Classes before this one are admitted in full, those after it not at all.
        share_percent: Share of `cut_class` that is admitted.
        retry_after_s: Time after which work that is refused now is expected to be admitted.
    """

    tenant: str
    cut_class: int
    share_percent: int
    retry_after_s: float


def tenant_weights(tenants: list[Tenant]) -> dict[str, int]:
    """Return the weights of tenants in percent of the mean; empty if all are equal.

    Rates are weights only if every tenant has one and all have the same unit.

    >>> tenant_weights([Tenant("a", rate_per_s=30.0), Tenant("b", rate_per_s=10.0)])
    {'a': 150, 'b': 50}
    >>> tenant_weights([Tenant("a", rate_per_s=30.0), Tenant("b")])
    {}
    """
    if not tenants or not all(tenant.is_limited for tenant in tenants):
        return {}
    if len({tenant.unit for tenant in tenants}) > 1:
        return {}
    mean = sum(tenant.rate_per_s for tenant in tenants) / len(tenants)
    return {
        tenant.name: min(
            MAX_WEIGHT_PERCENT, max(MIN_WEIGHT_PERCENT, round(100.0 * tenant.rate_per_s / mean))
        )
        for tenant in tenants
    }


def fair_shares(
    asked: dict[str, float], weights: dict[str, int], target: float
) -> dict[str, float]:
    """Return the share of each tenant that asks for more than its weighted max-min share.

    Args:
        asked: Work per second by tenant.
        weights: Weights by tenant; 100 for those without one.
        target: Work per second to divide.

    >>> fair_shares({"a": 10.0, "b": 90.0, "c": 60.0}, {}, 100.0)
    {'c': 45.0, 'b': 45.0}
    >>> fair_shares({"a": 90.0, "b": 90.0}, {"a": 200}, 90.0)
    {'a': 60.0, 'b': 30.0}
    >>> fair_shares({"a": 10.0}, {}, 100.0)
    {}
    """
    left, weight_left = target, sum(weights.get(tenant, 100) for tenant in asked)
    # The order in which tenants are satisfied as the shares grow.
    in_order = sorted(asked, key=lambda tenant: (asked[tenant] / weights.get(tenant, 100), tenant))
    for place, tenant in enumerate(in_order):
        weight = weights.get(tenant, 100)
        if asked[tenant] * weight_left > left * weight:
            return {
                other: left * weights.get(other, 100) / weight_left for other in in_order[place:]
            }
        left -= asked[tenant]
        weight_left -= weight
    return {}


def tenant_cut(
    tenant: str, asked: dict[int, float], share: float, retry_after_s: float
) -> TenantCut | None:
    """Return the cut that admits a tenant's share, most urgent classes first; None if all fits.

    Args:
        tenant: The tenant.
        asked: Its work per second by class.
        share: Its share in work per second.
        retry_after_s: When refused work is expected to be admitted.

    >>> tenant_cut("a", {1: 4.0, 2: 8.0, 3: 8.0}, 10.0, 0.5)
    TenantCut(tenant='a', cut_class=2, share_percent=75, retry_after_s=0.5)
    """
    if sum(asked.values()) <= share * MIN_EXCESS:
        return None
    left = share
    for number in sorted(asked):
        if asked[number] > left:
            percent = round(100.0 * max(0.0, left) / asked[number])
            return TenantCut(tenant, number, percent, retry_after_s)
        left -= asked[number]
    return None


def tenant_cuts(
    asked: DemandByTenant,
    weights: dict[str, int],
    target: float,
    retry_after_s: dict[str, float],
) -> list[TenantCut]:
    """Return the cuts of all tenants beyond their shares.

    Args:
        asked: Work per second by tenant and class.
        weights: Weights by tenant.
        target: Work per second to divide.
        retry_after_s: When refused work is expected to be admitted, by tenant.
    """
    totals = {tenant: sum(rates.values()) for tenant, rates in asked.items()}
    cuts = [
        tenant_cut(tenant, asked[tenant], share, retry_after_s.get(tenant, 0.0))
        for tenant, share in fair_shares(totals, weights, target).items()
    ]
    return [cut for cut in cuts if cut is not None]
