"""Counts the work that each tenant has had lately, relative to its share. Pure.

A counter grows by the expected work of each request that is sent, divided by the tenant's share.
The tenant with the lowest counter goes first (Sheng et al., "Fairness in serving large language
models", 2024). Earlier work weighs less: instead of reducing all counters all the time, newer
charges weigh more, which leaves the order of the tenants unchanged while nothing is charged.
"""

from crowsill.model.tenants import RateUnit, Tenant

# Time in which the weight of a charge falls to a half.
WORK_HALVING_S = 10.0
# The counters are scaled down when the weight of new charges has doubled this often.
MAX_DOUBLINGS = 64.0
# Tokens that a request counts as where a tenant's rate is in requests.
TOKENS_PER_REQUEST = 1000.0
# Name under which callers without a tenant count as one tenant.
NO_TENANT = ""


def tenant_shares(tenants: list[Tenant]) -> dict[str, float]:
    """Return the share of each tenant: its rate relative to the mean; 1 for those without a rate.

    >>> tokens = RateUnit.TOKENS
    >>> tenant_shares([Tenant("a", rate_per_s=300.0, unit=tokens), Tenant("b"),
    ...                Tenant("c", rate_per_s=100.0, unit=tokens)])
    {'a': 1.5, 'b': 1.0, 'c': 0.5}
    """
    rates = {
        tenant.name: tenant.rate_per_s
        * (TOKENS_PER_REQUEST if tenant.unit is RateUnit.REQUESTS else 1.0)
        for tenant in tenants
        if tenant.is_limited
    }
    mean = sum(rates.values()) / len(rates) if rates else 1.0
    return {tenant.name: rates.get(tenant.name, mean) / mean for tenant in tenants}


class TenantWork:
    """The counters of all tenants at one service.

    >>> work = TenantWork()
    >>> work.charge("a", 100.0, share=1.0, now_s=0.0), work.charge("b", 120.0, share=2.0, now_s=0.0)
    (None, None)
    >>> work.of("b") < work.of("a")
    True
    """

    def __init__(self) -> None:
        self._counters: dict[str, float] = {}
        self._epoch_s = 0.0

    def of(self, tenant: str) -> float:
        """Return the counter of a tenant; only the order of counters has a meaning."""
        return self._counters.get(tenant, 0.0)

    def charge(self, tenant: str, work_ms: float, share: float, now_s: float) -> None:
        """Count work of a tenant.

        Args:
            tenant: Its name, or `NO_TENANT`.
            work_ms: Expected work; negative to take back what was not run.
            share: Its share; see `tenant_shares`.
            now_s: Current monotonic time.
        """
        doublings = (now_s - self._epoch_s) / WORK_HALVING_S
        if doublings > MAX_DOUBLINGS:
            self._scale(2.0**-doublings)
            self._epoch_s, doublings = now_s, 0.0
        counter = self.of(tenant) + work_ms / share * 2.0**doublings
        self._counters[tenant] = max(0.0, counter)

    def raise_to(self, tenant: str, floor: float) -> None:
        """Raise the counter of a tenant that begins to wait: time without demand earns nothing."""
        if self.of(tenant) < floor:
            self._counters[tenant] = floor

    def _scale(self, factor: float) -> None:
        scaled = {tenant: counter * factor for tenant, counter in self._counters.items()}
        self._counters = {tenant: counter for tenant, counter in scaled.items() if counter > 1e-9}
