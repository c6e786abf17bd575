"""Sums the demand that gateways report at a control member. Pure.

Each gateway reports to the member that it follows; a follower reports the sum of its gateways to
the leader. A report replaces the last one of its source and is forgotten when it is old, so that
nothing is counted twice for longer than that.
"""

import math
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field

from crowsill.model.service_pressure import (
    PressureReport,
    ServicePressure,
    TenantDemand,
    TenantWeight,
    add_rates,
    decode_rate,
    encode_rate,
    encode_rates,
)

# A gateway reports every 0.5 s and a follower every 0.25 s, so an older report means that several
# are missing.
REPORT_LIFETIME_S = 1.5
# Bounds of what one report may claim, and of the size of a sum.
MAX_RATE = 1e9
MAX_TENANTS = 256
MAX_SERVICES = 64
# Slower work is treated as none.
MIN_RATE = 0.01
# A report covers 0.5 s already, so a longer average would only add to its age.
TIME_CONSTANT_S = 0.25
# A level acts on demand that is measured about a second earlier. The difference of two averages
# tells how fast demand changes, from which the present demand is estimated, within these bounds.
SLOW_TIME_CONSTANT_S = 0.75
TREND_FACTOR = 0.7
MIN_OUTLOOK = 0.4
MAX_OUTLOOK = 1.6

# Work per second by tenant and class.
DemandByTenant = dict[str, dict[int, float]]


@dataclass(slots=True)
class ServiceSum:
    """Demand for one service at all gateways whose reports are known.

    Attributes:
        requests: Requests per second.
        started: Work per second that replicas accepted.
        full: Work per second that was refused or held because every replica was full.
        asked: Work per second by tenant and class.
        refused: Work per second that was refused, by tenant.
    """

    requests: float = 0.0
    started: float = 0.0
    full: float = 0.0
    asked: DemandByTenant = field(default_factory=dict)
    refused: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True)
class PressureTotal:
    """Demand for all services, and the weights of tenants in percent of the mean."""

    services: dict[str, ServiceSum] = field(default_factory=dict)
    weights: dict[str, int] = field(default_factory=dict)


@dataclass(slots=True)
class PressureSums:
    """The latest report of each source."""

    _reports: dict[str, tuple[PressureReport, float]] = field(default_factory=dict)

    def note(self, source: str, report: PressureReport, now_s: float) -> None:
        """Record the report of a gateway or follower; it replaces the last one."""
        self._reports[source] = (report, now_s)

    def live(self, now_s: float) -> list[PressureReport]:
        """Return the recent reports, and forget the others."""
        horizon_at_s = now_s - REPORT_LIFETIME_S
        self._reports = {
            source: found for source, found in self._reports.items() if found[1] >= horizon_at_s
        }
        return [report for report, _ in self._reports.values()]


def total_pressure(reports: Iterable[PressureReport]) -> PressureTotal:
    """Return the sum of reports; entries that refer to no tenant are skipped."""
    total = PressureTotal()
    for report in reports:
        for item in report.tenants:
            if item.tenant in total.weights or len(total.weights) < MAX_TENANTS:
                total.weights[item.tenant] = min(1_000_000, max(1, item.weight_percent))
        for pressure in report.services:
            if pressure.service in total.services or len(total.services) < MAX_SERVICES:
                known = total.services.setdefault(pressure.service, ServiceSum())
                _add(known, pressure, report.tenants, total.weights)
    return total


def _add(
    known: ServiceSum,
    pressure: ServicePressure,
    tenants: list[TenantWeight],
    weights: dict[str, int],
) -> None:
    known.requests += _bounded(pressure.requests)
    known.started += _bounded(pressure.started)
    known.full += _bounded(pressure.full)
    for demand in pressure.demands:
        if not 0 <= demand.tenant < len(tenants) or tenants[demand.tenant].tenant not in weights:
            continue
        tenant = tenants[demand.tenant].tenant
        known.refused[tenant] = known.refused.get(tenant, 0.0) + decode_rate(demand.refused)
        rates = known.asked.setdefault(tenant, {})
        add_rates(rates, demand.asked)


def _bounded(rate: float) -> float:
    return min(MAX_RATE, max(0.0, rate)) if math.isfinite(rate) else 0.0


def to_report(total: PressureTotal) -> PressureReport:
    """Return a sum as the report of a follower."""
    places = {tenant: place for place, tenant in enumerate(total.weights)}
    services = [
        ServicePressure(
            service,
            round(found.requests),
            round(found.started),
            round(found.full),
            [
                TenantDemand(
                    places[tenant], encode_rates(rates), encode_rate(found.refused[tenant])
                )
                for tenant, rates in found.asked.items()
            ],
        )
        for service, found in total.services.items()
    ]
    return PressureReport([TenantWeight(*item) for item in total.weights.items()], services)


@dataclass(slots=True)
class SmoothedDemand:
    """Moving averages of the demand for one service.

    Attributes:
        value: The averages.
        outlook: Ratio of the work that is probably asked now to the average.
    """

    value: ServiceSum = field(default_factory=ServiceSum)
    outlook: float = 1.0
    _slow_asked: float = 0.0
    _is_empty: bool = True

    def update(self, sample: ServiceSum, elapsed_s: float) -> None:
        """Move the averages to a sample.

        Args:
            sample: The current sums.
            elapsed_s: Time since the last update.
        """
        share = 1.0 if self._is_empty else 1.0 - math.exp(-elapsed_s / TIME_CONSTANT_S)
        was_empty, self._is_empty = self._is_empty, False
        known = self.value
        known.requests += share * (sample.requests - known.requests)
        known.started += share * (sample.started - known.started)
        known.full += share * (sample.full - known.full)
        known.refused = sample.refused
        asked: defaultdict[str, dict[int, float]] = defaultdict(dict)
        for tenant in known.asked.keys() | sample.asked.keys():
            old, new = known.asked.get(tenant, {}), sample.asked.get(tenant, {})
            for number in old.keys() | new.keys():
                before = old.get(number, 0.0)
                rate = before + share * (new.get(number, 0.0) - before)
                if rate >= MIN_RATE:
                    asked[tenant][number] = rate
        known.asked = dict(asked)
        self._estimate_outlook(1.0 if was_empty else elapsed_s)

    def _estimate_outlook(self, elapsed_s: float) -> None:
        total = sum(sum(rates.values()) for rates in self.value.asked.values())
        share = 1.0 - math.exp(-elapsed_s / SLOW_TIME_CONSTANT_S)
        self._slow_asked += share * (total - self._slow_asked)
        if total <= 0.0:
            self.outlook = 1.0
            return
        outlook = 1.0 + TREND_FACTOR * (total - self._slow_asked) / total
        self.outlook = min(MAX_OUTLOOK, max(MIN_OUTLOOK, outlook))
