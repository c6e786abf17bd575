"""One service with a number of places, many gateways and the members that they report to.

Requests find a free place, wait for one in random order, or are refused; callers that are refused
come back when they were told to. Messages pass at the intervals of heartbeats and take `LINK_S`.
"""

import heapq
import math
from collections import defaultdict
from dataclasses import dataclass, field
from random import Random

from crowsill.control.gateway_use import REPORT_INTERVAL_S
from crowsill.gateway.admission_level import FREE_SHARE, LevelView
from crowsill.gateway.follower import HEARTBEAT_S
from crowsill.gateway.wait_decision import WaitBudget
from crowsill.model.service_pressure import admission_class
from crowsill.overload.level_keeper import LevelKeeper
from crowsill.overload.pressure_counter import HELD_SHARE, PressureCounter
from crowsill.overload.pressure_sums import total_pressure

SERVICE = "s"
LINK_S = 0.02
# A request that finds no place looks again at this interval, up to this time.
POLL_S = 0.1
MAX_WAIT_S = 0.4
SERVICE_S = 0.5
# Retry-After of a gateway that decides alone.
OWN_RETRY_S = (0.5, 1.0)


@dataclass
class Caller:
    """A caller's request and what became of it."""

    tenant: str
    rank: int
    work: float
    first_at_s: float
    deadline_s: float
    refused_by_level: int = 0
    refusal_waits_s: list = field(default_factory=list)
    served_at_s: float | None = None


@dataclass
class Gateway:
    """One gateway and the member that it follows."""

    name: str
    member: int
    counter: PressureCounter
    view: LevelView = field(default_factory=LevelView)
    is_alive: bool = True
    used_share: float = 0.0


