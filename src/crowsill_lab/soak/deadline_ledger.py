"""Checks the deadlines that replicas receive against those of the callers."""

from dataclasses import dataclass, field

# A deadline may be longer, and a retry may come and end later, by this time.
TOLERANCE_S = 0.5
MAX_EXTENDED = 20


@dataclass(slots=True)
class DeadlineLedger:
    """The deadlines of requests as they arrive at replicas. All times are monotonic, in seconds.

    >>> ledger = DeadlineLedger()
    >>> ledger.note_arrival("a", caller_ends_at_s=3.0, remaining_s=2.0, now_s=1.0, timeout_s=3.0)
    >>> ledger.note_arrival("a", caller_ends_at_s=3.0, remaining_s=2.9, now_s=2.0, timeout_s=3.0)
    >>> ledger.extended, ledger.late_retries
    (1, 1)

    Attributes:
        extended: Arrivals without a deadline, with more time than the caller gave, or retries that
            end later than the first arrival and than the caller's deadline.
        late_retries: Arrivals later than the first of their request by more than the tolerance.
    """

    extended: int = 0
    late_retries: int = 0
    _first: dict[str, tuple[float, float]] = field(default_factory=dict)

    def note_arrival(
        self,
        request_id: str,
        *,
        caller_ends_at_s: float,
        remaining_s: float | None,
        now_s: float,
        timeout_s: float,
    ) -> None:
        """Record an arrival.

        Args:
            request_id: Id of the request.
            caller_ends_at_s: When the caller's deadline passes.
            remaining_s: Time that the replica is given; None if it is told none.
            now_s: Time of the arrival.
            timeout_s: Time that the caller gave.
        """
        ends_at_s = float("inf") if remaining_s is None else now_s + remaining_s
        first_at_s, first_ends_at_s = self._first.setdefault(request_id, (now_s, ends_at_s))
        is_late_retry = now_s - first_at_s > TOLERANCE_S
        self.late_retries += is_late_retry
        is_longer = remaining_s is None or remaining_s > timeout_s + TOLERANCE_S
        latest_s = max(first_ends_at_s, caller_ends_at_s) + TOLERANCE_S
        self.extended += is_longer or (is_late_retry and ends_at_s > latest_s)

    def violations(self) -> list[str]:
        """Return a line if too many arrivals have an extended deadline."""
        if self.extended <= MAX_EXTENDED or self.extended * 5 <= self.late_retries:
            return []
        return [f"{self.extended} deadlines were extended, {self.late_retries} retries came late"]
