"""Many gateways at the replicas of a service that says it is brittle, in simulated time.

The real choice and the real bound place each request; a request that finds no replica waits at its
gateway for a while. With the choice alone, all of 60 replicas crashed five times in 15 s.
"""

import heapq
from collections import deque
from dataclasses import dataclass, field
from random import Random

import pytest

from crowsill.gateway.brittle_replicas import BrittleReplicas
from crowsill.gateway.replica_registry import ReplicaRecord
from crowsill.gateway.request import CallerRequest
from crowsill.gateway.selection import Choice, choose
from crowsill.gateway.selection_limits import SelectionLimits
from crowsill.model.instances import Instance

SLOTS = 8
SERVICE_S = 0.1
MAX_REJECTIONS_PER_S = 4
DOWN_S = 3.0
NOTICE_S = 3.0
ENDS_S = 9.0
# Requests wait for as long at a gateway, and look for a replica as often.
MAX_WAIT_S = 1.0
POLL_S = 0.1


@dataclass
class Replica:
    """A replica with slots and room to wait."""

    present: int = 0
    running: int = 0
    down_until_s: float = 0.0
    waiting: deque = field(default_factory=deque)
    rejected_at_s: deque = field(default_factory=deque)


@dataclass
class Gateway:
    """What one gateway knows."""

    records: list
    brittle: BrittleReplicas
    random: Random


@dataclass
class Request:
    """A request at a gateway, and then at a replica."""

    gateway: Gateway
    arrived_at_s: float
    tried: set = field(default_factory=set)
    record: ReplicaRecord | None = None


class Site:
    """Gateways and replicas; `run` returns the falls and the share of requests that is served."""

    def __init__(self, gateways, replicas, load, room_left, is_bounded=True):
        self.random = Random(gateways)
        self.is_bounded = is_bounded
        self.room_left = room_left
        self.rate = load * replicas * SLOTS / SERVICE_S
        self.replicas = [Replica() for _ in range(replicas)]
        self.gateways = [
            Gateway(
                [
                    ReplicaRecord(Instance(f"i-{item}", "s", "127.0.0.1:1", "z", SLOTS))
                    for item in range(replicas)
                ],
                BrittleReplicas(f"g-{number}"),
                Random(number),
            )
            for number in range(gateways)
        ]
        self.requested = self.served = self.falls = self.number = 0
        self.events = []

    def at(self, time_s, action, *arguments):
        self.number += 1
        heapq.heappush(self.events, (time_s, self.number, action, arguments))

    def run(self):
        self.at(0.0, self.arrive)
        while self.events:
            now_s, _, action, arguments = heapq.heappop(self.events)
            action(now_s, *arguments)
        return self.falls, self.served / self.requested

    def arrive(self, now_s):
        if now_s < ENDS_S:
            self.at(now_s + self.random.expovariate(self.rate), self.arrive)
        self.requested += now_s >= NOTICE_S
        self.send(now_s, Request(self.random.choice(self.gateways), now_s))

    def send(self, now_s, request):
        gateway = request.gateway
        limits = SelectionLimits(
            "z",
            100,
            random=gateway.random,
            brittle=gateway.brittle if self.is_bounded and gateway.brittle.is_in_effect else None,
            gateways=len(self.gateways),
        )
        caller = CallerRequest(b"POST", b"/", [], b"", True, request.arrived_at_s)
        choice = choose(gateway.records, caller, request.tried, limits, now_s)
        if not isinstance(choice, Choice):
            if now_s - request.arrived_at_s < MAX_WAIT_S:
                self.at(now_s + POLL_S * gateway.random.uniform(0.9, 1.1), self.send, request)
            return
        request.record = choice.record
        request.tried.add(choice.record.instance.instance_id)
        choice.record.in_flight += 1
        self.receive(now_s, request)

    def replica(self, request):
        return self.replicas[int(request.record.instance.instance_id.removeprefix("i-"))]

    def receive(self, now_s, request):
        replica = self.replica(request)
        if now_s < replica.down_until_s:
            request.record.availability.note_failure(now_s)
            self.leave(now_s, request)
            return
        is_short = now_s >= NOTICE_S
        if replica.present >= (SLOTS + self.room_left if is_short else 2 * SLOTS):
            self.reject(now_s, request, replica, is_short)
            return
        replica.present += 1
        replica.waiting.append(request)
        self.start(now_s, replica)

    def start(self, now_s, replica):
        while replica.waiting and replica.running < SLOTS:
            request = replica.waiting.popleft()
            replica.running += 1
            self.at(
                now_s + self.random.uniform(0.5, 1.5) * SERVICE_S, self.finish, request, replica
            )

    def reject(self, now_s, request, replica, is_short):
        self.note_word(request, now_s)
        request.gateway.brittle.note_rejection(
            request.record, len(self.gateways), now_s, request.gateway.random.random()
        )
        request.record.note_error_response()
        self.leave(now_s, request)
        if not is_short:
            return
        replica.rejected_at_s.append(now_s)
        while replica.rejected_at_s[0] < now_s - 1.0:
            replica.rejected_at_s.popleft()
        if len(replica.rejected_at_s) > MAX_REJECTIONS_PER_S:
            self.falls += 1
            replica.down_until_s = now_s + DOWN_S
            replica.rejected_at_s.clear()

    def note_word(self, request, now_s):
        request.gateway.brittle.note_brittle(
            request.record.instance.instance_id, MAX_REJECTIONS_PER_S, now_s
        )

    def leave(self, now_s, request):
        """Send a request that did not run elsewhere."""
        request.record.in_flight -= 1
        if now_s - request.arrived_at_s < MAX_WAIT_S:
            self.at(now_s, self.send, request)

    def finish(self, now_s, request, replica):
        replica.present -= 1
        replica.running -= 1
        if now_s >= replica.down_until_s:
            self.note_word(request, now_s)
            request.record.in_flight -= 1
            request.record.note_success()
            self.served += request.arrived_at_s >= NOTICE_S
        else:
            request.record.in_flight -= 1
        self.start(now_s, replica)


@pytest.mark.parametrize(
    ("gateways", "replicas", "load"), [(6, 4, 0.95), (90, 60, 0.6), (200, 20, 0.95)]
)
def test_no_replica_crashes_for_what_gateways_send_together(gateways, replicas, load):
    falls, share = Site(gateways, replicas, load, room_left=1).run()
    assert falls <= 2 + replicas / 10, f"{share:.3f} served"
    assert share >= 2 / 3
