"""The entry role: listener, request pipeline, readiness and graceful shutdown."""

import asyncio
import secrets
from random import Random

from crowsill.api.callers import caller_application
from crowsill.api.server import HttpServer
from crowsill.backends.http_cache import HttpCache
from crowsill.backends.http_calls import HttpCalls
from crowsill.clock import monotonic_s
from crowsill.entry.cache_watch import CacheWatch
from crowsill.entry.follower import EntryFollower, EntryHooks
from crowsill.events import Event
from crowsill.logs import log_event
from crowsill.metrics import READY
from crowsill.model.configuration import Configuration
from crowsill.model.fleet import FleetDelta
from crowsill.pipeline.admit import Admission
from crowsill.pipeline.deduplicate import Deduplicator
from crowsill.pipeline.dispatch import Dispatcher
from crowsill.pipeline.pipeline import Filters, Pipeline
from crowsill.pipeline.relay import Relay
from crowsill.pipeline.routing_table import RoutingTable
from crowsill.routing.candidates import CandidateIndex
from crowsill.routing.retry_budget import RetryBudget
from crowsill.routing.selection import Selector
from crowsill.settings import EntrySettings, Settings
from crowsill.transport.leader_client import LeaderClient
from crowsill.transport.stream import LocalIdentity

DRAIN_POLL_S = 0.02
READINESS_POLL_S = 0.1


class EntryRole:
    """Serves callers at one entry."""

    def __init__(self, settings: Settings, entry: EntrySettings, key: bytes) -> None:
        """Create the role.

        Args:
            settings: Settings of the process.
            entry: The `entry` table of the settings.
            key: The cluster key.
        """
        self._entry = entry
        random = Random(secrets.randbits(64))
        incarnation = f"{settings.node}.{secrets.token_hex(6)}"
        local = LocalIdentity(settings.node, incarnation, settings.zone, key)
        self._selector = Selector(random, entry.urgent_headroom)
        self._candidates = CandidateIndex()
        self._admission = Admission(self._selector, self._candidates, entry.max_queued)
        self._leader_client = LeaderClient(local, entry.control_members, random)
        hooks = EntryHooks(
            on_configuration=self._on_configuration,
            on_fleet=self._on_fleet,
            on_entries=self._on_entries,
            on_members=self._leader_client.set_members,
        )
        self._follower = EntryFollower(local, entry.control_members, hooks, random)
        self._stopping = False
        self._ready = False
        self._tasks: list[asyncio.Task[None]] = []
        self._calls: HttpCalls | None = None
        self._cache: HttpCache | None = None
        self._pipeline: Pipeline | None = None
        self._server: HttpServer | None = None
        self._incarnation = incarnation

    @property
    def port(self) -> int:
        """Port of the callers' listener; 0 before `start`."""
        return self._server.port if self._server is not None else 0

    async def start(self) -> None:
        """Open the listener and start the background tasks."""
        self._calls = HttpCalls()
        self._cache = HttpCache()
        cache_watch = CacheWatch(self._cache, self._follower.fleet, self._selector.hints)
        self._admission.on_slot_granted = cache_watch.note_used
        filters = Filters(
            self._admission,
            Deduplicator(self._leader_client, self._incarnation),
            Dispatcher(self._admission, self._calls, RetryBudget(self._entry.retry_budget_ratio)),
            Relay(self._admission, self._calls),
        )
        self._pipeline = Pipeline(filters, self._count_demand)
        application = caller_application(self._pipeline, self.is_ready, self._entry.max_body_bytes)
        self._server = HttpServer(application, self._entry.callers)
        await self._server.start()
        self._tasks = [
            asyncio.create_task(self._follower.run()),
            asyncio.create_task(self._admission.sweep()),
            asyncio.create_task(self._watch_readiness()),
            asyncio.create_task(cache_watch.run()),
        ]

    def is_ready(self) -> bool:
        """Whether the load balancer should send requests to this entry."""
        is_current = self._follower.is_current(monotonic_s())
        return is_current and not self._stopping

    async def _watch_readiness(self) -> None:
        while True:
            ready = self.is_ready()
            if ready != self._ready:
                self._ready = ready
                READY.set(int(ready))
                log_event(Event.READINESS_CHANGED, ready=ready)
            await asyncio.sleep(READINESS_POLL_S)

    def _count_demand(self, resource: str) -> None:
        self._follower.demand.add({resource: 1})

    def _on_configuration(self, configuration: Configuration) -> None:
        if self._pipeline is not None:
            self._pipeline.table = RoutingTable(configuration)
        self._admission.reset_rate_limits()

    def _on_fleet(self, delta: FleetDelta) -> None:
        for replica_id in delta.removed:
            self._selector.loads.forget(replica_id)
        loads = self._selector.loads
        for state in delta.changed:
            report = state.report
            loads.reported(state.description.replica_id, report.running + report.waiting)
        for update in delta.loads:
            updated_id = self._follower.fleet.replica_id_by_number.get(update.number)
            if updated_id is not None:
                loads.reported(updated_id, update.in_flight)
        if delta.changed or delta.removed:
            self._candidates.rebuild(self._follower.fleet)
        self._admission.dispatch_waiting()

    def _on_entries(self, entries: int) -> None:
        self._selector.entries = entries

    async def drain(self) -> bool:
        """Keep accepting callers until the load balancer has noticed, then finish open requests.

        Returns:
            False if requests were still unfinished at the time limit.
        """
        self._stopping = True
        log_event(Event.DRAIN_STARTED, in_flight=self._unfinished_count())
        await asyncio.sleep(self._entry.readiness_lag_s)
        if self._server is not None:
            self._server.stop_accepting()
        deadline_at_s = monotonic_s() + self._entry.drain_limit_s
        while self._unfinished_count() and monotonic_s() < deadline_at_s:
            await asyncio.sleep(DRAIN_POLL_S)
        finished = self._unfinished_count() == 0
        log_event(Event.DRAIN_FINISHED if finished else Event.DRAIN_LIMIT)
        return finished

    def _unfinished_count(self) -> int:
        return self._pipeline.unfinished_count if self._pipeline is not None else 0

    async def stop(self) -> None:
        """Stop all tasks and close all connections."""
        if self._server is not None:
            await self._server.stop()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._leader_client.close()
        if self._calls is not None:
            await self._calls.close()
        if self._cache is not None:
            await self._cache.close()
