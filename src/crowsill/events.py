"""The closed list of numbered log events.

docs/EVENTS.md is the reference for operators; a test keeps it equal to this list. Numbers are never
reused: 1xx daemon lifecycle, 2xx routing, 3xx consensus and storage, 4xx configuration,
5xx placement and fleet, 6xx claims.
"""

from dataclasses import dataclass
from enum import Enum


@dataclass(frozen=True, slots=True)
class EventDefinition:
    """Definition of one kind of log line.

    Attributes:
        number: Number that never changes.
        level: Log level name.
        meaning: One sentence for the reference.
    """

    number: int
    level: str
    meaning: str


class Event(Enum):
    """Every event that crowsill logs."""

    DAEMON_STARTED = EventDefinition(100, "INFO", "The daemon has opened its listeners.")
    DRAIN_STARTED = EventDefinition(
        101, "INFO", "A stop was requested; the process is no longer ready."
    )
    DRAIN_FINISHED = EventDefinition(102, "INFO", "All requests in flight have finished.")
    DRAIN_LIMIT = EventDefinition(
        103, "ERROR", "The drain time limit expired with requests in flight."
    )
    READINESS_CHANGED = EventDefinition(104, "INFO", "The readiness of this process changed.")
    INTERNAL_ERROR = EventDefinition(105, "ERROR", "An unexpected error occurred.")

    LOOP_STALLED = EventDefinition(
        106,
        "WARNING",
        "The event loop ran nothing for some time; the line tells how much of it used the "
        "processor.",
    )

    REQUEST_ROUTED = EventDefinition(
        200, "INFO", "A request was sent to a replica; the line gives the reason."
    )
    REQUEST_REFUSED = EventDefinition(
        201, "INFO", "A request was rejected; the line gives the error kind."
    )
    REQUEST_FINISHED = EventDefinition(202, "INFO", "A request got a complete response.")
    REQUEST_RETRIED = EventDefinition(
        203, "INFO", "A request that is safe to repeat is sent to another replica."
    )
    STREAM_RESUMED = EventDefinition(
        204, "INFO", "An interrupted stream was resumed at its engine."
    )
    CIRCUIT_OPENED = EventDefinition(
        205, "WARNING", "A replica failed repeatedly; its circuit breaker opened."
    )
    CIRCUIT_CLOSED = EventDefinition(
        206, "INFO", "A replica responds again; its circuit breaker closed."
    )
    REQUEST_HELD = EventDefinition(207, "INFO", "A request waits for a replica that can run it.")
    ATTEMPT_FAILED = EventDefinition(208, "INFO", "An attempt at a replica got no response.")
    CALLER_LEFT = EventDefinition(
        209, "INFO", "A caller disconnected before its response was complete."
    )

    REPLICA_ENDED = EventDefinition(
        210, "WARNING", "A replica crashed while it ran requests; these requests are now suspects."
    )
    REPLICA_RESTS = EventDefinition(
        211,
        "INFO",
        "A replica rejected a request and requested a backoff; it gets no requests meanwhile.",
    )
    REPLICA_RESTED = EventDefinition(
        212, "INFO", "The backoff of a replica ended; the line counts the requests sent during it."
    )
    REPLICA_LEAVES = EventDefinition(
        213, "INFO", "A replica reported in a response that it drains; it gets no new requests."
    )
    SIGNAL_UNREADABLE = EventDefinition(
        214,
        "WARNING",
        "A signal in a replica's response cannot be parsed; it is ignored.",
    )
    REPLICA_LIMITED = EventDefinition(
        215, "INFO", "A replica advertised a rate limit in requests per second, or changed it."
    )
    REPLICA_UNLIMITED = EventDefinition(
        216,
        "INFO",
        "A replica no longer advertises a rate limit; the line counts the requests sent under it.",
    )
    REPLICA_BRITTLE = EventDefinition(
        224, "WARNING", "A replica said that it crashes if it rejects too many requests a second."
    )
    REPLICA_NOT_BRITTLE = EventDefinition(
        225, "INFO", "A replica no longer said that it crashes if it rejects too many requests."
    )

    QUARANTINE_AWAITED = EventDefinition(
        226,
        "INFO",
        "A request was held while something else could explain the crashes that quarantined it.",
    )

    REQUEST_TURN = EventDefinition(
        227,
        "INFO",
        "A request that waited is sent; the line tells its place and why it is its turn.",
    )
    WAIT_QUEUE_FULL = EventDefinition(
        228,
        "WARNING",
        "As many requests wait as may wait at this gateway; further ones are rejected.",
    )

    LINKS_LOST = EventDefinition(
        217,
        "WARNING",
        "This gateway reaches no replica of a service, although the directory lists some.",
    )
    LINKS_RESTORED = EventDefinition(
        218, "INFO", "This gateway reaches a replica of the service again."
    )
    SENT_TO_PEER = EventDefinition(
        219, "INFO", "A request was passed to another gateway that reaches replicas."
    )
    RECEIVED_FROM_PEER = EventDefinition(
        220, "INFO", "Another gateway passed on a request that it can't send to a replica itself."
    )
    PEER_FAILED = EventDefinition(
        221, "INFO", "A gateway to which a request was passed did not serve it."
    )
    REPLICA_CHECKED = EventDefinition(
        222, "INFO", "This gateway has checked whether it reaches a replica; the line says why."
    )

    CONNECTIONS_REFUSED = EventDefinition(
        223,
        "WARNING",
        "This gateway began or ceased to close new connections unread: its event loop lags.",
    )

    REPLICA_PACE_CHANGED = EventDefinition(
        235,
        "INFO",
        "Work at a replica takes a quarter more or less time than this gateway knew; 100 percent "
        "is usual.",
    )
    REPLICA_PACE_FORGOTTEN = EventDefinition(
        236, "INFO", "A replica has not reported its pace for long; it counts as usual again."
    )

    STREAM_CONTINUED = EventDefinition(
        237,
        "INFO",
        "A caller resumes a stream; it goes to replicas of the software version that began it.",
    )
    STREAM_NOT_CONTINUED = EventDefinition(
        238,
        "WARNING",
        "A stream that a caller wants to resume was rejected; the line says why.",
    )
    RETRY_DECIDED = EventDefinition(
        239,
        "INFO",
        "A retry was charged to the budget of its service, or denied; the line says what is left.",
    )
    LEVEL_CHANGED = EventDefinition(
        230,
        "INFO",
        "Admission to a service began or ceased to be limited here, because it is overloaded.",
    )
    LEVEL_EXPIRED = EventDefinition(
        231,
        "WARNING",
        "This gateway received no admission level for too long and admits everything again.",
    )
    NOT_ADMITTED = EventDefinition(
        232,
        "INFO",
        "A request was rejected: its tenant asks for more than its share of an overloaded service.",
    )
    SUSPICIONS_ADOPTED = EventDefinition(
        233,
        "INFO",
        "The group reports that several gateways do not reach replicas; they are chosen last here.",
    )
    SUSPICIONS_DROPPED = EventDefinition(
        234,
        "INFO",
        "The group no longer reports that several gateways do not reach replicas, or not in time.",
    )

    ROLE_CHANGED = EventDefinition(300, "INFO", "This control member changed its role.")
    LOG_TAIL_CUT = EventDefinition(
        301, "WARNING", "An incomplete, unsynced record at the end of the log was truncated."
    )
    LOG_DAMAGED = EventDefinition(
        302, "ERROR", "The log is corrupt before its end; the member does not start."
    )
    INVARIANT_BROKEN = EventDefinition(
        303, "CRITICAL", "An invariant was violated; the process stops."
    )
    PEER_CONNECTED = EventDefinition(304, "INFO", "A stream to a control member was opened.")
    PEER_LOST = EventDefinition(305, "INFO", "A stream to a control member was closed.")
    SNAPSHOT_TAKEN = EventDefinition(306, "INFO", "The log was compacted into a snapshot.")
    SNAPSHOT_INSTALLED = EventDefinition(307, "INFO", "A snapshot from the leader was installed.")
    MEMBERS_CHANGED = EventDefinition(308, "INFO", "The group's membership changed.")

    JOIN_ASKED = EventDefinition(309, "INFO", "This member requested to join the group.")
    GROUP_FORMED = EventDefinition(310, "INFO", "This member formed a new group with its seeds.")
    STORAGE_FAILED = EventDefinition(311, "ERROR", "A disk write failed; it is retried.")

    LEADER_FOUND = EventDefinition(
        312, "INFO", "A control process without a disk found the leader."
    )

    MEMBER_STALLED = EventDefinition(
        313,
        "WARNING",
        "This control member did not run for a while and sent no messages meanwhile.",
    )
    STORAGE_SLOW = EventDefinition(
        314, "WARNING", "A disk write has not finished; nothing is applied meanwhile."
    )

    MEMBER_BEHIND = EventDefinition(
        315,
        "WARNING",
        "This member is missing state that the leader confirmed; its followers are redirected.",
    )
    GROUP_NOT_FOUND = EventDefinition(
        316, "WARNING", "No process that this process contacted knows where the control group is."
    )
    GROUP_TOLD = EventDefinition(
        317,
        "INFO",
        "A leader reported the location of the control group to this process without a request.",
    )
    COMMAND_REJECTED = EventDefinition(
        319, "WARNING", "A command can't be a log entry and was not proposed; the line says why."
    )

    CONFIGURATION_ACCEPTED = EventDefinition(400, "INFO", "A configuration change was committed.")
    CONFIGURATION_REFUSED = EventDefinition(401, "INFO", "A configuration change was rejected.")
    CONFIGURATION_ADOPTED = EventDefinition(402, "INFO", "This entry serves a new revision.")
    CURRENCY_LOST = EventDefinition(
        403, "WARNING", "This entry cannot prove that its configuration is current."
    )

    ROUTES_PUBLISHED = EventDefinition(404, "INFO", "A route configuration took effect.")
    ROUTES_REFUSED = EventDefinition(
        405, "INFO", "A route configuration was rejected; the line gives the reason."
    )
    ROUTES_ADOPTED = EventDefinition(406, "INFO", "This gateway serves a newer route version.")
    SETTINGS_RELOADED = EventDefinition(407, "INFO", "The settings file was read again.")
    SETTINGS_REFUSED = EventDefinition(
        408, "ERROR", "Changed settings are invalid; the previous ones stay in effect."
    )

    ROUTES_AWAITED = EventDefinition(
        409,
        "WARNING",
        "This gateway is missing routes or replicas that its control member confirmed.",
    )

    FLEET_CHANGED = EventDefinition(
        500, "INFO", "A replica appeared, changed its state or was removed."
    )
    PLACEMENT_DECIDED = EventDefinition(
        501, "INFO", "A load or unload was decided; the line gives the reason."
    )
    ORDER_SETTLED = EventDefinition(502, "INFO", "An order to an engine succeeded or failed.")
    ORDER_RETRIED = EventDefinition(503, "INFO", "An unconfirmed order was sent again.")

    INSTANCE_RECORDED = EventDefinition(
        504, "INFO", "A replica was registered, or its registration changed."
    )
    INSTANCE_REMOVED = EventDefinition(505, "INFO", "A registered replica was removed permanently.")
    ORDER_ANSWERED = EventDefinition(
        506, "INFO", "An engine responded to an order, or no response arrived."
    )
    PLACEMENT_DEFERRED = EventDefinition(
        507, "INFO", "A resource that requests wait for is not loaded; the line gives the reason."
    )

    CRASH_RECORDED = EventDefinition(
        508, "WARNING", "The group recorded the crash of a replica for the requests that it ran."
    )
    REQUEST_QUARANTINED = EventDefinition(
        509, "ERROR", "Too many replicas crashed while they ran one request; gateways reject it."
    )
    SUSPECTS_CLEARED = EventDefinition(
        510,
        "INFO",
        "Requests are no longer suspects: completed, lifted by an operator, or too old.",
    )

    HEARTBEAT_REFUSED = EventDefinition(
        511, "WARNING", "A heartbeat does not describe a usable replica; it changes nothing."
    )

    INSTANCE_LEAVES = EventDefinition(
        512,
        "INFO",
        "The group recorded that a replica drains, as the replica reported in a response.",
    )
    REPLICA_LIMIT_KNOWN = EventDefinition(
        513,
        "INFO",
        "This member received the rate limit that a replica advertises, or that it has none.",
    )
    REPLICA_PACE_LEARNED = EventDefinition(
        518,
        "INFO",
        "This member learned that work at a replica takes a quarter more or less time than it "
        "knew; 100 percent is usual.",
    )

    PARTS_QUARANTINED = EventDefinition(
        514,
        "ERROR",
        "Too many replicas crashed under prompts with these parts; gateways reject such prompts.",
    )

    SERVICE_OVERLOADED = EventDefinition(
        515,
        "WARNING",
        "Callers of a service met full replicas; tenants beyond their share are cut.",
    )
    SERVICE_RELIEVED = EventDefinition(
        516, "INFO", "A service is no longer overloaded; everything is admitted again."
    )
    SUSPECTED_REPLICAS_CHANGED = EventDefinition(
        517,
        "INFO",
        "Several gateways do not reach replicas and none has reached them, or that has ended.",
    )

    CLAIM_ABANDONED = EventDefinition(600, "WARNING", "The outcome of a claimed request is lost.")
