"""What counts against a request when replicas end, and what does not.

Requests that end replicas share their end with up to a hundred others. These tests play what must
not put any of those into quarantine: resets, stops, replicas that take no more connections, racks
that fall at once, many callers with one body. And what must not hide a culprit: other ids,
headers, framing, gateways, leaders.
"""

import asyncio
from types import SimpleNamespace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from crowsill.gateway.crash_guard import CrashGuard
from crowsill.gateway.crash_watch import LEFT_MEMORY_S, CrashWatch
from crowsill.gateway.fingerprint import Fingerprints
from crowsill.gateway.pool import ConnectionPool
from crowsill.gateway.request import CallerRequest
from crowsill.model.instances import Instance, InstanceState
from crowsill.model.suspects import CRASH_LIMIT, SuspectRequest
from crowsill.state.commands import Acknowledged, ClearSuspects, RecordCrash
from crowsill.state.crash_record import MOST_SUSPECTS, CrashRecord
from crowsill.state.machine import StateMachine
from crowsill.transport.messages import Submitted
from crowsill.transport.replica_messages import ReportCrash
from tests.gateway_world import ID, LOCAL, NAMES, answer, closes, good, run, silent, world

KEY = b"k" * 32


def suspect(fingerprint=b"f", ran_s=0.1):
    return SuspectRequest(fingerprint, "r", "h/a", "s", ran_s)


# Identity.


def request(**changes):
    values = {
        "method": b"POST",
        "target": b"/pay/a?q=1",
        "headers": [(b"Host", b"h")],
        "body": b"body",
        "keep_alive": True,
        "arrived_s": 1.0,
        "host": "h",
    }
    return CallerRequest(**{**values, **changes})


@pytest.mark.parametrize(
    "changes",
    [
        {"request_id": b"other"},
        {"wait_ms": 10.0},
        {"headers": [(b"X", b"1"), (b"HOST", b"h")]},
        {"keep_alive": False},
        {"arrived_s": 99.0},
    ],
)
def test_what_changes_from_one_sending_to_the_next_is_not_part_of_it(changes):
    made = Fingerprints(KEY)
    assert made.of(request(), "") == made.of(request(**changes), "")


@pytest.mark.parametrize(
    "changes",
    [
        {"method": b"PUT"},
        {"target": b"/pay/a?q=2"},
        {"target": b"/pay/a", "body": b"?q=1body"},
        {"host": "other"},
        {"body": b"bodies"},
        {"body": b""},
    ],
)
def test_what_makes_another_request_is_part_of_it(changes):
    made = Fingerprints(KEY)
    assert made.of(request(), "") != made.of(request(**changes), "")


def test_callers_with_keys_are_told_apart_by_tenant():
    made = Fingerprints(KEY)
    assert made.of(request(), "t") != made.of(request(), "u")
    assert made.of(request(), "") != Fingerprints(b"other").of(request(), "")


def test_the_framing_of_a_body_is_not_part_of_it():
    seen = []

    async def scenario():
        async with world(good) as played:
            role = played.role
            handle = role.handle
            role.handle = lambda connection, read: (
                seen.append(role.fingerprints.of(read, "")),
                handle(connection, read),
            )
            caller = await played.caller()
            await caller.ask("once", "r1", b"abcdef")
            lines = ["POST /once/x?q=1 HTTP/1.1", f"{ID}: r2", "HOST: h.example:80"]
            head = "\r\n".join([*lines, "Transfer-Encoding: chunked"]) + "\r\n\r\n"
            caller.writer.write(head.encode() + b"2\r\nab\r\n4\r\ncdef\r\n0\r\n\r\n")
            status, headers = await caller.head()
            assert status == 200 and await caller.body(headers)

    run(scenario())
    assert len(seen) == 2 and seen[0] == seen[1]


# Evidence at one gateway.


async def _ends(_headers, writer, _number):
    """End as a crash does: the listener first, then all connections."""
    writer.transport.abort()
    return False


async def _break_at(played, times):
    caller = await played.caller()
    for number in range(times):
        await caller.ask("once", f"r{number}", b"same")
        await asyncio.sleep(0.4)
    return await caller.ask("once", "last", b"same")


