"""Why a gateway would send a request to a replica: what it answers to `crowsill explain-route`."""

import msgspec


class RequestDescription(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A request whose choice of a replica is to be explained; nothing of it is sent.

    Attributes:
        host: Host, without a port.
        path: Path.
        method: HTTP method.
        tenant: Name of the caller's tenant; empty for none.
        service: One of the route's services; empty for the one that would be drawn now.
        model: Model; empty for a plain service.
        adapter: Adapter of the model.
        prompt_tokens: Number of tokens of the prompt.
        output_tokens: Maximum number of tokens of the output.
        length_hint: Hint of the length of the output, in tokens; 0 for none.
        body_bytes: Size of the body.
    """

    host: str
    path: str
    method: str = "POST"
    tenant: str = ""
    service: str = ""
    model: str = ""
    adapter: str = ""
    prompt_tokens: int = 0
    output_tokens: int = 0
    length_hint: float = 0.0
    body_bytes: int = 0


class ReplicaExplanation(msgspec.Struct, frozen=True):
    """One replica as the choice sees it.

    Attributes:
        instance_id: The replica.
        zone: Its zone.
        is_chosen: Whether the request would be sent there.
        excluded: Why it is no candidate; empty if it is one.
        excluded_for_s: For how much longer, if that is known.
        expected_ms: Expected time to the first event, or to the response; None if it is no
            candidate.
        score_ms: What is compared: the expected time, gaps between events and work of streams.
        own_requests: Requests of this gateway there.
        work_left_ms: Work that it has left to do; None if costs are not estimated.
        load_age_s: Age of its last load report; None without one.
        peers_age_s: Age of the last report of the other gateways' requests; None without one.
    """

    instance_id: str
    zone: str
    is_chosen: bool = False
    excluded: str = ""
    excluded_for_s: float | None = None
    expected_ms: float | None = None
    score_ms: float | None = None
    own_requests: int = 0
    work_left_ms: float | None = None
    load_age_s: float | None = None
    peers_age_s: float | None = None


class ChoiceExplanation(msgspec.Struct, frozen=True):
    """Where a request would go now, and why.

    Attributes:
        route: Name of its route.
        service: The service.
        tenant: The tenant; empty without one.
        rank: Its rank; 0 is the most urgent.
        outcome: The chosen replica, or why there is none.
        is_chosen: Whether a replica was chosen.
        cost_ms: Expected cost at a replica of usual pace; None if costs are not estimated.
        cost_90_ms: Cost that nine in ten such requests stay below.
        replicas: The replicas: the chosen one, candidates by score, then those excluded.
        omitted: Number of replicas that are left out.
    """

    route: str
    service: str
    tenant: str
    rank: int
    outcome: str
    is_chosen: bool
    cost_ms: float | None
    cost_90_ms: float | None
    replicas: list[ReplicaExplanation]
    omitted: int = 0
