"""What one exchange asks before each sending: has its request ended replicas before?"""

import asyncio

from crowsill.errors import ErrorKind
from crowsill.gateway.attempt import AttemptEnd, AttemptResult
from crowsill.gateway.context import ExchangeContext
from crowsill.gateway.exchange_log import ExchangeLog
from crowsill.gateway.rejection import Rejection
from crowsill.gateway.replica_feedback import FAILED_STATUS
from crowsill.gateway.request import CallerRequest
from crowsill.model.instances import Instance
from crowsill.model.suspects import MAX_HOST_AND_PATH_LENGTH, SuspectRequest

# What is held back stays so for an hour (`ControlSettings.quarantine_s`) or until an operator lifts
# it: no caller gains by coming back within minutes.
QUARANTINE_RETRY_S = 300.0
# A suspect waits so long for another sending of it that is under way here: most answers take less.
COPY_WAIT_S = 1.0
# Whole answers to requests up to this size are remembered, which takes 2 to 8 us each. What many
# callers send alike is small; large prompts differ.
REMEMBERED_BODY_BYTES = 1024
COPY_POLL_S = 0.05
COPY_RETRY_S = 1.0
_COPY_UNDER_WAY = Rejection(
    ErrorKind.OVERLOADED,
    "the same request is under way, and a replica ended while it ran before",
    COPY_RETRY_S,
)


class RepeatGuard:
    """The guard of one request."""

    def __init__(self, context: ExchangeContext, request: CallerRequest, log: ExchangeLog) -> None:
        self._context = context
        self._request = request
        self._log = log
        self._loop = asyncio.get_running_loop()
        self._known: bytes | None = None
        self._known_ends = 0

    @property
    def _fingerprint(self) -> bytes:
        if self._known is None:
            self._known = self._log.fingerprint
        return self._known

    def quarantine(self) -> Rejection | None:
        """Return why the request may be sent to no replica, or None."""
        guard = self._context.crash_guard
        if not guard.has_suspects or not guard.is_quarantined(self._fingerprint):
            return None
        # The fingerprint leads from here to the lines that tell why, and to the lifting of it.
        detail = f"replicas ended while they ran it; fingerprint {self._fingerprint.hex()}"
        return Rejection(ErrorKind.QUARANTINED, detail, QUARANTINE_RETRY_S)

    async def admit_copy(self) -> Rejection | None:
        """Wait while another sending of a suspect is under way here; return why not to send it.

        Before the count is known everywhere, copies sent side by side would end a replica each.
        """
        guard = self._context.crash_guard
        until_s = self._loop.time() + COPY_WAIT_S
        while (
            guard.has_suspects
            and guard.is_suspect(self._fingerprint)
            and guard.is_under_way(self._fingerprint)
        ):
            if self._loop.time() >= until_s or self._context.is_stopping():
                return _COPY_UNDER_WAY
            await self._context.wait_for_change(COPY_POLL_S)
        return self.quarantine()

    def begin(self) -> bool:
        """A sending begins; return whether `finish` is to be called as it ends."""
        guard = self._context.crash_guard
        if not guard.has_suspects:
            self._known_ends = 0
            return False
        self._known_ends = guard.ends(self._fingerprint)
        guard.begin(self._fingerprint)
        return True

    def finish(self) -> None:
        """A sending that was begun has ended."""
        self._context.crash_guard.finish(self._fingerprint)

    def learn(self, instance: Instance, end: AttemptEnd, sent_s: float) -> None:
        """Take in how a sending ended that was sent at a clock."""
        watch, guard = self._context.crash_watch, self._context.crash_guard
        if end.is_broken:
            watch.note_break(instance, self._suspect(sent_s))
            return
        is_good = end.result is AttemptResult.COMPLETE and end.status < FAILED_STATUS
        is_small = len(self._request.body) <= REMEMBERED_BODY_BYTES
        if is_good and (guard.has_suspects or is_small):
            watch.note_success(self._fingerprint)

    def abandon(self, instance: Instance, sent_s: float) -> None:
        """A sending is given up before its end: the caller left, or its time is over."""
        self._context.crash_watch.note_left(instance, self._suspect(sent_s))

    def _suspect(self, sent_s: float) -> SuspectRequest:
        return SuspectRequest(
            self._fingerprint,
            self._log.request_id,
            f"{self._request.host}{self._request.path}"[:MAX_HOST_AND_PATH_LENGTH],
            self._log.service,
            ran_s=self._loop.time() - sent_s,
            known_crashes=self._known_ends,
        )

    async def may_repeat(self, instance: Instance, end: AttemptEnd) -> bool:
        """Whether the request may go to another replica after such an end.

        A request that may be repeated three times would else end three replicas by itself.
        """
        if not end.is_broken:
            return True
        if not await self._context.crash_watch.has_ended(instance.instance_id):
            return True
        return self._context.crash_guard.may_repeat(self._fingerprint)
