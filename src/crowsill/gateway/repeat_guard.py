"""Protects replicas from a request that crashed replicas before; checked before each attempt."""

import asyncio

from crowsill.errors import ErrorKind
from crowsill.gateway.attempt import AttemptEnd, AttemptResult
from crowsill.gateway.context import ExchangeContext
from crowsill.gateway.exchange_log import ExchangeLog
from crowsill.gateway.rejection import Rejection
from crowsill.gateway.replica_feedback import MIN_SERVER_ERROR_STATUS
from crowsill.gateway.request import CallerRequest
from crowsill.gateway.suspect_runs import RunPermission
from crowsill.model.instances import Instance
from crowsill.model.prompt_parts import SOUND_AFTER_S, InterruptedPrompt, format_parts
from crowsill.model.suspects import MAX_HOST_AND_PATH_LENGTH, SuspectRequest

# A quarantine lasts an hour (`ControlSettings.quarantine_s`) or until an operator lifts it, so a
# retry within minutes can't succeed.
QUARANTINE_RETRY_S = 300.0
# How long a suspect waits for a duplicate running at this gateway; most responses take less.
MAX_DUPLICATE_WAIT_S = 1.0
# Successes are remembered only of requests up to this size, which takes 2 to 8 us each. Identical
# requests of many callers are small; large prompts differ.
MAX_REMEMBERED_BODY_BYTES = 1024
DUPLICATE_POLL_S = 0.05
SETTLING_POLL_S = 0.05
MIN_REDIRECT_STATUS = 300
DUPLICATE_RETRY_S = 1.0
NO_LEADER_RETRY_S = 0.5
_DUPLICATE_RUNNING = Rejection(
    ErrorKind.OVERLOADED,
    "a duplicate of this request is running, and a replica crashed while running it before",
    DUPLICATE_RETRY_S,
)
_NOT_GRANTED = Rejection(
    ErrorKind.NOT_READY,
    "replicas crashed while running it, and no leader confirmed that no other gateway runs it",
    NO_LEADER_RETRY_S,
)


