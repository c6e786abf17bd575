"""Interfaces to back ends, independent of any wire format.

Control members use `EnginePort` and `PlatformPort`; entries use `CallPort` and `CachePort`. Another
wire protocol needs only another implementation of these interfaces.
"""

from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

import msgspec
from returns.result import Result

from crowsill.errors import Outcome
from crowsill.model.fleet import ReplicaDescription, ReplicaReport
from crowsill.model.request import ClassifiedRequest
from crowsill.state.orders import Order


class FailureReason(StrEnum):
    """Reason why a call returned no usable response.

    Attributes:
        NOT_LOADED: The replica does not hold the requested model or adapter.
        DRAINING: The replica drains.
        FULL: The replica has no capacity, or rejected the request for an unknown reason.
        UNREACHABLE: No connection could be established, or no valid report could be read.
        CONNECTION_LOST: The connection failed before the head of the response arrived.
        FAILED: The replica responded with a server error, or a call to its cache failed.
        MISMATCHED: The response belongs to another request.
        TIMED_OUT: No response arrived in time.
    """

    NOT_LOADED = "not_here"
    DRAINING = "leaving"
    FULL = "full"
    UNREACHABLE = "unreachable"
    CONNECTION_LOST = "broken"
    FAILED = "failed"
    MISMATCHED = "foreign"
    TIMED_OUT = "timed_out"


@dataclass(frozen=True, slots=True)
class CallFailure:
    """A call that returned no usable response.

    Attributes:
        outcome: `NOT_RUN` only if no byte can have reached the back end, or if the back end
            reported that it did not run the request.
        reason: Reason of the failure.
        detail: Further description for diagnosis.
        backoff_s: Seconds for which the back end requests no further requests from this process; 0
            if it requests no backoff.
    """

    outcome: Outcome
    reason: FailureReason
    detail: str = ""
    backoff_s: float = 0.0


class TruncatedResponseError(Exception):
    """A back end's response ended before it was complete."""


class BackendResponse(Protocol):
    """A response whose head has arrived."""

    @property
    def status(self) -> int:
        """HTTP status."""

    @property
    def content_type(self) -> str:
        """Content type of the body."""

    async def read(self) -> bytes:
        """Return the next part of the body as it arrives; empty bytes at the end.

        Raises:
            TruncatedResponseError: The body ended before it was complete.
        """

    def close(self) -> None:
        """Close the connection; it is reused only if the body was read to its end."""


class CallPort(Protocol):
    """Sends callers' requests to replicas."""

    async def send(
        self, replica: ReplicaDescription, request: ClassifiedRequest, timeout_s: float
    ) -> Result[BackendResponse, CallFailure]:
        """Send a request once and wait for the head of the response."""

    async def resume(
        self, replica: ReplicaDescription, request_id: str, offset: int, timeout_s: float
    ) -> Result[BackendResponse, CallFailure]:
        """Continue a stream at a byte offset."""

    async def cancel(self, replica: ReplicaDescription, request_id: str) -> None:
        """Cancel a stream at an engine; best effort."""


class CacheEvent(msgspec.Struct, frozen=True, array_like=True):
    """A change of an engine's prompt cache.

    Attributes:
        prefix: Hash of the prompt prefix.
        stored: Whether the prefix was added; otherwise it was evicted.
    """

    prefix: int
    stored: bool


class CacheEvents(msgspec.Struct, frozen=True):
    """Consecutive cache events of one engine.

    Attributes:
        incarnation: The engine's incarnation; event numbers restart with each incarnation.
        first: Number of the first event; higher than requested if events were lost.
        events: The events.
    """

    incarnation: str
    first: int
    events: list[CacheEvent]


class CachePort(Protocol):
    """Prompt caches of engines: their events, and the KV state of single requests."""

    async def cache_events(
        self, replica: ReplicaDescription, after: int
    ) -> Result[CacheEvents, CallFailure]:
        """Return the events after number `after` that the engine still keeps."""

    async def export_kv(
        self, replica: ReplicaDescription, request_id: str
    ) -> Result[bytes, CallFailure]:
        """Return the KV cache of a request, in the engine's own format."""

    async def import_kv(
        self, replica: ReplicaDescription, request_id: str, data: bytes
    ) -> Result[None, CallFailure]:
        """Import the KV cache of a request into an engine, which can then continue the request."""


class OrderReply(StrEnum):
    """An engine's immediate reply to an order.

    Attributes:
        ACCEPTED: The engine executes the order.
        STALE: The fencing token is older than that of the last accepted order.
        OTHER_INCARNATION: The order is for another incarnation of the engine.
        REJECTED: The engine has too little memory for the order.
        UNKNOWN: No conclusive reply arrived; the engine may still execute the order.
    """

    ACCEPTED = "accepted"
    STALE = "stale"
    OTHER_INCARNATION = "other_incarnation"
    REJECTED = "refused"
    UNKNOWN = "lost"


class EnginePort(Protocol):
    """Reads reports of back ends and sends orders to them."""

    async def report(self, replica: ReplicaDescription) -> Result[ReplicaReport, CallFailure]:
        """Read the report of a back end."""

    async def order(self, replica: ReplicaDescription, order: Order) -> OrderReply:
        """Send an order; a repeated order takes effect only once."""


class PlatformPort(Protocol):
    """Reads the platform's list of machines."""

    async def machines(self) -> Result[list[ReplicaDescription], str]:
        """Return the machines that the platform lists, or a description of the failure."""
