"""Messages about the observed state of replicas and of requests on them."""

import msgspec

from crowsill.model.prompt_parts import InterruptedPrompt
from crowsill.model.replica_limits import LimitReport
from crowsill.model.suspects import SuspectChange, SuspectRequest


class SuspectsUpdate(msgspec.Struct, frozen=True, tag="suspects-update"):
    """A change of the crash record.

    Attributes:
        change: The change.
        is_full: Whether it replaces the receiver's crash record instead of extending it.
    """

    change: SuspectChange
    is_full: bool = msgspec.field(name="whole")


class ReportCrash(msgspec.Struct, frozen=True, tag="report-crash"):
    """A gateway reports that a replica crashed while it ran requests.

    A follower forwards it to the leader.

    Attributes:
        instance_id: Id of the incarnation that crashed.
        requests: Requests of this gateway that were running there.
        ago_s: Seconds from the crash until this message was sent.
        prompts: Prompts of this gateway that were running there, also those of requests that are
            no suspects.
    """

    instance_id: str = msgspec.field(name="life")
    requests: list[SuspectRequest]
    ago_s: float
    prompts: list[InterruptedPrompt] = []


class ClearRequests(msgspec.Struct, frozen=True, tag="clear-requests"):
    """A gateway reports that suspect requests, or requests on a crashed replica, completed.

    A follower forwards it to the leader.

    Attributes:
        fingerprints: Fingerprints of the requests.
        completed_ago_s: Seconds from the completion of each request until this message was sent,
            in the same order; infinite if the gateway no longer knows it.
    """

    fingerprints: list[bytes]
    completed_ago_s: list[float] = msgspec.field(default_factory=list, name="whole_ago_s")


class StartSuspectRun(msgspec.Struct, frozen=True, tag="start-suspect-run"):
    """A gateway asks for permission to run a suspect on a replica.

    The response is `Submitted`, whose result tells whether the run may begin. A follower forwards
    the request to the leader.

    Attributes:
        run_id: Id of the run, chosen by the gateway.
        request: The suspect.
        instance_id: The incarnation that is to run it.
    """

    run_id: str
    request: SuspectRequest
    instance_id: str


class FinishSuspectRun(msgspec.Struct, frozen=True, tag="finish-suspect-run"):
    """A gateway reports that the run of a suspect has ended, and that it saw no crash.

    A follower forwards it to the leader.

    Attributes:
        run_id: Id of the run.
        is_interrupted: Whether the replica received the request and did not complete its response.
    """

    run_id: str
    is_interrupted: bool = False


class ReportSoundParts(msgspec.Struct, frozen=True, tag="report-sound-parts"):
    """A gateway reports that replicas responded to prompts with suspect parts.

    A follower forwards it to the leader.

    Attributes:
        parts: Digests of the parts.
        ago_s: Seconds from the begin of the last response to each part until this message was
            sent, in the same order.
    """

    parts: list[bytes]
    ago_s: list[float]


CrashRequest = ReportCrash | ClearRequests | StartSuspectRun | FinishSuspectRun | ReportSoundParts


class ReplicaGrantRequest(msgspec.Struct, frozen=True, tag="replica-grant-request"):
    """A gateway requests permission to send one request to a replica that advertises a rate limit.

    A follower forwards it to the leader, which responds with a `GrantReply`.

    Attributes:
        report: The replica and its limit, as far as the gateway knows it.
        is_urgent: Whether the request cannot wait.
    """

    report: LimitReport = msgspec.field(name="word")
    is_urgent: bool = True


class DemandNotice(msgspec.Struct, frozen=True, tag="demand-notice"):
    """Resources that requests wait for and no replica has.

    Attributes:
        missing: The resources. For those of `software_versions`, the number of streams that found
            them missing since the last notice; 0 if all were reported before.
        software_versions: Software versions of the replicas that may serve them, by resource, for
            requests that resume streams.
    """

    missing: dict[str, int] = msgspec.field(name="wanted")
    software_versions: dict[str, list[str]] = {}


class SeenInstances(msgspec.Struct, frozen=True, tag="seen-instances"):
    """Incarnations whose heartbeats a follower received since its previous message."""

    instance_ids: list[str]


class DrainingInstances(msgspec.Struct, frozen=True, tag="leaving-instances"):
    """Incarnations that reported in responses that they drain.

    A gateway repeats the message until the directory marks them as draining.
    """

    instance_ids: list[str]


class SuspectInstances(msgspec.Struct, frozen=True, tag="suspect-instances"):
    """Incarnations to which a gateway has just failed to connect.

    A follower forwards it to the leader.

    Attributes:
        instance_ids: Their ids.
        gateway: Identity of the gateway; empty if it takes no part in what gateways know together,
            or may have lost its own links.
        reached_ids: Ids of incarnations that the gateway reached or heard from.
        reached_ago_s: Seconds since then until this message was sent, in the same order.
    """

    instance_ids: list[str]
    gateway: str = ""
    reached_ids: list[str] = []
    reached_ago_s: list[float] = []


class ReplicaLimitsNotice(msgspec.Struct, frozen=True, tag="replica-limits"):
    """Rate limits that replicas have just advertised to a gateway or stopped advertising."""

    reports: list[LimitReport] = msgspec.field(name="words")
