"""What replicas say of themselves in their answers: heard at once, and never taken back by less.

A soft pause stood where a rest belongs: it was passed over when nothing else was left, and any
whole answer ended it. Both would send requests into a rest, so both are played here.
"""

import asyncio
from random import Random

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from crowsill.gateway.availability import ExclusionReason
from crowsill.gateway.headers import HeaderNames
from crowsill.gateway.replica_signals import read_signals
from crowsill.gateway.wait_decision import MAX_WAITING_TO_OPEN
from crowsill.model.instances import InstanceState, LoadedModel
from crowsill.routing.retry_after import MAX_BACKOFF_S
from crowsill_lab.bench import returns
from tests.gateway_world import (
    ID,
    NOT_RUN,
    STAMP,
    encode_response,
    instance,
    respond_ok,
    routes,
    run,
    world,
)

# Callers of the least urgent rank here come back no later than so long after a rest.
LATEST_RETURN_S = 0.1 * 6 + 0.1
LEAVES = "crowsill-server-leaving: 1"


def sheds(rest="1.0", times=1, status="503 Full", mark=True):
    """Return a script of a replica that asks for rest so many times, and answers then."""

    async def script(headers, writer, number):
        if number > times:
            return await respond_ok(headers, writer, number)
        lines = [f"Retry-After: {rest}", *([f"{NOT_RUN}: 1"] if mark else [])]
        writer.write(encode_response(headers[ID], b"", status, "\r\n".join(lines)))
        return True

    return script


def engine(number):
    return f"i-{number}e"


# One word, at the boundary.


@pytest.mark.parametrize(
    ("values", "rest_s"),
    [
        ([b"3"], 3.0),
        ([b"2.5"], 2.5),
        ([b" 1 "], 1.0),
        ([b"0"], 0.0),
        ([b"1", b"4", b"2"], 4.0),
        ([b"soon", b"2"], 2.0),
        ([b"9999999999"], MAX_BACKOFF_S),
        ([b"Thu, 01 Jan 1970 00:00:42 GMT"], 32.0),
        ([b"Thu, 01 Jan 1970 00:00:01 GMT"], 0.0),
        ([b"Fri, 31 Dec 9999 23:59:59 GMT"], MAX_BACKOFF_S),
        ([b""], 0.0),
        ([b"-3"], 0.0),
        ([b"nan"], 0.0),
        ([b"inf"], 0.0),
        ([b"1_0"], 0.0),
        ([b"3, 4"], 0.0),
    ],
)
def test_a_rest_is_read_from_seconds_and_dates_and_from_nothing_else(values, rest_s):
    headers = [(b"Retry-After", value) for value in values]
    word = read_signals(503, headers, HeaderNames(), wall_s=10.0)
    assert word.backoff_s == rest_s
    unreadable = {b"", b"-3", b"nan", b"inf", b"1_0", b"3, 4", b"soon"}
    assert bool(word.unreadable) is bool(unreadable & set(values))


@pytest.mark.parametrize(("value", "leaves"), [(b"1", True), (b"0", False), (b"yes", False)])
def test_only_one_value_says_that_a_replica_leaves(value, leaves):
    word = read_signals(200, [(b"Crowsill-Server-Leaving", value)], HeaderNames(), 0.0)
    assert word.is_draining is leaves
    assert bool(word.unreadable) is not leaves


@given(st.integers(100, 599), st.lists(st.tuples(st.sampled_from([b"Retry-After"]), st.binary())))
def test_no_bytes_end_in_an_error_or_a_rest_without_bound(status, headers):
    word = read_signals(status, headers, HeaderNames(), 1.7e9)
    assert 0.0 <= word.backoff_s <= MAX_BACKOFF_S
    assert len(word.unreadable) < 100


# The gateway.


async def _hits(here, number, within_s):
    await asyncio.sleep(within_s)
    return len(here._replicas[number].requests)


def test_the_only_replica_that_rests_is_left_alone_and_callers_are_told_when_it_is_over():
    async def scenario():
        async with world(sheds("2.0")) as here:
            caller = await here.caller()
            loop = asyncio.get_running_loop()
            began_s = loop.time()
            status, headers, _ = await caller.request("short")
            assert status == 503
            told_s = loop.time() - began_s + float(headers["retry-after"])
            assert 2.0 <= told_s < 2.0 + LATEST_RETURN_S
            for _ in range(5):
                caller = await here.caller()
                asked_s = loop.time()
                status, headers, body = await caller.request("short")
                assert status == 503 and b"i-1" in body
                assert loop.time() - asked_s < 1.0
                assert loop.time() - began_s + float(headers["retry-after"]) >= 2.0
            assert len(here._replicas[0].requests) == 1
            await asyncio.sleep(2.05 - (loop.time() - began_s))
            status, _, _ = await (await here.caller()).request("short")
            assert status == 200

    run(scenario())


