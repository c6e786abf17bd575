"""Replicas that ask for backoffs or report draining in responses alone, against the real programs.

Guards against gateways that ignore the signals of a rejection: an overloaded replica responds
within 2 ms and has nothing in flight, so it looked like the fastest one and was chosen again and
again. Most backoffs got requests, and callers were told that every replica is full.
"""

import asyncio
import contextlib
import time
from dataclasses import dataclass

import pytest

from tests.platform_site import ID, StandInReplica
from tests.watched_site import play, send_requests, site_of_three, start_replicas

RUN_S = 0.2
# Capacity of a replica that sheds, and of one that can take all requests.
LOW_CAPACITY = 3
HIGH_CAPACITY = 64
# Requests sent before the replica asked for a backoff may arrive up to this long after.
IN_TRANSIT_S = 0.5
MAX_IN_BACKOFF = 2
# Time for which a draining replica may get requests after a gateway relayed its report.
DRAIN_RELAY_S = 2.0
# Time until the other gateways know it through the control group.
GROUP_KNOWS_S = 1.0
# Longest retry delay beyond the end of a backoff, for callers without a rank.
MAX_RETRY_SPREAD_S = 0.7


@dataclass
class Backoff:
    """A response by which a replica asked a gateway for a backoff."""

    gateway: str
    requested_at_s: float
    backoff_s: float
    arrivals_s: list[float]


class WatchedReplica(StandInReplica):
    """Records its requests and rejects those beyond its capacity with a backoff."""

    def __init__(self, site, number, service, capacity=HIGH_CAPACITY, backoff_s=3.0):
        super().__init__(site, number, service)
        self.capacity = capacity
        self.backoff_s = backoff_s
        self.running = 0
        self.backoffs = []
        self.arrivals = []
        self.announces_draining = False

    async def _serve(self, reader, writer):
        with contextlib.suppress(asyncio.CancelledError):
            await super()._serve(reader, writer)

    async def _answer(self, first, headers, body):
        if ID.lower() not in headers:
            return await super()._answer(first, headers, body)
        # The stand-in machines are told apart by their addresses.
        gateway = headers["x-from"]
        now_s = time.monotonic()
        self.arrivals.append((gateway, now_s))
        for backoff in self.backoffs:
            if backoff.gateway == gateway and now_s < backoff.requested_at_s + backoff.backoff_s:
                backoff.arrivals_s.append(now_s - backoff.requested_at_s)
        if self.running >= self.capacity:
            self.backoffs.append(Backoff(gateway, now_s, self.backoff_s, []))
            echoed = f"{ID}: {headers[ID.lower()]}"
            return 503, [echoed, "X-Crowsill-Not-Run: 1", f"Retry-After: {self.backoff_s:g}"], b""
        self.running += 1
        try:
            await asyncio.sleep(RUN_S)
            status, extra, answer = await super()._answer(first, headers, body)
        finally:
            self.running -= 1
        if self.announces_draining:
            extra = [*extra, "Server-Leaving: 1"]
        return status, extra, answer


@pytest.mark.parametrize(("kind", "attempts"), [("idempotent", 3), ("non_idempotent", 1)])
def test_a_replica_gets_nothing_in_its_backoff(tmp_path, kind, attempts):
    with site_of_three(tmp_path) as site:
        shedding = [
            WatchedReplica(site, number, "till", LOW_CAPACITY, backoff_s)
            for number, backoff_s in enumerate((3.0, 2.5))
        ]
        with_capacity = [WatchedReplica(site, n, "till") for n in range(2, 4)]
        answers = asyncio.run(play(site, kind, attempts, [*shedding, *with_capacity]))
    backoffs = all_backoffs(shedding)
    assert backoffs, "nothing was rejected"
    late = [sum(at_s > IN_TRANSIT_S for at_s in backoff.arrivals_s) for backoff in backoffs]
    broken = sum(count > MAX_IN_BACKOFF for count in late)
    assert broken == 0, f"{broken} of {len(backoffs)} backoffs got requests, {max(late)} in one"
    # Half of the replicas can take all requests, so none is rejected because of the others.
    statuses = [status for _, _, status, _, _ in answers]
    unserved = sum(status != 200 for status in statuses)
    assert unserved <= len(statuses) // 50, f"{unserved} of {len(statuses)} were not served"


