"""Finds the service and the software version to which a resumed stream is bound.

A gateway records what begins each resumable stream, and sends the record to the control members
before the first event leaves for the caller. So any gateway can find it, also after this one was
killed. Where there is no record, the origin of a stream is known only if its service never had
replicas of more than one version. The gateway's own directory can't tell: it may lack a version
that joined while the gateway was cut off, and its routes may still lead to a former service. So a
member must confirm the version, and the routes, after the request arrived; otherwise the request is
rejected, because a wrong version would be joined to the first one without a trace.
"""

import asyncio
import math
from collections.abc import Awaitable, Callable
from enum import StrEnum

from crowsill.clock import monotonic_s
from crowsill.errors import ErrorKind
from crowsill.events import Event
from crowsill.gateway.rejection import Rejection
from crowsill.gateway.replica_registry import ReplicaRegistry
from crowsill.gateway.request import CallerRequest
from crowsill.gateway.routing_table import GatewayRoutingTable
from crowsill.logs import log_event
from crowsill.metrics import RESUMED_STREAMS
from crowsill.model.routes import Route, RouteKind
from crowsill.model.stream_origins import (
    LIFETIME_FACTOR,
    StreamOrigin,
    StreamOriginRecord,
    StreamOrigins,
    stream_key,
)
from crowsill.transport.messages import Body
from crowsill.transport.stream_messages import (
    FindStreamOrigin,
    FoundStreamOrigin,
    StreamOriginsNotice,
)

MAX_OWN_RECORDS = 8192
MAX_RECORDS_PER_NOTICE = 500
# Time in which a record that another gateway has sent reaches this gateway's member.
RECORD_DELAY_S = 0.3
# Time in which a gateway that has lost its member, or has just started, finds another one, members
# elect a leader, or a gateway that is out of step has its directory confirmed again.
MEMBER_DELAY_S = 2.0
# A member that does not answer for this long is asked again, or another one is.
QUERY_TIMEOUT_S = 1.0
POLL_S = 0.05
# Longest pause between two questions while members have no leader.
MAX_QUESTION_PAUSE_S = 0.2
# A directory that was confirmed longer ago may lack replicas that serve.
MAX_DIRECTORY_AGE_S = 1.5
UNKNOWN_RETRY_AFTER_S = 1.0


class Resumption(StrEnum):
    """How the origin of a resumed stream was found, or why it can't be resumed.

    Attributes:
        OWN_RECORD: This gateway began the stream.
        GROUP_RECORD: The control members had a record.
        SOLE_VERSION: There is no record, and the group confirmed that the service never had another
            version.
        UNKNOWN: There is no record, and replicas of several versions may have begun it.
        AMBIGUOUS: Streams of several origins had the same request id.
        OTHER_SERVICE: Its route no longer leads to the service that began it.
        NO_REPLICA: No replica of the version that began it accepts work.
    """

    OWN_RECORD = "own_record"
    GROUP_RECORD = "group_record"
    SOLE_VERSION = "sole_version"
    UNKNOWN = "unknown"
    AMBIGUOUS = "ambiguous"
    OTHER_SERVICE = "other_service"
    NO_REPLICA = "no_replica"


_DETAILS = {
    Resumption.UNKNOWN: "it is not known which software version began the stream: no control "
    "member has a record, or has confirmed that the service had only one version",
    Resumption.AMBIGUOUS: "streams of several software versions began under the request id that is "
    "resumed",
    Resumption.OTHER_SERVICE: "the route no longer leads to the service that began the stream",
    Resumption.NO_REPLICA: "no replica of the software version that began the stream is left",
}


def _only_service(route: Route) -> str:
    """Return the only service of a route; empty if there are several."""
    services = [share.service for share in route.services if share.weight > 0]
    return services[0] if len(services) == 1 else ""


def _origin_of(
    record: StreamOriginRecord, how: Resumption
) -> tuple[StreamOrigin | None, Resumption]:
    """Return the origin that a record names, and how it was found."""
    return record.origin, Resumption.AMBIGUOUS if record.origin is None else how


