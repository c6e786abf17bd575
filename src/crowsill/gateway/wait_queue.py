"""The requests that wait at one gateway, and the order in which they get their turn. Pure.

Requests are divided by service and resource. Those of one class with equal rank and tenant form a
lane, which is sorted by the latest time at which a request must be sent. A round offers the turn to
one request after the other. One that cannot be sent shows that others of its class cannot be sent
either; the round passes over them.
"""

import heapq
from bisect import bisect_left, insort
from collections.abc import Callable
from dataclasses import dataclass, field

from crowsill.gateway.tenant_work import TenantWork
from crowsill.gateway.waiter import LaneKey, RequestClass, Resource, Waiter

# Requests that may wait at one gateway; a further one is rejected.
MAX_WAITING = 1000
# At least one of this number of places goes to a pressing request, whatever its rank, so that it is
# sent even if requests that go before it never cease.
PLACES_PER_PRESSING = 4
# Weight of the newest interval in the moving average of the time between two places.
INTERVAL_WEIGHT = 0.3
# A time between two places that was observed longer ago says nothing.
INTERVAL_LIFETIME_S = 2.0

LaneOrder = tuple[bool, int, float, bool, float, int]
_Entry = tuple[bool, float, int, Waiter]


@dataclass(slots=True)
class _Lane:
    """Requests of one class with equal rank and tenant.

    Attributes:
        number: Number of the lane, to order equal ones.
        entries: Whether each is late, its position, its number and the request; sorted.
    """

    key: LaneKey
    number: int
    entries: list[_Entry] = field(default_factory=list)

    def head(self, now_s: float) -> Waiter:
        """Return the first request, after moving those that became late behind the others."""
        entries = self.entries
        while not entries[0][0] and entries[0][3].target_start_at_s < now_s:
            _, _, number, waiter = entries.pop(0)
            waiter.note_late()
            insort(entries, (True, waiter.start_key_s, number, waiter))
        return entries[0][3]


@dataclass(slots=True)
class _Group:
    """The lanes of one resource of a service.

    Attributes:
        lanes: Its lanes.
        interval_s: Average time between two places; infinite if unknown.
        taken_at_s: Time when the last place was taken.
    """

    lanes: dict[LaneKey, _Lane] = field(default_factory=dict)
    interval_s: float = float("inf")
    taken_at_s: float = float("-inf")


@dataclass(slots=True)
class _Service:
    """What waits for one service."""

    groups: dict[Resource, _Group] = field(default_factory=dict)
    work: TenantWork = field(default_factory=TenantWork)
    waiting_by_tenant: dict[str, int] = field(default_factory=dict)
    places_since_pressing: int = 0

    def order(self, lane: _Lane, now_s: float) -> LaneOrder:
        """Return the position of the first request of a lane among those of all lanes."""
        head = lane.head(now_s)
        counter = self.work.of(head.tenant)
        return (
            head.gives_way(now_s),
            head.rank,
            counter,
            head.is_late,
            head.start_key_s,
            lane.number,
        )


