"""Streams of entries and gateways that follow this member, and proof that their state is current.

Every member serves entries, so the leader need not serve all of them. A follower responds to a
heartbeat only after the leader has confirmed the current versions from its lease. Many heartbeats
share one confirmation.
"""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import msgspec

from crowsill.model.configuration import ConfigurationDelta
from crowsill.model.fleet import FleetDelta, FleetView
from crowsill.model.suspects import SuspectChange
from crowsill.state.configuration_store import ConfigurationStore
from crowsill.state.crash_record import CrashRecord
from crowsill.state.directory import Directory, DirectoryChange
from crowsill.state.route_store import RouteStore
from crowsill.transport.connection import Connection, encode_push
from crowsill.transport.messages import (
    ConfigurationUpdate,
    DirectoryUpdate,
    EntryStatus,
    FleetUpdate,
    Freshness,
    Heartbeat,
    RoutesUpdate,
)
from crowsill.transport.replica_messages import SuspectsUpdate

ENTRY_EXPIRY_S = 4.0


@dataclass(slots=True)
class _LiveEntry:
    status: EntryStatus
    seen_at_s: float


class LiveEntries:
    """Entries that reported recently."""

    def __init__(self) -> None:
        self._entries: dict[str, _LiveEntry] = {}
        self._counted_term: int | None = None
        self._counted_since_s = float("inf")

    def note(self, statuses: list[EntryStatus], now_s: float) -> None:
        """Record the status reports of entries, unless newer ones are known.

        A member that an entry has left still passes on the last status that it got.
        """
        for status in statuses:
            seen_at_s = now_s - status.age_s
            known = self._entries.get(status.incarnation)
            if known is None or known.seen_at_s <= seen_at_s:
                self._entries[status.incarnation] = _LiveEntry(status, seen_at_s)

    def live(self, now_s: float) -> list[EntryStatus]:
        """Return the entries that reported within `ENTRY_EXPIRY_S`; forget the others."""
        horizon_at_s = now_s - ENTRY_EXPIRY_S
        self._entries = {
            incarnation: entry
            for incarnation, entry in self._entries.items()
            if entry.seen_at_s >= horizon_at_s
        }
        return [entry.status for entry in self._entries.values()]

    def has_all(self, term: int, now_s: float) -> bool:
        """Whether all live entries have reported to this member since it leads in a term."""
        if self._counted_term != term:
            self._counted_term, self._counted_since_s = term, now_s
        return now_s - self._counted_since_s >= ENTRY_EXPIRY_S

    def to_reports(self, now_s: float) -> list[EntryStatus]:
        """Return the status reports with their age, as a follower passes them on."""
        self.live(now_s)
        return [
            msgspec.structs.replace(entry.status, age_s=round(now_s - entry.seen_at_s, 3))
            for entry in self._entries.values()
        ]


class DemandCounter:
    """Counts requests by resource since the last collection."""

    def __init__(self) -> None:
        self._counts: dict[str, int] = {}

    def add(self, counts: dict[str, int]) -> None:
        """Add counts."""
        for resource, count in counts.items():
            self._counts[resource] = self._counts.get(resource, 0) + count

    def collect(self) -> dict[str, int]:
        """Return the counts and reset them."""
        counts, self._counts = self._counts, {}
        return counts


