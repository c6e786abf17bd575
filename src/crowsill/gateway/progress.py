"""The state of one request while it is served."""

from dataclasses import dataclass, field

from crowsill.gateway.attempt import Attempt
from crowsill.gateway.availability import Availability
from crowsill.gateway.replica_registry import ReplicaRecord
from crowsill.gateway.selection import NoReplicaReason
from crowsill.routing.earned_retries import RetryCharge


@dataclass(slots=True)
class Progress:
    """The attempts made for a request so far.

    Attributes:
        tried: Ids of the instances that it was sent to.
        tried_peers: Addresses of the gateways that it was passed to.
        peer_retry_s: Shortest time after which one of those said that it may be served; infinite if
            none did.
        attempts: How often it was sent.
        runs: How often a replica ran it, or may have.
        may_have_run: Whether a replica may have run it, so that a rejection must not report "not
            run".
        last_failure: Why the last attempt failed, for the error message.
        waiting_reason: Why it waited last; None if it has not waited.
        attempt: The current attempt, or the last one.
        retry: What the next attempt is charged to if it is a retry; None if nothing is charged.
    """

    tried: set[str] = field(default_factory=set)
    tried_peers: set[str] = field(default_factory=set)
    peer_retry_s: float = float("inf")
    attempts: int = 0
    runs: int = 0
    may_have_run: bool = False
    last_failure: str = ""
    waiting_reason: NoReplicaReason | None = None
    attempt: Attempt | None = None
    retry: RetryCharge | None = None

    def is_retry_expired(self, now_s: float) -> bool:
        """Whether the charge of the next attempt is no longer valid."""
        return self.retry is not None and now_s >= self.retry.expires_at_s

    def note_sent(self, now_s: float) -> None:
        """Record that an attempt is sent to a replica at a monotonic time in seconds."""
        self.attempts += 1
        self.may_have_run = True
        if self.retry is not None:
            self.retry.note_sent(now_s)
            self.retry = None


class PendingPrompt:
    """A prompt that a replica has not read yet; counted until the response begins or ends."""

    def __init__(self, record: ReplicaRecord, tokens: int, sent_at_s: float) -> None:
        self._record = record
        self._tokens = tokens
        self._is_counted = True
        record.pending_prompt_tokens += tokens
        record.unanswered_sent_at_s[id(self)] = sent_at_s

    def stop_counting(self) -> None:
        """Stop counting it."""
        if not self._is_counted:
            return
        self._is_counted = False
        self._record.pending_prompt_tokens -= self._tokens
        del self._record.unanswered_sent_at_s[id(self)]


class Probe:
    """An attempt at a replica that accepts few after a backoff; counted until its response."""

    def __init__(self, availability: Availability) -> None:
        self._availability = availability
        self._is_counted = availability.begin_probe()

    def end(self) -> None:
        """Stop counting it."""
        if self._is_counted:
            self._is_counted = False
            self._availability.end_probe()
