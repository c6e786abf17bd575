"""Records backoffs and drains that replicas request in responses, and checks the gateways."""

from dataclasses import dataclass, field

# Requests that were in flight when a replica requested a backoff may arrive within this time.
IN_FLIGHT_S = 0.5
# A request that is sent later than this after its gateway reported that a replica drains must not
# reach that replica. The specification allows 2 s; the gateway knows it as soon as it has read the
# response headers.
DRAIN_REPORT_BOUND_S = 1.0


@dataclass(frozen=True, slots=True)
class GatewayRun:
    """One uninterrupted run of a gateway: each start, kill or pause begins a new run."""

    name: str
    starts: int
    interruptions: int


@dataclass(frozen=True, slots=True)
class _Backoff:
    requested_at_s: float
    until_at_s: float


@dataclass(slots=True)
class SignalLedger:
    """Backoffs and drains by replica incarnation and gateway run, on one monotonic clock.

    >>> words, gateway = SignalLedger(), GatewayRun("g1", 1, 0)
    >>> words.note_backoff("i-1@1", gateway, 3.0, now_s=10.0)
    >>> [words.check_arrival("i-1@1", gateway, now_s, now_s) for now_s in (10.4, 11.0, 13.1)]
    [None, 'i-1@1 received a request of g1 1.00 s into a backoff of 3.00 s', None]
    >>> words.check_arrival("i-1@1", GatewayRun("g1", 2, 0), 11.0, 11.0)
    >>> words.note_drain_reported("i-1@1", gateway, now_s=20.0)
    >>> words.check_arrival("i-1@1", gateway, sent_at_s=20.9, now_s=22.0)
    >>> words.check_arrival("i-1@1", gateway, sent_at_s=21.5, now_s=22.0)
    'i-1@1 received a request of g1 1.50 s after g1 reported that it drains'
    """

    _backoffs: dict[tuple[str, GatewayRun], _Backoff] = field(default_factory=dict)
    _drain_reported_at_s: dict[tuple[str, GatewayRun], float] = field(default_factory=dict)

    def note_backoff(
        self, instance_id: str, gateway: GatewayRun, backoff_s: float, now_s: float
    ) -> None:
        """Record that a replica requested a backoff from a gateway."""
        known = self._backoffs.get((instance_id, gateway))
        if known is None or known.until_at_s < now_s + backoff_s:
            self._backoffs[instance_id, gateway] = _Backoff(now_s, now_s + backoff_s)

    def note_drain_reported(self, instance_id: str, gateway: GatewayRun, now_s: float) -> None:
        """Record that a gateway forwarded a response that reports that its replica drains."""
        self._drain_reported_at_s.setdefault((instance_id, gateway), now_s)

    def check_arrival(
        self, instance_id: str, gateway: GatewayRun, sent_at_s: float, now_s: float
    ) -> str | None:
        """Return the guarantee that the arrival of a request at a replica violates, or None.

        Args:
            instance_id: The replica's instance id.
            gateway: The gateway run that forwarded it.
            sent_at_s: When its caller sent it, monotonic.
            now_s: When it arrived, monotonic.
        """
        backoff = self._backoffs.get((instance_id, gateway))
        if (
            backoff is not None
            and backoff.requested_at_s + IN_FLIGHT_S < now_s < backoff.until_at_s
        ):
            into_s, backoff_s = (
                now_s - backoff.requested_at_s,
                backoff.until_at_s - backoff.requested_at_s,
            )
            return (
                f"{instance_id} received a request of {gateway.name} {into_s:.2f} s into a backoff "
                f"of {backoff_s:.2f} s"
            )
        reported_at_s = self._drain_reported_at_s.get((instance_id, gateway))
        if reported_at_s is not None and sent_at_s > reported_at_s + DRAIN_REPORT_BOUND_S:
            after_s = sent_at_s - reported_at_s
            return (
                f"{instance_id} received a request of {gateway.name} {after_s:.2f} s after "
                f"{gateway.name} reported that it drains"
            )
        return None
