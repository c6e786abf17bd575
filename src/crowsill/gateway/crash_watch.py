"""Detects whether a replica with an interrupted response has crashed, and reports it to the group.

A broken response alone proves little: connections are reset, links fail, responses are malformed. A
replica counts as crashed if all of its connections are closed and its machine refuses new ones.
"""

import asyncio
import functools
import math
from collections import OrderedDict, deque
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec

from crowsill.clock import monotonic_s
from crowsill.events import Event
from crowsill.gateway.crash_guard import CrashGuard
from crowsill.gateway.pool import ConnectError, ConnectionPool
from crowsill.logs import log_event
from crowsill.model.instances import Instance
from crowsill.model.prompt_parts import InterruptedPrompt
from crowsill.model.suspects import (
    SuspectChange,
    SuspectRequest,
    fingerprint_list,
    parts_list,
)
from crowsill.transport.messages import Body, Submitted
from crowsill.transport.replica_messages import (
    ClearRequests,
    FinishSuspectRun,
    ReportCrash,
    ReportSoundParts,
)

# Delays before each check whether the replica's port is open. The close of one connection may be
# received before that of the others: a lost packet is sent again after 0.2 s, and then 0.4 s later.
CHECK_DELAYS_S = (0.05, 0.05, 0.2, 0.5)
CHECK_TIMEOUT_S = 0.5
# How long a caller's request waits for the check: one round trip and a second check.
MAX_CRASH_CHECK_WAIT_S = 0.3
# A gateway that reaches no replica can't tell a crash from a loss of its own links. Within this
# time, the group removes a replica that crashed from the directory, or records its crash for
# another gateway, also if it has to elect a leader first.
REMOVAL_WAIT_S = 6.0
REMOVAL_POLL_S = 0.1
RESPONSE_TIMEOUT_S = 0.8
REPORT_RETRY_S = 0.05
# A report that is not accepted within this time is dropped: without a leader no other gateway could
# learn of it, and the next crash during the same request is reported again.
MAX_REPORT_TIME_S = 15.0
# A report that was accepted after a longer time may have been delayed on its way, so that the group
# assumes a later crash. It is repeated, at most so often.
MAX_REPORT_DELAY_S = 0.15
MAX_REPEATED_REPORTS = 3
# Successes within this time are reported in one message.
CLEAR_BATCH_DELAY_S = 0.05
MAX_REQUESTS_PER_REPORT = 64
# A request whose caller disconnected is a suspect if its replica crashes within this time: replicas
# abort it when its connection closes, but not immediately.
ABANDONED_MEMORY_S = 1.0
MAX_ABANDONED_PER_INSTANCE = 64
MAX_REMEMBERED_CRASHES = 1000
# A draining replica finishes its requests for longer than this before its planned end.
MIN_DRAIN_S = 1.0

GroupRequest = ReportCrash | ClearRequests | FinishSuspectRun | ReportSoundParts