class SharedRoom:
    """The service; `run` plays the load of all tenants."""

    def __init__(self, places, *, gateways=61, members=5, seed=1, is_shared=True):
        """Create it.

        Args:
            places: Requests of mean work that run at once, each for `SERVICE_S`.
            gateways: Number of gateways.
            members: Number of control members.
            seed: Seed of all randomness.
            is_shared: Whether shared admission is switched on.
        """
        self.places = self.usual_places = places
        self.used = 0
        self.is_shared = is_shared
        self.random = Random(seed)
        self.members = [LevelKeeper() for _ in range(members)]
        self.reported_at_s = [float("-inf")] * members
        self.leader, self.term = 0, 1
        self.gateways = [
            Gateway(f"g{number}", number % members, PressureCounter(0.0))
            for number in range(gateways)
        ]
        self.callers = []
        self.started_at_s = []
        self.levels = []
        self.now_s = 0.0
        self.is_crashed = False
        self._events = []
        self._number = 0
        if is_shared:
            for gateway in self.gateways:
                self.at(self.random.random() * HEARTBEAT_S, self._heartbeat, gateway)

    @property
    def room_per_s(self):
        """Requests of mean work that can be served per second while no replica is lost."""
        return self.usual_places / SERVICE_S

    def at(self, time_s, action, *arguments):
        """Schedule an action, which receives the time and the arguments."""
        self._number += 1
        heapq.heappush(self._events, (time_s, self._number, action, arguments))

    def load(self, tenant, rate, starts_s, ends_s, *, ranks=(1, 2, 3, 4), deadline_s=12.0):
        """Schedule requests of a tenant at a rate per second."""
        at_s = starts_s + self.random.expovariate(rate)
        while at_s < ends_s:
            work = self.random.uniform(0.5, 1.5)
            caller = Caller(tenant, self.random.choice(ranks), work, at_s, deadline_s)
            self.callers.append(caller)
            self.at(at_s, self._arrive, caller)
            at_s += self.random.expovariate(rate)

    def run(self, seconds):
        """Play some seconds."""
        while self._events and self._events[0][0] <= seconds:
            now_s, _, action, arguments = heapq.heappop(self._events)
            action(now_s, *arguments)
        self.now_s = seconds
        return self

    def served_share(self, starts_s=0.0, ends_s=float("inf"), **wanted):
        """Return the share of requests that were served, of those that began in an interval."""
        found = [
            caller.served_at_s is not None
            for caller in self.callers
            if starts_s <= caller.first_at_s < ends_s
            and all(getattr(caller, name) == value for name, value in wanted.items())
        ]
        return sum(found) / len(found)

    def started_per_s(self):
        """Return the work per second that is started, by the leader's sums."""
        total = total_pressure(self.members[self.leader]._sums.live(self.now_s))
        return total.services[SERVICE].started

    # Failures.

    def lose_leader(self, _now_s):
        """Lose the leader; its gateways move to the next member when there is a new one."""
        self.members[self.leader] = None
        self.leader = None

    def elect(self, now_s, number):
        """Let a member lead."""
        self.leader, self.term = number, self.term + 1
        for lost in [place for place, member in enumerate(self.members) if member is None]:
            self.move_gateways(now_s, lost, number)

    def move_gateways(self, _now_s, source, target):
        """Let all gateways of one member follow another one."""
        for gateway in self.gateways:
            if gateway.member == source:
                gateway.member = target

    def restart_member(self, _now_s, number):
        """Restart a member, which loses what it kept."""
        self.members[number] = LevelKeeper()

    def restart_gateways(self, now_s, count):
        """Restart some gateways under new identities."""
        for gateway in self.gateways[:count]:
            gateway.name += ".2"
            gateway.counter, gateway.view = PressureCounter(now_s), LevelView()

    def change_places(self, _now_s, places):
        """Lose or regain replicas; what runs at lost ones is still counted until it ends."""
        self.places = places

    def crash(self, now_s, seconds):
        """Let all replicas crash for some seconds; what runs there is lost."""
        self.is_crashed = True
        self.at(now_s + seconds, self._return)

    def _return(self, _now_s):
        self.is_crashed = False

    def goodput(self, starts_s, ends_s):
        """Return the work that was started in an interval, as a share of the room."""
        work = sum(work for at_s, work in self.started_at_s if starts_s <= at_s < ends_s)
        return work / (self.room_per_s * (ends_s - starts_s))

    def _heartbeat(self, now_s, gateway):
        self.at(now_s + HEARTBEAT_S * self.random.uniform(0.95, 1.05), self._heartbeat, gateway)
        if gateway.is_alive:
            report = gateway.counter.collect({}, now_s)
            self.at(now_s + LINK_S, self._receive_report, gateway, report)

    def _receive_report(self, now_s, gateway, report):
        number = gateway.member
        member = self.members[number]
        if member is None or self.leader is None:
            return
        member.note_report(gateway.name, report, now_s)
        leader = self.members[self.leader]
        if number != self.leader and now_s - self.reported_at_s[number] >= REPORT_INTERVAL_S:
            self.reported_at_s[number] = now_s
            leader.note_report(f"m{number}", member.sum_report(now_s), now_s)
            member.note_level(leader.level(self.term, now_s), now_s)
        level = member.level(self.term if number == self.leader else None, now_s)
        if level is not None:
            self.levels.append(level)
            used_share = self.used / self.places
            self.at(now_s + LINK_S, self._receive_level, gateway, level, used_share)

    def _receive_level(self, now_s, gateway, level, used_share):
        gateway.view.note(level, now_s)
        gateway.used_share = used_share

    def _budget(self, caller, now_s):
        """Return how long a caller waits; its responses lose value in the second half."""
        left_s = caller.first_at_s + caller.deadline_s - now_s
        return WaitBudget(0.0, left_s, left_s / 2.0, math.inf)

    def _arrive(self, now_s, caller):
        gateway = self.random.choice(self.gateways)
        number = admission_class(caller.rank)
        gateway.counter.note_asked(SERVICE, caller.tenant, number, caller.work)
        draws = (self.random.random(), self.random.random())
        delay_s = gateway.view.refusal_delay_s(
            SERVICE,
            caller.tenant,
            number,
            budget=self._budget(caller, now_s),
            response_s=0.0,
            draws=draws,
            now_s=now_s,
        )
        if not self.is_shared or delay_s is None or gateway.used_share < 1.0 - FREE_SHARE:
            self._try(now_s, caller, gateway, now_s)
            return
        caller.refused_by_level += 1
        gateway.counter.note_refused(SERVICE, caller.tenant, caller.work)
        self._refuse(now_s, caller, now_s, delay_s)

    def _try(self, now_s, caller, gateway, arrived_at_s):
        if self.is_crashed:
            # No replica is known that could be full.
            number = admission_class(caller.rank)
            gateway.counter.note_asked(SERVICE, caller.tenant, number, -caller.work)
            self._refuse(now_s, caller, arrived_at_s, self.random.uniform(*OWN_RETRY_S))
            return
        if self.used < self.places:
            self.used += 1
            caller.served_at_s = now_s
            self.started_at_s.append((now_s, caller.work))
            gateway.counter.note_started(SERVICE, caller.work)
            self.at(now_s + SERVICE_S * caller.work, self._finish)
            return
        if now_s == arrived_at_s:
            gateway.counter.note_full(SERVICE, HELD_SHARE * caller.work)
        if now_s - arrived_at_s < MAX_WAIT_S:
            next_s = now_s + POLL_S * self.random.uniform(0.5, 1.0)
            self.at(next_s, self._try, caller, gateway, arrived_at_s)
            return
        gateway.counter.note_full(SERVICE, (1.0 - HELD_SHARE) * caller.work)
        gateway.counter.note_refused(SERVICE, caller.tenant, caller.work)
        self._refuse(now_s, caller, arrived_at_s, self.random.uniform(*OWN_RETRY_S))

    def _finish(self, _now_s):
        self.used -= 1

    def _refuse(self, now_s, caller, arrived_at_s, delay_s):
        caller.refusal_waits_s.append(now_s - arrived_at_s)
        if now_s + delay_s < caller.first_at_s + caller.deadline_s:
            self.at(now_s + delay_s, self._arrive, caller)


def served_by_tenant(room, starts_s, ends_s):
    """Return the served share of each tenant's requests that began in an interval."""
    by_tenant = defaultdict(list)
    for caller in room.callers:
        if starts_s <= caller.first_at_s < ends_s:
            by_tenant[caller.tenant].append(caller.served_at_s is not None)
    return {tenant: sum(found) / len(found) for tenant, found in by_tenant.items()}
