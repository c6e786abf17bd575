"""Whether a replica may be sent requests, over random histories of one life.

A soft pause stood where a rest belongs: it was passed over when nothing else was left, and any
whole answer ended it. What a replica said, what the directory says and what calls have shown come
here in any order, with clocks that jump, and choosing must agree with the reason that an operator
is told.
"""

import asyncio

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from crowsill.gateway.availability import MAX_PROBES, Availability, Exclusion, ExclusionReason
from crowsill.gateway.replica_registry import ReplicaRegistry
from crowsill.gateway.replica_watch import ReplicaWatch
from crowsill.gateway.request import CallerRequest
from crowsill.gateway.selection import Choice, NoReplicaReason, SelectionLimits, choose
from crowsill.model.instances import Instance, InstanceState
from crowsill.state.directory import DirectoryChange

PLAIN = CallerRequest(b"POST", b"/", [], b"", True, 0.0)
STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("rest"), st.floats(0.0, 10.0)),
        st.tuples(st.just("limited"), st.floats(0.0, 10.0)),
        st.tuples(st.just("leave"), st.none()),
        st.tuples(st.just("taken"), st.none()),
        st.tuples(st.just("success"), st.none()),
        st.tuples(st.just("pushed"), st.booleans()),
        st.tuples(st.just("snapshot"), st.booleans()),
        st.tuples(st.just("dropped"), st.none()),
        st.tuples(st.just("break_off"), st.none()),
        st.tuples(st.just("unreachable"), st.none()),
        st.tuples(st.just("reachable"), st.none()),
        st.tuples(st.just("drain"), st.booleans()),
        st.tuples(st.just("wait"), st.floats(0.0, 20.0)),
    ),
    max_size=40,
)


OF_A_RECORD = {
    "rest",
    "limited",
    "leave",
    "taken",
    "success",
    "break_off",
    "unreachable",
    "reachable",
}


class History:
    """One life in a gateway's book, and what must hold of it."""

    def __init__(self):
        self.listed = Instance("a@1", "s", "127.0.0.1:1", "z", 4)
        self.registry = ReplicaRegistry()
        self.now_s, self.version = 0.0, 0
        self.backoff_ends_at_s, self.leaves = 0.0, False
        self.limit_opens_at_s = 0.0
        self.drains, self.is_unreachable, self.failure_pause_ends_at_s = False, False, 0.0
        self.snapshot(True)

    def _change(self, listed, removed, whole):
        self.version += 1
        change = DirectoryChange(self.version, listed, removed)
        self.registry.adopt(change, whole, self.now_s)

    def rest(self, record, rest_s):
        record.availability.note_backoff(rest_s, self.now_s)
        self.backoff_ends_at_s = max(self.backoff_ends_at_s, self.now_s + rest_s)

    def limited(self, record, closed_s):
        record.availability.note_limit(1.0, self.now_s)
        self.limit_opens_at_s = self.now_s + closed_s
        record.availability.close_for_limit(self.limit_opens_at_s)

    def leave(self, record, _):
        record.note_draining(self.now_s)
        self.leaves = True

    def taken(self, record, _):
        record.availability.note_accepted(self.now_s)

    def success(self, record, _):
        record.note_success()
        self._forget_calls()

    def _forget_calls(self):
        self.is_unreachable, self.failure_pause_ends_at_s = False, 0.0

    def break_off(self, record, _):
        record.note_failure(self.now_s)
        self.failure_pause_ends_at_s = record.availability.failure_pause_ends_at_s
        assert self.failure_pause_ends_at_s > self.now_s

    def unreachable(self, record, _):
        record.availability.note_unreachable()
        self.is_unreachable = True

    def reachable(self, record, _):
        record.availability.note_reachable()
        self.is_unreachable = False

    def drain(self, drains):
        state = InstanceState.DRAINING if drains else InstanceState.READY
        self.listed = msgspec.structs.replace(self.listed, state=state)

    def pushed(self, _):
        self._change([self.listed], [], False)
        self.drains = not self.listed.accepts_work

    def snapshot(self, is_listed):
        self._change([self.listed] * is_listed, [], True)
        self.drains = not self.listed.accepts_work
        if not is_listed:
            self._forget_calls()

    def dropped(self, _):
        self._change([], ["a@1"], False)
        self._forget_calls()

    def wait(self, time_s):
        self.now_s += time_s

    def check(self):
        record = self.registry.find("a@1")
        if record is None:
            return
        resting = self.now_s < self.backoff_ends_at_s
        assert max(0.0, record.availability.backoff_ends_at_s) == self.backoff_ends_at_s
        assert record.availability.is_backing_off(self.now_s) is resting
        assert record.instance.accepts_work is not (self.leaves or self.drains)
        reasons = {
            ExclusionReason.REPORTED_DRAINING: self.leaves,
            ExclusionReason.LISTED_DRAINING: self.drains,
            ExclusionReason.BACKING_OFF: resting,
            ExclusionReason.RATE_LIMITED: self.now_s < self.limit_opens_at_s,
            ExclusionReason.UNREACHABLE: self.is_unreachable,
            ExclusionReason.FAILING: self.now_s < self.failure_pause_ends_at_s,
        }
        expected = next((why for why, holds in reasons.items() if holds), None)
        found = record.availability.exclusion(self.now_s)
        assert (None if found is None else found.reason) is expected
        self._check_choice(record, expected, resting)

    def _check_choice(self, record, expected, resting):
        """A replica is chosen unless a reason holds; a broken answer is none if nothing is left."""
        is_gone = self.leaves or self.drains or self.is_unreachable
        chosen = choose([record], PLAIN, set(), SelectionLimits("z", 10), self.now_s)
        if is_gone:
            assert chosen is NoReplicaReason.NO_REPLICA
        elif resting or self.now_s < self.limit_opens_at_s:
            assert chosen is NoReplicaReason.ALL_CLOSED
        else:
            assert isinstance(chosen, Choice) and expected in (None, ExclusionReason.FAILING)
        # On a connection that is open already only its own word and the directory's count.
        may = not (self.leaves or self.drains or resting)
        assert record.availability.accepts_on_open_connection(self.now_s) is may