class CrashWatch:
    """Checks replicas whose responses were interrupted."""

    def __init__(
        self,
        pool: ConnectionPool,
        guard: CrashGuard,
        query: Callable[[GroupRequest, float], Awaitable[Body | None]],
        on_crashed: Callable[[str], None],
        *,
        find_lost_beside: Callable[[Instance, Callable[[str], bool]], Awaitable[list[str]]],
        is_listed: Callable[[str], bool],
        draining_for_s: Callable[[str], float] = lambda _instance_id: math.inf,
    ) -> None:
        """Create a watch.

        Args:
            pool: Connections to replicas.
            guard: Receives each crash and the requests that were running.
            query: Sends a request to the control group; returns the reply, or None if there was
                none within the given seconds.
            on_crashed: Receives the id of each instance that crashed.
            find_lost_beside: Returns the ids of instances that show that this gateway lost its own
                links, see `ReplicaWatch.find_lost_beside`; none if the instance alone is lost.
            is_listed: Whether the directory lists an instance as running.
            draining_for_s: Returns for how many seconds an instance is known to drain.
        """
        self._pool = pool
        self._guard = guard
        self._query = query
        self._on_crashed = on_crashed
        self._find_lost_beside = find_lost_beside
        self._is_listed = is_listed
        self._draining_for_s = draining_for_s
        self._loop = asyncio.get_running_loop()
        self._broken: dict[str, list[SuspectRequest]] = {}
        self._interrupted_at_s: dict[str, float] = {}
        # By instance: requests whose callers disconnected while they ran, with the monotonic time.
        self._abandoned: dict[str, deque[tuple[float, SuspectRequest]]] = {}
        self._checks: dict[str, asyncio.Task[bool]] = {}
        self._crashed: OrderedDict[str, None] = OrderedDict()
        self._cleared: set[bytes] = set()
        self._sound_parts: set[bytes] = set()
        self._tasks: set[asyncio.Future[float | None]] = set()

    def note_broken_response(self, instance: Instance, request: SuspectRequest) -> None:
        """Check a replica that interrupted its response to a request."""
        if self._may_end_by_plan(instance):
            return
        instance_id = instance.instance_id
        self._broken.setdefault(instance_id, []).append(request)
        self._interrupted_at_s.setdefault(instance_id, self._loop.time())
        if instance_id in self._crashed:
            self._record_crash(instance)
        elif instance_id not in self._checks:
            self._start_check(instance)

    def _may_end_by_plan(self, instance: Instance) -> bool:
        """Whether a replica may stop now, with requests in flight, without having crashed."""
        if instance.accepts_work:
            return False
        return self._draining_for_s(instance.instance_id) >= MIN_DRAIN_S

    def _start_check(self, instance: Instance) -> None:
        instance_id = instance.instance_id
        check = asyncio.create_task(self._check(instance))
        self._checks[instance_id] = check
        check.add_done_callback(lambda _done: self._checks.pop(instance_id, None))

    def note_abandoned(self, instance: Instance, request: SuspectRequest) -> None:
        """Note that a caller disconnected, or its deadline passed, while a replica ran its request.

        The closed connection hides a crash: only the next request finds the port closed.
        """
        abandoned = self._abandoned.setdefault(
            instance.instance_id, deque(maxlen=MAX_ABANDONED_PER_INSTANCE)
        )
        abandoned.append((self._loop.time(), request))

    def note_refused_connection(self, instance: Instance) -> None:
        """Check a replica that refused a connection.

        It may have crashed during a request whose caller disconnected.
        """
        instance_id = instance.instance_id
        if (
            not self._recently_abandoned(instance_id)
            or self._may_end_by_plan(instance)
            or instance_id in self._checks
        ):
            return
        self._interrupted_at_s.setdefault(instance_id, self._loop.time())
        self._start_check(instance)

    def _recently_abandoned(self, instance_id: str) -> list[SuspectRequest]:
        """Return requests abandoned within `ABANDONED_MEMORY_S` before the interruption."""
        since_at_s = self._interrupted_at_s.get(instance_id, self._loop.time()) - ABANDONED_MEMORY_S
        return [
            request
            for abandoned_at_s, request in self._abandoned.get(instance_id, ())
            if abandoned_at_s >= since_at_s
        ]

    @property
    def has_pending_reports(self) -> bool:
        """Whether a check or a report to the group is still running."""
        return bool(self._checks or self._tasks)

    def drop_replica(self, instance_id: str) -> None:
        """Forget the abandoned requests of a replica that gets no more work."""
        self._abandoned.pop(instance_id, None)

    async def has_crashed(self, instance_id: str) -> bool:
        """Whether a replica with an interrupted response has crashed; waits for a running check."""
        check = self._checks.get(instance_id)
        if check is not None:
            await asyncio.wait([check], timeout=MAX_CRASH_CHECK_WAIT_S)
        return instance_id in self._crashed

    async def _check(self, instance: Instance) -> bool:
        instance_id = instance.instance_id
        for delay_s in CHECK_DELAYS_S:
            await asyncio.sleep(delay_s)
            checked = len(self._broken.get(instance_id, ()))
            if not await self._refuses_connections(instance):
                # The replica may have crashed since it accepted the connection.
                return self._forget_broken(instance_id, checked) and await self._check(instance)
            # A replica that refuses because it has too many connections still serves the others.
            if self._pool.has_open(instance.instance_id):
                continue
            if not await self._is_confirmed(instance):
                break
            self._record_crash(instance)
            return True
        self._forget_broken(instance_id, len(self._broken.get(instance_id, ())))
        return False

    def _forget_broken(self, instance_id: str, number: int) -> bool:
        """Forget the first interrupted responses of a replica; return whether any is left."""
        left = self._broken.pop(instance_id, [])[number:]
        self._interrupted_at_s.pop(instance_id, None)
        if left:
            self._broken[instance_id] = left
            self._interrupted_at_s[instance_id] = self._loop.time()
        return bool(left)

    async def _is_confirmed(self, instance: Instance) -> bool:
        """Whether a replica that refuses connections has crashed, and not this gateway's links.

        If other replicas were lost at the same moment, the group must soon remove the replica, or
        record its crash for another gateway. Crashes of the others that the group records explain
        why they were lost.
        """
        end_at_s = self._loop.time() + REMOVAL_WAIT_S
        instance_id = instance.instance_id
        lost_beside = await self._find_lost_beside(instance, self._guard.has_crashed)
        while lost_beside:
            if not self._is_listed(instance_id) or self._guard.has_crashed(instance_id):
                return True
            if self._loop.time() >= end_at_s:
                return False
            if all(self._guard.has_crashed(other_id) for other_id in lost_beside):
                lost_beside = await self._find_lost_beside(instance, self._guard.has_crashed)
            else:
                await asyncio.sleep(REMOVAL_POLL_S)
        return True

    async def _refuses_connections(self, instance: Instance) -> bool:
        """Whether the replica's machine refuses the connection; a timeout is no proof."""
        try:
            connection = await self._pool.open_connection(instance, CHECK_TIMEOUT_S)
        except ConnectError as error:
            return error.is_refused
        self._pool.release(instance.instance_id, connection, True)
        return False

    def _record_crash(self, instance: Instance) -> None:
        """Count the crash of a replica for all requests that it ran, and report it."""
        instance_id = instance.instance_id
        if instance_id not in self._crashed:
            self._crashed[instance_id] = None
            if len(self._crashed) > MAX_REMEMBERED_CRASHES:
                self._crashed.popitem(last=False)
            self._on_crashed(instance_id)
        interrupted = self._broken.pop(instance_id, []) + self._recently_abandoned(instance_id)
        requests = self._select_suspects(interrupted)
        self._abandoned.pop(instance_id, None)
        crashed_at_s = self._interrupted_at_s.pop(instance_id, self._loop.time())
        for request in requests:
            self._guard.note_crash(
                request.fingerprint, instance_id, crashed_at_s - request.ran_s, crashed_at_s
            )
        log_event(
            Event.REPLICA_ENDED,
            replica=instance_id,
            requests=len(requests),
            fingerprints=fingerprint_list(requests),
            interrupted=len(interrupted),
            parts=parts_list(interrupted),
        )
        prompts = [request.prompt for request in interrupted if request.prompt is not None]
        requests = [msgspec.structs.replace(request, prompt=None) for request in requests]
        for start in range(0, max(len(requests), len(prompts)), MAX_REQUESTS_PER_REPORT):
            end = start + MAX_REQUESTS_PER_REPORT
            self._start_task(
                self._report_crash(
                    instance_id, requests[start:end], prompts[start:end], crashed_at_s
                )
            )

    def _select_suspects(self, requests: list[SuspectRequest]) -> list[SuspectRequest]:
        """Return the requests that are suspects, and report the others as successful.

        Successes are reported at the first crash: they are known only to this process, and without
        them other gateways would quarantine such requests for crashes of other causes.
        """
        now_s = self._loop.time()
        suspects = []
        for request in requests:
            if self._guard.succeeded_recently(request.fingerprint, now_s):
                self._clear_soon(request.fingerprint)
            else:
                suspects.append(request)
        return suspects

    async def _report_crash(
        self,
        instance_id: str,
        requests: list[SuspectRequest],
        prompts: list[InterruptedPrompt],
        crashed_at_s: float,
    ) -> None:
        for _ in range(1 + MAX_REPEATED_REPORTS):
            taken_s = await self._report(
                lambda: ReportCrash(
                    instance_id, requests, self._loop.time() - crashed_at_s, prompts
                )
            )
            if taken_s is None or taken_s <= MAX_REPORT_DELAY_S:
                break
        # Reported or dropped: from now on only the group's record counts.
        for request in requests:
            self._guard.drop_own_crash(request.fingerprint, instance_id)

    def report_run_end(self, instance_id: str, message: FinishSuspectRun) -> None:
        """Report that the run of a suspect has ended, unless its replica has crashed."""
        self._start_task(self._report_run_end(instance_id, message))

    async def _report_run_end(self, instance_id: str, message: FinishSuspectRun) -> None:
        check = self._checks.get(instance_id)
        if check is not None:
            await asyncio.wait([check])
        # The report of a crash ends the runs on the replica.
        if instance_id not in self._crashed:
            await self._report(lambda: message)

    def note_success(self, fingerprint: bytes) -> None:
        """Note a complete response, which clears the request of suspicion."""
        if self._guard.note_success(fingerprint, self._loop.time()):
            self._clear_soon(fingerprint)

    def adopt(self, change: SuspectChange, is_full: bool) -> None:
        """Apply a change of the group's crash record; report suspects that succeeded recently."""
        now_s = self._loop.time()
        self._guard.adopt(change, is_full, now_s)
        if change.parts is not None:
            self._report_sound_soon(self._guard.parts.adopt(change.parts, now_s))
        for item in change.changed:
            if item.crashed_instances and self._guard.succeeded_recently(item.fingerprint, now_s):
                self._guard.clear_suspect(item.fingerprint)
                self._clear_soon(item.fingerprint)

    def note_sound_prompt(self, parts: list[bytes], began_at_s: float) -> None:
        """Note that a replica responded to a prompt and did not crash.

        Args:
            parts: Digests of the shared parts of the prompt.
            began_at_s: Monotonic time at which the response began.
        """
        self._report_sound_soon(self._guard.parts.note_sound(parts, began_at_s, self._loop.time()))

    def _report_sound_soon(self, parts: list[bytes]) -> None:
        if parts and not self._sound_parts:
            self._start_task(self._report_sound_parts())
        self._sound_parts.update(parts)

    async def _report_sound_parts(self) -> None:
        await asyncio.sleep(CLEAR_BATCH_DELAY_S)
        sound, self._sound_parts = sorted(self._sound_parts), set()
        for start in range(0, len(sound), MAX_REQUESTS_PER_REPORT):
            parts = sound[start : start + MAX_REQUESTS_PER_REPORT]
            self._start_task(self._report(functools.partial(self._sound_message, parts)))

    def _sound_message(self, parts: list[bytes]) -> ReportSoundParts:
        now_s = self._loop.time()
        return ReportSoundParts(
            parts, [self._guard.parts.sound_for_s(part, now_s) for part in parts]
        )

    def _clear_soon(self, fingerprint: bytes) -> None:
        if not self._cleared:
            self._start_task(self._report_cleared())
        self._cleared.add(fingerprint)

    async def _report_cleared(self) -> None:
        await asyncio.sleep(CLEAR_BATCH_DELAY_S)
        cleared, self._cleared = sorted(self._cleared), set()
        for start in range(0, len(cleared), MAX_REQUESTS_PER_REPORT):
            part = cleared[start : start + MAX_REQUESTS_PER_REPORT]
            self._start_task(self._report(functools.partial(self._clear_message, part)))

    def _clear_message(self, fingerprints: list[bytes]) -> ClearRequests:
        """Return the message that reports how long ago each request succeeded here."""
        now_s = self._loop.time()
        return ClearRequests(
            fingerprints, [self._guard.seconds_since_success(item, now_s) for item in fingerprints]
        )

    async def _report(self, make_request: Callable[[], GroupRequest]) -> float | None:
        """Report until the group accepts it; return how long that took, or None if it did not."""
        end_at_s = monotonic_s() + MAX_REPORT_TIME_S
        while (sent_at_s := monotonic_s()) < end_at_s:
            if isinstance(await self._query(make_request(), RESPONSE_TIMEOUT_S), Submitted):
                return monotonic_s() - sent_at_s
            await asyncio.sleep(REPORT_RETRY_S)
        return None

    def _start_task(self, work: Awaitable[float | None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def stop(self) -> None:
        """Cancel running checks and reports."""
        tasks: list[asyncio.Future[Any]] = [*self._tasks, *self._checks.values()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
