"""The entry role: everything between a caller's connection and a back end."""

import asyncio
import secrets
from random import Random

from crowsill.api.callers import caller_application
from crowsill.api.server import HttpServer
from crowsill.backends.http_cache import HttpCache
from crowsill.backends.http_calls import HttpCalls
from crowsill.clock import monotonic_s
from crowsill.entry.cache_watch import CacheWatch
from crowsill.entry.follower import ControlFollower, FollowerHooks
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
    """One entry machine's work."""

    def __init__(self, settings: Settings, entry: EntrySettings, key: bytes) -> None:
        """Wire the filters.

        Args:
            settings: The process's settings.
            entry: Its entry table.
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
        hooks = FollowerHooks(
            on_configuration=self._on_configuration,
            on_fleet=self._on_fleet,
            on_entries=self._on_entries,
            on_members=self._leader_client.use_members,
        )
        self._follower = ControlFollower(local, entry.control_members, hooks, random)
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
        """Port of the callers' listener once started."""
        return self._server.port if self._server is not None else 0

    async def start(self) -> None:
        """Open the listener and start to follow the control members."""
        self._calls = HttpCalls()
        self._cache = HttpCache()
        watch = CacheWatch(self._cache, self._follower.fleet, self._selector.hints)
        self._admission.on_placed = watch.used
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
            asyncio.create_task(watch.run()),
        ]

    def is_ready(self) -> bool:
        """Whether the balancer should send requests here."""
        current = self._follower.is_current(monotonic_s())
        return current and not self._stopping

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
        self._admission.forget_rates()

    def _on_fleet(self, delta: FleetDelta) -> None:
        for replica_id in delta.removed:
            self._selector.loads.forget(replica_id)
        loads = self._selector.loads
        for state in delta.changed:
            report = state.report
            loads.reported(state.description.replica_id, report.running + report.waiting)
        for update in delta.loads:
            name = self._follower.fleet.replica_id_by_number.get(update.number)
            if name is not None:
                loads.reported(name, update.in_flight)
        if delta.changed or delta.removed:
            self._candidates.rebuild(self._follower.fleet)
        self._admission.place_waiting()

    def _on_entries(self, entries: int) -> None:
        self._selector.entries = entries

    async def drain(self) -> bool:
        """Stop by plan.

        Readiness goes first and requests are still taken until the balancer has noticed; then
        the listener closes and everything in flight is finished.

        Returns:
            False when the limit passed with requests in flight.
        """
        self._stopping = True
        log_event(Event.DRAIN_STARTED, in_flight=self._unfinished())
        await asyncio.sleep(self._entry.readiness_lag_s)
        if self._server is not None:
            self._server.stop_accepting()
        deadline_s = monotonic_s() + self._entry.drain_limit_s
        while self._unfinished() and monotonic_s() < deadline_s:
            await asyncio.sleep(DRAIN_POLL_S)
        finished = self._unfinished() == 0
        log_event(Event.DRAIN_FINISHED if finished else Event.DRAIN_LIMIT)
        return finished

    def _unfinished(self) -> int:
        return self._pipeline.unfinished if self._pipeline is not None else 0

    async def stop(self) -> None:
        """Release everything."""
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
