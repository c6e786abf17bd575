"""Signals of replicas in response heads: applied at once, and not undone by weaker information.

Guards against an advisory pause in place of a backoff: it was ignored when no other replica was
left, and any complete response ended it. Both sent requests during the backoff.
"""

import asyncio
from random import Random

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from crowsill.gateway.exclusion import ExclusionReason
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

# Longest retry delay beyond the end of a backoff, for the least urgent rank used here.
MAX_RETRY_SPREAD_S = 0.1 * 6 + 0.1
DRAINING_HEADER = "crowsill-server-leaving: 1"


def shed(backoff="1.0", times=1, status="503 Full", mark=True):
    """Return a script that rejects with a backoff `times` times and then responds normally."""

    async def script(headers, writer, number):
        if number > times:
            return await respond_ok(headers, writer, number)
        lines = [f"Retry-After: {backoff}", *([f"{NOT_RUN}: 1"] if mark else [])]
        writer.write(encode_response(headers[ID], b"", status, "\r\n".join(lines)))
        return True

    return script


def engine(number):
    return f"i-{number}e"


# Parsing.


@pytest.mark.parametrize(
    ("values", "backoff_s"),
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
def test_a_backoff_is_parsed_from_seconds_and_dates_only(values, backoff_s):
    headers = [(b"Retry-After", value) for value in values]
    signals = read_signals(503, headers, HeaderNames(), wall_s=10.0)
    assert signals.backoff_s == backoff_s
    unreadable = {b"", b"-3", b"nan", b"inf", b"1_0", b"3, 4", b"soon"}
    assert bool(signals.unreadable) is bool(unreadable & set(values))


@pytest.mark.parametrize(("value", "is_draining"), [(b"1", True), (b"0", False), (b"yes", False)])
def test_one_header_value_alone_means_that_a_replica_drains(value, is_draining):
    signals = read_signals(200, [(b"Crowsill-Server-Leaving", value)], HeaderNames(), 0.0)
    assert signals.is_draining is is_draining
    assert bool(signals.unreadable) is not is_draining


@given(st.integers(100, 599), st.lists(st.tuples(st.sampled_from([b"Retry-After"]), st.binary())))
def test_no_header_value_raises_an_error_or_an_unbounded_backoff(status, headers):
    signals = read_signals(status, headers, HeaderNames(), 1.7e9)
    assert 0.0 <= signals.backoff_s <= MAX_BACKOFF_S
    assert len(signals.unreadable) < 100


# Behavior of the gateway.


async def requests_after(here, number, within_s):
    await asyncio.sleep(within_s)
    return len(here._replicas[number].requests)


def test_the_only_replica_gets_nothing_in_its_backoff_and_callers_get_its_end():
    async def scenario():
        async with world(shed("2.0")) as here:
            caller = await here.caller()
            loop = asyncio.get_running_loop()
            began_s = loop.time()
            status, headers, _ = await caller.request("short")
            assert status == 503
            retry_at_s = loop.time() - began_s + float(headers["retry-after"])
            assert 2.0 <= retry_at_s < 2.0 + MAX_RETRY_SPREAD_S
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


def test_a_request_with_enough_time_waits_for_the_end_of_a_backoff():
    async def scenario():
        async with world(shed("0.4")) as here:
            loop = asyncio.get_running_loop()
            began_s = loop.time()
            status, _, _ = await (await here.caller()).request("once")
            assert status == 200 and 0.4 <= loop.time() - began_s < 1.0
            assert len(here._replicas[0].requests) == 2

    run(scenario())


def test_few_requests_wait_for_the_end_of_a_backoff_and_others_are_rejected_at_once():
    async def scenario():
        async with world(shed("0.4")) as here:
            callers = [await here.caller() for _ in range(9)]
            assert (await (await here.caller()).request("short"))[0] == 503
            for number, caller in enumerate(callers):
                caller.send("once", f"r{number}")
            answers = [await caller.head() for caller in callers]
            statuses = sorted(status for status, _ in answers)
            assert statuses == [200] * MAX_WAITING_TO_OPEN + [503] * 7
            retry_after_s = [
                float(headers["retry-after"]) for status, headers in answers if status == 503
            ]
            assert min(retry_after_s) > 0.2 and len(set(retry_after_s)) > 1
            assert here.role.registry.waiting_to_open.total() == 0

    run(scenario())


def test_waiting_requests_are_bounded_per_replica():
    # With a bound per service, requests for a model were rejected while others waited for engines
    # that could not have served them.
    async def scenario():
        async with world(shed("0.6"), shed("0.4")) as here:
            loaded = {1: "m", 2: "n"}
            here.adopt(
                [
                    instance(replica, number, models=[LoadedModel(loaded[number])])
                    for number, replica in enumerate(here._replicas, start=1)
                ]
            )
            callers = {model: [await here.caller() for _ in range(4)] for model in "mn"}
            answers = {}
            for model, waiting_callers in callers.items():
                headers = [f"crowsill-model: {model}"]
                # The first one is rejected by the replica and waits.
                for number, caller in enumerate(waiting_callers):
                    caller.send("engine", f"{model}{number}", headers=headers)
                    await asyncio.sleep(0.02)
            for model, waiting_callers in callers.items():
                answers[model] = [(await caller.head())[0] for caller in waiting_callers]
            expected = [200] * MAX_WAITING_TO_OPEN + [503] * (4 - MAX_WAITING_TO_OPEN)
            assert answers == {"m": expected, "n": expected}

    run(scenario())


def test_a_complete_response_to_an_earlier_request_does_not_end_a_backoff():
    answered = asyncio.Event()

    async def script(headers, writer, number):
        if number == 1:
            await answered.wait()
            return await respond_ok(headers, writer, number)
        return await shed("1.0", 99)(headers, writer, number)

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


def test_a_request_whose_connection_opens_in_a_backoff_is_not_sent():
    async def scenario():
        async with world(respond_ok, respond_ok) as here:
            await asyncio.sleep(0)
            opened = here.role.pool.acquire

            async def acquire_and_back_off(instance, timeout_s, request_id):
                connection = await opened(instance, timeout_s, request_id)
                if instance.instance_id == "i-1":
                    here.role.registry.find("i-1").availability.note_backoff(
                        5.0, asyncio.get_running_loop().time()
                    )
                return connection

            here.role.pool.acquire = acquire_and_back_off
            for number in range(6):
                assert (await (await here.caller()).request("once", f"r{number}"))[0] == 200
            assert len(here._replicas[0].requests) == 0
            assert len(here._replicas[1].requests) == 6
            assert here.role.registry.find("i-1").in_flight == 0

    run(scenario())


def test_a_backoff_applies_without_the_not_run_header_and_with_status_429():
    async def scenario():
        async with world(shed("5.0", 99, mark=False), shed("5.0", 99, "429 Many")) as here:
            for number in range(4):
                await (await here.caller()).request("safe", f"r{number}")
            assert [len(replica.requests) for replica in here._replicas] == [1, 1]

    run(scenario())


def test_after_a_backoff_requests_are_sent_one_by_one_until_accepted():
    running = []

    async def script(headers, writer, number):
        if number == 1:
            return await shed("0.3")(headers, writer, 1)
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
            # During the backoff most of them would be rejected.
            await asyncio.sleep(0.32)
            for number, caller in enumerate(callers):
                caller.send("once", f"r{number}")
            statuses = [(await caller.head())[0] for caller in callers]
            assert set(statuses) == {200}
            assert seen[0] == 1 and seen[1] <= 2

    run(scenario())


async def stream_from_draining_replica(headers, writer, _number):
    head = [f"HTTP/1.1 200 OK\r\n{ID}: {headers[ID]}\r\n{STAMP}: s1\r\n{DRAINING_HEADER}\r\n"]
    head.append("Transfer-Encoding: chunked\r\n\r\n7\r\ndata: a\r\n")
    writer.write("".join(head).encode())
    await asyncio.sleep(0.6)
    writer.write(b"2\r\n\n\n\r\n0\r\n\r\n")
    return True


def test_a_replica_drains_from_the_head_of_a_stream_on():
    async def scenario():
        async with world(stream_from_draining_replica, respond_ok) as here:
            here.role.registry.find("i-2").availability.note_backoff(
                0.2, asyncio.get_running_loop().time()
            )
            streaming = await here.caller()
            streaming.send("stream", "s")
            status, headers = await streaming.head()
            assert status == 200 and headers["crowsill-server-leaving"] == "1"
            await asyncio.sleep(0.25)
            # A directory update that still lists it as ready changes nothing.
            here.adopt([msgspec.structs.replace(item) for item in listed_as_ready(here)])
            for number in range(4):
                assert (await (await here.caller()).request("once", f"r{number}"))[0] == 200
            assert len(here._replicas[0].requests) == 1
            assert await streaming.body(headers) == b"data: a\n\n"

    run(scenario())


def listed_as_ready(here):
    found = [here.role.registry.find(f"i-{number}").instance for number in (1, 2)]
    return [msgspec.structs.replace(item, state=InstanceState.READY) for item in found]


@pytest.mark.parametrize(
    "head",
    ["200 OK", "404 Not Found", "500 Broken", f"503 Full\r\n{NOT_RUN}: 1", "421 Other"],
)
def test_every_response_may_report_that_its_replica_drains(head):
    async def script(headers, writer, _number):
        writer.write(encode_response(headers[ID], b"", head, DRAINING_HEADER))
        return True

    async def scenario():
        async with world(script, respond_ok) as here:
            # Long enough for a late event loop: the other replica must get the first request.
            here.role.registry.find("i-2").availability.note_backoff(
                1.0, asyncio.get_running_loop().time()
            )
            await (await here.caller()).request("safe", "r1")
            await asyncio.sleep(1.05)
            for number in range(4):
                assert (await (await here.caller()).request("once", f"r{number}"))[0] == 200
            assert len(here._replicas[0].requests) == 1
            assert (
                here.role.registry.find("i-1").availability.exclusion(0.0).reason
                is ExclusionReason.REPORTED_DRAINING
            )

    run(scenario())


def test_the_response_to_a_head_request_reports_draining():
    async def script(headers, writer, _number):
        writer.write(encode_response(headers[ID], b"", extra=DRAINING_HEADER))
        return True

    async def scenario():
        async with world(script) as here:
            caller = await here.caller()
            caller.send("safe", "r1", method="HEAD")
            assert (await caller.head())[0] == 200
            assert not here.role.registry.find("i-1").instance.accepts_work

    run(scenario())


def test_unreadable_signals_have_no_effect_and_are_logged_once(monkeypatch):
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


def test_gateways_do_not_make_replicas_shed_again_after_a_backoff(monkeypatch):
    """Simulates nine gateways at 90% of the replicas' capacity.

    Without a bound after a backoff, all gateways return at once: only 57% of the requests were
    served, and 84% of the backoffs began within a second of the end of the last one.
    """
    monkeypatch.setattr(returns, "SIMULATED_S", 40.0)
    simulations = {}
    for strategy in ("all at once", "one first, half of what it had"):
        simulation = returns._Simulation(returns.STRATEGIES[strategy], 9, Random(1))
        simulation.simulate(0.9)
        simulations[strategy] = simulation
    unbounded, bounded = simulations.values()
    assert bounded.served > 1.2 * unbounded.served
    assert bounded.repeated_backoffs <= bounded.backoffs / 10