def test_what_is_worth_waiting_for_waits_for_the_end_of_the_rest():
    async def scenario():
        async with world(sheds("0.4")) as here:
            loop = asyncio.get_running_loop()
            began_s = loop.time()
            status, _, _ = await (await here.caller()).request("once")
            assert status == 200 and 0.4 <= loop.time() - began_s < 1.0
            assert len(here._replicas[0].requests) == 2

    run(scenario())


def test_few_wait_for_the_end_of_a_rest_and_the_others_are_refused_at_once():
    async def scenario():
        async with world(sheds("0.4")) as here:
            callers = [await here.caller() for _ in range(9)]
            assert (await (await here.caller()).request("short"))[0] == 503
            for number, caller in enumerate(callers):
                caller.send("once", f"r{number}")
            answers = [await caller.head() for caller in callers]
            statuses = sorted(status for status, _ in answers)
            assert statuses == [200] * MAX_WAITING_TO_OPEN + [503] * 7
            told_s = [float(headers["retry-after"]) for status, headers in answers if status == 503]
            assert min(told_s) > 0.2 and len(set(told_s)) > 1
            assert here.role.registry.waiting_to_open.total() == 0

    run(scenario())


def test_who_waits_for_one_replica_keeps_nobody_from_waiting_for_another():
    # Counted by service, requests for a model were refused while others waited for engines that
    # could not have served them.
    async def scenario():
        async with world(sheds("0.6"), sheds("0.4")) as here:
            held = {1: "m", 2: "n"}
            here.adopt(
                [
                    instance(replica, number, models=[LoadedModel(held[number])])
                    for number, replica in enumerate(here._replicas, start=1)
                ]
            )
            callers = {model: [await here.caller() for _ in range(4)] for model in "mn"}
            answers = {}
            for model, asking in callers.items():
                headers = [f"crowsill-model: {model}"]
                # It is turned away and waits first.
                for number, caller in enumerate(asking):
                    caller.send("engine", f"{model}{number}", headers=headers)
                    await asyncio.sleep(0.02)
            for model, asking in callers.items():
                answers[model] = [(await caller.head())[0] for caller in asking]
            expected = [200] * MAX_WAITING_TO_OPEN + [503] * (4 - MAX_WAITING_TO_OPEN)
            assert answers == {"m": expected, "n": expected}

    run(scenario())


def test_a_whole_answer_to_an_earlier_request_does_not_end_a_rest():
    answered = asyncio.Event()

    async def script(headers, writer, number):
        if number == 1:
            await answered.wait()
            return await respond_ok(headers, writer, number)
        return await sheds("1.0", 99)(headers, writer, number)

    async def scenario():
        async with world(script) as here:
            early = await here.caller()
            early.send("once", "early")
            await asyncio.sleep(0.1)
            assert (await (await here.caller()).request("short"))[0] == 503
            answered.set()
            assert (await early.head())[0] == 200
            for _ in range(3):
                assert (await (await here.caller()).request("short"))[0] == 503
            assert len(here._replicas[0].requests) == 2

    run(scenario())


def test_a_request_whose_connection_comes_up_in_a_rest_is_not_sent():
    async def scenario():
        async with world(respond_ok, respond_ok) as here:
            await asyncio.sleep(0)
            opened = here.role.pool.acquire

            async def slowly(instance, timeout_s):
                connection = await opened(instance, timeout_s)
                if instance.instance_id == "i-1":
                    here.role.registry.find("i-1").availability.note_backoff(
                        5.0, asyncio.get_running_loop().time()
                    )
                return connection

            here.role.pool.acquire = slowly
            for number in range(6):
                assert (await (await here.caller()).request("once", f"r{number}"))[0] == 200
            assert len(here._replicas[0].requests) == 0
            assert len(here._replicas[1].requests) == 6
            assert here.role.registry.find("i-1").in_flight == 0

    run(scenario())


def test_a_rest_holds_without_the_mark_that_nothing_ran_and_with_too_many_requests():
    async def scenario():
        async with world(sheds("5.0", 99, mark=False), sheds("5.0", 99, "429 Many")) as here:
            for number in range(4):
                await (await here.caller()).request("safe", f"r{number}")
            assert [len(replica.requests) for replica in here._replicas] == [1, 1]

    run(scenario())


