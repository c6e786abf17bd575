"""What callers, replicas and operators saw, and which promises that breaks."""

from collections import Counter
from dataclasses import dataclass, field

# Statuses that promise that a request has not run and never will.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))


@dataclass(slots=True)
class Ledger:
    """Everything that was seen.

    Attributes:
        runs: How often replicas ran each request, by its id.
        at_most_once: Ids of requests that may not run twice.
        not_run: Ids of requests that were answered with the promise that they did not run.
        statuses: Answers by status; 0 where the connection ended.
        violations: Promises broken, each in one line.
        acknowledged: Newest version of the routes that was acknowledged.
    """

    runs: Counter[str] = field(default_factory=Counter)
    at_most_once: set[str] = field(default_factory=set)
    not_run: set[str] = field(default_factory=set)
    statuses: Counter[int] = field(default_factory=Counter)
    violations: list[str] = field(default_factory=list)
    acknowledged: int = 0

    def broken(self, what: str) -> None:
        """Note a promise that was broken."""
        self.violations.append(what)

    def answered(self, request_id: str, status: int, body: bytes, expected: bytes) -> None:
        """Take in an answer."""
        self.statuses[status] += 1
        if status in NOT_RUN_STATUSES:
            self.not_run.add(request_id)
        if status == 200 and body != expected:
            self.broken(f"{request_id}: another answer than its own: {body[:80]!r}")

    def settle(self) -> None:
        """Check at the end what holds for all requests together."""
        for request_id, count in self.runs.items():
            if count > 1 and request_id in self.at_most_once:
                self.broken(f"{request_id}: ran {count} times")
            if count and request_id in self.not_run:
                self.broken(f"{request_id}: ran though it was answered as not run")