def all_backoffs(replicas):
    return [backoff for replica in replicas for backoff in replica.backoffs]


def times_to_next_backoff(replicas):
    """Return the times from the end of each backoff of a gateway to its next one there."""
    times_s = []
    for replica in replicas:
        ends_at_s = {}
        for backoff in replica.backoffs:
            previous_end_s = ends_at_s.get(backoff.gateway)
            if previous_end_s is not None and backoff.requested_at_s >= previous_end_s:
                times_s.append(backoff.requested_at_s - previous_end_s)
            ends_at_s[backoff.gateway] = max(
                previous_end_s or 0.0, backoff.requested_at_s + backoff.backoff_s
            )
    return times_s


def test_replicas_that_are_short_of_places_do_not_shed_again_as_they_return(tmp_path):
    """Replicas with capacity for three quarters of the requests serve at least half of them.

    Guards against gateways that all send their waiting requests at the end of a backoff: the
    replicas shed again within a second of each return and served a third of the requests.
    """
    with site_of_three(tmp_path) as site:
        replicas = [WatchedReplica(site, number, "till", 6, 1.0) for number in range(2)]
        answers = asyncio.run(play(site, "idempotent", 3, replicas))
    assert any(replica.backoffs for replica in replicas), "nothing was rejected"
    again = sum(time_s < 1.0 for time_s in times_to_next_backoff(replicas))
    backoffs = len(all_backoffs(replicas))
    assert again <= max(1, backoffs // 10), f"{again} of {backoffs} backoffs right after another"
    served = sum(status == 200 for _, _, status, _, _ in answers)
    assert served >= len(answers) // 2, f"{served} of {len(answers)} were served"


def test_while_all_replicas_back_off_callers_are_rejected_at_once_with_a_retry_time(tmp_path):
    """Guards against requests that wait for the end of a backoff although most are rejected then.

    With backoffs of 3 s or 2 s, callers were rejected after 262 and 911 ms at the median.
    """

    async def shed_everything(site, replicas):
        await start_replicas(site, "idempotent", 3, replicas)
        for replica in replicas:
            replica.capacity = 0
        return await send_requests(site, replicas)

    with site_of_three(tmp_path) as site:
        replicas = [WatchedReplica(site, number, "till") for number in range(2)]
        answers = asyncio.run(shed_everything(site, replicas))
    rejected = [(ended_s - sent_s, headers) for sent_s, ended_s, _, _, headers in answers]
    assert {status for _, _, status, _, _ in answers} == {503}
    durations_s = sorted(time_s for time_s, _ in rejected)
    assert durations_s[len(durations_s) // 2] < 0.05
    # The time is the rest of a backoff of 3 s, plus a little by rank and at random.
    retry_after_s = [float(headers["Retry-After"]) for _, headers in rejected]
    assert max(retry_after_s) < 3.0 + MAX_RETRY_SPREAD_S
    late = [
        sum(at_s > IN_TRANSIT_S for at_s in backoff.arrivals_s)
        for backoff in all_backoffs(replicas)
    ]
    assert max(late) <= MAX_IN_BACKOFF


def test_a_replica_that_reports_draining_in_its_responses_gets_nothing_new(tmp_path):
    """Its heartbeats still report that it is ready.

    Guards against gateways that ignore the report: 76 of 426 requests reached such a replica more
    than 2 s after the same gateway had relayed one of its reports.
    """
    with site_of_three(tmp_path) as site:
        replicas = [WatchedReplica(site, number, "till") for number in range(2)]
        answers = asyncio.run(play(site, "idempotent", 3, replicas, replicas[:1]))
    reported_at_s = {}
    for _, ended_s, _, gateway, headers in answers:
        if headers.get("Server-Leaving") == "1":
            reported_at_s[gateway] = min(ended_s, reported_at_s.get(gateway, ended_s))
    assert reported_at_s, "no report was relayed"
    late = [
        gateway
        for gateway, at_s in replicas[0].arrivals
        if gateway in reported_at_s and at_s > reported_at_s[gateway] + DRAIN_RELAY_S
    ]
    known_at_s = min(reported_at_s.values()) + GROUP_KNOWS_S
    late += [gateway for gateway, at_s in replicas[0].arrivals if at_s > known_at_s]
    assert not late, f"{len(late)} of {len(replicas[0].arrivals)} requests came too late"
    assert {status for _, _, status, _, _ in answers} == {200}
