"""Counts at a gateway how much work callers ask, and how much of it met full replicas. Pure."""

from collections import defaultdict
from dataclasses import dataclass, field

from crowsill.model.service_pressure import (
    PressureReport,
    ServicePressure,
    TenantDemand,
    TenantWeight,
    encode_rate,
    encode_rates,
)

# Bounds the size of a report. Beyond these, the services and tenants with the least work are left
# out; a tenant that is not reported is admitted in full.
MAX_SERVICES = 16
MAX_TENANTS = 64
# Part of a held request's work that counts as having met full replicas: some waits are normal where
# replicas are well used.
HELD_SHARE = 0.25
# Shorter intervals between two reports make rates too coarse.
MIN_INTERVAL_S = 0.1


@dataclass(slots=True)
class _ServiceCounts:
    requests: float = 0.0
    started: float = 0.0
    full: float = 0.0
    asked: defaultdict[tuple[str, int], float] = field(default_factory=lambda: defaultdict(float))
    refused: defaultdict[str, float] = field(default_factory=lambda: defaultdict(float))
    is_carried_over: bool = False

    def is_empty(self) -> bool:
        return not self.asked and self.started == 0.0 and self.full == 0.0


@dataclass(slots=True)
class PressureCounter:
    """Work by service since the last report."""

    started_at_s: float
    _services: defaultdict[str, _ServiceCounts] = field(
        default_factory=lambda: defaultdict(_ServiceCounts)
    )

    def note_asked(self, service: str, tenant: str, number: int, work: float) -> None:
        """Count a request of a class; negative work takes a request back."""
        counts = self._services[service]
        counts.asked[tenant, number] += work
        counts.requests += 1.0 if work > 0.0 else -1.0

    def note_started(self, service: str, work: float) -> None:
        """Count work that was sent to a replica; negative if the replica did not run it."""
        self._services[service].started += work

    def note_full(self, service: str, work: float) -> None:
        """Count work that met full replicas."""
        self._services[service].full += work

    def note_refused(self, service: str, tenant: str, work: float) -> None:
        """Count work that was refused, so that its caller is expected to come back."""
        self._services[service].refused[tenant] += work

    def collect(self, weights: dict[str, int], now_s: float) -> PressureReport:
        """Return the rates since the last report, and start again.

        What was taken back beyond what was asked reduces the next report.

        Args:
            weights: Weights of tenants in percent of the mean; 100 for those without one.
            now_s: Monotonic time in seconds.
        """
        interval_s = max(MIN_INTERVAL_S, now_s - self.started_at_s)
        services = {name: found for name, found in self._services.items() if not found.is_empty()}
        chosen = sorted(services, key=lambda name: -services[name].requests)[:MAX_SERVICES]
        tenants = _largest_tenants([services[name] for name in chosen])
        places = {tenant: place for place, tenant in enumerate(tenants)}
        report = PressureReport(
            [TenantWeight(tenant, weights.get(tenant, 100)) for tenant in tenants],
            [_to_pressure(name, services[name], places, interval_s) for name in chosen],
        )
        self.started_at_s = now_s
        self._services = defaultdict(_ServiceCounts)
        for name, counts in services.items():
            self._carry_over(name, counts)
        return report

    def _carry_over(self, service: str, counts: _ServiceCounts) -> None:
        """Keep what was taken back of earlier reports' work, for one more report."""
        if counts.is_carried_over:
            return
        taken_back = {key: work for key, work in counts.asked.items() if work < 0.0}
        if not taken_back and counts.started >= 0.0:
            return
        carried = self._services[service]
        carried.is_carried_over = True
        carried.asked.update(taken_back)
        carried.started = min(0.0, counts.started)


def _largest_tenants(services: list[_ServiceCounts]) -> list[str]:
    totals: defaultdict[str, float] = defaultdict(float)
    for counts in services:
        for (tenant, _), work in counts.asked.items():
            totals[tenant] += max(0.0, work)
    largest = sorted(totals, key=lambda tenant: (-totals[tenant], tenant))[:MAX_TENANTS]
    return [tenant for tenant in largest if totals[tenant] > 0.0]


def _to_pressure(
    service: str, counts: _ServiceCounts, places: dict[str, int], interval_s: float
) -> ServicePressure:
    rates: defaultdict[str, dict[int, float]] = defaultdict(dict)
    for (tenant, number), work in counts.asked.items():
        if work > 0.0 and tenant in places:
            rates[tenant][number] = work / interval_s
    return ServicePressure(
        service,
        max(0, round(counts.requests / interval_s)),
        max(0, round(counts.started / interval_s)),
        max(0, round(counts.full / interval_s)),
        [
            TenantDemand(
                places[tenant],
                encode_rates(found),
                encode_rate(counts.refused[tenant] / interval_s),
            )
            for tenant, found in rates.items()
        ],
    )
