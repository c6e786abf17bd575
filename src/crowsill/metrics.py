"""Metrics of a process, served at `/metrics`."""

import functools

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

REGISTRY = CollectorRegistry()

_LATENCY_BUCKETS_S = (
    *(0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.41, 0.6),
    *(1.0, 2.0, 5.0, 10.0, 30.0, 60.0),
)

CONTROL_BYTES = Counter(
    "crowsill_control_bytes",
    "Bytes on streams between crowsill processes.",
    ["direction"],
    registry=REGISTRY,
)
REQUESTS = Counter(
    "crowsill_requests",
    "Callers' requests by tenant, urgency and result (answered or an error kind).",
    ["tenant", "urgency", "result"],
    registry=REGISTRY,
)
ATTAINED = Counter(
    "crowsill_requests_attained",
    "Requests whose first response byte was sent within their target latency.",
    ["tenant", "urgency"],
    registry=REGISTRY,
)
FIRST_BYTE_S = Histogram(
    "crowsill_first_byte_seconds",
    "Time from arrival to the first byte of the response.",
    ["urgency"],
    buckets=_LATENCY_BUCKETS_S,
    registry=REGISTRY,
)
UPSTREAM_ATTEMPTS = Counter(
    "crowsill_upstream_attempts",
    "Requests sent to back ends, by result.",
    ["result"],
    registry=REGISTRY,
)
GATEWAY_REQUESTS = Counter(
    "crowsill_gateway_requests",
    "Requests that a gateway finished, by kind of route and result (answered or an error kind).",
    ["kind", "result"],
    registry=REGISTRY,
)
GATEWAY_FIRST_BYTE_S = Histogram(
    "crowsill_gateway_first_byte_seconds",
    "Time from a request's last byte to the first byte of its response body, by kind of route.",
    ["kind"],
    buckets=_LATENCY_BUCKETS_S,
    registry=REGISTRY,
)
GATEWAY_WAITED_S = Histogram(
    "crowsill_gateway_waited_seconds",
    "Time that requests waited in the queue of a gateway until they were sent, by rank.",
    ["rank"],
    buckets=_LATENCY_BUCKETS_S,
    registry=REGISTRY,
)
GATEWAY_TURNS = Counter(
    "crowsill_gateway_turns",
    "Turns of requests in the queue of a gateway, by rank and result (sent, passed).",
    ["rank", "result"],
    registry=REGISTRY,
)
REQUEST_COST_RATIO = Histogram(
    "crowsill_gateway_request_cost_ratio",
    "Estimated cost of a request over its actual one, if costs of requests are estimated.",
    buckets=(0.1, 0.25, 0.5, 0.8, 1.25, 2.0, 4.0, 10.0),
    registry=REGISTRY,
)
GATEWAY_ATTEMPTS = Counter(
    "crowsill_gateway_attempts",
    "Attempts at replicas, by result (whole, not_run, failed, cut, unreachable).",
    ["result"],
    registry=REGISTRY,
)
RESPONSE_ENDS = Counter(
    "crowsill_gateway_response_ends",
    "Ends of replicas' responses, by what ends their body (unknown, none, length, chunks, close) "
    "and result (whole, not_run, failed, cut).",
    ["framing", "result"],
    registry=REGISTRY,
)
REPLICA_PACES = Gauge(
    "crowsill_gateway_replica_paces",
    "Replicas whose pace this gateway knows; "
    "quick and slow ones differ from the usual by a quarter.",
    ["pace"],
    registry=REGISTRY,
)
REPLICA_SIGNALS = Counter(
    "crowsill_replica_signals",
    "Signals of replicas: requested backoffs, advertised rate limits, reports that an incarnation "
    "drains or is brittle, and signals that cannot be parsed.",
    ["signal"],
    registry=REGISTRY,
)
RESUMED_STREAMS = Counter(
    "crowsill_gateway_resumed_streams",
    "Streams that callers resumed, by how their software version was found (own_record, "
    "group_record, sole_version), or why they were rejected (unknown, ambiguous, other_service, "
    "no_replica).",
    ["result"],
    registry=REGISTRY,
)
SENT_IN_REST = Counter(
    "crowsill_sent_in_rest",
    "Requests sent to replicas during a backoff that they requested.",
    registry=REGISTRY,
)
SENT_UNDER_LIMIT = Counter(
    "crowsill_sent_under_limit",
    "Requests sent to replicas that advertised a rate limit.",
    registry=REGISTRY,
)
REPLICA_GRANTS = Counter(
    "crowsill_replica_grants",
    "Requests for which a grant of a replica's rate limit was requested, by result (granted, "
    "refused, no_leader).",
    ["result"],
    registry=REGISTRY,
)
TENANT_UNITS = Counter(
    "crowsill_tenant_units",
    "Units of tenants' rate limits, by result (granted, refused, no_leader).",
    ["tenant", "result"],
    registry=REGISTRY,
)
DIRECTORY_VERSION = Gauge(
    "crowsill_directory_version", "Version of the replica directory here.", registry=REGISTRY
)
HEARTBEATS_REFUSED = Counter(
    "crowsill_heartbeats_refused",
    "Heartbeats and deregistrations that do not describe a usable replica.",
    registry=REGISTRY,
)
QUARANTINED = Gauge(
    "crowsill_quarantined_requests",
    "Requests quarantined because replicas crashed while they ran them, as known to this member.",
    registry=REGISTRY,
)
CLOSED_UNREAD = Counter(
    "crowsill_gateway_connections_closed_unread",
    "New connections of callers closed unread, because the event loop lagged.",
    registry=REGISTRY,
)
QUARANTINED_PARTS = Gauge(
    "crowsill_quarantined_prompt_parts",
    "Parts of prompts quarantined because replicas crashed under them, as known to this member.",
    registry=REGISTRY,
)
QUEUED = Gauge(
    "crowsill_queued_requests", "Requests that wait for a replica.", ["urgency"], registry=REGISTRY
)
IN_FLIGHT = Gauge(
    "crowsill_requests_in_flight", "Requests without a response yet.", registry=REGISTRY
)
REVISION = Gauge("crowsill_configuration_revision", "Revision in effect here.", registry=REGISTRY)
ROUTES_VERSION = Gauge(
    "crowsill_routes_version", "Version of the route configuration here.", registry=REGISTRY
)
READY = Gauge("crowsill_ready", "1 while this process is ready.", registry=REGISTRY)
INVARIANT_FAILURES = Counter(
    "crowsill_invariant_failures", "Violated invariants.", registry=REGISTRY
)
PEER_REQUESTS = Counter(
    "crowsill_gateway_peer_requests",
    "Requests that this gateway passed to other gateways, by result.",
    ["result"],
    registry=REGISTRY,
)
REQUESTS_FROM_PEERS = Counter(
    "crowsill_gateway_requests_from_peers",
    "Requests that other gateways passed to this one.",
    registry=REGISTRY,
)
COMMITS = Counter("crowsill_committed_commands", "Commands applied here.", registry=REGISTRY)
COMMIT_S = Histogram(
    "crowsill_commit_seconds",
    "Time from proposal to application on the leader.",
    buckets=_LATENCY_BUCKETS_S,
    registry=REGISTRY,
)
REPLICA_CHECKS = Counter(
    "crowsill_gateway_replica_checks",
    "Checks whether this gateway reaches a replica, by result.",
    ["result"],
    registry=REGISTRY,
)
SUSPECTED_REPLICAS = Gauge(
    "crowsill_gateway_suspected_replicas",
    "Replicas that several gateways do not reach, by the last word of the group here.",
    registry=REGISTRY,
)
EVENT_LOOP_LAG_S = Histogram(
    "crowsill_event_loop_lag_seconds",
    "Time for which the event loop of the process kept a timer waiting.",
    buckets=_LATENCY_BUCKETS_S,
    registry=REGISTRY,
)
RETRIES = Counter(
    "crowsill_gateway_retries",
    "Retries that were charged to the budget of a service, or denied, by result.",
    ["service", "result"],
    registry=REGISTRY,
)
UNUSABLE_RESPONSES = Counter(
    "crowsill_gateway_unusable_responses",
    "Responses of replicas and other gateways that were broken off here, by reason.",
    ["reason"],
    registry=REGISTRY,
)
UNUSABLE_RESPONSE_BYTES = Counter(
    "crowsill_gateway_unusable_response_bytes",
    "Bytes that were received of these responses, by reason.",
    ["reason"],
    registry=REGISTRY,
)
NOT_ADMITTED = Counter(
    "crowsill_gateway_not_admitted",
    "Requests rejected because their tenants ask for more than their share of an overloaded "
    "service.",
    ["service"],
    registry=REGISTRY,
)
OVERLOADED_SERVICES = Gauge(
    "crowsill_overloaded_services",
    "Services whose admission is limited because callers meet full replicas, at the leader.",
    registry=REGISTRY,
)
ORDERS = Counter(
    "crowsill_orders",
    "Orders to engines by kind and result.",
    ["kind", "result"],
    registry=REGISTRY,
)

