"""Converts gateways' reports on requests and crashed replicas into commands. Pure."""

from crowsill.state.commands import (
    BeginSuspectRun,
    ClearSuspects,
    CrashCommand,
    EndSuspectRun,
    NoteSoundParts,
    RecordCrash,
)
from crowsill.transport.replica_messages import (
    ClearRequests,
    CrashRequest,
    FinishSuspectRun,
    ReportCrash,
    ReportSoundParts,
    StartSuspectRun,
)


def to_crash_command(request: CrashRequest) -> CrashCommand:
    """Return the command that records what a gateway reported.

    >>> to_crash_command(ClearRequests([b"f"], [2.0]))
    ClearSuspects(fingerprints=[b'f'], reason='answered whole', at_s=0.0, completed_ago_s=[2.0])
    """
    match request:
        case ReportCrash():
            return RecordCrash(
                request.instance_id, request.requests, request.ago_s, prompts=request.prompts
            )
        case ClearRequests():
            return ClearSuspects(
                request.fingerprints, "answered whole", completed_ago_s=request.completed_ago_s
            )
        case StartSuspectRun():
            return BeginSuspectRun(request.run_id, request.request, request.instance_id)
        case FinishSuspectRun():
            return EndSuspectRun(request.run_id, request.is_interrupted)
        case ReportSoundParts():
            return NoteSoundParts(request.parts, request.ago_s)