def is_resumable(route: Route) -> bool:
    """Whether callers may resume streams of a route."""
    return route.kind is RouteKind.STREAM and route.resumable


class GatewayStreamOrigins:
    """What began streams, as far as this gateway or the control members know it."""

    def __init__(
        self,
        registry: ReplicaRegistry,
        notify: Callable[[StreamOriginsNotice], bool],
        query: Callable[[FindStreamOrigin, float], Awaitable[Body | None]],
        proof_age_s: Callable[[], float],
        table: Callable[[], GatewayRoutingTable | None] = lambda: None,
    ) -> None:
        """Create it.

        Args:
            registry: The replicas.
            notify: Sends a notice to the member that this gateway follows.
            query: Sends a request to that member; receives the time to wait in seconds.
            proof_age_s: Returns the seconds since the group last confirmed the directory.
            table: Returns the routes in effect; without any, no version is inferred.
        """
        self._registry = registry
        self._notify = notify
        self._query = query
        self._proof_age_s = proof_age_s
        self._table = table
        self._own = StreamOrigins(MAX_OWN_RECORDS)

    def record(
        self, request: CallerRequest, route: Route, tenant: str, origin: StreamOrigin
    ) -> None:
        """Record what begins the stream of a request; called before its first event is sent.

        The record of a stream that the request resumes is renewed: each further try names the same
        first request.
        """
        longest_s = max(route.timeout_ms, request.wait_ms or 0.0) / 1000.0
        lifetime_s = math.ceil(longest_s * LIFETIME_FACTOR)
        ids = [request.request_id]
        if request.last_event_id and request.resumed_request_id:
            ids.append(request.resumed_request_id)
        keys = [stream_key(request_id, tenant, request.host, request.path) for request_id in ids]
        records = [StreamOriginRecord(key, origin, lifetime_s) for key in keys]
        new = [record for record in records if self._own.note(record, monotonic_s())]
        if new:
            self._notify(StreamOriginsNotice(new))

    def send_all(self) -> None:
        """Send all records to a member that this gateway has begun to follow."""
        records = self._own.records(monotonic_s())
        for first in range(0, len(records), MAX_RECORDS_PER_NOTICE):
            self._notify(StreamOriginsNotice(records[first : first + MAX_RECORDS_PER_NOTICE]))

    async def find(
        self, request: CallerRequest, route: Route, tenant: str, deadline_at_s: float
    ) -> StreamOrigin | Rejection | None:
        """Return what began the stream that a request resumes; None if it resumes none.

        Args:
            request: The request.
            route: Its route.
            tenant: Name of its tenant; empty without one.
            deadline_at_s: Monotonic time of its deadline.
        """
        if not is_resumable(route) or not request.last_event_id:
            return None
        end_at_s = min(deadline_at_s, monotonic_s() + MEMBER_DELAY_S)
        found, how = await self._find_origin(request, route, tenant, end_at_s)
        if found is not None:
            await self._await_replica(found, end_at_s)
            # Newer routes may have arrived meanwhile.
            how = self._reason_against(found, self._current_route(request) or route) or how
        return self.note_decision(request, found, how)

    async def _find_origin(
        self, request: CallerRequest, route: Route, tenant: str, end_at_s: float
    ) -> tuple[StreamOrigin | None, Resumption]:
        key = b""
        if request.resumed_request_id:
            key = stream_key(request.resumed_request_id, tenant, request.host, request.path)
            own = self._own.find(key, monotonic_s())
            if own is not None:
                return _origin_of(own, Resumption.OWN_RECORD)
        service = _only_service(route)
        if not key and not service:
            return None, Resumption.UNKNOWN
        found = await self._find_at_group(FindStreamOrigin(key, service=service), end_at_s)
        if found.record is not None:
            return _origin_of(found.record, Resumption.GROUP_RECORD)
        is_confirmed = self._leads_to(request, service, found.routes_version)
        if found.sole_version is not None and is_confirmed:
            return StreamOrigin(service, found.sole_version), Resumption.SOLE_VERSION
        return None, Resumption.UNKNOWN

    def _leads_to(self, request: CallerRequest, service: str, routes_version: int) -> bool:
        """Whether a request belongs to a service alone, by routes of a version or later."""
        table = self._table()
        if table is None or table.version < routes_version:
            return False
        route = self._current_route(request)
        return route is not None and _only_service(route) == service

    def _current_route(self, request: CallerRequest) -> Route | None:
        """Return the route of a request by the routes in effect; None if there is none."""
        table = self._table()
        return None if table is None else table.find(request.host, request.path)

    async def _find_at_group(
        self, question: FindStreamOrigin, end_at_s: float
    ) -> FoundStreamOrigin:
        """Ask the control members what began a stream.

        They are asked again while a record may be on its way, or a leader being elected.

        Args:
            question: What to ask.
            end_at_s: Monotonic time after which nothing is asked.
        """
        needs_record = False
        pause_s = POLL_S
        while (remaining_s := end_at_s - monotonic_s()) > 0.0:
            reply = await self._query(question, min(remaining_s, QUERY_TIMEOUT_S))
            if isinstance(reply, FoundStreamOrigin):
                if reply.is_known or (reply.has_several_versions and not question.key):
                    return reply
                if not needs_record and (reply.has_several_versions or not question.service):
                    needs_record = True
                    end_at_s = min(end_at_s, monotonic_s() + RECORD_DELAY_S)
            await asyncio.sleep(POLL_S if needs_record else pause_s)
            pause_s = min(2.0 * pause_s, MAX_QUESTION_PAUSE_S)
        return FoundStreamOrigin(None)

    async def _await_replica(self, origin: StreamOrigin, end_at_s: float) -> None:
        """Wait while an old directory lists no replica that may continue a stream."""
        while (
            not self.is_served(origin)
            and self._proof_age_s() > MAX_DIRECTORY_AGE_S
            and monotonic_s() < end_at_s
        ):
            await asyncio.sleep(POLL_S)

    def _reason_against(self, origin: StreamOrigin, route: Route) -> Resumption | None:
        """Return why a stream can't be resumed at its origin; None if it may be."""
        if all(share.service != origin.service for share in route.services):
            return Resumption.OTHER_SERVICE
        return None if self.is_served(origin) else Resumption.NO_REPLICA

    def is_served(self, origin: StreamOrigin) -> bool:
        """Whether the directory lists a replica of a version that accepts work."""
        return any(
            record.instance.software_version == origin.software_version
            and not record.availability.is_draining
            for record in self._registry.of_service(origin.service)
        )

    def note_decision(
        self, request: CallerRequest, origin: StreamOrigin | None, how: Resumption
    ) -> StreamOrigin | Rejection:
        """Log and count the decision about a resumed stream; return it."""
        is_rejected = how in _DETAILS
        log_event(
            Event.STREAM_NOT_CONTINUED if is_rejected else Event.STREAM_CONTINUED,
            request=request.request_id.decode("latin-1"),
            resumes=request.resumed_request_id.decode("latin-1"),
            last_event=request.last_event_id.decode("latin-1"),
            service="" if origin is None else origin.service,
            version="" if origin is None else origin.software_version,
            why=how,
            directory=self._registry.version,
            proof_age_s=round(self._proof_age_s(), 3),
        )
        RESUMED_STREAMS.labels(how).inc()
        if origin is not None and not is_rejected:
            return origin
        if how is Resumption.UNKNOWN:
            # A member that could not be asked may know it.
            return Rejection(ErrorKind.STREAM_UNKNOWN, _DETAILS[how], UNKNOWN_RETRY_AFTER_S)
        return Rejection(ErrorKind.STREAM_LOST, _DETAILS[how])