@settings(max_examples=500)
@given(STEPS)
def test_no_rest_is_shortened_and_no_leaving_undone_within_a_life(steps):
    history = History()
    for step, value in steps:
        record = history.registry.find("a@1")
        if step in OF_A_RECORD and record is not None:
            getattr(history, step)(record, value)
        elif step not in OF_A_RECORD:
            getattr(history, step)(value)
        history.check()


def test_the_next_life_of_a_replica_knows_nothing_of_the_rest_or_the_leaving_of_the_last():
    registry = ReplicaRegistry()
    first = Instance("a@1", "s", "127.0.0.1:1", "z", 4, replica="a", started_ms=1)
    registry.adopt(DirectoryChange(1, [first], []), True, 0.0)
    registry.find("a@1").availability.note_backoff(100.0, 0.0)
    registry.find("a@1").note_draining(0.0)
    later = msgspec.structs.replace(first, instance_id="a@2", started_ms=2)
    registry.adopt(DirectoryChange(2, [later], ["a@1"]), False, 0.0)
    assert registry.find("a@2").availability.exclusion(0.0) is None


def test_what_was_sent_before_a_rest_opens_nothing_after_it():
    availability = Availability()
    availability.note_backoff(1.0, now_s=10.0)
    availability.note_accepted(sent_at_s=9.9)
    assert availability.max_probes == 1
    taken = 0
    while availability.max_probes is not None:
        assert availability.max_probes <= MAX_PROBES
        availability.note_accepted(sent_at_s=11.0)
        taken += 1
    assert taken == 5


class NoPool:
    """Connections to nobody."""

    def close_idle(self, _instance_id):
        pass


def test_a_call_that_fails_after_its_record_is_gone_closes_nothing():
    """What a life said outlasts its record; a call of the record before it must not close the life.

    Nobody would try to reach it: whoever tries stops where the record is no longer the book's, so
    that a life that had rested once, was dropped and listed again got no request any more.
    """

    async def scenario():
        listed = Instance("a@1", "s", "127.0.0.1:1", "z", 4)
        registry = ReplicaRegistry()
        watch = ReplicaWatch(registry, NoPool(), lambda _notice: True, lambda: None)
        registry.adopt(DirectoryChange(1, [listed], []), True, 0.0)
        former = registry.find("a@1")
        former.availability.note_backoff(1.0, now_s=0.0)
        registry.adopt(DirectoryChange(2, [], ["a@1"]), False, 0.0)
        watch.watch_unreachable(former)
        registry.adopt(DirectoryChange(3, [listed], []), False, 0.0)
        watch.watch_unreachable(former)
        found = registry.find("a@1").availability
        assert found.exclusion(0.5) == Exclusion(ExclusionReason.BACKING_OFF, 1.0)
        assert found.exclusion(1.5) is None and found.available_at_s == 1.0
        await watch.stop()

    asyncio.run(scenario())