def test_broken_answers_of_replicas_that_go_on_count_for_nothing():
    async def scenario():
        async with world(closes, closes, closes, closes) as played:
            status, _, _ = await _break_at(played, 4)
            assert status == 502
            assert not played.role.crash_guard.has_suspects

    run(scenario())


class Port:
    """A replica's port: open, closed, or closed while old connections live."""

    def __init__(self):
        self.connections = set()

    async def open(self):
        self._server = await asyncio.start_server(self._hold, LOCAL, 0)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    async def _hold(self, reader, writer):
        self.connections.add(writer)
        await reader.read()

    def close(self):
        self._server.close()

    def end(self):
        self.close()
        for writer in self.connections:
            writer.transport.abort()


class Watched:
    """A watch with its pool, and what it told the group."""

    def __init__(self, is_told=True):
        self.told = []
        self.ended = []
        self.is_told = is_told
        self.guard = CrashGuard()
        self.pool = ConnectionPool(NAMES)
        self.watch = CrashWatch(self.pool, self.guard, self._ask, self.ended.append)

    async def _ask(self, question, _timeout_s):
        if not self.is_told:
            return None
        self.told.append(question)
        return Submitted(Acknowledged())


def at(port, state=InstanceState.READY):
    return Instance("i-1", "s", f"{LOCAL}:{port.port}", "z", 8, state)


async def _settle(watched):
    await watched.watch.has_ended("i-1")
    await asyncio.sleep(0.05)


def test_a_replica_whose_port_is_closed_and_connections_are_gone_has_ended():
    async def scenario():
        port, watched = await Port().open(), Watched()
        connection = await watched.pool.acquire(at(port), 1.0)
        watched.pool.release("i-1", connection, True)
        await asyncio.sleep(0.05)
        port.end()
        watched.watch.note_break(at(port), suspect())
        watched.watch.note_break(at(port), suspect(b"g"))
        await _settle(watched)
        assert watched.ended == ["i-1"]
        reported = [item.fingerprint for told in watched.told for item in told.requests]
        assert sorted(reported) == [b"f", b"g"]
        # What is heard later of the same end is counted, too.
        watched.watch.note_break(at(port), suspect(b"h"))
        await asyncio.sleep(0.05)
        assert isinstance(watched.told[-1], ReportCrash) and watched.told[-1].life == "i-1"
        await watched.watch.stop()

    run(scenario())


def test_a_replica_that_takes_no_more_connections_has_not_ended():
    async def scenario():
        port, watched = await Port().open(), Watched()
        connection = await watched.pool.acquire(at(port), 1.0)
        watched.pool.release("i-1", connection, True)
        await asyncio.sleep(0.05)
        port.close()
        watched.watch.note_break(at(port), suspect())
        await _settle(watched)
        assert (watched.ended, watched.told) == ([], [])
        assert not watched.guard.has_suspects
        port.end()
        await watched.watch.stop()

    run(scenario())


def test_a_replica_that_leaves_has_not_crashed():
    async def scenario():
        port, watched = await Port().open(), Watched()
        port.end()
        watched.watch.note_break(at(port, InstanceState.DRAINING), suspect())
        await _settle(watched)
        assert (watched.ended, watched.told) == ([], [])
        await watched.watch.stop()

    run(scenario())


def test_a_gateway_out_of_touch_counts_by_itself_and_tells_later():
    async def scenario():
        watched = Watched(is_told=False)
        for number in range(CRASH_LIMIT):
            port = await Port().open()
            port.end()
            life = Instance(f"i-{number}", "s", f"{LOCAL}:{port.port}", "z", 8)
            watched.watch.note_break(life, suspect(ran_s=0.0))
            await watched.watch.has_ended(life.instance_id)
        assert watched.guard.is_quarantined(b"f")
        watched.is_told = True
        await asyncio.sleep(0.2)
        assert sorted(told.life for told in watched.told) == ["i-0", "i-1", "i-2"]
        assert all(0.0 <= told.ago_s < 5.0 for told in watched.told)
        await watched.watch.stop()

    run(scenario())


