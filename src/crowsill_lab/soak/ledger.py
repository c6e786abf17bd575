"""Records what callers, replicas and operators observe, and which guarantees it violates."""

from bisect import bisect_right
from collections import Counter
from dataclasses import dataclass, field

from crowsill_lab.soak.deadline_ledger import DeadlineLedger
from crowsill_lab.soak.limits import LimitLedger
from crowsill_lab.soak.link_ledger import LinkLedger
from crowsill_lab.soak.retry_ledger import RetryLedger, RetryWindow
from crowsill_lab.soak.signal_ledger import GatewayRun, SignalLedger
from crowsill_lab.soak.stream_ledger import StreamLedger
from crowsill_lab.soak.tenants import (
    BURST,
    LIMITED,
    MAX_REVOCATION_S,
    QUOTA_WINDOW_S,
    RATE_PER_S,
    CallerKey,
)

# A request body with this prefix crashes every replica that reads it.
CRASHING_BODY_PREFIX = b"crash-"
# A part of a prompt with this prefix crashes every replica that reads the prompt.
CRASHING_PART_PREFIX = "dead"
# Statuses that guarantee that a request has not run and never will.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
# Largest number of replicas that may run a request, by the routes of a soak; a few requests may
# exceed it where a replica that ran one crashed.
MAX_ATTEMPTS = 2
MAX_REPEATED = 3
# Time that the routes of a soak give each request.
TIMEOUT_S = 3.0
NOT_ALLOWED_STATUSES = frozenset((401, 403, 404))


@dataclass(frozen=True, slots=True)
class SentRequest:
    """A request as sent by its caller.

    Attributes:
        key: The API key that it carries.
        sent_at_s: Monotonic time at which it was sent.
        gateway: The gateway run that it was sent to.
    """

    key: CallerKey
    sent_at_s: float
    gateway: GatewayRun | None = None


@dataclass(frozen=True, slots=True)
class Crash:
    """A crash that a crashing request caused.

    Attributes:
        at_s: Monotonic time.
        instance_id: The incarnation that crashed.
        gateway: Name of the gateway that sent the request; empty if unknown.
        wall_time: Time of day, as in the logs.
    """

    at_s: float
    instance_id: str = ""
    gateway: str = ""
    wall_time: str = ""

    def text(self) -> str:
        """Return it as printed in a report."""
        return f"{self.wall_time} {self.instance_id} by {self.gateway or 'unknown'}"


