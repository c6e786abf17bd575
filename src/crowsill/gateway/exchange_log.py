"""What an exchange says of its decisions: log lines and counters."""

import asyncio

from crowsill.events import Event
from crowsill.gateway.attempt import Attempt
from crowsill.gateway.fingerprint import Fingerprints
from crowsill.gateway.holding import wait_budget_of
from crowsill.gateway.progress import Progress
from crowsill.gateway.replica_registry import ReplicaRecord
from crowsill.gateway.request import CallerRequest
from crowsill.gateway.selection import Choice, NoReplicaReason
from crowsill.logs import log_event
from crowsill.metrics import GATEWAY_FIRST_BYTE_S, GATEWAY_REQUESTS, REPLICA_SIGNALS
from crowsill.model.routes import Route, RouteKind


class ExchangeLog:
    """Lines and counters of one request.

    Attributes:
        service: Its service, once it is known.
        route: Its route, once it is known.
        tenant: Whose it is, once it is known; empty where nobody needs a key.
        units: What it counts to the tenant's rate; 0 where that is not limited.
    """

    def __init__(self, request: CallerRequest, fingerprints: Fingerprints) -> None:
        self.service = ""
        self.route: Route | None = None
        self.tenant = ""
        self.units = 0.0
        self._request = request
        self._fingerprints = fingerprints
        self._loop = asyncio.get_running_loop()

    @property
    def request_id(self) -> str:
        """The caller's id of the request."""
        return self._request.request_id.decode("latin-1")

    @property
    def fingerprint(self) -> bytes:
        """What it has in common with other sendings of the same request."""
        return self._fingerprints.of(self._request, self.tenant)

    @property
    def _kind(self) -> str:
        return "unknown" if self.route is None else self.route.kind.value

    @property
    def _route_name(self) -> str:
        return "" if self.route is None else self.route.name

    def _has_returned(self) -> bool:
        """Whether the caller was refused before."""
        if self.route is None:
            return False
        return wait_budget_of(self.route, self._request.wait_ms, 0.0).has_returned

    def _is_late(self, first_ms: float, gap_ms: float) -> bool:
        """Whether an answer came after its target, or paused longer than its route allows."""
        route = self.route
        if route is None:
            return False
        taken_ms = first_ms if route.kind is RouteKind.STREAM and first_ms else self._age_ms()
        pauses = 0.0 < route.target_gap_ms < gap_ms
        return taken_ms > route.target_latency_ms or pauses

    def _age_ms(self) -> float:
        return round((self._loop.time() - self._request.arrived_at_s) * 1000.0, 1)

    def log_routed(self, choice: Choice, attempt_number: int, version: int, directory: int) -> None:
        """It goes to a replica."""
        record = choice.record
        now_s = self._loop.time()
        log_event(
            Event.REQUEST_ROUTED,
            request=self.request_id,
            version=version,
            service=self.service,
            tenant=self.tenant,
            units=self.units,
            resource=self._request.resource,
            replica=record.instance.instance_id,
            directory=directory,
            candidates=choice.candidates,
            expected_ms=round(choice.expected_ms, 1),
            known_tokens=choice.known_tokens,
            in_flight=record.in_flight,
            others=round(record.other_requests(now_s), 1),
            peers=round(record.peer_requests(now_s), 1),
            slowness=round(record.slowness_now(now_s), 2),
            sending=attempt_number,
            ms=self._age_ms(),
        )

    def log_attempt_failed(self, record: ReplicaRecord, result: str, detail: str) -> None:
        """A replica did not answer it."""
        log_event(
            Event.ATTEMPT_FAILED,
            request=self.request_id,
            replica=record.instance.instance_id,
            result=result,
            detail=detail,
            failures=record.availability.failures,
            fingerprint=self.fingerprint.hex(),
            ms=self._age_ms(),
        )

    def log_backoff(self, record: ReplicaRecord, status: int, rest_s: float) -> None:
        """Its replica asked for rest, and did not have any."""
        REPLICA_SIGNALS.labels("rest").inc()
        log_event(
            Event.REPLICA_RESTS,
            replica=record.instance.instance_id,
            status=status,
            rest_s=round(rest_s, 3),
            in_flight=record.in_flight,
            request=self.request_id,
        )

    def log_draining(self, record: ReplicaRecord, status: int) -> None:
        """Its replica said for the first time that it leaves."""
        REPLICA_SIGNALS.labels("leaving").inc()
        log_event(
            Event.REPLICA_LEAVES,
            replica=record.instance.instance_id,
            status=status,
            in_flight=record.in_flight,
            request=self.request_id,
        )

    def log_limited(self, record: ReplicaRecord, per_s: float) -> None:
        """Its replica names a limit, for the first time or another one than before."""
        REPLICA_SIGNALS.labels("limit").inc()
        log_event(
            Event.REPLICA_LIMITED,
            replica=record.instance.instance_id,
            per_s=per_s,
            sent=record.availability.sent_under_limit,
            in_flight=record.in_flight,
            request=self.request_id,
        )

    def log_unlimited(self, record: ReplicaRecord) -> None:
        """Its replica names no limit any more."""
        log_event(
            Event.REPLICA_UNLIMITED,
            replica=record.instance.instance_id,
            sent=record.availability.sent_under_limit,
            request=self.request_id,
        )

    def log_unreadable(self, record: ReplicaRecord, unread: str) -> None:
        """Its replica said something of itself that cannot be read, for the first time."""
        REPLICA_SIGNALS.labels("unreadable").inc()
        log_event(Event.SIGNAL_UNREADABLE, replica=record.instance.instance_id, word=unread)

    def log_waiting(self, reason: NoReplicaReason, directory: int) -> None:
        """It waits."""
        log_event(
            Event.REQUEST_HELD,
            request=self.request_id,
            service=self.service,
            resource=self._request.resource,
            why=reason,
            directory=directory,
            ms=self._age_ms(),
        )

    def log_finished(self, status: int, attempts: int, attempt: Attempt | None) -> None:
        """It was answered whole."""
        self._count("answered", attempt)
        first_ms, gap_ms = 0.0, 0.0
        if attempt is not None and attempt.first_data_at_s is not None:
            first_ms = (attempt.first_data_at_s - self._request.arrived_at_s) * 1000.0
            gap_ms = attempt.max_gap_s * 1000.0
        log_event(
            Event.REQUEST_FINISHED,
            request=self.request_id,
            status=status,
            sendings=attempts,
            first_ms=round(first_ms, 1),
            gap_ms=round(gap_ms, 1),
            late=self._is_late(first_ms, gap_ms),
            returned=self._has_returned(),
            route=self._route_name,
            ms=self._age_ms(),
        )

    def log_rejected(
        self,
        kind: str,
        detail: str,
        progress: Progress,
        retry_after_s: float | None,
    ) -> None:
        """It was given up."""
        self._count(kind, progress.attempt)
        log_event(
            Event.REQUEST_REFUSED,
            request=self.request_id,
            service=self.service,
            tenant=self.tenant,
            units=self.units,
            resource=self._request.resource,
            kind=kind,
            detail=detail,
            sendings=progress.attempts,
            may_have_run=progress.may_have_run,
            retry_after_s="" if retry_after_s is None else retry_after_s,
            returned=self._has_returned(),
            route=self._route_name,
            ms=self._age_ms(),
        )

    def _count(self, result: str, attempt: Attempt | None) -> None:
        GATEWAY_REQUESTS.labels(self._kind, result).inc()
        first_s = None if attempt is None else attempt.first_data_at_s
        if first_s is not None:
            GATEWAY_FIRST_BYTE_S.labels(self._kind).observe(first_s - self._request.arrived_at_s)
