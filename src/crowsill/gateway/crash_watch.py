"""Finds out whether a replica that broke an answer off has ended, and tells the group.

A broken answer alone says little: connections are reset, links are cut, answers are garbled. A
replica that has ended has closed all of its connections, and its machine refuses new ones.
"""

import asyncio
import functools
from collections import OrderedDict, deque
from collections.abc import Awaitable, Callable

from crowsill.clock import monotonic_s
from crowsill.events import Event
from crowsill.gateway.crash_guard import CrashGuard
from crowsill.gateway.pool import ConnectError, ConnectionPool
from crowsill.logs import log_event
from crowsill.model.instances import Instance
from crowsill.model.suspects import SuspectChange, SuspectRequest
from crowsill.transport.messages import Body, Submitted
from crowsill.transport.replica_messages import ClearRequests, ReportCrash

# Pauses before each question whether a port is still open. The end of one connection may be heard
# before that of the others.
CHECK_PAUSES_S = (0.0, 0.05, 0.2)
CHECK_TIMEOUT_S = 0.5
# A caller's request waits so long for the answer: one round trip, and a second question.
VERDICT_WAIT_S = 0.3
ANSWER_TIMEOUT_S = 0.8
TELL_AGAIN_S = 0.05
# A report that nobody took for so long is given up: without a leader nobody else could learn of it,
# and the next end under the same request makes another one.
LONGEST_TELLING_S = 15.0
# Whole answers are told together.
CLEAR_PAUSE_S = 0.05
MOST_IN_ONE_REPORT = 64
# A request whose caller left is held against an end so long after: replicas drop it as its
# connection closes, but not at once.
LEFT_MEMORY_S = 1.0
MOST_LEFT = 64
REMEMBERED_ENDS = 1000

Question = ReportCrash | ClearRequests


