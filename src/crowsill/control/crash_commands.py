"""Converts gateways' reports on requests and crashed replicas into commands. Pure."""

from crowsill.state.commands import ClearSuspects, CrashCommand, RecordCrash
from crowsill.transport.replica_messages import ClearRequests, ReportCrash


def to_crash_command(request: ReportCrash | ClearRequests) -> CrashCommand:
    """Return the command that records what a gateway reported.

    >>> to_crash_command(ClearRequests([b"f"], [2.0]))
    ClearSuspects(fingerprints=[b'f'], reason='answered whole', at_s=0.0, completed_ago_s=[2.0])
    """
    if isinstance(request, ReportCrash):
        return RecordCrash(request.instance_id, request.requests, request.ago_s)
    return ClearSuspects(
        request.fingerprints, "answered whole", completed_ago_s=request.completed_ago_s
    )
