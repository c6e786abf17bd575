"""Asks the control group before a suspect is sent: one gateway at a time runs it.

The group remembers the run, so that a crash counts even if this gateway is killed before it can
report it.
"""

import secrets
from collections.abc import Awaitable, Callable
from enum import StrEnum

from crowsill.gateway.crash_watch import CrashWatch
from crowsill.model.suspects import SuspectRequest
from crowsill.state.commands import Acknowledged
from crowsill.transport.messages import Body, Submitted
from crowsill.transport.replica_messages import FinishSuspectRun, StartSuspectRun

# A commit takes a few round trips between zones.
RESPONSE_TIMEOUT_S = 0.4
RUN_ID_BYTES = 8


class RunPermission(StrEnum):
    """The group's answer to a request to run a suspect.

    Attributes:
        GRANTED: It may run.
        REFUSED: It is running elsewhere, or another suspect is running on the replica.
        NO_LEADER: No leader answered in time.
        NO_GROUP: This gateway is connected to no member of the group.
    """

    GRANTED = "granted"
    REFUSED = "refused"
    NO_LEADER = "no_leader"
    NO_GROUP = "no_group"


class SuspectRunClient:
    """Starts and ends runs of suspects at the control group."""

    def __init__(
        self,
        query: Callable[[StartSuspectRun, float], Awaitable[Body | None]],
        is_connected: Callable[[], bool],
        watch: CrashWatch,
    ) -> None:
        """Create a client.

        Args:
            query: Sends a request to the control group; returns the reply, or None if there was
                none within the given seconds.
            is_connected: Whether a member of the group is connected.
            watch: Detects crashes, and repeats reports until the group has accepted them.
        """
        self._query = query
        self._is_connected = is_connected
        self._watch = watch

    def new_run_id(self) -> str:
        """Return the id of a new run."""
        return secrets.token_hex(RUN_ID_BYTES)

    async def start(self, run_id: str, request: SuspectRequest, instance_id: str) -> RunPermission:
        """Ask whether a suspect may run on a replica.

        Unless it is refused, the run must be ended, also if this call is cancelled: the reply may
        have been lost.
        """
        if not self._is_connected():
            return RunPermission.NO_GROUP
        reply = await self._query(StartSuspectRun(run_id, request, instance_id), RESPONSE_TIMEOUT_S)
        if not isinstance(reply, Submitted) or not isinstance(reply.result, Acknowledged):
            return RunPermission.NO_LEADER
        is_granted = reply.result.accepted
        return RunPermission.GRANTED if is_granted else RunPermission.REFUSED

    def end(self, run_id: str, instance_id: str, is_interrupted: bool = False) -> None:
        """Report the end of a run, unless its replica is found to have crashed.

        Args:
            run_id: Id of the run.
            instance_id: The incarnation that ran the request.
            is_interrupted: Whether it received the request and did not complete its response.
        """
        self._watch.report_run_end(instance_id, FinishSuspectRun(run_id, is_interrupted))
