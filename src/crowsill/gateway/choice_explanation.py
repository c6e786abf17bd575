"""Explains where a request would go now, and why, without sending it.

The choice is that of the real path: the same limits, the same functions, and a copy of the random
source. Nothing changes by asking.
"""

import asyncio
import dataclasses
import math
from random import Random
from urllib.parse import parse_qsl

import msgspec

from crowsill.gateway.caller_protocol import CallerConnection, RequestHandler
from crowsill.gateway.context import ExchangeContext
from crowsill.gateway.exchange import Exchange
from crowsill.gateway.replica_registry import ReplicaRecord
from crowsill.gateway.replica_work import work_left_ms
from crowsill.gateway.request import CallerRequest
from crowsill.gateway.response_estimate import full_estimate, own_estimate
from crowsill.gateway.routing_table import GatewayRoutingTable, pick_service
from crowsill.gateway.selection import Choice, choose, find_candidates
from crowsill.gateway.selection_limits import SelectionLimits
from crowsill.model.explanations import (
    ChoiceExplanation,
    ReplicaExplanation,
    RequestDescription,
)
from crowsill.model.routes import Route

MAX_QUERY_BYTES = 4096
MAX_BODY_BYTES = 1 << 20
MAX_REPLICAS = 200
# Explanations are for persons; programs that poll them would take time from requests.
MIN_INTERVAL_S = 0.1


class ExplanationError(Exception):
    """Why a described request has no choice to explain."""


@dataclasses.dataclass(frozen=True, slots=True)
class DescribedRequest:
    """A described request, as it would be sent.

    Attributes:
        request: The request.
        route: Its route.
        service: Its service.
        tenant: Name of its tenant.
        rank: Its rank.
    """

    request: CallerRequest
    route: Route
    service: str
    tenant: str
    rank: int


def describe(
    table: GatewayRoutingTable, description: RequestDescription, random: Random, now_s: float
) -> DescribedRequest:
    """Return the request that a description stands for.

    Raises:
        ExplanationError: No route matches, or the route has no such tenant or service.
    """
    route = table.find(description.host.lower(), description.path)
    if route is None:
        raise ExplanationError(f"no route matches {description.host}{description.path}")
    service = description.service or pick_service(route, random)
    if service not in {share.service for share in route.services}:
        raise ExplanationError(f"route {route.name} has no service {service}")
    rank = route.rank
    if description.tenant:
        tenants = {tenant.name: tenant for tenant in table.configuration.tenants or []}
        tenant = tenants.get(description.tenant)
        if tenant is None:
            raise ExplanationError(f"no tenant is named {description.tenant}")
        rank = route.rank if tenant.rank is None else tenant.rank
    request = CallerRequest(
        description.method.encode(),
        description.path.encode(),
        [],
        bytes(min(MAX_BODY_BYTES, max(0, description.body_bytes))),
        True,
        now_s,
        host=description.host.lower(),
        path=description.path,
        model=description.model,
        adapter=description.adapter,
        prompt_tokens=max(0, description.prompt_tokens),
        output_tokens=max(0, description.output_tokens),
        length_hint=description.length_hint or None,
    )
    return DescribedRequest(request, route, service, description.tenant, rank)


def _age_s(at_s: float, now_s: float) -> float | None:
    return round(max(0.0, now_s - at_s), 2) if math.isfinite(at_s) else None


def explain_replica(
    record: ReplicaRecord,
    request: CallerRequest,
    limits: SelectionLimits,
    now_s: float,
    *,
    is_candidate: bool,
    is_chosen: bool,
) -> ReplicaExplanation:
    """Return one replica as the choice sees it."""
    excluded, excluded_for_s, expected_ms, score_ms = "", None, None, None
    if is_candidate:
        estimate = own_estimate(record, request, limits, now_s)
        estimate = full_estimate(estimate, request, limits, now_s)
        expected_ms = round(estimate.expected_ms, 1)
        score_ms = round(estimate.score_ms(now_s), 1)
    else:
        exclusion = record.availability.exclusion(now_s, limits.is_urgent)
        alone = choose([record], request, set(), limits, now_s)
        excluded = "full" if isinstance(alone, Choice) else str(alone)
        if exclusion is not None:
            excluded, excluded_for_s = str(exclusion.reason), exclusion.remaining_s(now_s)
    cost = limits.cost
    left_ms = None if cost is None else work_left_ms(record, cost, now_s, with_peers=True)
    return ReplicaExplanation(
        record.instance.instance_id,
        record.instance.zone,
        is_chosen,
        excluded,
        excluded_for_s,
        expected_ms,
        score_ms,
        record.in_flight,
        None if left_ms is None else round(left_ms, 1),
        _age_s(record.load_reported_at_s, now_s),
        _age_s(record.peer_use_reported_at_s, now_s),
    )


