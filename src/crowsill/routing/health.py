"""A circuit per replica: stop calling what fails, try again after a while."""

from dataclasses import dataclass
from enum import StrEnum

FAILURES_TO_OPEN = 5
INITIAL_OPEN_S = 1.0
MAX_OPEN_S = 10.0


class CircuitState(StrEnum):
    """Whether calls go through."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half_open"


@dataclass(slots=True)
class Circuit:
    """The circuit of one replica.

    Attributes:
        state: Whether calls go through.
        failures: Failures in a row.
        open_until_s: Monotonic clock when a trial call may go.
        open_for_s: Length of the current or next opening.
    """

    state: CircuitState = CircuitState.CLOSED
    failures: int = 0
    open_until_s: float = 0.0
    open_for_s: float = INITIAL_OPEN_S

    def allows(self, now_s: float) -> bool:
        """Whether a call may go now; a half-open circuit lets one call through."""
        if self.state is CircuitState.CLOSED:
            return True
        return self.state is CircuitState.OPEN and now_s >= self.open_until_s

    def started(self) -> None:
        """Note a call; on an open circuit it is the trial."""
        if self.state is CircuitState.OPEN:
            self.state = CircuitState.HALF_OPEN

    def abandoned(self) -> None:
        """Note a call that ended without telling anything; another trial may follow."""
        if self.state is CircuitState.HALF_OPEN:
            self.state = CircuitState.OPEN

    def succeeded(self) -> bool:
        """Note a success; return True when this closed the circuit."""
        closed_now = self.state is not CircuitState.CLOSED
        self.state = CircuitState.CLOSED
        self.failures = 0
        self.open_for_s = INITIAL_OPEN_S
        return closed_now

    def failed(self, now_s: float) -> bool:
        """Note a failure; return True when this opened the circuit."""
        self.failures += 1
        if self.state is CircuitState.CLOSED and self.failures < FAILURES_TO_OPEN:
            return False
        opened_now = self.state is CircuitState.CLOSED
        self.state = CircuitState.OPEN
        self.open_until_s = now_s + self.open_for_s
        self.open_for_s = min(MAX_OPEN_S, self.open_for_s * 2)
        return opened_now