class RepeatGuard:
    """Decides for one request whether it may be sent, and reports how its attempts end."""

    def __init__(self, context: ExchangeContext, request: CallerRequest, log: ExchangeLog) -> None:
        self._context = context
        self._request = request
        self._log = log
        self._loop = asyncio.get_running_loop()
        self._cached_fingerprint: bytes | None = None
        self._known_crashes = 0
        self._run_id = ""
        self._is_interrupted = False
        self._run_asked_at_s: float | None = None
        self._rejection: Rejection | None = None
        self._first_data_at_s: float | None = None
        self._sound_timer: asyncio.TimerHandle | None = None

    @property
    def _fingerprint(self) -> bytes:
        if self._cached_fingerprint is None:
            self._cached_fingerprint = self._log.fingerprint
        return self._cached_fingerprint

    def quarantine_rejection(self) -> Rejection | None:
        """Return a rejection if the request, or a part of its prompt, is quarantined, else None."""
        return self._part_rejection() or self._request_rejection()

    def _part_rejection(self) -> Rejection | None:
        guard = self._context.crash_guard.parts
        parts = guard.find_quarantined(self._log.shared_parts) if guard.has_quarantined else []
        if not parts:
            return None
        detail = f"replicas crashed while running prompts with part {format_parts(parts)}"
        return Rejection(ErrorKind.QUARANTINED, detail, QUARANTINE_RETRY_S)

    def _request_rejection(self) -> Rejection | None:
        guard = self._context.crash_guard
        if not guard.has_suspects or not guard.is_quarantined(self._fingerprint):
            return None
        # By the fingerprint an operator finds the log lines of the crashes, and lifts the
        # quarantine.
        detail = f"replicas crashed while running it; fingerprint {self._fingerprint.hex()}"
        return Rejection(ErrorKind.QUARANTINED, detail, QUARANTINE_RETRY_S)

    async def await_settled(self, deadline_at_s: float) -> Rejection | None:
        """Return a rejection if the request, or a part of its prompt, is quarantined, else None.

        A quarantined request is held while the group may still find another cause of the crashes.

        Args:
            deadline_at_s: Monotonic time of the request's deadline.
        """
        if not self._is_unsettled():
            return self.quarantine_rejection()
        began_at_s = self._loop.time()
        end_at_s = min(deadline_at_s - SETTLING_POLL_S, self._context.wait_limit_at_s())
        while self._is_unsettled() and self._loop.time() < end_at_s:
            await self._context.wait_for_change(SETTLING_POLL_S)
        rejection = self.quarantine_rejection()
        self._log.log_quarantine_awaited(
            self._fingerprint, self._loop.time() - began_at_s, is_released=rejection is None
        )
        return rejection

    def _is_unsettled(self) -> bool:
        """Whether the request is quarantined for crashes that something else may explain."""
        if self._part_rejection() is not None or self._request_rejection() is None:
            return False
        return not self._context.crash_guard.is_settled(self._fingerprint, self._loop.time())

    async def await_duplicate(self, deadline_at_s: float) -> Rejection | None:
        """Wait while a duplicate of a suspect runs here; return a rejection if it may not be sent.

        Duplicates sent concurrently would each crash a replica before all gateways know the count.

        Args:
            deadline_at_s: Monotonic time of the request's deadline.
        """
        guard = self._context.crash_guard
        if self._rejection is not None:
            return self._rejection
        end_at_s = self._loop.time() + MAX_DUPLICATE_WAIT_S
        while (
            guard.has_suspects
            and guard.is_suspect(self._fingerprint)
            and guard.has_running_attempt(self._fingerprint)
        ):
            if self._loop.time() >= end_at_s or self._context.is_stopping():
                return _DUPLICATE_RUNNING
            await self._context.wait_for_change(DUPLICATE_POLL_S)
        return await self.await_settled(deadline_at_s)

    def begin_attempt(self) -> bool:
        """Register an attempt; return whether `finish_attempt` must be called at its end."""
        guard = self._context.crash_guard
        self._first_data_at_s = None
        if not guard.has_suspects:
            self._known_crashes = 0
            return False
        self._known_crashes = guard.crash_count(self._fingerprint)
        guard.begin_attempt(self._fingerprint)
        return True

    def finish_attempt(self, instance: Instance) -> None:
        """Unregister an attempt that has ended."""
        self._context.crash_guard.finish_attempt(self._fingerprint)
        if self._run_id:
            runs = self._context.suspect_runs
            runs.end(self._run_id, instance.instance_id, self._is_interrupted)
            self._run_id = ""

    async def may_run(self, instance: Instance) -> bool:
        """Whether the request may be sent to a replica now; a suspect needs the group's permission.

        If it may not, the caller chooses a replica again; `await_duplicate` then returns a
        rejection if the request has waited long enough. If no leader answers, a request with a
        single crash is sent all the same: most of these did not cause it.
        """
        guard = self._context.crash_guard
        self._is_interrupted = False
        if not guard.is_suspect(self._fingerprint):
            return True
        runs = self._context.suspect_runs
        self._run_id = runs.new_run_id()
        request = self._suspect_request(self._loop.time())
        permission = await runs.start(self._run_id, request, instance.instance_id)
        if permission is RunPermission.GRANTED:
            return True
        if self._run_asked_at_s is None:
            self._run_asked_at_s = self._loop.time()
        has_waited = self._loop.time() - self._run_asked_at_s >= MAX_DUPLICATE_WAIT_S
        if permission in (RunPermission.NO_LEADER, RunPermission.NO_GROUP):
            is_final = has_waited or permission is RunPermission.NO_GROUP
            if is_final and guard.may_repeat(self._fingerprint):
                return True
            runs.end(self._run_id, instance.instance_id)
        self._run_id = ""
        if has_waited:
            is_running = permission is RunPermission.REFUSED
            self._rejection = _DUPLICATE_RUNNING if is_running else _NOT_GRANTED
        else:
            await self._context.wait_for_change(DUPLICATE_POLL_S)
        return False

    def note_first_data(self) -> None:
        """Note that the first byte of the current attempt's response arrived."""
        self._first_data_at_s = self._loop.time()
        if self._log.shared_parts:
            self._sound_timer = self._loop.call_later(SOUND_AFTER_S, self._note_sound)

    def _note_sound(self) -> None:
        """Note that the replica has survived the begin of its response to the prompt."""
        if self._first_data_at_s is not None:
            self._context.crash_watch.note_sound_prompt(
                self._log.shared_parts, self._first_data_at_s
            )

    def _cancel_sound_timer(self) -> None:
        if self._sound_timer is not None:
            self._sound_timer.cancel()
            self._sound_timer = None

    def note_attempt_end(self, instance: Instance, end: AttemptEnd, sent_at_s: float) -> None:
        """Report how an attempt ended.

        Args:
            instance: The replica.
            end: The end of the attempt.
            sent_at_s: Monotonic time at which the request was sent.
        """
        watch, guard = self._context.crash_watch, self._context.crash_guard
        self._cancel_sound_timer()
        if end.is_broken:
            self._is_interrupted = True
            watch.note_broken_response(instance, self._suspect_request(sent_at_s))
            return
        succeeded = end.result is AttemptResult.COMPLETE and end.status < MIN_SERVER_ERROR_STATUS
        if succeeded and end.status < MIN_REDIRECT_STATUS:
            self._note_sound()
        is_small = len(self._request.body) <= MAX_REMEMBERED_BODY_BYTES
        if succeeded and (guard.has_suspects or is_small):
            watch.note_success(self._fingerprint)

    def note_abandoned(self, instance: Instance, sent_at_s: float) -> None:
        """Report an attempt whose caller disconnected, or whose deadline passed, before its end."""
        self._cancel_sound_timer()
        self._is_interrupted = True
        self._context.crash_watch.note_abandoned(instance, self._suspect_request(sent_at_s))

    def _suspect_request(self, sent_at_s: float) -> SuspectRequest:
        return SuspectRequest(
            self._fingerprint,
            self._log.request_id,
            f"{self._request.host}{self._request.path}"[:MAX_HOST_AND_PATH_LENGTH],
            self._log.service,
            ran_s=self._loop.time() - sent_at_s,
            known_crashes=self._known_crashes,
            prompt=self._interrupted_prompt(sent_at_s),
        )

    def _interrupted_prompt(self, sent_at_s: float) -> InterruptedPrompt | None:
        parts = self._log.shared_parts
        if not parts:
            return None
        now_s, first_data_at_s = self._loop.time(), self._first_data_at_s
        wrote_s = -1.0 if first_data_at_s is None else now_s - first_data_at_s
        return InterruptedPrompt(self._log.request_id, parts, now_s - sent_at_s, wrote_s)

    async def may_repeat(self, instance: Instance, end: AttemptEnd) -> bool:
        """Whether the request may be sent to another replica after this end of an attempt.

        Otherwise a single request with three attempts could crash three replicas.
        """
        if not end.is_broken:
            return True
        if not await self._context.crash_watch.has_crashed(instance.instance_id):
            return True
        return self._context.crash_guard.may_repeat(self._fingerprint)