class Subscribers:
    """Streams that receive configuration, fleet, routes and directory updates from this member."""

    def __init__(
        self,
        configuration: ConfigurationStore,
        fleet: FleetView,
        routes: RouteStore | None = None,
        directory: Directory | None = None,
        crashes: CrashRecord | None = None,
    ) -> None:
        self._configuration = configuration
        self._fleet = fleet
        self._routes = RouteStore() if routes is None else routes
        self._directory = Directory() if directory is None else directory
        self._crashes = CrashRecord() if crashes is None else crashes
        self._gateway_streams: set[Connection] = set()
        self._configuration_streams: set[Connection] = set()
        self._fleet_streams: set[Connection] = set()

    def remove(self, connection: Connection) -> None:
        """Forget a stream."""
        self._configuration_streams.discard(connection)
        self._fleet_streams.discard(connection)
        self._gateway_streams.discard(connection)

    def subscribe(self, connection: Connection, heartbeat: Heartbeat) -> None:
        """Send the state that a subscriber is missing, and all updates from now on."""
        if heartbeat.follows_routes:
            self._subscribe_gateway(connection, heartbeat)
            return
        self._fleet_streams.add(connection)
        # A subscriber that is a few deltas behind already has them in transit. Only one that has no
        # delta of this epoch, or has lost one, gets the full view.
        needs_full_view = heartbeat.fleet_sequence == 0 or heartbeat.fleet_epoch < self._fleet.epoch
        if needs_full_view and self._fleet.sequence > 0:
            connection.push(FleetUpdate(self.full_fleet()))
        if not heartbeat.follows_configuration:
            return
        self._configuration_streams.add(connection)
        revisions = [status.revision for status in heartbeat.entries]
        if revisions and min(revisions) < self._configuration.current.revision:
            connection.push(self._configuration_after(min(revisions)))

    def _subscribe_gateway(self, connection: Connection, heartbeat: Heartbeat) -> None:
        if connection in self._gateway_streams:
            # The missing updates are already in transit.
            return
        self._gateway_streams.add(connection)
        if heartbeat.routes_version < self._routes.current.version:
            connection.push(RoutesUpdate(self._routes.current))
        # Directory versions number one history, so equal versions mean equal content.
        if heartbeat.directory_version < self._directory.version:
            connection.push(DirectoryUpdate(self._directory.full_change(), True))
        if heartbeat.suspects_version < self._crashes.version:
            connection.push(SuspectsUpdate(self._crashes.full_change(), True))

    def push_routes(self) -> None:
        """Send the active routes."""
        self._push_to_gateways(encode_push(RoutesUpdate(self._routes.current)))

    def push_directory(self, change: DirectoryChange) -> None:
        """Send a change of the replica directory."""
        self._push_to_gateways(encode_push(DirectoryUpdate(change, False)))

    def push_suspects(self, change: SuspectChange) -> None:
        """Send a change of the crash record."""
        self._push_to_gateways(encode_push(SuspectsUpdate(change, False)))

    def push_full_state(self) -> None:
        """Send the full state that gateways follow, after a snapshot has replaced it."""
        self.push_routes()
        self._push_to_gateways(encode_push(DirectoryUpdate(self._directory.full_change(), True)))
        self._push_to_gateways(encode_push(SuspectsUpdate(self._crashes.full_change(), True)))

    def _push_to_gateways(self, payload: bytes) -> None:
        for connection in list(self._gateway_streams):
            if not connection.push_encoded(payload):
                # An update lost on this stream can't be sent again; the gateway opens a new stream.
                connection.close()

    def fleet_position(self) -> tuple[int, int]:
        """Return epoch and sequence of the fleet view."""
        return (self._fleet.epoch, self._fleet.sequence)

    def full_fleet(self) -> FleetDelta:
        """Return the full fleet view."""
        fleet = self._fleet
        return FleetDelta(fleet.epoch, fleet.sequence, True, list(fleet.replicas.values()), [])

    def _configuration_after(self, revision: int) -> ConfigurationUpdate:
        deltas = self._configuration.deltas_after(revision)
        if deltas is None:
            return ConfigurationUpdate(self._configuration.current, [])
        return ConfigurationUpdate(None, deltas)

    def push_configuration(self, delta: ConfigurationDelta) -> None:
        """Send a newly accepted configuration change."""
        payload = encode_push(ConfigurationUpdate(None, [delta]))
        for connection in self._configuration_streams:
            connection.push_encoded(payload)

    def push_fleet(self, delta: FleetDelta) -> None:
        """Send a delta of the fleet view."""
        payload = encode_push(FleetUpdate(delta))
        for connection in self._fleet_streams:
            connection.push_encoded(payload)


class FreshnessRelay:
    """Shares one confirmation by the leader among all heartbeats that wait for it.

    A confirmation is valid for a heartbeat only if it was requested after the heartbeat arrived.
    """

    def __init__(self, query_leader: Callable[[], Awaitable[Freshness | None]]) -> None:
        self._query_leader = query_leader
        self._running: asyncio.Task[Freshness | None] | None = None
        self._next: asyncio.Task[Freshness | None] | None = None

    async def confirm(self) -> Freshness | None:
        """Return the current versions, or None if no leader confirms them."""
        if self._next is None:
            self._next = asyncio.create_task(self._query_after(self._running))
        return await asyncio.shield(self._next)

    async def _query_after(
        self, previous: asyncio.Task[Freshness | None] | None
    ) -> Freshness | None:
        if previous is not None and not previous.done():
            await asyncio.wait([previous])
        self._running, self._next = self._next, None
        return await self._query_leader()