def explain(
    records: list[ReplicaRecord],
    described: DescribedRequest,
    limits: SelectionLimits,
    now_s: float,
) -> ChoiceExplanation:
    """Explain the choice of a replica; `limits.random` must be a copy."""
    request = described.request
    choice = choose(records, request, set(), limits, now_s)
    candidates = find_candidates(records, request, set(), limits, now_s)
    ids = (
        {record.instance.instance_id for record in candidates}
        if isinstance(candidates, list)
        else set[str]()
    )
    chosen_id = choice.record.instance.instance_id if isinstance(choice, Choice) else ""
    replicas = [
        explain_replica(
            record,
            request,
            limits,
            now_s,
            is_candidate=record.instance.instance_id in ids,
            is_chosen=record.instance.instance_id == chosen_id,
        )
        for record in records
    ]
    replicas.sort(
        key=lambda item: (
            not item.is_chosen,
            math.inf if item.score_ms is None else item.score_ms,
            item.instance_id,
        )
    )
    estimate = None if limits.cost is None else limits.cost.estimate
    return ChoiceExplanation(
        described.route.name,
        described.service,
        described.tenant,
        described.rank,
        chosen_id if isinstance(choice, Choice) else str(choice),
        isinstance(choice, Choice),
        None if estimate is None else round(estimate.mean_ms, 1),
        None if estimate is None else round(estimate.quantile_ms(0.9), 1),
        replicas[:MAX_REPLICAS],
        max(0, len(replicas) - MAX_REPLICAS),
    )


class ExplanationService:
    """Responds to requests for explanations on the gateway's listener for readiness."""

    def __init__(self, context: ExchangeContext, handler: RequestHandler) -> None:
        """Create it.

        Args:
            context: The gateway process.
            handler: The same as the handler of callers' connections; nothing is sent to it.
        """
        self._context = context
        self._handler = handler
        self._answered_at_s = float("-inf")

    def respond(self, query: bytes) -> tuple[int, bytes, bytes]:
        """Return status, reason phrase and body for a query with the fields of a description."""
        now_s = asyncio.get_running_loop().time()
        if now_s < self._answered_at_s + MIN_INTERVAL_S:
            return 429, b"Too Many Requests", b"asked again within 0.1 s\n"
        self._answered_at_s = now_s
        if len(query) > MAX_QUERY_BYTES:
            return 400, b"Bad Request", b"the query has more than 4096 bytes\n"
        try:
            fields = dict(parse_qsl(query.decode()))
            description = msgspec.convert(fields, RequestDescription, strict=False)
            return 200, b"OK", msgspec.json.encode(self.explain(description, now_s))
        except (ExplanationError, UnicodeDecodeError, msgspec.ValidationError) as error:
            return 400, b"Bad Request", f"{error}\n".encode()

    def explain(self, description: RequestDescription, now_s: float) -> ChoiceExplanation:
        """Explain where a request would go now.

        Raises:
            ExplanationError: The gateway knows no routes yet, or the description fits none.
        """
        context = self._context
        table = context.table
        if table is None:
            raise ExplanationError("the gateway knows no current routes")
        random = Random()
        random.setstate(context.random.getstate())
        described = describe(table, description, random, now_s)
        exchange = Exchange(context, CallerConnection(self._handler), described.request)
        limits = exchange.selection_limits(described.route, described.service, described.tenant)
        limits = dataclasses.replace(limits, random=random)
        return explain(context.registry.of_service(described.service), described, limits, now_s)