class WaitQueue:
    """All requests that wait at one gateway."""

    def __init__(self, max_waiting: int = MAX_WAITING) -> None:
        self._max_waiting = max_waiting
        self._services: dict[str, _Service] = {}
        self._numbers: dict[Waiter, int] = {}
        self._last_number = 0

    def __len__(self) -> int:
        """Return the number of requests that wait."""
        return len(self._numbers)

    @property
    def is_full(self) -> bool:
        """Whether no further request may wait."""
        return len(self._numbers) >= self._max_waiting

    def services(self) -> list[str]:
        """Return the services for which requests wait."""
        return [name for name, service in self._services.items() if service.groups]

    def has_waiting(self, service: str) -> bool:
        """Whether a request waits for a service."""
        known = self._services.get(service)
        return known is not None and bool(known.groups)

    def join(self, waiter: Waiter) -> bool:
        """Let a request wait; return False if the queue is full."""
        if waiter.is_queued:
            return True
        if self.is_full:
            return False
        service = self._services.setdefault(waiter.service, _Service())
        group = service.groups.setdefault(waiter.request_class.resource, _Group())
        self._last_number += 1
        key = waiter.lane_key
        lane = group.lanes.get(key)
        if lane is None:
            lane = group.lanes[key] = _Lane(key, self._last_number)
        self._numbers[waiter] = self._last_number
        insort(lane.entries, (waiter.is_late, waiter.start_key_s, self._last_number, waiter))
        waiter.is_queued = True
        self._count_tenant(service, waiter.tenant)
        return True

    def _count_tenant(self, service: _Service, tenant: str) -> None:
        waiting = service.waiting_by_tenant
        if tenant not in waiting and waiting:
            service.work.raise_to(tenant, min(service.work.of(other) for other in waiting))
        waiting[tenant] = waiting.get(tenant, 0) + 1

    def leave(self, waiter: Waiter) -> None:
        """Remove a request; does nothing if it does not wait."""
        if not waiter.is_queued:
            return
        waiter.is_queued = False
        service = self._services[waiter.service]
        group = service.groups[waiter.request_class.resource]
        key = waiter.lane_key
        lane = group.lanes[key]
        number = self._numbers.pop(waiter)
        del lane.entries[bisect_left(lane.entries, self._entry(waiter, number))]
        if not lane.entries:
            del group.lanes[key]
        if not group.lanes:
            del service.groups[waiter.request_class.resource]
        service.waiting_by_tenant[waiter.tenant] -= 1
        if not service.waiting_by_tenant[waiter.tenant]:
            del service.waiting_by_tenant[waiter.tenant]

    @staticmethod
    def _entry(waiter: Waiter, number: int) -> _Entry:
        return waiter.is_late, waiter.start_key_s, number, waiter

    def has_others(self, waiter: Waiter) -> bool:
        """Whether other requests wait for the resource that a request needs."""
        service = self._services.get(waiter.service)
        group = None if service is None else service.groups.get(waiter.request_class.resource)
        if group is None:
            return False
        return not waiter.is_queued or sum(len(lane.entries) for lane in group.lanes.values()) > 1

    def ahead_of(self, waiter: Waiter, now_s: float) -> int:
        """Return how many requests for the same resource go before one; all if it is not queued."""
        service = self._services.get(waiter.service)
        group = None if service is None else service.groups.get(waiter.request_class.resource)
        if service is None or group is None:
            return 0
        if not waiter.is_queued:
            return sum(len(lane.entries) for lane in group.lanes.values())
        own = group.lanes[waiter.lane_key]
        own_order = service.order(own, now_s)
        ahead = bisect_left(own.entries, self._entry(waiter, self._numbers[waiter]))
        for lane in group.lanes.values():
            if lane is not own and service.order(lane, now_s) < own_order:
                ahead += len(lane.entries)
        return ahead

    def turn_after_s(self, waiter: Waiter, now_s: float) -> float:
        """Return the expected time until a request that waits is sent; infinite if unknown."""
        service = self._services.get(waiter.service)
        group = None if service is None else service.groups.get(waiter.request_class.resource)
        if group is None or now_s - group.taken_at_s > INTERVAL_LIFETIME_S:
            return float("inf")
        return (self.ahead_of(waiter, now_s) + 1) * group.interval_s

    def note_sent(self, waiter: Waiter, share: float, now_s: float) -> None:
        """Record that a request is sent, also one that did not wait.

        Args:
            waiter: The request.
            share: Share of its tenant.
            now_s: Current monotonic time.
        """
        self.leave(waiter)
        service = self._services.setdefault(waiter.service, _Service())
        service.work.charge(waiter.tenant, waiter.work_ms, share, now_s)
        service.places_since_pressing += 1
        if waiter.is_by_bound:
            service.places_since_pressing = 0
        group = service.groups.get(waiter.request_class.resource)
        if group is not None:
            self._note_place(group, now_s)

    def note_not_run(self, waiter: Waiter, share: float, now_s: float) -> None:
        """Take back the work of a request that was counted as sent but that no replica ran."""
        service = self._services.get(waiter.service)
        if service is not None:
            service.work.charge(waiter.tenant, -waiter.work_ms, share, now_s)

    @staticmethod
    def _note_place(group: _Group, now_s: float) -> None:
        interval_s = now_s - group.taken_at_s
        group.taken_at_s = now_s
        if interval_s == float("inf"):
            return
        if group.interval_s == float("inf"):
            group.interval_s = interval_s
        group.interval_s += (interval_s - group.interval_s) * INTERVAL_WEIGHT

    def begin_round(
        self, service: str, now_s: float, can_serve: Callable[[Resource], bool] | None = None
    ) -> "Round":
        """Begin to offer turns to the requests that wait for a service.

        Args:
            service: The service.
            now_s: Current monotonic time.
            can_serve: Whether what changed may serve a resource; None for all resources.
        """
        known = self._services.setdefault(service, _Service())
        lanes = [
            lane
            for resource, group in known.groups.items()
            if can_serve is None or can_serve(resource)
            for lane in group.lanes.values()
        ]
        return Round(self, known, lanes, now_s)


class Round:
    """Offers the turn to one request after the other, each at most once unless it was sent."""

    def __init__(
        self, queue: WaitQueue, service: _Service, lanes: list[_Lane], now_s: float
    ) -> None:
        self._queue = queue
        self._service = service
        self._lanes = [(service.order(lane, now_s), lane) for lane in lanes]
        heapq.heapify(self._lanes)
        self._pressing = [lane for lane in lanes if lane.entries[0][3].pressing_at_s <= now_s]
        self._failed: set[RequestClass] = set()

    def note_failed(self, waiter: Waiter) -> None:
        """Record that a request that had its turn found no replica."""
        self._failed.add(waiter.request_class)

    def next(self, now_s: float) -> Waiter | None:
        """Take the next request from the queue; return None if no other can have a turn."""
        lane = self._pressing_lane(now_s)
        is_by_bound = lane is not None
        lane = lane or self._first_lane(now_s)
        if lane is None:
            return None
        waiter = lane.head(now_s)
        waiter.is_by_bound = is_by_bound
        self._queue.leave(waiter)
        return waiter

    def _is_usable(self, lane: _Lane) -> bool:
        return bool(lane.entries) and lane.key[3] not in self._failed

    def _pressing_lane(self, now_s: float) -> _Lane | None:
        """Return the lane whose first request gets the place that is due to pressing ones."""
        if self._service.places_since_pressing < PLACES_PER_PRESSING - 1:
            return None
        self._pressing = [
            lane
            for lane in self._pressing
            if self._is_usable(lane) and lane.head(now_s).pressing_at_s <= now_s
        ]
        # By arrival: by any other order, some could be passed over forever.
        return min(self._pressing, key=lambda lane: lane.head(now_s).arrived_at_s, default=None)

    def _first_lane(self, now_s: float) -> _Lane | None:
        """Return the lane whose first request goes before all others."""
        lanes = self._lanes
        while lanes:
            known_order, lane = lanes[0]
            if not self._is_usable(lane):
                heapq.heappop(lanes)
                continue
            order = self._service.order(lane, now_s)
            if order <= known_order:
                return lane
            # Work that was sent meanwhile raised the counter of its tenant, or its first request
            # is gone.
            heapq.heapreplace(lanes, (order, lane))
            if lanes[0][1] is lane:
                return lane
        return None
