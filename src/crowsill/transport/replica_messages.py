"""Messages in which processes tell each other what they saw of replicas and their requests."""

import msgspec

from crowsill.model.replica_limits import LimitReport
from crowsill.model.suspects import SuspectChange, SuspectRequest


class SuspectsUpdate(msgspec.Struct, frozen=True, tag="suspects-update"):
    """A change of the crash record; `whole` when it holds everything."""

    change: SuspectChange
    whole: bool


class ReportCrash(msgspec.Struct, frozen=True, tag="report-crash"):
    """A gateway saw a replica end while it ran requests; a follower passes it to the leader.

    Attributes:
        life: The replica's life that ended.
        requests: What was running there for this gateway.
        ago_s: How long before this message it ended.
    """

    life: str
    requests: list[SuspectRequest]
    ago_s: float


class ClearRequests(msgspec.Struct, frozen=True, tag="clear-requests"):
    """Requests that were suspects, or ran where a replica ended, had ended whole.

    A follower passes it to the leader.

    Attributes:
        fingerprints: Which.
        whole_ago_s: How long before this message each ended whole, in the same order; infinite
            where its gateway no longer knows.
    """

    fingerprints: list[bytes]
    whole_ago_s: list[float] = []


class ReplicaGrantRequest(msgspec.Struct, frozen=True, tag="replica-grant-request"):
    """A gateway asks to send one request to a replica that names a limit.

    A follower passes it to the leader, which answers with a `GrantReply`.

    Attributes:
        word: The replica, and what the gateway knows of its limit.
        is_urgent: Whether the request cannot wait.
    """

    word: LimitReport
    is_urgent: bool = True


class DemandNotice(msgspec.Struct, frozen=True, tag="demand-notice"):
    """Resources that requests wait for and no replica holds, with their number."""

    wanted: dict[str, int]


class SeenInstances(msgspec.Struct, frozen=True, tag="seen-instances"):
    """Replicas whose heartbeats came to a follower since its last message."""

    instance_ids: list[str]


class LeavingInstances(msgspec.Struct, frozen=True, tag="leaving-instances"):
    """Replicas that said in answers that they leave; sent until the directory says so."""

    instance_ids: list[str]


class SuspectInstances(msgspec.Struct, frozen=True, tag="suspect-instances"):
    """Replicas to which a gateway could make no connection just now."""

    instance_ids: list[str]


class ReplicaLimitsNotice(msgspec.Struct, frozen=True, tag="replica-limits"):
    """Limits that replicas have just named to a gateway, or no longer name."""

    words: list[LimitReport]
