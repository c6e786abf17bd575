"""Decides at a gateway whether a request is admitted to an overloaded service. Pure."""

from dataclasses import dataclass, field

from crowsill.gateway.replica_registry import ReplicaRecord
from crowsill.gateway.request import CallerRequest
from crowsill.gateway.selection import Choice, NoReplicaReason, has_resources
from crowsill.gateway.wait_decision import WaitBudget
from crowsill.model.service_pressure import AdmissionLevel, TenantLevel
from crowsill.overload.owed_work import MIN_RETRY_AFTER_S, retry_spread_s

# A member replies every 0.5 s, so a level of this age means that several replies are missing.
LEVEL_LIFETIME_S = 1.5
# After this time without a newer level, lower numbers are accepted: the group was formed anew.
FORGET_AFTER_S = 10.0
# Callers that come back near their deadlines or later can't be served in time.
LATEST_RETURN_SHARE = 0.9
LATEST_RETURN_SPREAD = 0.8
# Replicas with this share of their places free have room, whatever the level of their service.
FREE_SHARE = 0.25
# An engine whose first event takes longer than this multiple of that of an idle one has no room,
# however many places are free.
MAX_SLOWDOWN = 2.0
# What other gateways have at a replica is unknown if it was not reported for this time.
USE_LIFETIME_S = 1.5


@dataclass(slots=True)
class LevelView:
    """The newest level that this gateway received."""

    _level: AdmissionLevel | None = None
    _received_at_s: float = float("-inf")
    _tenants: dict[tuple[str, str], TenantLevel] = field(default_factory=dict)

    def note(self, level: AdmissionLevel, now_s: float) -> bool:
        """Adopt a level if it is newer than the known one; return whether it was adopted."""
        known = self._level
        if (
            known is not None
            and now_s - self._received_at_s < FORGET_AFTER_S
            and (level.term, level.number) <= (known.term, known.number)
        ):
            return False
        self._level, self._received_at_s = level, now_s
        self._tenants = {
            (service.service, level.tenants[cut.tenant]): cut
            for service in level.services
            for cut in service.cuts
            if 0 <= cut.tenant < len(level.tenants)
        }
        return True

    def is_fresh(self, now_s: float) -> bool:
        """Whether the level is recent enough to act on."""
        return now_s - self._received_at_s <= LEVEL_LIFETIME_S

    def limited_services(self, now_s: float) -> frozenset[str]:
        """Return the services whose admission is limited now."""
        if self._level is None or not self.is_fresh(now_s):
            return frozenset()
        return frozenset(service.service for service in self._level.services)

    def limits(self, service: str, tenant: str, now_s: float) -> bool:
        """Whether the admission of a tenant's requests to a service is limited now."""
        return (service, tenant) in self._tenants and self.is_fresh(now_s)

    def refusal_delay_s(
        self,
        service: str,
        tenant: str,
        number: int,
        *,
        budget: WaitBudget,
        response_s: float,
        draws: tuple[float, float],
        now_s: float,
    ) -> float | None:
        """Return None if a request is admitted, else the seconds after which to come back.

        A refused caller comes back `MIN_RETRY_AFTER_S` later at the earliest. The share of its
        response's value that this costs is the probability that it is admitted all the same: who
        has time to come back gives way to those who have not.

        Args:
            service: Its service.
            tenant: Its tenant; empty without one.
            number: Its class.
            budget: How long its caller waits.
            response_s: Time to the first data of a response.
            draws: Two random numbers from 0 to 1: for admission, and to spread callers' returns.
            now_s: Current monotonic time in seconds.
        """
        if not self.limits(service, tenant, now_s):
            return None
        cut = self._tenants[service, tenant]
        share = cut.share_percent / 100.0 if number == cut.cut_class else 0.0
        share += (1.0 - share) * budget.lost_by_return(MIN_RETRY_AFTER_S, response_s)
        if number < cut.cut_class or draws[0] < share:
            return None
        delay_s = cut.retry_after_ds / 10.0
        delay_s += draws[1] * retry_spread_s(delay_s)
        left_s = budget.total_s - budget.waited_s
        latest_s = left_s * (LATEST_RETURN_SHARE - LATEST_RETURN_SPREAD * draws[1])
        return max(MIN_RETRY_AFTER_S, min(delay_s, latest_s))


def has_free_room(
    records: list[ReplicaRecord],
    request: CallerRequest,
    choice: Choice | NoReplicaReason,
    *,
    idle_ms: float,
    now_s: float,
) -> bool:
    """Whether the replicas that could run a request have room, by recent reports.

    A service may be overloaded for some of its models only.

    Args:
        records: Replicas of the service.
        request: The request.
        choice: The replica that would be chosen now.
        idle_ms: Time to the first event at an idle engine; 0 for a plain service.
        now_s: Current time of the event loop.
    """
    if not isinstance(choice, Choice) or (idle_ms and choice.expected_ms > MAX_SLOWDOWN * idle_ms):
        return False
    suitable = [
        record
        for record in records
        if record.availability.available_at_s <= now_s and has_resources(record, request)
    ]
    # Of many small replicas, some have free places by chance, so all are taken together.
    places = sum(record.instance.slots for record in suitable)
    is_known = all(now_s - record.peer_use_reported_at_s <= USE_LIFETIME_S for record in suitable)
    used = sum(_used_places(record, now_s) for record in suitable)
    return is_known and used < places * (1.0 - FREE_SHARE)


def _used_places(record: ReplicaRecord, now_s: float) -> float:
    others = max(float(record.peer_use.requests), record.other_requests(now_s))
    return record.in_flight + others