def test_a_whole_answer_clears_a_suspect_everywhere():
    async def scenario():
        record, watched = CrashRecord(), Watched()
        record.record("a", [suspect()], 1.0)
        watched.guard.adopt(record.whole(), True)
        watched.watch.note_success(b"f")
        watched.watch.note_success(b"f")
        assert not watched.guard.has_suspects
        await asyncio.sleep(0.3)
        assert [told.fingerprints for told in watched.told] == [[b"f"]]
        await watched.watch.stop()

    run(scenario())


def test_a_request_whose_caller_left_just_before_the_end_counts():
    """A caller that waits for less time than the request needs to end its replica comes again.

    Its own leaving closes the connection, so that no broken answer tells of the end; only the next
    request to that replica finds its port closed.
    """

    async def scenario():
        port, watched = await Port().open(), Watched()
        watched.watch.note_left(at(port), suspect(b"left"))
        watched.watch.note_refused(at(port))
        await _settle(watched)
        assert watched.told == [], "the port is open: it has not ended"
        watched.watch.note_left(at(port), suspect(b"left"))
        port.end()
        watched.watch.note_refused(at(port))
        await _settle(watched)
        assert {item.fingerprint for told in watched.told for item in told.requests} == {b"left"}
        # What left long before has nothing to do with it.
        later = Instance("i-2", "s", f"{LOCAL}:{port.port}", "z", 8)
        watched.watch.note_left(later, suspect(b"long ago"))
        await asyncio.sleep(LEFT_MEMORY_S + 0.1)
        watched.watch.note_refused(later)
        await watched.watch.has_ended("i-2")
        assert all(told.life != "i-2" for told in watched.told)
        await watched.watch.stop()

    run(scenario())


def test_an_exchange_tells_of_a_caller_that_left():
    async def scenario():
        async with world(silent) as played:
            left = []
            played.role.crash_watch.note_left = lambda found, request: left.append(request)
            caller = await played.caller()
            caller.send("once", "r1", b"slow")
            await asyncio.sleep(0.2)
            caller.leave()
            await asyncio.sleep(0.2)
            assert [(request.request_id, request.ran_s > 0.1) for request in left] == [("r1", True)]

    run(scenario())


# What the group counts.


def test_replicas_of_one_rack_that_fall_at_once_count_once_against_what_ran_at_all_of_them():
    record = CrashRecord()
    for number, life in enumerate("abcdefgh"):
        record.record(life, [suspect(ran_s=0.4)], 10.0 + number * 0.03)
    assert len(record.find(b"f").ends) == 1


def test_copies_sent_one_after_the_other_count_each():
    record = CrashRecord()
    for number, life in enumerate("abc"):
        record.record(life, [suspect(ran_s=0.05)], 10.0 + number * 0.1)
    assert record.find(b"f").is_quarantined


def test_a_clock_that_jumps_back_hides_no_end():
    record = CrashRecord()
    for life, ended_s in (("a", 100.0), ("b", 97.6), ("c", 98.2)):
        record.record(life, [suspect()], ended_s)
    assert record.find(b"f").is_quarantined


def test_the_record_is_bounded_and_keeps_what_ended_most():
    record = CrashRecord()
    for life, ended_s in (("a", 1.0), ("b", 2.0), ("c", 3.0)):
        record.record(life, [suspect(b"culprit")], ended_s)
    for number in range(MOST_SUSPECTS + 50):
        record.record(f"l{number}", [suspect(b"%d" % number)], 4.0 + number)
    assert len(record.suspects) == MOST_SUSPECTS
    assert record.find(b"culprit").is_quarantined
    assert record.find(b"0") is None and record.find(b"%d" % (MOST_SUSPECTS + 49)) is not None


LIVES = st.sampled_from(["a", "b", "c", "d"])
PRINTS = st.sampled_from([b"f", b"g", b"h"])
CRASHES = st.builds(
    lambda life, prints, ago_s: RecordCrash(life, [suspect(item) for item in prints], ago_s),
    LIVES,
    st.lists(PRINTS, unique=True),
    st.sampled_from([0.0, 0.2, 5.0]),
)
CLEARS = st.builds(ClearSuspects, st.lists(PRINTS, unique=True), st.just("answered whole"))


