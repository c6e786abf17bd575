"""Log lines and metrics of one exchange."""

import asyncio

from crowsill.events import Event
from crowsill.gateway.attempt import Attempt
from crowsill.gateway.event_position import first_event_id, last_event_id
from crowsill.gateway.fingerprint import Fingerprints
from crowsill.gateway.framing import Framing
from crowsill.gateway.peers.wire import PeerTerms
from crowsill.gateway.progress import Progress
from crowsill.gateway.replica_registry import ReplicaRecord
from crowsill.gateway.request import CallerRequest
from crowsill.gateway.selection import Choice, NoReplicaReason
from crowsill.gateway.wait_decision import wait_budget
from crowsill.logs import log_event
from crowsill.metrics import GATEWAY_FIRST_BYTE_S, GATEWAY_REQUESTS, REPLICA_SIGNALS, RETRIES
from crowsill.model.peers import PeerOffer
from crowsill.model.prompt_parts import format_parts
from crowsill.model.routes import Route, RouteKind


class ExchangeLog:
    """Logs and counts one request.

    Attributes:
        service: Service of the request; empty until it is known.
        route: Route of the request; None until it is known.
        tenant: Tenant of the caller; empty until it is known, and where no API key is needed.
        units: Units charged to the tenant's rate limit; 0 without a rate limit.
        software_version: Software version of the replica that was chosen last; empty until then.
    """

    def __init__(self, request: CallerRequest, fingerprints: Fingerprints) -> None:
        self.service = ""
        self.route: Route | None = None
        self.tenant = ""
        self.units = 0.0
        self.software_version = ""
        self._request = request
        self._fingerprints = fingerprints
        self._loop = asyncio.get_running_loop()

    @property
    def request_id(self) -> str:
        """The caller's id of the request."""
        return self._request.request_id.decode("latin-1")

    @property
    def fingerprint(self) -> bytes:
        """Fingerprint of the request; equal for duplicates."""
        return self._fingerprints.of(self._request, self.tenant)

    @property
    def shared_parts(self) -> list[bytes]:
        """Digests of the parts of the prompt that other requests may share."""
        return self._fingerprints.of_shared_parts(self._request, self.tenant)

    @property
    def _kind(self) -> str:
        return "unknown" if self.route is None else self.route.kind.value

    @property
    def _route_name(self) -> str:
        return "" if self.route is None else self.route.name

    def _wait_ms(self) -> float:
        """The time that the caller had for the request when it arrived."""
        if self.route is None:
            return 0.0
        return round(wait_budget(self.route, self._request.wait_ms, 0.0).total_s * 1000.0, 1)

    def _is_late(self, first_ms: float, gap_ms: float) -> bool:
        """Whether the response missed its target latency, or had a gap longer than its target."""
        route = self.route
        if route is None:
            return False
        latency_ms = first_ms if route.kind is RouteKind.STREAM and first_ms else self._age_ms()
        has_long_gap = 0.0 < route.target_gap_ms < gap_ms
        return latency_ms > route.target_latency_ms or has_long_gap

    def _age_ms(self) -> float:
        return round((self._loop.time() - self._request.arrived_at_s) * 1000.0, 1)

    def log_routed(
        self, choice: Choice, attempt_number: int, routes_version: int, directory_version: int
    ) -> None:
        """Log that the request is sent to a replica.

        Args:
            choice: The replica and the reason for its choice.
            attempt_number: Number of the attempt, from 1.
            routes_version: Version of the routes.
            directory_version: Version of the directory.
        """
        record = choice.record
        self.software_version = record.instance.software_version
        now_s = self._loop.time()
        log_event(
            Event.REQUEST_ROUTED,
            request=self.request_id,
            version=routes_version,
            service=self.service,
            tenant=self.tenant,
            units=self.units,
            resource=self._request.resource,
            replica=record.instance.instance_id,
            directory=directory_version,
            candidates=choice.candidates,
            expected_ms=round(choice.expected_ms, 1),
            known_tokens=choice.known_tokens,
            in_flight=record.in_flight,
            others=round(record.other_requests(now_s), 1),
            peers=round(record.peer_requests(now_s), 1),
            slowness=round(record.slowness_now(now_s), 2),
            pace=round(record.pace.factor(now_s), 2),
            sending=attempt_number,
            ms=self._age_ms(),
        )

    def log_retry(self, result: str, earned_left: float) -> None:
        """Log and count whether a retry is charged to the budget of its service.

        Args:
            result: What it was charged to, or why it was denied.
            earned_left: Retries that are left of what requests earned here.
        """
        RETRIES.labels(self.service, result).inc()
        log_event(
            Event.RETRY_DECIDED,
            request=self.request_id,
            service=self.service,
            result=result,
            earned_left=round(earned_left, 2),
            ms=self._age_ms(),
        )

    def log_sent_to_peer(self, peer: PeerOffer, attempt_number: int) -> None:
        """Log that the request is passed to another gateway."""
        log_event(
            Event.SENT_TO_PEER,
            request=self.request_id,
            service=self.service,
            resource=self._request.resource,
            peer=peer.address,
            peer_requests=peer.requests,
            sending=attempt_number,
            ms=self._age_ms(),
        )

    def log_received_from_peer(self, terms: PeerTerms) -> None:
        """Log that another gateway passed the request on."""
        log_event(
            Event.RECEIVED_FROM_PEER,
            request=self.request_id,
            service=terms.service,
            sendings=terms.attempts,
            may_wait=terms.may_wait,
        )

    def log_peer_failed(self, address: str, result: str, detail: str) -> None:
        """Log that another gateway did not serve the request."""
        log_event(
            Event.PEER_FAILED,
            request=self.request_id,
            peer=address,
            result=result,
            detail=detail,
            ms=self._age_ms(),
        )

    def log_quarantine_awaited(
        self, fingerprint: bytes, waited_s: float, *, is_released: bool
    ) -> None:
        """Log that the request was held because something else could explain its quarantine."""
        log_event(
            Event.QUARANTINE_AWAITED,
            request=self.request_id,
            fingerprint=fingerprint.hex(),
            waited_s=round(waited_s, 3),
            released=is_released,
        )

    def log_attempt_failed(
        self, record: ReplicaRecord, result: str, detail: str, attempt: Attempt | None = None
    ) -> None:
        """Log an attempt without a complete response.

        Args:
            record: The replica.
            result: How the attempt ended.
            detail: What failed.
            attempt: The attempt; None if nothing was sent.
        """
        log_event(
            Event.ATTEMPT_FAILED,
            request=self.request_id,
            replica=record.instance.instance_id,
            result=result,
            detail=detail,
            framing=Framing.UNKNOWN if attempt is None else attempt.framing,
            inside_event=attempt is not None and attempt.is_inside_event,
            software_version=record.instance.software_version,
            events=_event_range(attempt),
            connection_requests=0 if attempt is None else attempt.connection_requests,
            received_bytes=0 if attempt is None else attempt.response_bytes,
            failures=record.availability.failures,
            fingerprint=self.fingerprint.hex(),
            parts=format_parts(self.shared_parts),
            ms=self._age_ms(),
        )

    def log_backoff(self, record: ReplicaRecord, status: int, backoff_s: float) -> None:
        """Log and count that the replica requested a backoff that was not in effect before."""
        REPLICA_SIGNALS.labels("rest").inc()
        log_event(
            Event.REPLICA_RESTS,
            replica=record.instance.instance_id,
            status=status,
            rest_s=round(backoff_s, 3),
            in_flight=record.in_flight,
            request=self.request_id,
        )

    def log_draining(self, record: ReplicaRecord, status: int) -> None:
        """Log and count that the replica reported for the first time that it drains."""
        REPLICA_SIGNALS.labels("leaving").inc()
        log_event(
            Event.REPLICA_LEAVES,
            replica=record.instance.instance_id,
            status=status,
            in_flight=record.in_flight,
            request=self.request_id,
        )

    def log_limited(self, record: ReplicaRecord, per_s: float) -> None:
        """Log and count that the replica advertises a new or changed rate limit."""
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
        """Log that the replica no longer advertises a rate limit."""
        log_event(
            Event.REPLICA_UNLIMITED,
            replica=record.instance.instance_id,
            sent=record.availability.sent_under_limit,
            request=self.request_id,
        )

    def log_brittle(self, record: ReplicaRecord, rejections_per_s: float) -> None:
        """Log and count that the replica says that it is brittle."""
        REPLICA_SIGNALS.labels("brittle").inc()
        log_event(
            Event.REPLICA_BRITTLE,
            replica=record.instance.instance_id,
            rejections_per_s=rejections_per_s,
            in_flight=record.in_flight,
            request=self.request_id,
        )

    def log_sound(self, record: ReplicaRecord) -> None:
        """Log that the replica no longer says that it is brittle."""
        log_event(
            Event.REPLICA_NOT_BRITTLE,
            replica=record.instance.instance_id,
            in_flight=record.in_flight,
            request=self.request_id,
        )

    def log_unreadable(self, record: ReplicaRecord, unreadable_value: str) -> None:
        """Log and count the first signal of the replica that can't be parsed."""
        REPLICA_SIGNALS.labels("unreadable").inc()
        log_event(
            Event.SIGNAL_UNREADABLE, replica=record.instance.instance_id, word=unreadable_value
        )

    def log_waiting(self, reason: NoReplicaReason, directory_version: int) -> None:
        """Log that the request waits for a replica."""
        log_event(
            Event.REQUEST_HELD,
            request=self.request_id,
            service=self.service,
            resource=self._request.resource,
            why=reason,
            directory=directory_version,
            ms=self._age_ms(),
        )

    def log_finished(self, status: int, attempts: int, attempt: Attempt | None) -> None:
        """Log and count a complete response."""
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
            framing=Framing.UNKNOWN if attempt is None else attempt.framing,
            inside_event=attempt is not None and attempt.is_inside_event,
            software_version=self.software_version,
            last_event=self._request.last_event_id.decode("latin-1"),
            events=_event_range(attempt),
            late=self._is_late(first_ms, gap_ms),
            wait_ms=self._wait_ms(),
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
        """Log and count a rejected or failed request."""
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
            wait_ms=self._wait_ms(),
            route=self._route_name,
            ms=self._age_ms(),
        )

    def _count(self, result: str, attempt: Attempt | None) -> None:
        GATEWAY_REQUESTS.labels(self._kind, result).inc()
        first_s = None if attempt is None else attempt.first_data_at_s
        if first_s is not None:
            GATEWAY_FIRST_BYTE_S.labels(self._kind).observe(first_s - self._request.arrived_at_s)


def _event_range(attempt: Attempt | None) -> str:
    """Return the first and the last event id that an attempt received, as in `3..9`."""
    if attempt is None or attempt.position is None:
        return ""
    return f"{first_event_id(attempt.first_piece)}..{last_event_id(attempt.last_piece)}"
