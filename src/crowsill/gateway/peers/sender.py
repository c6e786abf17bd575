"""Passes one request to another gateway that reaches replicas of its service.

The peer sends it to at most one replica that may run it. What the peer says counts as the word of a
replica: a response is relayed unchanged, "not run" allows another attempt, and a connection that
breaks leaves open whether the request ran.
"""

import asyncio

from crowsill.gateway.admission import Admission
from crowsill.gateway.attempt import Attempt, AttemptEnd, AttemptResult
from crowsill.gateway.caller_protocol import CallerConnection
from crowsill.gateway.context import ExchangeContext
from crowsill.gateway.exchange_log import ExchangeLog
from crowsill.gateway.framing import Framing
from crowsill.gateway.headers import find_header, read_number
from crowsill.gateway.peers.wire import ATTEMPTS, PeerTerms, encode_peer_request
from crowsill.gateway.pool import ConnectError
from crowsill.gateway.progress import Progress
from crowsill.gateway.repeat_guard import RepeatGuard
from crowsill.gateway.replica_connection import Break, ReplicaConnection
from crowsill.gateway.replica_feedback import MIN_SERVER_ERROR_STATUS
from crowsill.gateway.request import CallerRequest
from crowsill.gateway.selection import has_lost_most_links
from crowsill.gateway.stream_origins import is_resumable
from crowsill.metrics import PEER_REQUESTS
from crowsill.model.instances import Instance
from crowsill.model.peers import PeerOffer
from crowsill.model.routes import Route, RouteKind

# Each peer that can't help costs a round trip; the caller's next try reaches another gateway.
MAX_PEERS = 3
# A gateway that has lost most of its links may not be the only one.
MAX_PEERS_WITHOUT_LINKS = 6
CONNECT_TIMEOUT_S = 0.3


class PeerSender:
    """Passes one request to peers, one after the other."""

    def __init__(
        self,
        context: ExchangeContext,
        caller: CallerConnection,
        request: CallerRequest,
        progress: Progress,
        log: ExchangeLog,
        *,
        admission: Admission,
        repeat_guard: RepeatGuard,
    ) -> None:
        self._context = context
        self._caller = caller
        self._request = request
        self._progress = progress
        self._log = log
        self._admission = admission
        self._repeat_guard = repeat_guard
        self._loop = asyncio.get_running_loop()

    def has_peer(self) -> bool:
        """Whether there is a peer that can be asked to serve the request."""
        return self._next_peer() is not None

    def has_unasked_peer(self) -> bool:
        """Whether a gateway that seems to reach the service was not asked yet."""
        registry, tried = self._context.peers.registry, self._progress.tried_peers
        return registry.choose(self._log.service, tried, self._loop.time()) is not None

    def _next_peer(self) -> PeerOffer | None:
        tried = self._progress.tried_peers
        registry, service = self._context.peers.registry, self._log.service
        if len(tried) >= MAX_PEERS:
            records = self._context.registry.of_service(service)
            if len(tried) >= MAX_PEERS_WITHOUT_LINKS or not has_lost_most_links(
                records, self._context.pool.has_idle
            ):
                return None
        peer = registry.choose(service, tried, self._loop.time())
        if peer is not None or tried:
            return peer
        return registry.choose_probe(service, self._loop.time())

    async def send(
        self, route: Route, deadline_at_s: float, closes_connection: bool
    ) -> AttemptEnd | None:
        """Pass the request to a peer; return None if nothing was run and another may be asked.

        Args:
            route: The request's route.
            deadline_at_s: Monotonic time of the request's deadline.
            closes_connection: Whether the caller's connection closes after the response.
        """
        peer = self._next_peer()
        if peer is None:
            return None
        self._progress.tried_peers.add(peer.address)
        self._context.peers.registry.note_sent(peer, self._log.service, self._loop.time())
        connection = None
        reusable = False
        try:
            connection = await self._connect(peer, deadline_at_s)
            if (
                self._admission.recheck() is not None
                or self._repeat_guard.quarantine_rejection() is not None
            ):
                reusable = True
                return None
            is_stream = route.kind is RouteKind.STREAM
            attempt = Attempt(
                self._caller,
                self._context.names,
                is_stream=is_stream,
                close_after=closes_connection,
                allows_chunks=self._request.allows_chunks,
                resumed_after=self._request.last_event_id if is_resumable(route) else b"",
            )
            end = await self._run(peer, connection, attempt, deadline_at_s)
            reusable = end.result in (AttemptResult.COMPLETE, AttemptResult.NOT_RUN)
            return self._note_end(peer, attempt, end)
        except ConnectError as error:
            registry = self._context.peers.registry
            registry.note_unreachable(peer.address, error.is_refused, self._loop.time())
            PEER_REQUESTS.labels("unreachable").inc()
            self._log.log_peer_failed(peer.address, "unreachable", str(error))
            return None
        finally:
            self._context.peers.registry.note_ended(peer.address)
            if connection is not None:
                self._context.peers.pool.release(peer.address, connection, reusable)

    async def _connect(self, peer: PeerOffer, deadline_at_s: float) -> ReplicaConnection:
        instance = Instance(peer.address, "", peer.address, peer.zone, 1)
        timeout_s = min(CONNECT_TIMEOUT_S, deadline_at_s - self._loop.time())
        return await self._context.peers.pool.acquire(instance, timeout_s, self._request.request_id)

    async def _run(
        self,
        peer: PeerOffer,
        connection: ReplicaConnection,
        attempt: Attempt,
        deadline_at_s: float,
    ) -> AttemptEnd:
        request, progress = self._request, self._progress
        attempt.connection = connection
        attempt.sent_at_s = self._loop.time()
        progress.attempt = attempt
        # Only the last peer may let the request wait: another one may have room at once.
        may_wait = self._next_peer() is None
        message = encode_peer_request(
            request,
            self._context.names,
            PeerTerms(self._log.service, progress.attempts, may_wait, request.software_version),
            key=self._context.peers.key,
            address=peer.address,
            remaining_s=deadline_at_s - self._loop.time(),
        )
        self._log.log_sent_to_peer(peer, progress.attempts + 1)
        progress.may_have_run = True
        try:
            connection.send(message, request.request_id, request.method == b"HEAD", attempt)
            end = await attempt.ended
            # Gateways frame their responses.
            if end.result is AttemptResult.COMPLETE and attempt.framing is Framing.CLOSE:
                return attempt.interrupted(Break.CLOSED)
            return end
        finally:
            attempt.connection = None

    def _note_end(self, peer: PeerOffer, attempt: Attempt, end: AttemptEnd) -> AttemptEnd | None:
        progress = self._progress
        PEER_REQUESTS.labels(end.result).inc()
        if end.result is AttemptResult.NOT_RUN:
            attempts = read_number(find_header(end.headers or [], ATTEMPTS))
            progress.attempts = max(progress.attempts, int(attempts or 0))
            progress.may_have_run = progress.runs > 0
            progress.peer_retry_s = min(
                progress.peer_retry_s, attempt.signals.backoff_s or float("inf")
            )
            self._context.peers.registry.note_rejected(
                peer.address, self._log.service, self._loop.time()
            )
            self._log.log_peer_failed(peer.address, end.result, end.detail)
            return None
        progress.attempts += 1
        progress.runs += 1
        if end.result is AttemptResult.COMPLETE and end.status < MIN_SERVER_ERROR_STATUS:
            self._context.peers.registry.note_reaches(peer.address, self._log.service)
        if end.result is not AttemptResult.COMPLETE:
            self._log.log_peer_failed(peer.address, end.result, end.detail)
        return end
