"""How much work callers ask of services, and what all gateways together admit of it.

Rates of work are transported as one byte each on a logarithmic scale, since a report has one for
each service, tenant and class.
"""

import math

import msgspec

# Ranks beyond this one count as this one.
MAX_RANK = 15
# A code is this multiple of the base-2 logarithm of a rate plus 1; a rate is off by 3.5 % at most.
CODES_PER_DOUBLING = 10
MAX_CODE = 255


def admission_class(rank: int) -> int:
    """Return the class of a request; smaller ones are admitted first.

    >>> admission_class(0), admission_class(2), admission_class(99), admission_class(-1)
    (0, 2, 15, 0)
    """
    return min(MAX_RANK, max(0, rank))


_CLASSES = MAX_RANK + 1


def encode_rate(rate: float) -> int:
    """Encode a rate of work; a negative one, or one that is not finite, counts as 0."""
    if rate <= 0.0 or not math.isfinite(rate):
        return 0
    return min(MAX_CODE, round(CODES_PER_DOUBLING * math.log2(1.0 + rate)))


# Rates by code.
_RATES = tuple(math.pow(2.0, code / CODES_PER_DOUBLING) - 1.0 for code in range(MAX_CODE + 1))


def decode_rate(code: int) -> float:
    """Return the rate of work of a code.

    >>> round(decode_rate(encode_rate(5000.0))), decode_rate(-3), encode_rate(float("nan"))
    (5042, 0.0, 0)
    """
    return _RATES[min(MAX_CODE, max(0, code))]


def encode_rates(rates: dict[int, float]) -> bytes:
    """Encode rates of work by class.

    >>> [round(rate) for rate in decode_rates(encode_rates({1: 5000.0, 3: -1.0, 0: 2.0})).values()]
    [2, 5042]
    """
    codes = bytearray(max(rates, default=-1) + 1)
    for number, rate in rates.items():
        codes[number] = encode_rate(rate)
    return bytes(codes.rstrip(b"\0"))


def decode_rates(codes: bytes) -> dict[int, float]:
    """Return the rates of work by class that are not 0."""
    rates: dict[int, float] = {}
    add_rates(rates, codes)
    return rates


def add_rates(rates: dict[int, float], codes: bytes) -> None:
    """Add encoded rates of work by class to others."""
    known = rates.get
    for number, code in enumerate(codes[:_CLASSES]):
        if code:
            rates[number] = known(number, 0.0) + _RATES[code]


class TenantWeight(msgspec.Struct, frozen=True, gc=False, array_like=True):
    """A tenant and its weight in percent of the mean; the empty name stands for no tenant."""

    tenant: str
    weight_percent: int = 100


class TenantDemand(msgspec.Struct, frozen=True, gc=False, array_like=True):
    """Work that one tenant asks of one service.

    Attributes:
        tenant: Its position in the report's list of tenants.
        asked: Work per second by class, as `encode_rates` encodes it.
        refused: Work per second that was refused, by the level or because every replica was full,
            as `encode_rate` encodes it.
    """

    tenant: int
    asked: bytes
    refused: int = 0


class ServicePressure(msgspec.Struct, frozen=True, array_like=True):
    """Demand for one service, and how much of it met full replicas.

    Attributes:
        service: The service.
        requests: Requests per second.
        started: Work per second that replicas accepted.
        full: Work per second that was refused or held because every replica was full.
        demands: Work that tenants ask.
    """

    service: str
    requests: int
    started: int
    full: int
    demands: list[TenantDemand]


class PressureReport(msgspec.Struct, frozen=True, array_like=True):
    """Demand at one gateway, or at all gateways that follow one member."""

    tenants: list[TenantWeight] = []
    services: list[ServicePressure] = []


class TenantLevel(msgspec.Struct, frozen=True, gc=False, array_like=True):
    """What is admitted of a tenant that asks for more than its share.

    Attributes:
        tenant: Its position in the list of tenants of the whole level.
        cut_class: Classes before this one are admitted in full, those after it not at all.
        share_percent: Share of `cut_class` that is admitted.
        retry_after_ds: Tenths of a second after which work that is refused now is expected to be
            admitted.
    """

    tenant: int
    cut_class: int
    share_percent: int
    retry_after_ds: int


class ServiceLevel(msgspec.Struct, frozen=True, array_like=True):
    """What is admitted of an overloaded service.

    Attributes:
        service: The service.
        target: Work per second that all gateways together admit.
        cuts: Tenants beyond their share; all others are admitted in full.
    """

    service: str
    target: int
    cuts: list[TenantLevel]


class AdmissionLevel(msgspec.Struct, frozen=True, array_like=True):
    """What all gateways admit now; services that are not listed are admitted in full.

    Attributes:
        term: Term of the leader that decided it.
        number: Grows with each decision of one term.
        services: The overloaded services.
        tenants: The tenants that are cut anywhere; the empty name stands for no tenant.
    """

    term: int
    number: int
    services: list[ServiceLevel] = []
    tenants: list[str] = []
