"""Checks whether this gateway reaches a replica.

A connection alone shows little: middleboxes accept connections, and a listener's kernel accepts
them for a process that is stopped. So a check asks for a response, where the service names a path
for that. No caller's request is spent on it.
"""

import asyncio
import contextlib
from collections.abc import Callable
from enum import StrEnum

from crowsill.events import Event
from crowsill.gateway.pool import CONNECT_TIMEOUT_S, ConnectError, ConnectionPool
from crowsill.gateway.replica_connection import ReplicaConnection
from crowsill.gateway.replica_registry import ReplicaRecord
from crowsill.gateway.response_collector import ResponseCollector
from crowsill.gateway.routing_table import GatewayRoutingTable
from crowsill.logs import log_event
from crowsill.metrics import REPLICA_CHECKS
from crowsill.model.instances import Instance

# Replicas answer a probe within milliseconds; one that is silent for longer is sent requests again
# as soon as it answers the next one.
RESPONSE_TIMEOUT_S = 0.5
# Without a probe, a connection that a middlebox accepts and resets at once does not show that a
# replica is reached.
MIN_OPEN_S = 0.05
# After a new connection was reset before any response, the next one must stay open for longer.
LONG_MIN_OPEN_S = 0.5
# A replica that refuses new connections because it has too many keeps the others open. Those of one
# that crashed are lost within this time, also if a packet has to be sent again.
CRASH_DETECTION_S = 0.3
CRASH_POLL_S = 0.02
MIN_CONFIRMATION_S = 0.01


class CheckReason(StrEnum):
    """Why a replica is checked.

    Attributes:
        SILENT: It has sent nothing for much longer than expected since a request.
        INTERRUPTED: It interrupted a response.
        IDLE_LOST: An idle connection to it was lost with an error.
        REFUSED: It refused a new connection while others were open.
        OTHERS_FAILED: Other replicas have failed.
        EXCLUDED: It is excluded, and may be reached again.
        CRASH: Another one may have crashed, or the links of this gateway were lost.
    """

    SILENT = "silent"
    INTERRUPTED = "interrupted"
    IDLE_LOST = "idle_lost"
    REFUSED = "refused"
    OTHERS_FAILED = "others_failed"
    EXCLUDED = "excluded"
    CRASH = "crash"


class CheckResult(StrEnum):
    """Result of a check.

    Attributes:
        REACHED: The replica answered; without a probe, a connection was opened and stayed open.
        REFUSED: The connection was refused.
        OPEN_ONLY: The connection was refused, and the replica answered on one that was open.
        NOT_OPENED: No connection could be opened.
        CLOSED: The connection was closed before anything was received.
        UNANSWERED: A connection was opened, and nothing was received in time.
    """

    REACHED = "reached"
    REFUSED = "refused"
    OPEN_ONLY = "open_only"
    NOT_OPENED = "not_opened"
    CLOSED = "closed"
    UNANSWERED = "unanswered"


