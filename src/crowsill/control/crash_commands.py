"""What gateways tell of requests and ended replicas, as commands for the replicated state. Pure."""

from crowsill.state.commands import ClearSuspects, CrashCommand, RecordCrash
from crowsill.transport.replica_messages import ClearRequests, ReportCrash


def to_crash_command(question: ReportCrash | ClearRequests) -> CrashCommand:
    """Return the command that has the group record what a gateway saw.

    >>> to_crash_command(ClearRequests([b"f"], [2.0]))
    ClearSuspects(fingerprints=[b'f'], reason='answered whole', at_s=0.0, completed_ago_s=[2.0])
    """
    if isinstance(question, ReportCrash):
        return RecordCrash(question.life, question.requests, question.ago_s)
    return ClearSuspects(
        question.fingerprints, "answered whole", completed_ago_s=question.whole_ago_s
    )
