"""A circuit breaker for each replica: stops calls after failures and probes later."""

from dataclasses import dataclass
from enum import StrEnum

# Failures in a row that open the circuit.
FAILURES_TO_OPEN = 5
# Time for which the circuit stays open; it doubles with each failed probe, up to the maximum.
INITIAL_OPEN_S = 1.0
MAX_OPEN_S = 10.0


class CircuitState(StrEnum):
    """State of a circuit breaker: closed lets all calls through, half-open has a probe running."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half_open"


@dataclass(slots=True)
class Circuit:
    """The circuit breaker of one replica.

    Attributes:
        state: Its state.
        failures: Failures in a row.
        probe_at_s: Monotonic time from which a probe is allowed, in seconds.
        open_for_s: Time for which the next failure opens the circuit, in seconds.
    """

    state: CircuitState = CircuitState.CLOSED
    failures: int = 0
    probe_at_s: float = 0.0
    open_for_s: float = INITIAL_OPEN_S

    def allows(self, now_s: float) -> bool:
        """Whether a call is allowed now; an open circuit allows one probe after its time."""
        if self.state is CircuitState.CLOSED:
            return True
        return self.state is CircuitState.OPEN and now_s >= self.probe_at_s

    def started(self) -> None:
        """Record the start of a call; on an open circuit it is the probe."""
        if self.state is CircuitState.OPEN:
            self.state = CircuitState.HALF_OPEN

    def abandoned(self) -> None:
        """Record a call without a conclusive outcome; another probe is allowed."""
        if self.state is CircuitState.HALF_OPEN:
            self.state = CircuitState.OPEN

    def succeeded(self) -> bool:
        """Record a success; return True if it closed the circuit."""
        closed_now = self.state is not CircuitState.CLOSED
        self.state = CircuitState.CLOSED
        self.failures = 0
        self.open_for_s = INITIAL_OPEN_S
        return closed_now

    def failed(self, now_s: float) -> bool:
        """Record a failure; return True if it opened the closed circuit."""
        self.failures += 1
        if self.state is CircuitState.CLOSED and self.failures < FAILURES_TO_OPEN:
            return False
        opened_now = self.state is CircuitState.CLOSED
        self.state = CircuitState.OPEN
        self.probe_at_s = now_s + self.open_for_s
        self.open_for_s = min(MAX_OPEN_S, self.open_for_s * 2)
        return opened_now