class ReplicaChecker:
    """Checks replicas, one connection each."""

    def __init__(
        self, pool: ConnectionPool, find_table: Callable[[], GatewayRoutingTable | None]
    ) -> None:
        """Create a checker.

        Args:
            pool: Connections to replicas.
            find_table: Returns the routes, whose services name the paths to ask for.
        """
        self._pool = pool
        self._find_table = find_table
        self._loop = asyncio.get_running_loop()

    async def check(
        self, record: ReplicaRecord, reason: CheckReason, min_open_s: float = MIN_OPEN_S
    ) -> CheckResult:
        """Check a replica.

        Args:
            record: The replica.
            reason: Why it is checked.
            min_open_s: How long a connection must stay open if no response can be asked for.
        """
        started_s = self._loop.time()
        try:
            result = await self._check_new_connection(record, min_open_s)
        except ConnectError as error:
            result = CheckResult.NOT_OPENED
            if error.is_refused:
                result = await self._check_open_connection(record, reason)
        REPLICA_CHECKS.labels(result).inc()
        log_event(
            Event.REPLICA_CHECKED,
            replica=record.instance.instance_id,
            reason=reason,
            result=result,
            took_s=round(self._loop.time() - started_s, 3),
        )
        return result

    async def _check_new_connection(self, record: ReplicaRecord, min_open_s: float) -> CheckResult:
        instance = record.instance
        connection = await self._pool.open_connection(instance, CONNECT_TIMEOUT_S)
        is_reusable = False
        try:
            path = self._probe_path(record)
            if path:
                result = await self._probe(connection, path, instance)
            else:
                await asyncio.sleep(min_open_s)
                result = CheckResult.REACHED if connection.is_open else CheckResult.CLOSED
            is_reusable = result is CheckResult.REACHED
            return result
        finally:
            self._pool.release(instance.instance_id, connection, is_reusable)

    async def _check_open_connection(
        self, record: ReplicaRecord, reason: CheckReason
    ) -> CheckResult:
        """Check an open connection to a replica that refuses new ones.

        Links may reset a connection only when it is used.
        """
        instance = record.instance
        path = self._probe_path(record)
        if not path and reason is CheckReason.INTERRUPTED:
            return CheckResult.REFUSED
        connection = self._pool.acquire_idle(instance.instance_id) if path else None
        if connection is None:
            has_open = self._pool.has_open(instance.instance_id)
            return CheckResult.OPEN_ONLY if has_open else CheckResult.REFUSED
        is_reusable = False
        try:
            is_reusable = await self._probe(connection, path, instance) is CheckResult.REACHED
            return CheckResult.OPEN_ONLY if is_reusable else CheckResult.REFUSED
        finally:
            self._pool.release(instance.instance_id, connection, is_reusable)

    def _probe_path(self, record: ReplicaRecord) -> str:
        """Return the path to ask for; empty if the replica must not be asked anything now."""
        now_s = self._loop.time()
        availability = record.availability
        if availability.is_backing_off(now_s) or availability.limit.is_in_effect(now_s):
            return ""
        table = self._find_table()
        return "" if table is None else table.probe_path(record.instance.service)

    async def _probe(
        self, connection: ReplicaConnection, path: str, instance: Instance
    ) -> CheckResult:
        """Ask for a response on a new connection; one on any other connection counts as well."""
        sent_at_s = self._loop.time()
        collector = ResponseCollector()
        message = f"GET {path} HTTP/1.1\r\nHost: {instance.address}\r\n\r\n"
        connection.send(message.encode(), b"", False, collector)
        response = None
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                response = await collector.ended
        if response is None:
            connection.is_reusable = False
        if self._pool.received_at_s(instance.instance_id) >= sent_at_s:
            return CheckResult.REACHED
        return CheckResult.UNANSWERED if connection.is_open else CheckResult.CLOSED

    async def is_running(self, instance: Instance, is_listed: Callable[[], bool]) -> bool:
        """Whether a replica that has closed a connection is still running.

        Args:
            instance: The replica.
            is_listed: Returns whether it still is in the directory.
        """
        started_s = self._loop.time()
        try:
            connection = await self._pool.open_connection(instance, CONNECT_TIMEOUT_S)
        except ConnectError as error:
            return error.is_refused and await self._keeps_connections(instance)
        try:
            # A connection that was opened while the replica crashed is reset within a round trip.
            round_trip_s = self._loop.time() - started_s
            await asyncio.sleep(max(MIN_CONFIRMATION_S, round_trip_s))
            if connection.is_open:
                return True
        finally:
            self._pool.release(instance.instance_id, connection, is_listed())
        return await self._keeps_connections(instance)

    async def _keeps_connections(self, instance: Instance) -> bool:
        """Whether a replica that accepts no new connection keeps one that it has used."""
        end_at_s = self._loop.time() + CRASH_DETECTION_S
        while self._pool.has_used(instance.instance_id):
            if self._loop.time() >= end_at_s:
                return True
            await asyncio.sleep(CRASH_POLL_S)
        return False
