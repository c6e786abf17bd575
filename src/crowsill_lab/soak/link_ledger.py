"""Gateways that were cut off from all replicas, and what their callers saw."""

from dataclasses import dataclass, field

# A gateway knows what has changed around it after this time.
CONTACT_S = 3.0
# Failed first tries at cut gateways that are allowed: a number, and a share of all first tries.
ALLOWED_FAILURES = 10
ALLOWED_FAILURE_SHARE = 0.02
INTERVAL_S = 0.5
# Served share at cut gateways, as a part of that at the others.
MIN_SERVED_RATIO = 2.0 / 3.0


@dataclass(frozen=True, slots=True)
class FirstTry:
    """The first try of one request.

    Attributes:
        gateway: Name of the gateway.
        sent_at_s: Monotonic time at which it was sent.
        is_served: Whether it was answered 200.
        is_in_touch: Whether its gateway ran undisturbed for `CONTACT_S` before it, until its end.
    """

    gateway: str
    sent_at_s: float
    is_served: bool
    is_in_touch: bool = True


@dataclass(frozen=True, slots=True)
class Cut:
    """A time during which gateways have no links to replicas.

    Attributes:
        gateways: Names of the gateways.
        began_at_s: Monotonic time of its begin.
        ended_at_s: Monotonic time of its end.
    """

    gateways: frozenset[str]
    began_at_s: float
    ended_at_s: float


@dataclass(slots=True)
class LinkLedger:
    """Cuts, and the first tries of callers.

    >>> ledger = LinkLedger()
    >>> ledger.cuts.append(Cut(frozenset({"g1"}), 0.0, 5.0))
    >>> for number in range(60):
    ...     ledger.tries.append(FirstTry("g1", 3.0 + number / 30, number % 2 == 0))
    ...     ledger.tries.append(FirstTry("g2", 3.0 + number / 30, True))
    >>> ledger.violations()
    ['g1 cut off for 5.0 s: 30 of 60 first tries served there, 60 of 60 elsewhere']
    """

    cuts: list[Cut] = field(default_factory=list)
    tries: list[FirstTry] = field(default_factory=list)

    def uncounted(self, disturbances: dict[str, list[tuple[float, float]]]) -> list[str]:
        """Return a line for each cut with tries that don't count: their gateway was disturbed.

        Args:
            disturbances: Begin and end of each kill, pause and stop, by gateway.

        >>> ledger = LinkLedger([Cut(frozenset({"g1"}), 10.0, 16.0)])
        >>> ledger.tries = [FirstTry("g1", 14.5, False, is_in_touch=False)]
        >>> ledger.uncounted({"g1": [(13.0, 14.2), (30.0, 31.0)]})
        ['cut for 6.0 s: not counted: g1 0 of 1 served, 4.5 to 4.5 s, disturbed 3.0 to 4.2 s']
        """
        lines = []
        for cut in self.cuts:
            parts = []
            for gateway in sorted(cut.gateways):
                tries = [
                    item
                    for item in self.tries
                    if item.gateway == gateway
                    and not item.is_in_touch
                    and cut.began_at_s + CONTACT_S <= item.sent_at_s < cut.ended_at_s
                ]
                if tries:
                    served = sum(item.is_served for item in tries)
                    times_s = [item.sent_at_s - cut.began_at_s for item in tries]
                    spans = [
                        f"{began_s - cut.began_at_s:.1f} to {ended_s - cut.began_at_s:.1f} s"
                        for began_s, ended_s in disturbances.get(gateway, [])
                        if began_s < cut.ended_at_s and ended_s > cut.began_at_s
                    ]
                    parts.append(
                        f"{gateway} {served} of {len(tries)} served, "
                        f"{min(times_s):.1f} to {max(times_s):.1f} s, disturbed {', '.join(spans)}"
                    )
            if parts:
                seconds = cut.ended_at_s - cut.began_at_s
                lines.append(f"cut for {seconds:.1f} s: not counted: {'; '.join(parts)}")
        return lines

    def violations(self) -> list[str]:
        """Return a line for each cut in which its gateways served far less than the others."""
        found = []
        for cut in self.cuts:
            at = [
                item
                for item in self.tries
                if item.is_in_touch
                and cut.began_at_s + CONTACT_S <= item.sent_at_s < cut.ended_at_s
            ]
            others = [item for item in at if item.gateway not in cut.gateways]
            # Where nobody else is served either, nobody could help.
            helped = {_interval(item) for item in others if item.is_served}
            here = [
                item.is_served
                for item in at
                if item.gateway in cut.gateways and _interval(item) in helped
            ]
            elsewhere = [item.is_served for item in others]
            if not here or not elsewhere:
                continue
            failed = len(here) - sum(here)
            is_worse = sum(here) / len(here) < MIN_SERVED_RATIO * sum(elsewhere) / len(elsewhere)
            if is_worse and failed > ALLOWED_FAILURES + ALLOWED_FAILURE_SHARE * len(at):
                found.append(
                    f"{', '.join(sorted(cut.gateways))} cut off for "
                    f"{cut.ended_at_s - cut.began_at_s:.1f} s: {sum(here)} of {len(here)} first "
                    f"tries served there, {sum(elsewhere)} of {len(elsewhere)} elsewhere"
                )
        return found


def _interval(item: FirstTry) -> int:
    """Return the number of the interval of `INTERVAL_S` in which a request was sent."""
    return int(item.sent_at_s / INTERVAL_S)
