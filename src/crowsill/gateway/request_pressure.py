"""What one request contributes to the demand for its service, and whether it is admitted now.

Nothing is counted or decided where shared admission is switched off, or if another gateway passed
the request on: that one has counted and admitted it.
"""

import asyncio
from collections.abc import Callable

from crowsill.clock import monotonic_s
from crowsill.errors import ErrorKind
from crowsill.events import Event
from crowsill.gateway.admission import Admission
from crowsill.gateway.admission_level import has_free_room
from crowsill.gateway.attempt import AttemptEnd, AttemptResult
from crowsill.gateway.context import ExchangeContext
from crowsill.gateway.progress import Progress
from crowsill.gateway.rejection import Rejection
from crowsill.gateway.request import CallerRequest
from crowsill.gateway.selection import Choice, NoReplicaReason
from crowsill.gateway.wait_decision import wait_budget
from crowsill.logs import log_event
from crowsill.metrics import NOT_ADMITTED
from crowsill.model.routes import Route
from crowsill.model.service_pressure import admission_class
from crowsill.overload.pressure_counter import HELD_SHARE
from crowsill.overload.work import request_work
from crowsill.routing.retry_after import REJECTION_STATUSES


class RequestPressure:
    """What one request contributes to the demand for its service."""

    def __init__(
        self, context: ExchangeContext, request: CallerRequest, *, is_from_peer: bool
    ) -> None:
        self._shared = None if is_from_peer else context.shared_admission
        self._registry = context.registry
        self._request = request
        self._service = ""
        self._tenant = ""
        self._class = 0
        self._work = 0.0
        self._is_counted = False
        # Part of the work that was counted as having met full replicas.
        self._full_share = 0.0

    def admit(
        self,
        route: Route,
        service: str,
        admission: Admission,
        choose: Callable[[Route], Choice | NoReplicaReason],
    ) -> Rejection | None:
        """Count the request, and decide whether it is admitted now; return a rejection if not.

        Args:
            route: Its route.
            service: Its service.
            admission: Its tenant and rank.
            choose: Returns the replica that would be chosen now.
        """
        shared, request = self._shared, self._request
        if shared is None:
            return None
        rank = admission.rank(route)
        self._service = service
        self._tenant = "" if admission.tenant is None else admission.tenant.name
        self._class = admission_class(rank)
        self._work = request_work(
            request.model, request.prompt_tokens, request.output_tokens, request.length_hint
        )
        self._count(1.0)
        now_s = monotonic_s()
        shared.log_changes(now_s)
        if not shared.view.limits(service, self._tenant, now_s):
            return None
        delay_s = shared.view.refusal_delay_s(
            service,
            self._tenant,
            self._class,
            budget=wait_budget(route, request.wait_ms, 0.0),
            response_s=self._idle_ms() / 1000.0,
            draws=(shared.random.random(), shared.random.random()),
            now_s=now_s,
        )
        if delay_s is None:
            return None
        choice = choose(route)
        if not isinstance(choice, Choice) and choice is not NoReplicaReason.ALL_FULL:
            # A model that is missing, or replicas that are lost, are no lack of room.
            return None
        if self._has_free_room(choice):
            return None
        return self._refuse(rank, delay_s)

    def _idle_ms(self) -> float:
        """Return the time to the first event at an idle engine; 0 for a plain service."""
        request = self._request
        if not request.model:
            return 0.0
        latency_model = self._registry.latency_model(self._service)
        return latency_model.idle_first_event_ms(request.model, request.prompt_tokens)

    def _has_free_room(self, choice: Choice | NoReplicaReason) -> bool:
        return has_free_room(
            self._registry.of_service(self._service),
            self._request,
            choice,
            idle_ms=self._idle_ms(),
            now_s=asyncio.get_running_loop().time(),
        )

    def _refuse(self, rank: int, delay_s: float) -> Rejection:
        if self._shared is not None:
            self._shared.counter.note_refused(self._service, self._tenant, self._work)
        NOT_ADMITTED.labels(self._service).inc()
        log_event(
            Event.NOT_ADMITTED,
            request=self._request.request_id.decode("latin-1"),
            service=self._service,
            tenant=self._tenant,
            rank=rank,
            work=round(self._work),
            retry_after_s=round(delay_s, 2),
        )
        detail = "the service is overloaded, and its room is divided between tenants"
        return Rejection(ErrorKind.OVERLOADED, detail, round(delay_s, 2))

    def _count(self, sign: float) -> None:
        """Count the request as asked, or take it back."""
        is_counted = sign > 0.0
        if self._shared is None or is_counted is self._is_counted:
            return
        self._is_counted = is_counted
        self._shared.counter.note_asked(self._service, self._tenant, self._class, sign * self._work)

    def _note_full(self, share: float) -> None:
        """Count a share of the work as having met full replicas, unless it was counted."""
        if self._shared is not None and share > self._full_share:
            work = (share - self._full_share) * self._work
            self._shared.counter.note_full(self._service, work)
            self._full_share = share

    def note_no_replica(self, reason: NoReplicaReason | None) -> None:
        """Count that no replica can take the request now."""
        if reason is NoReplicaReason.ALL_FULL:
            self._count(1.0)
            self._note_full(HELD_SHARE)
        elif reason is not NoReplicaReason.ALL_TRIED:
            # Not for lack of room: the request is no demand that could be divided.
            self._count(-1.0)

    def note_rejected(self, reason: NoReplicaReason | None) -> None:
        """Count that the request was rejected because no replica could take it."""
        self.note_no_replica(reason)
        if self._shared is not None and reason is NoReplicaReason.ALL_FULL:
            self._note_full(1.0)
            self._shared.counter.note_refused(self._service, self._tenant, self._work)

    def note_timed_out(self, progress: Progress) -> None:
        """Count that the request reached its deadline, perhaps while it waited for a replica."""
        if not progress.may_have_run:
            self.note_rejected(progress.waiting_reason)

    def note_sent(self) -> None:
        """Count that the request is sent to a replica, or to a peer."""
        if self._shared is not None:
            self._count(1.0)
            self._shared.counter.note_started(self._service, self._work)

    def note_end(self, end: AttemptEnd | None) -> None:
        """Take back that the request was sent if nothing ran.

        Args:
            end: How the attempt ended; None if nothing was sent.
        """
        if self._shared is None or not (end is None or end.result is AttemptResult.NOT_RUN):
            return
        self._shared.counter.note_started(self._service, -self._work)
        if end is not None and end.status in REJECTION_STATUSES:
            self._note_full(1.0)
