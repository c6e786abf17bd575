"""What all gateways have at replicas, as a control member knows it. Pure.

Each gateway reports to the member that it follows, a member that follows reports the sum of its
gateways to the leader, and the leader answers with the sum of all.
"""

from dataclasses import dataclass, field

from crowsill.model.replica_use import UseByReplica, total_use

# A gateway reports every 0.5 s: one whose last report is older has missed several.
REPORT_LIFETIME_S = 2.0
# Time between two reports of a member that follows to its leader.
REPORT_INTERVAL_S = 0.25
# How long the sum that the leader sent is passed on.
TOTAL_LIFETIME_S = 1.0


@dataclass(slots=True)
class _Report:
    use: UseByReplica
    received_s: float


@dataclass(slots=True)
class GatewayUse:
    """Sums what gateways have at replicas."""

    _reports: dict[str, _Report] = field(default_factory=dict)
    _total: _Report | None = None
    _leader: object = None
    _reported_s: float = float("-inf")

    def note(self, source: str, use: UseByReplica, now_s: float) -> None:
        """Take in what a gateway, or a member for its gateways, has now; it replaces the last."""
        self._reports[source] = _Report(use, now_s)

    def sum(self, now_s: float) -> UseByReplica:
        """Return the sum of the reports that came lately, and forget the others."""
        horizon_s = now_s - REPORT_LIFETIME_S
        self._reports = {
            source: report
            for source, report in self._reports.items()
            if report.received_s >= horizon_s
        }
        return total_use([report.use for report in self._reports.values()])

    def is_due(self, leader: object, now_s: float) -> bool:
        """Whether this member, which follows, should report to the leader now.

        Args:
            leader: The stream to the leader; a new one has had no report.
            now_s: Clock.
        """
        if leader is self._leader and now_s - self._reported_s < REPORT_INTERVAL_S:
            return False
        self._leader, self._reported_s = leader, now_s
        return True

    def note_total(self, total: UseByReplica, now_s: float) -> None:
        """Take in what all gateways have, as the leader told it."""
        self._total = _Report(total, now_s)

    def total(self, now_s: float) -> UseByReplica | None:
        """Return what all gateways have by the leader's last word; None where that is old."""
        total = self._total
        if total is None or now_s - total.received_s > TOTAL_LIFETIME_S:
            return None
        return total.use