# Labels by metric name, for the reference page.
LABELS: dict[str, tuple[str, ...]] = {
    family._name: family._labelnames
    for family in list(globals().values())
    if isinstance(family, Counter | Gauge | Histogram)
}


@functools.cache
def request_counter(tenant: str, urgency: str, result: str) -> Counter:
    """Return the counter of requests with these labels; cached because every request uses it."""
    return REQUESTS.labels(tenant, urgency, result)


@functools.cache
def attained_counter(tenant: str, urgency: str) -> Counter:
    """Return the counter of requests that met their target latency, with these labels."""
    return ATTAINED.labels(tenant, urgency)


@functools.cache
def first_byte_histogram(urgency: str) -> Histogram:
    """Return the histogram of times to the first byte with this label."""
    return FIRST_BYTE_S.labels(urgency)


# Limits the size of the metrics page, which is scraped every few seconds.
MAX_COUNTED_TENANTS = 100
_counted_tenants: set[str] = set()


def note_tenant_units(tenant: str, result: str, units: float) -> None:
    """Count units granted or refused to a tenant.

    Beyond `MAX_COUNTED_TENANTS` tenants, further ones are counted as tenant `others`.
    """
    if tenant not in _counted_tenants:
        if len(_counted_tenants) >= MAX_COUNTED_TENANTS:
            tenant = "others"
        _counted_tenants.add(tenant)
    TENANT_UNITS.labels(tenant, result).inc(units)


def render_metrics() -> bytes:
    """Return all metrics in the text format."""
    return generate_latest(REGISTRY)