class CrashWatch:
    """Watches replicas that broke answers off."""

    def __init__(
        self,
        pool: ConnectionPool,
        guard: CrashGuard,
        ask: Callable[[Question, float], Awaitable[Body | None]],
        on_ended: Callable[[str], None],
    ) -> None:
        """Make it.

        Args:
            pool: Connections to replicas.
            guard: Told what ended under which request.
            ask: Sends a question to the group; the reply, or None when there was none within the
                time given.
            on_ended: Receives the id of each instance that has ended.
        """
        self._pool = pool
        self._guard = guard
        self._ask = ask
        self._on_ended = on_ended
        self._loop = asyncio.get_running_loop()
        self._broken: dict[str, list[SuspectRequest]] = {}
        self._broke_s: dict[str, float] = {}
        # Requests whose callers left while a life ran them, each with the clock of that.
        self._left: dict[str, deque[tuple[float, SuspectRequest]]] = {}
        self._checks: dict[str, asyncio.Task[bool]] = {}
        self._ended: OrderedDict[str, None] = OrderedDict()
        self._cleared: set[bytes] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    def note_break(self, instance: Instance, request: SuspectRequest) -> None:
        """A replica broke the answer to a request off."""
        # A replica that leaves ends with whatever it runs: a stop is no crash.
        if not instance.accepts_work:
            return
        life = instance.instance_id
        self._broken.setdefault(life, []).append(request)
        self._broke_s.setdefault(life, self._loop.time())
        if life in self._ended:
            self._conclude(instance)
        elif life not in self._checks:
            self._begin_check(instance)

    def _begin_check(self, instance: Instance) -> None:
        life = instance.instance_id
        check = asyncio.create_task(self._check(instance))
        self._checks[life] = check
        check.add_done_callback(lambda _done: self._checks.pop(life, None))

    def note_left(self, instance: Instance, request: SuspectRequest) -> None:
        """A caller left, or its time ended, while a replica ran its request."""
        left = self._left.setdefault(instance.instance_id, deque(maxlen=MOST_LEFT))
        left.append((self._loop.time(), request))

    def note_refused(self, instance: Instance) -> None:
        """A replica refused a connection: it may have ended under a request whose caller left."""
        life = instance.instance_id
        if not self._left_lately(life) or not instance.accepts_work or life in self._checks:
            return
        self._broke_s.setdefault(life, self._loop.time())
        self._begin_check(instance)

    def _left_lately(self, life: str) -> list[SuspectRequest]:
        """Return the requests whose callers left within `LEFT_MEMORY_S` before a life broke off."""
        since_s = self._broke_s.get(life, self._loop.time()) - LEFT_MEMORY_S
        return [request for left_s, request in self._left.get(life, ()) if left_s >= since_s]

    @property
    def has_untold(self) -> bool:
        """Whether there is an end to find out, or something to tell the group."""
        return bool(self._checks or self._tasks)

    def forget(self, instance_id: str) -> None:
        """A replica gets no more work."""
        self._left.pop(instance_id, None)

    async def has_ended(self, instance_id: str) -> bool:
        """Whether a replica that broke an answer off has ended, as soon as that is known."""
        check = self._checks.get(instance_id)
        if check is not None:
            await asyncio.wait([check], timeout=VERDICT_WAIT_S)
        return instance_id in self._ended

    async def _check(self, instance: Instance) -> bool:
        for pause_s in CHECK_PAUSES_S:
            await asyncio.sleep(pause_s)
            if not await self._is_refused(instance):
                break
            # A replica that refuses because it has too many connections still answers on others.
            if not self._pool.has_open(instance.instance_id):
                self._conclude(instance)
                return True
        self._broken.pop(instance.instance_id, None)
        self._broke_s.pop(instance.instance_id, None)
        return False

    async def _is_refused(self, instance: Instance) -> bool:
        """Whether its machine says that nobody listens there; silence is no proof."""
        try:
            connection = await self._pool.open_connection(instance, CHECK_TIMEOUT_S)
        except ConnectError as error:
            return error.is_refused
        self._pool.release(instance.instance_id, connection, True)
        return False

    def _conclude(self, instance: Instance) -> None:
        """A replica has ended: count that for all that broke off there."""
        life = instance.instance_id
        if life not in self._ended:
            self._ended[life] = None
            if len(self._ended) > REMEMBERED_ENDS:
                self._ended.popitem(last=False)
            self._on_ended(life)
        requests = self._suspects_of(self._broken.pop(life, []) + self._left_lately(life))
        self._left.pop(life, None)
        ended_s = self._broke_s.pop(life, self._loop.time())
        for request in requests:
            self._guard.note_end(request.fingerprint, life, ended_s - request.ran_s, ended_s)
        log_event(Event.REPLICA_ENDED, replica=life, requests=len(requests))
        for start in range(0, len(requests), MOST_IN_ONE_REPORT):
            part = requests[start : start + MOST_IN_ONE_REPORT]
            self._start(self._tell_crash(life, part, ended_s))

    def _suspects_of(self, requests: list[SuspectRequest]) -> list[SuspectRequest]:
        """Return those that are suspects, and speak for the others.

        Said as soon as a replica ends: what is known of them goes with this process, and at other
        gateways they would be held back for ends of other causes.
        """
        now_s = self._loop.time()
        suspects = []
        for request in requests:
            if self._guard.is_known_good(request.fingerprint, now_s):
                self._clear(request.fingerprint)
            else:
                suspects.append(request)
        return suspects

    async def _tell_crash(self, life: str, requests: list[SuspectRequest], ended_s: float) -> None:
        await self._tell(lambda: ReportCrash(life, requests, self._loop.time() - ended_s))
        # Told or given up: from now on what the group has recorded counts.
        for request in requests:
            self._guard.forget_own(request.fingerprint, life)

    def note_success(self, fingerprint: bytes) -> None:
        """A request ended whole: it is not what ends replicas."""
        if self._guard.note_success(fingerprint, self._loop.time()):
            self._clear(fingerprint)

    def adopt(self, change: SuspectChange, whole: bool) -> None:
        """Take in a change of the group's record; speak for what ended whole here lately."""
        self._guard.adopt(change, whole)
        now_s = self._loop.time()
        for item in change.changed:
            if item.crashed_instances and self._guard.is_known_good(item.fingerprint, now_s):
                self._guard.forget(item.fingerprint)
                self._clear(item.fingerprint)

    def _clear(self, fingerprint: bytes) -> None:
        if not self._cleared:
            self._start(self._tell_cleared())
        self._cleared.add(fingerprint)

    async def _tell_cleared(self) -> None:
        await asyncio.sleep(CLEAR_PAUSE_S)
        cleared, self._cleared = sorted(self._cleared), set()
        for start in range(0, len(cleared), MOST_IN_ONE_REPORT):
            part = cleared[start : start + MOST_IN_ONE_REPORT]
            self._start(self._tell(functools.partial(self._clearance, part)))

    def _clearance(self, fingerprints: list[bytes]) -> ClearRequests:
        """Say how long ago each of them ended whole here."""
        now_s = self._loop.time()
        return ClearRequests(
            fingerprints, [self._guard.good_ago_s(item, now_s) for item in fingerprints]
        )

    async def _tell(self, question: Callable[[], Question]) -> None:
        until_s = monotonic_s() + LONGEST_TELLING_S
        while monotonic_s() < until_s:
            if isinstance(await self._ask(question(), ANSWER_TIMEOUT_S), Submitted):
                return
            await asyncio.sleep(TELL_AGAIN_S)

    def _start(self, work: Awaitable[None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def stop(self) -> None:
        """Give up what is not told yet."""
        tasks = [*self._tasks, *self._checks.values()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