def test_after_a_rest_requests_go_one_by_one_until_they_are_taken_in():
    running = []

    async def script(headers, writer, number):
        if number == 1:
            return await sheds("0.3")(headers, writer, 1)
        running.append(number)
        await asyncio.sleep(0.05)
        running.remove(number)
        seen.append(len(running) + 1)
        return await respond_ok(headers, writer, number)

    seen = []

    async def scenario():
        async with world(script) as here:
            callers = [await here.caller() for _ in range(12)]
            assert (await (await here.caller()).request("short"))[0] == 503
            # In the rest most of them would be refused.
            await asyncio.sleep(0.32)
            for number, caller in enumerate(callers):
                caller.send("once", f"r{number}")
            statuses = [(await caller.head())[0] for caller in callers]
            assert set(statuses) == {200}
            assert seen[0] == 1 and seen[1] <= 2

    run(scenario())


async def _leaving_stream(headers, writer, _number):
    head = [f"HTTP/1.1 200 OK\r\n{ID}: {headers[ID]}\r\n{STAMP}: s1\r\n{LEAVES}\r\n"]
    writer.write("".join([*head, "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n"]).encode())
    await asyncio.sleep(0.6)
    writer.write(b"1\r\nb\r\n0\r\n\r\n")
    return True


def test_a_replica_leaves_from_the_head_of_a_stream_on():
    async def scenario():
        async with world(_leaving_stream, respond_ok) as here:
            here.role.registry.find("i-2").availability.note_backoff(
                0.2, asyncio.get_running_loop().time()
            )
            streaming = await here.caller()
            streaming.send("stream", "s")
            status, headers = await streaming.head()
            assert status == 200 and headers["crowsill-server-leaving"] == "1"
            await asyncio.sleep(0.25)
            # A push that still says ready changes nothing.
            here.adopt([msgspec.structs.replace(item) for item in _listed(here)])
            for number in range(4):
                assert (await (await here.caller()).request("once", f"r{number}"))[0] == 200
            assert len(here._replicas[0].requests) == 1
            assert await streaming.body(headers) == b"ab"

    run(scenario())


def _listed(here):
    found = [here.role.registry.find(f"i-{number}").instance for number in (1, 2)]
    return [msgspec.structs.replace(item, state=InstanceState.READY) for item in found]


@pytest.mark.parametrize(
    "head",
    ["200 OK", "404 Not Found", "500 Broken", f"503 Full\r\n{NOT_RUN}: 1", "421 Other"],
)
def test_every_answer_may_say_that_its_replica_leaves(head):
    async def script(headers, writer, _number):
        writer.write(encode_response(headers[ID], b"", head, LEAVES))
        return True

    async def scenario():
        async with world(script, respond_ok) as here:
            here.role.registry.find("i-2").availability.note_backoff(
                0.2, asyncio.get_running_loop().time()
            )
            await (await here.caller()).request("safe", "r1")
            await asyncio.sleep(0.25)
            for number in range(4):
                assert (await (await here.caller()).request("once", f"r{number}"))[0] == 200
            assert len(here._replicas[0].requests) == 1
            assert (
                here.role.registry.find("i-1").availability.exclusion(0.0).reason
                is ExclusionReason.REPORTED_DRAINING
            )

    run(scenario())


def test_a_head_request_tells_it_too():
    async def script(headers, writer, _number):
        writer.write(encode_response(headers[ID], b"", extra=LEAVES))
        return True

    async def scenario():
        async with world(script) as here:
            caller = await here.caller()
            caller.send("safe", "r1", method="HEAD")
            assert (await caller.head())[0] == 200
            assert not here.role.registry.find("i-1").instance.accepts_work

    run(scenario())


def test_what_cannot_be_read_says_nothing_and_is_logged_once(monkeypatch):
    lines = []
    monkeypatch.setattr(
        "crowsill.gateway.exchange_log.log_event", lambda event, **more: lines.append(event.name)
    )

    async def script(headers, writer, _number):
        extra = f"Retry-After: soon\r\n{NOT_RUN}: 1\r\ncrowsill-server-leaving: maybe"
        writer.write(encode_response(headers[ID], b"", "503 Full", extra))
        return True

    async def scenario():
        async with world(script, configuration=routes()) as here:
            for number in range(3):
                await (await here.caller()).request("short", f"r{number}")
            assert here.role.registry.find("i-1").availability.exclusion(0.0) is None
            assert lines.count("SIGNAL_UNREADABLE") == 1
            assert "REPLICA_RESTS" not in lines

    run(scenario())


def test_nine_gateways_return_to_replicas_that_shed_without_making_them_shed_again(monkeypatch):
    """Simulated: at nine tenths of what replicas can run, 0.57 of the requests were served.

    Of 1,648 rests, 0.84 began within a second of the end of the last one.
    """
    monkeypatch.setattr(returns, "PLAYED_S", 40.0)
    played = {}
    for way in ("all at once", "one first, half of what it had"):
        play = returns._Play(returns.WAYS[way], 9, Random(1))
        play.play(0.9)
        played[way] = play
    before, after = played.values()
    assert after.served > 1.2 * before.served
    assert after.again <= after.rests / 10
