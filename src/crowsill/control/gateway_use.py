"""Sums the use of replicas by all gateways at a control member. Pure.

Each gateway reports to the member that it follows. A follower reports the sum of its gateways to
the leader, and the leader responds with the sum of all gateways.
"""

from dataclasses import dataclass, field

from crowsill.model.replica_use import UseByReplica, total_use

# A gateway reports every 0.5 s, so an older report means that several reports are missing.
REPORT_LIFETIME_S = 2.0
# Time between two reports of a follower to the leader.
REPORT_INTERVAL_S = 0.25
# Time for which a follower passes on the sum received from the leader.
TOTAL_LIFETIME_S = 1.0


@dataclass(slots=True)
class _Report:
    use: UseByReplica
    received_at_s: float


@dataclass(slots=True)
class GatewayUse:
    """Sums the gateways' use of replicas."""

    _reports: dict[str, _Report] = field(default_factory=dict)
    _total: _Report | None = None
    _leader: object = None
    _reported_at_s: float = float("-inf")

    def note(self, source: str, use: UseByReplica, now_s: float) -> None:
        """Record the current use of a gateway or follower; it replaces the last report."""
        self._reports[source] = _Report(use, now_s)

    def sum(self, now_s: float) -> UseByReplica:
        """Return the sum of the recent reports, and forget the others."""
        horizon_at_s = now_s - REPORT_LIFETIME_S
        self._reports = {
            source: report
            for source, report in self._reports.items()
            if report.received_at_s >= horizon_at_s
        }
        return total_use([report.use for report in self._reports.values()])

    def is_due(self, leader: object, now_s: float) -> bool:
        """Whether this follower should report to the leader now.

        Args:
            leader: The stream to the leader; a new stream has received no report.
            now_s: Monotonic time in seconds.
        """
        if leader is self._leader and now_s - self._reported_at_s < REPORT_INTERVAL_S:
            return False
        self._leader, self._reported_at_s = leader, now_s
        return True

    def note_total(self, total: UseByReplica, now_s: float) -> None:
        """Record the use by all gateways, as received from the leader."""
        self._total = _Report(total, now_s)

    def total(self, now_s: float) -> UseByReplica | None:
        """Return the use by all gateways as last received from the leader; None if it is old."""
        total = self._total
        if total is None or now_s - total.received_at_s > TOTAL_LIFETIME_S:
            return None
        return total.use
