"""Whether a replica may be sent requests, over random histories of one incarnation.

Guards against an advisory pause in place of a backoff: it was ignored when no other replica was
left, and any complete response ended it. Reports of the replica, directory updates and results of
attempts come in any order, with clock jumps; selection must agree with the reported reason.
"""

import asyncio
from random import Random

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from crowsill.gateway.availability import MAX_PROBES, Availability
from crowsill.gateway.exclusion import Exclusion, ExclusionReason
from crowsill.gateway.link_state import LinkState
from crowsill.gateway.replica_check import ReplicaChecker
from crowsill.gateway.replica_registry import ReplicaRegistry
from crowsill.gateway.replica_watch import ReplicaWatch
from crowsill.gateway.request import CallerRequest
from crowsill.gateway.selection import Choice, NoReplicaReason, choose
from crowsill.gateway.selection_limits import SelectionLimits
from crowsill.model.instances import Instance, InstanceState
from crowsill.state.directory import DirectoryChange

PLAIN = CallerRequest(b"POST", b"/", [], b"", True, 0.0)
STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("backoff"), st.floats(0.0, 10.0)),
        st.tuples(st.just("rate_limited"), st.floats(0.0, 10.0)),
        st.tuples(st.just("report_draining"), st.none()),
        st.tuples(st.just("accepted"), st.none()),
        st.tuples(st.just("success"), st.none()),
        st.tuples(st.just("directory_update"), st.booleans()),
        st.tuples(st.just("snapshot"), st.booleans()),
        st.tuples(st.just("removal"), st.none()),
        st.tuples(st.just("interruption"), st.none()),
        st.tuples(st.just("unreachable"), st.none()),
        st.tuples(st.just("reachable"), st.none()),
        st.tuples(st.just("list_state"), st.booleans()),
        st.tuples(st.just("wait"), st.floats(0.0, 20.0)),
    ),
    max_size=40,
)


RECORD_STEPS = {
    "backoff",
    "rate_limited",
    "report_draining",
    "accepted",
    "success",
    "interruption",
    "unreachable",
    "reachable",
}


class History:
    """One incarnation in a gateway's registry, with the expected state."""

    def __init__(self):
        self.listed = Instance("a@1", "s", "127.0.0.1:1", "z", 4)
        self.registry = ReplicaRegistry()
        self.now_s, self.version = 0.0, 0
        self.backoff_ends_at_s, self.has_reported_draining = 0.0, False
        self.limit_opens_at_s = 0.0
        self.is_listed_draining, self.is_unreachable, self.failure_pause_ends_at_s = (
            False,
            False,
            0.0,
        )
        self.snapshot(True)

    def _change(self, listed, removed, is_full):
        self.version += 1
        change = DirectoryChange(self.version, listed, removed)
        self.registry.adopt(change, is_full, self.now_s)

    def backoff(self, record, backoff_s):
        record.availability.note_backoff(backoff_s, self.now_s)
        self.backoff_ends_at_s = max(self.backoff_ends_at_s, self.now_s + backoff_s)

    def rate_limited(self, record, closed_s):
        record.availability.note_limit(1.0, self.now_s)
        self.limit_opens_at_s = self.now_s + closed_s
        record.availability.close_for_limit(self.limit_opens_at_s)

    def report_draining(self, record, _):
        record.note_draining(self.now_s)
        self.has_reported_draining = True

    def accepted(self, record, _):
        record.availability.note_accepted(self.now_s)

    def success(self, record, _):
        record.note_success()
        self._forget_attempts()

    def _forget_attempts(self):
        self.is_unreachable, self.failure_pause_ends_at_s = False, 0.0

    def interruption(self, record, _):
        record.note_failure(self.now_s)
        self.failure_pause_ends_at_s = record.availability.failure_pause_ends_at_s
        assert self.failure_pause_ends_at_s > self.now_s

    def unreachable(self, record, _):
        record.availability.note_unreachable()
        self.is_unreachable = True

    def reachable(self, record, _):
        record.availability.note_reachable()
        self.is_unreachable = False

    def list_state(self, is_listed_draining):
        state = InstanceState.DRAINING if is_listed_draining else InstanceState.READY
        self.listed = msgspec.structs.replace(self.listed, state=state)

    def directory_update(self, _):
        self._change([self.listed], [], False)
        self.is_listed_draining = not self.listed.accepts_work

    def snapshot(self, is_listed):
        self._change([self.listed] * is_listed, [], True)
        self.is_listed_draining = not self.listed.accepts_work
        if not is_listed:
            self._forget_attempts()

    def removal(self, _):
        self._change([], ["a@1"], False)
        self._forget_attempts()

    def wait(self, time_s):
        self.now_s += time_s

    def check(self):
        record = self.registry.find("a@1")
        if record is None:
            return
        is_backing_off = self.now_s < self.backoff_ends_at_s
        assert max(0.0, record.availability.backoff_ends_at_s) == self.backoff_ends_at_s
        assert record.availability.is_backing_off(self.now_s) is is_backing_off
        assert record.instance.accepts_work is not (
            self.has_reported_draining or self.is_listed_draining
        )
        reasons = {
            ExclusionReason.REPORTED_DRAINING: self.has_reported_draining,
            ExclusionReason.LISTED_DRAINING: self.is_listed_draining,
            ExclusionReason.BACKING_OFF: is_backing_off,
            ExclusionReason.RATE_LIMITED: self.now_s < self.limit_opens_at_s,
            ExclusionReason.UNREACHABLE: self.is_unreachable,
            ExclusionReason.FAILING: self.now_s < self.failure_pause_ends_at_s,
        }
        expected = next((why for why, holds in reasons.items() if holds), None)
        found = record.availability.exclusion(self.now_s)
        assert (None if found is None else found.reason) is expected
        self._check_choice(record, expected, is_backing_off)

    def _check_choice(self, record, expected, is_backing_off):
        """Check that a replica is chosen unless it is excluded for a reason other than failures."""
        is_closed = self.has_reported_draining or self.is_listed_draining or self.is_unreachable
        chosen = choose([record], PLAIN, set(), SelectionLimits("z", 10), self.now_s)
        if is_closed:
            is_draining = self.has_reported_draining or self.is_listed_draining
            assert chosen is (
                NoReplicaReason.NO_REPLICA if is_draining else NoReplicaReason.UNREACHABLE
            )
        elif is_backing_off or self.now_s < self.limit_opens_at_s:
            assert chosen is NoReplicaReason.ALL_CLOSED
        else:
            assert isinstance(chosen, Choice) and expected in (None, ExclusionReason.FAILING)
        # On an open connection only its own reports and the directory count.
        is_accepted = not (self.has_reported_draining or self.is_listed_draining or is_backing_off)
        assert record.availability.accepts_on_open_connection(self.now_s) is is_accepted