@settings(max_examples=200)
@given(st.lists(st.one_of(CRASHES, CLEARS), max_size=30), st.integers(0, 30))
def test_gateways_know_what_the_group_knows(commands, restart_at):
    """A gateway that follows step by step, one that starts later, and a restored member agree."""
    machine, follower, latecomer = StateMachine(), CrashGuard(), CrashGuard()
    for number, command in enumerate(commands):
        if number == restart_at:
            restored = StateMachine()
            restored.restore(machine.snapshot())
            machine = restored
            latecomer.adopt(machine.crashes.whole(), True)
        before = machine.crashes.version
        stamped = type(command)(**{**_fields(command), "at_s": 10.0 + number})
        changed = machine.apply(stamped).accepted
        assert changed == (machine.crashes.version > before)
        if changed:
            follower.adopt(machine.crashes.last_change, False)
            # Sent twice, or late, it alters nothing.
            follower.adopt(machine.crashes.last_change, False)
            if number >= restart_at:
                latecomer.adopt(machine.crashes.last_change, False)
    known = {item.request.fingerprint: item for item in machine.crashes.suspects}
    for guard in (follower, latecomer) if restart_at < len(commands) else (follower,):
        for fingerprint in (b"f", b"g", b"h"):
            held = fingerprint in known and known[fingerprint].is_quarantined
            assert guard.is_quarantined(fingerprint) == held
            assert guard.is_suspect(fingerprint) == (fingerprint in known)


def _fields(command):
    return {name: getattr(command, name) for name in command.__struct_fields__}


def test_what_is_counted_by_one_leader_is_known_to_the_next():
    first, second = StateMachine(), StateMachine()
    for machine in (first, second):
        for life, at_s in (("a", 1.0), ("b", 2.0)):
            machine.apply(RecordCrash(life, [suspect()], 0.0, at_s))
    second.apply(RecordCrash("c", [suspect()], 0.0, 3.0))
    assert not first.crashes.find(b"f").is_quarantined
    assert second.crashes.find(b"f").is_quarantined


# Decisions of an exchange.


def _quarantine(role, fingerprint):
    record = CrashRecord()
    for life, ended_s in (("a", 1.0), ("b", 2.0), ("c", 3.0)):
        record.record(life, [suspect(fingerprint)], ended_s)
    role.crash_guard.adopt(record.whole(), True)


def test_what_is_held_back_is_refused_at_once_and_not_blamed_on_the_caller():
    async def scenario():
        async with world(good, good) as played:
            caller = await played.caller()
            role = played.role
            found = request(target=b"/once/x?q=1", host="h.example", body=b"culprit")
            _quarantine(role, role.fingerprints.of(found, ""))
            counted = []
            role.demand.note_request = lambda *words: counted.append(words)
            status, headers, body = await caller.ask("once", "r1", b"culprit")
            assert (status, headers["retry-after"]) == (503, "300")
            assert b'"kind":"quarantined","outcome":"not_run"' in body
            assert counted == []
            status, _, _ = await caller.ask("once", "r2", b"innocent")
            assert status == 200 and len(counted) == 1
            assert sum(len(replica.requests) for replica in played._replicas) == 1

    run(scenario())


def test_a_suspect_waits_for_its_copy_that_is_under_way():
    gate = asyncio.Event()
    most = SimpleNamespace(now=0, seen=0)

    async def slow(headers, writer, _number):
        most.now += 1
        most.seen = max(most.seen, most.now)
        await gate.wait()
        most.now -= 1
        writer.write(answer(headers[ID]))
        return True

    async def scenario():
        async with world(slow, slow) as played:
            role = played.role
            found = request(target=b"/once/x?q=1", host="h.example", body=b"s")
            record = CrashRecord()
            record.record("a", [suspect(role.fingerprints.of(found, ""))], 1.0)
            role.crash_guard.adopt(record.whole(), True)
            callers = [await played.caller() for _ in range(3)]
            asking = [
                asyncio.create_task(caller.ask("once", f"r{number}", b"s"))
                for number, caller in enumerate(callers)
            ]
            await asyncio.sleep(0.3)
            gate.set()
            assert [(await task)[0] for task in asking] == [200, 200, 200]
            assert most.seen == 1

    run(scenario())