@dataclass(slots=True)
class Ledger:
    """All observations of a soak. All times are monotonic.

    Attributes:
        runs: Number of times that replicas ran each request, by request id.
        at_most_once: Ids of requests that must not run twice.
        not_run: Ids of requests whose response guarantees that they did not run.
        not_for_service: Ids of requests that reached no gateway, or that no route or key allows.
        statuses: Number of responses by status; 0 if the connection closed without one.
        violations: Violated guarantees, one line each.
        acknowledged: Newest acknowledged version of the routes.
        acknowledged_at_s: Time of each acknowledgement, by version.
        sent: Requests by request id.
        limited_runs: Send and arrival time of each request of the limited tenant.
        crashes: Crashes that each crashing request caused, by path and body, or that each crashing
            part of prompts caused, by `part` and the part.
        signals: Backoffs and drains that replicas requested in their responses.
        limits: Rate limits that replicas advertised in their responses.
        links: Gateways that were cut off from all replicas, and first tries of callers.
        streams: Streams that callers resume.
        retries: Retries that arrived at replicas.
        deadlines: Deadlines that replicas received.
    """

    runs: Counter[str] = field(default_factory=Counter)
    at_most_once: set[str] = field(default_factory=set)
    not_run: set[str] = field(default_factory=set)
    not_for_service: set[str] = field(default_factory=set)
    statuses: Counter[int] = field(default_factory=Counter)
    violations: list[str] = field(default_factory=list)
    acknowledged: int = 0
    acknowledged_at_s: dict[int, float] = field(default_factory=dict)
    sent: dict[str, SentRequest] = field(default_factory=dict)
    limited_runs: list[tuple[float, float]] = field(default_factory=list)
    crashes: dict[tuple[str, bytes], list[Crash]] = field(default_factory=dict)
    signals: SignalLedger = field(default_factory=SignalLedger)
    limits: LimitLedger = field(default_factory=LimitLedger)
    links: LinkLedger = field(default_factory=LinkLedger)
    streams: StreamLedger = field(default_factory=StreamLedger)
    retries: RetryLedger = field(default_factory=RetryLedger)
    deadlines: DeadlineLedger = field(default_factory=DeadlineLedger)

    def note_arrival(
        self, request_id: str, instance_id: str, now_s: float, sender: GatewayRun | None = None
    ) -> GatewayRun | None:
        """Record that a request arrived at a replica; return the gateway run that forwarded it.

        Args:
            request_id: Id of the request.
            instance_id: The incarnation of the replica.
            now_s: Monotonic time.
            sender: The gateway run that sent it, which may not be the one that its caller sent it
                to; None if unknown.
        """
        self.retries.note_arrival(request_id, now_s)
        sent = self.sent.get(request_id)
        if sent is None or sent.gateway is None:
            return None
        gateway = sender or sent.gateway
        violation = self.signals.check_arrival(instance_id, gateway, sent.sent_at_s, now_s)
        if violation is not None:
            self.note_violation(f"{request_id}: {violation}")
        self.limits.note_arrival(instance_id, gateway, now_s)
        return gateway

    def note_deadline(self, request_id: str, remaining_ms: str | None, now_s: float) -> None:
        """Record the deadline in milliseconds that a replica received with a request."""
        sent = self.sent.get(request_id)
        if sent is not None:
            self.deadlines.note_arrival(
                request_id,
                caller_ends_at_s=sent.sent_at_s + TIMEOUT_S,
                remaining_s=None if remaining_ms is None else float(remaining_ms) / 1000.0,
                now_s=now_s,
                timeout_s=TIMEOUT_S,
            )

    def note_crash(self, path: str, body: bytes, crash: Crash) -> None:
        """Record that a request crashed a replica."""
        self.crashes.setdefault((path, body), []).append(crash)

    def note_acknowledged(self, version: int, now_s: float) -> None:
        """Record that a version of the routes was acknowledged."""
        self.acknowledged = version
        self.acknowledged_at_s[version] = now_s

    def note_run(self, request_id: str, headers: dict[str, str], tenant: str, now_s: float) -> None:
        """Record that a replica runs a request, and check what it received.

        Args:
            request_id: Id of the request.
            headers: Headers that the replica received, by lower-case name.
            tenant: Tenant in the tenant header.
            now_s: Monotonic time.
        """
        self.runs[request_id] += 1
        sent = self.sent.get(request_id)
        if sent is None:
            return
        if "authorization" in headers:
            self.note_violation(f"{request_id}: the API key was forwarded")
        if tenant != sent.key.tenant:
            self.note_violation(f"{request_id}: of {sent.key.tenant}, forwarded as {tenant!r}")
        if sent.key.tenant == LIMITED:
            self.limited_runs.append((sent.sent_at_s, now_s))
        if (
            sent.key.version
            and sent.sent_at_s > self._revoked_at_s(sent.key.version) + MAX_REVOCATION_S
        ):
            self.note_violation(f"{request_id}: ran with a key that was revoked long before")

    def _revoked_at_s(self, version: int) -> float:
        """Return when the key of a version was revoked: at the next acknowledgement."""
        versions = sorted(self.acknowledged_at_s)
        following = bisect_right(versions, version)
        if following == len(versions):
            return float("inf")
        return self.acknowledged_at_s[versions[following]]

    def _check_rate(self) -> None:
        """Check the number of the limited tenant's requests sent and received in one window."""
        allowed = RATE_PER_S * QUOTA_WINDOW_S + BURST
        max_requests = max(
            (
                sum(
                    1
                    for sent_at_s, arrived_at_s in self.limited_runs
                    if window_start_s <= sent_at_s
                    and arrived_at_s <= window_start_s + QUOTA_WINDOW_S
                )
                for window_start_s, _ in self.limited_runs
            ),
            default=0,
        )
        if max_requests > allowed:
            self.note_violation(
                f"{max_requests} requests of the limited tenant in a window, {allowed:g} allowed"
            )

    def note_violation(self, violation: str) -> None:
        """Record a violated guarantee."""
        self.violations.append(violation)

    def note_response(self, request_id: str, status: int, body: bytes, expected: bytes) -> None:
        """Record a response and check it against the expected body."""
        self.statuses[status] += 1
        if status in NOT_RUN_STATUSES:
            self.not_run.add(request_id)
        if status in NOT_ALLOWED_STATUSES:
            self.not_for_service.add(request_id)
        if status == 503 and b'"quarantined"' in body:
            self.note_violation(f"{request_id}: rejected for a crash that it did not cause")
        if status == 200 and body != expected and expected.startswith(body):
            self.note_violation(
                f"{request_id}: a part reached its caller as the whole response: "
                f"{len(body)} of {len(expected)} bytes"
            )
        elif status == 200 and body != expected:
            self.note_violation(f"{request_id}: response to another request: {body[:80]!r}")

    def _sent_at_s(self) -> list[float]:
        """Return when the requests were sent that reached a gateway and may go to the service."""
        return [
            sent.sent_at_s
            for request_id, sent in self.sent.items()
            if request_id not in self.not_for_service
        ]

    def worst_retry_window(self) -> RetryWindow:
        """Return the window with the largest share of the retries that the budget allows."""
        return self.retries.worst_window(self._sent_at_s())

    def check_totals(self) -> None:
        """Check at the end the guarantees that cover all requests together."""
        self._check_rate()
        self.violations += self.limits.violations()
        self.violations += self.links.violations()
        self.violations += self.retries.violations(self._sent_at_s())
        self.violations += self.deadlines.violations()
        repeated = sum(count > MAX_ATTEMPTS for count in self.runs.values())
        if repeated > MAX_REPEATED:
            self.note_violation(f"{repeated} requests ran more than {MAX_ATTEMPTS} times")
        for request_id, count in self.runs.items():
            if count > 1 and request_id in self.at_most_once:
                self.note_violation(f"{request_id}: ran {count} times")
            if count and request_id in self.not_run:
                self.note_violation(
                    f"{request_id}: ran although its response guarantees that it did not"
                )