@settings(max_examples=500)
@given(STEPS)
def test_backoffs_are_never_shortened_and_reported_drains_stay(steps):
    history = History()
    for step, value in steps:
        record = history.registry.find("a@1")
        if step in RECORD_STEPS and record is not None:
            getattr(history, step)(record, value)
        elif step not in RECORD_STEPS:
            getattr(history, step)(value)
        history.check()


def test_a_new_incarnation_inherits_neither_backoff_nor_drain():
    registry = ReplicaRegistry()
    first = Instance("a@1", "s", "127.0.0.1:1", "z", 4, replica="a", started_ms=1)
    registry.adopt(DirectoryChange(1, [first], []), True, 0.0)
    registry.find("a@1").availability.note_backoff(100.0, 0.0)
    registry.find("a@1").note_draining(0.0)
    later = msgspec.structs.replace(first, instance_id="a@2", started_ms=2)
    registry.adopt(DirectoryChange(2, [later], ["a@1"]), False, 0.0)
    assert registry.find("a@2").availability.exclusion(0.0) is None


def test_responses_to_requests_sent_before_a_backoff_raise_no_probe_bound():
    availability = Availability()
    availability.note_backoff(1.0, now_s=10.0)
    availability.note_accepted(sent_at_s=9.9)
    assert availability.max_probes == 1
    accepted = 0
    while availability.max_probes is not None:
        assert availability.max_probes <= MAX_PROBES
        availability.note_accepted(sent_at_s=11.0)
        accepted += 1
    assert accepted == 5


class NoPool:
    """A connection pool without connections."""

    def close_idle(self, _instance_id):
        pass


def test_an_attempt_that_fails_after_its_record_is_removed_closes_nothing():
    """An attempt of a removed record must not close the incarnation when it is listed again.

    The replica's reports outlive its record, but the reconnect task stops with the record. An
    incarnation that had backed off, was removed and listed again would get no request any more.
    """

    async def scenario():
        listed = Instance("a@1", "s", "127.0.0.1:1", "z", 4)
        registry = ReplicaRegistry()
        watch = ReplicaWatch(
            registry,
            NoPool(),
            LinkState(registry, lambda _instance_id: False),
            ReplicaChecker(NoPool(), lambda: None),
            notify=lambda _notice: True,
            on_change=lambda: None,
            random=Random(1),
        )
        registry.adopt(DirectoryChange(1, [listed], []), True, 0.0)
        removed_record = registry.find("a@1")
        removed_record.availability.note_backoff(1.0, now_s=0.0)
        registry.adopt(DirectoryChange(2, [], ["a@1"]), False, 0.0)
        watch.watch_unreachable(removed_record)
        registry.adopt(DirectoryChange(3, [listed], []), False, 0.0)
        watch.watch_unreachable(removed_record)
        found = registry.find("a@1").availability
        assert found.exclusion(0.5) == Exclusion(ExclusionReason.BACKING_OFF, 1.0)
        assert found.exclusion(1.5) is None and found.available_at_s == 1.0
        await watch.stop()

    asyncio.run(scenario())
