"""Counts and latencies of one kind of load, and reported outcomes of unsafe calls."""

from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

MAX_LATENCY_US = 600_000_000
SIGNIFICANT_DIGITS = 3


def _histogram() -> HdrHistogram:
    return HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)


@dataclass
class Tally:
    """Results of one kind of load.

    Attributes:
        sent: Planned requests that were sent; resends are not counted.
        answered: Complete responses that passed the checks.
        attained: Responses whose first byte arrived within the target time.
        rejected: Rejections by error kind.
        foreign: Responses that belong to another request.
        truncated: Responses that ended early without an error.
        broken: Streams or connections that ended with an error.
        unreachable: Refused connections to entries that the balancer considered ready.
        resent: Attempts after the first one of a request.
        tokens: Requested tokens of the responses in `answered`.
        first_byte: Time to the first byte in microseconds.
        last_byte: Time to the last byte in microseconds.
    """

    sent: int = 0
    answered: int = 0
    attained: int = 0
    rejected: dict[str, int] = field(default_factory=dict)
    foreign: int = 0
    truncated: int = 0
    broken: int = 0
    unreachable: int = 0
    resent: int = 0
    tokens: int = 0
    first_byte: HdrHistogram = field(default_factory=_histogram)
    last_byte: HdrHistogram = field(default_factory=_histogram)

    def add_rejection(self, kind: str) -> None:
        """Count a rejection."""
        self.rejected[kind] = self.rejected.get(kind, 0) + 1

    def add_success(
        self, first_byte_s: float, last_byte_s: float, target_ms: int, tokens: int
    ) -> None:
        """Count a complete response and its latencies."""
        self.answered += 1
        self.tokens += tokens
        self.attained += first_byte_s * 1000 <= target_ms
        self.first_byte.record_value(max(1, int(first_byte_s * 1e6)))
        self.last_byte.record_value(max(1, int(last_byte_s * 1e6)))

    def quantile_ms(self, quantile: float) -> float:
        """Return a quantile of the time to the first byte in milliseconds."""
        return float(self.first_byte.get_value_at_percentile(quantile)) / 1000


@dataclass
class KeyLedger:
    """The reported outcome of each unsafe call, by idempotency key.

    Attributes:
        answered: Keys with a complete response.
        not_run: Keys whose last response reported that the call did not run.
        unknown: Keys whose outcome is unknown.
    """

    answered: set[str] = field(default_factory=set)
    not_run: set[str] = field(default_factory=set)
    unknown: set[str] = field(default_factory=set)

    def violations(self, executions: dict[str, int]) -> list[str]:
        """Compare with the executions counted by the back ends; return the violated guarantees."""
        violations: list[str] = []
        for key, count in executions.items():
            if count > 1:
                violations.append(f"key {key} ran {count} times")
        for key in self.not_run:
            if executions.get(key, 0):
                violations.append(f"key {key} was reported as not run, but ran")
        for key in self.answered:
            if executions.get(key, 0) != 1:
                violations.append(
                    f"key {key} has a response, but ran {executions.get(key, 0)} times"
                )
        return violations
