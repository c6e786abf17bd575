"""CPU time to identify a caller and to grant the units of its request."""

import hashlib
import time

import msgspec

from crowsill.model.tenants import RateUnit, Tenant
from crowsill.tenancy.grant_ledger import GrantLedger, QuotaBounds
from crowsill.tenancy.identity import TenantDirectory

KEYS_PER_TENANT = 2
ROUNDS = 20000


class AdmissionFigures(msgspec.Struct, frozen=True):
    """Result for one number of tenants.

    Attributes:
        tenants: Number of tenants, each with `KEYS_PER_TENANT` keys.
        identify_us: CPU time to find the tenant of an API key, in microseconds.
        grant_us: CPU time to grant a request's units at the leader, in microseconds.
    """

    tenants: int
    identify_us: float
    grant_us: float


def _tenants(count: int) -> list[Tenant]:
    return [
        Tenant(
            f"t{number}",
            [
                hashlib.sha256(f"{number}-{key}".encode()).hexdigest()
                for key in range(KEYS_PER_TENANT)
            ],
            rate_per_s=1e9,
            burst=1e9,
            unit=RateUnit.TOKENS,
        )
        for number in range(count)
    ]


def _measure(count: int) -> AdmissionFigures:
    tenants = _tenants(count)
    directory = TenantDirectory(tenants)
    headers = [[f"Bearer {number % count}-1".encode()] for number in range(ROUNDS)]
    started_s = time.process_time()
    for header in headers:
        directory.identify(header, is_public=False, proof_age_s=0.3, revocation_s=5.0)
    identify_s = time.process_time() - started_s
    ledger = GrantLedger(QuotaBounds(), {}, 0.0)
    for tenant in tenants:
        ledger.grant(tenant, 1.0, 0.0)
    ledger.note_recorded(ledger.due(0.0))
    started_s = time.process_time()
    for number in range(ROUNDS):
        ledger.grant(tenants[number % count], 2200.0, number / 300.0)
    grant_s = time.process_time() - started_s
    scale = 1e6 / ROUNDS
    return AdmissionFigures(count, round(identify_s * scale, 2), round(grant_s * scale, 2))


def run_admission_bench() -> list[AdmissionFigures]:
    """Return the results for 16 and for 1,000 tenants."""
    return [_measure(16), _measure(1000)]
