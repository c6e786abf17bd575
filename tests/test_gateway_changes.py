"""A gateway while replicas, models and its own process start and stop."""

import asyncio
import contextlib
import itertools
import socket

from crowsill.clock import monotonic_s
from crowsill.gateway.caller_protocol import CallerConnection
from crowsill.gateway.missing_resources import MAX_RETAINED, MissingResources
from crowsill.gateway.routing_table import GatewayRoutingTable
from crowsill.model.instances import LoadedModel, LoadingModel
from crowsill.model.routes import (
    EngineLimits,
    ModelWeights,
    Route,
    RouteConfiguration,
    RouteKind,
    ServiceDefinition,
    WeightedService,
)
from tests.control_group import until
from tests.gateway_world import (
    ID,
    LOCAL,
    RETRY_DEADLINE_HEADER,
    Caller,
    encode_response,
    instance,
    never_respond,
    respond_ok,
    run,
    world,
)


def test_a_draining_replica_gets_no_new_requests():
    async def scenario():
        async with world(respond_ok, respond_ok) as here:
            here.drain(1)
            for number in range(6):
                assert (await (await here.caller()).request("once", f"r{number}"))[0] == 200
            assert here._replicas[0].requests == []

    run(scenario())


def test_a_stopped_replica_is_excluded_and_its_model_counts_as_missing():
    async def scenario():
        async with world(respond_ok) as here:
            await here._replicas[0].stop()
            loop = asyncio.get_running_loop()
            caller = await here.caller()
            status, headers, _ = await caller.request("once", "r1")
            assert status == 503 and "retry-after" in headers
            model = ["crowsill-model: m", RETRY_DEADLINE_HEADER]
            await caller.request("engine", "r2", headers=model)
            started_at_s = loop.time()
            status, _, body = await caller.request("engine", "r3", headers=model)
            # It waits for another model copy; it is not rejected as if the dead replica were full.
            assert status == 503 and b'"no_replica"' in body
            assert loop.time() - started_at_s > 0.2
            assert here.role.registry.find("i-1e").availability.is_unreachable

    run(scenario())


def test_a_request_for_a_model_without_copies_waits_until_it_is_loaded():
    async def scenario():
        async with world(respond_ok, models=()) as here:
            caller = await here.caller()
            # A load from the machine's memory is fast enough; one from the store is too slow.
            here.adopt([instance(here._replicas[0], 1, in_memory=["m"])])
            caller.send("engine", headers=["crowsill-model: m", RETRY_DEADLINE_HEADER])
            await asyncio.sleep(0.2)
            assert here._replicas[0].requests == []
            here._models = ("m",)
            here.adopt([instance(here._replicas[0], 1, models=[LoadedModel("m")])])
            assert (await caller.head())[0] == 200

    run(scenario())


def test_a_request_that_cannot_be_served_is_rejected_at_once_with_retry_after():
    # Waiting requests for a model that took 2 s to load missed their target. A first attempt and a
    # later one are rejected at once if the load can't finish in time: here the store takes 10 s and
    # the request has 3 s left.
    async def scenario():
        async with world(respond_ok, models=()) as here:
            loop = asyncio.get_running_loop()
            caller = await here.caller()
            for more in ([], [RETRY_DEADLINE_HEADER]):
                started_at_s = loop.time()
                headers = ["crowsill-model: m", *more]
                status, headers, _ = await caller.request("engine", headers=headers)
                assert status == 503 and loop.time() - started_at_s < 0.3
                assert 9.0 < float(headers["retry-after"]) < 12.0, "the store takes 10 s"

    run(scenario())


def test_a_request_waits_for_a_running_load_that_finishes_in_time():
    async def scenario():
        async with world(respond_ok, models=()) as here:
            loop = asyncio.get_running_loop()
            caller = await here.caller()
            loading = instance(here._replicas[0], 1, loading=[LoadingModel("m", 1.2)])
            here.adopt([loading])
            started_at_s = loop.time()
            caller.send("engine", headers=["crowsill-model: m"])
            await asyncio.sleep(1.0)
            here._models = ("m",)
            here.adopt([instance(here._replicas[0], 1, models=[LoadedModel("m")])])
            assert (await caller.head())[0] == 200
            assert loop.time() - started_at_s >= 1.0

    run(scenario())


def test_a_shutdown_rejects_waiting_requests_at_once_and_finishes_running_ones():
    async def slow(headers, writer, _number):
        await asyncio.sleep(0.8)
        writer.write(encode_response(headers[ID]))
        return True

    async def scenario():
        async with world(slow, models=()) as here:
            waiting, running = await here.caller(), await here.caller()
            here.adopt([instance(here._replicas[0], 1, in_memory=["m"])])
            waiting.send("engine", headers=["crowsill-model: m", RETRY_DEADLINE_HEADER])
            running.send("once")
            await asyncio.sleep(0.1)
            assert here.role.is_ready()
            stopping = asyncio.create_task(here.role.drain())
            await asyncio.sleep(0)
            assert not here.role.is_ready()
            # It must not wait up to 8 s and then be cut off without a response.
            status, headers = await waiting.head(within_s=0.7)
            assert status == 503 and "retry-after" in headers
            status, headers = await running.head()
            assert status == 200 and headers["connection"] == "close"
            assert await stopping

    run(scenario())


def test_a_stream_expected_to_outlast_a_stopping_process_is_rejected_at_once():
    # A stream of some seconds that started before the load balancer noticed the shutdown was cut
    # off when the process stopped.
    async def scenario():
        async with world(respond_ok) as here:
            long, short = await here.caller(), await here.caller()
            stopping = asyncio.create_task(here.role.drain())
            await asyncio.sleep(0)
            model = "crowsill-model: m"
            counts = "crowsill-token-counts: 10,{}".format
            long.send("engine", headers=[model, counts(9000), "crowsill-deadline-ms: 1500"])
            status, headers = await long.head(within_s=0.5)
            assert status == 503 and float(headers["retry-after"]) < 0.5
            soon = "crowsill-deadline-ms: 1500"
            short.send("engine", headers=[model, counts(10), soon])
            status, _ = await short.head()
            assert status == 200
            await stopping

    run(scenario())


def test_a_stream_whose_deadline_is_after_the_shutdown_is_rejected_at_once():
    """The expected duration of a stream is no bound; only its deadline is.

    A stream that started 0.7 s after the shutdown began was cut off at its end, 6.9 s later. It was
    accepted because streams of its model had taken less than 2.3 s, a third of the time left; this
    one took 6.8 s.
    """

    async def scenario():
        async with world(respond_ok) as here:
            late, early = await here.caller(), await here.caller()
            stopping = asyncio.create_task(here.role.drain())
            await asyncio.sleep(0)
            asked = ["crowsill-model: m", "crowsill-token-counts: 10,10"]
            late.send("engine", headers=[*asked, "crowsill-deadline-ms: 2900"])
            status, headers = await late.head(within_s=0.5)
            assert status == 503 and float(headers["retry-after"]) < 0.5
            early.send("engine", headers=[*asked, "crowsill-deadline-ms: 1500"])
            assert (await early.head())[0] == 200
            await stopping

    run(scenario())


def test_at_the_end_of_the_grace_period_running_requests_get_a_response():
    async def scenario():
        async with world(never_respond) as here:
            caller = await here.caller()
            caller.send("stream")
            await asyncio.sleep(0.1)
            stopping = asyncio.create_task(here.role.drain())
            status, headers = await caller.head(within_s=3.2)
            assert status == 504 and "retry-after" not in headers
            await stopping

    run(scenario())


def test_a_gateway_serves_no_request_before_it_is_current():
    async def scenario():
        async with world(respond_ok) as here:
            # After a restart of all processes a member may send routes before it has applied all of
            # them. A gateway that served with those rejected requests that needed later routes.
            here.role._is_current = False
            caller = await here.caller()
            caller.send("once")
            await asyncio.sleep(0.2)
            assert here._replicas[0].requests == []
            here.role._on_current(1, monotonic_s())
            assert (await caller.head(within_s=0.5))[0] == 200

    run(scenario())


def test_readiness_is_served_at_its_own_address():
    async def scenario():
        async with world(respond_ok) as here:
            port = here.role._ready_server._server.sockets[0].getsockname()[1]

            async def ready():
                reader, writer = await asyncio.open_connection(LOCAL, port)
                writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                text = await reader.read()
                writer.close()
                return text

            here.role._is_current = False
            assert b" 503 " in await ready()
            here.role._on_current(1, monotonic_s())
            assert b" 200 " in await ready()

    run(scenario())


def test_a_connection_that_opens_as_the_process_stops_is_not_served():
    # A connection that is accepted while the listener closes may be set up after the last other one
    # has ended. Its request was forwarded and ran, and the process stopped 1 ms later without its
    # response.
    async def scenario():
        async with world(respond_ok) as here:
            await here.role.drain()
            ours, theirs = socket.socketpair()
            loop = asyncio.get_running_loop()
            await loop.connect_accepted_socket(lambda: CallerConnection(here.role), ours)
            caller = Caller(*await asyncio.open_connection(sock=theirs))
            # It is closed before or after the request is written, without a response.
            with contextlib.suppress(ConnectionError):
                caller.send("once")
                assert await asyncio.wait_for(caller.reader.read(), 5) == b""
            assert here._replicas[0].requests == []

    run(scenario())


def test_missing_resources_of_a_rejected_request_are_reported_until_it_returns():
    # The control group forgets demand that is not reported again. Under high load 6 of 32 models
    # were never served, because requests for them were rejected early.
    async def scenario():
        async with world(respond_ok, models=()) as here:
            asked = []
            here.role._follower.send_notice = lambda notice: asked.append(notice) or True
            caller = await here.caller()
            status, _, _ = await caller.request("engine", headers=["crowsill-model: m"])
            assert status == 503
            before = len(asked)
            await until(lambda: len(asked) > before + 2)
            assert asked[-1].missing == {"engines|m": 1}

    run(scenario())


def test_only_resources_known_to_the_routes_are_reported():
    # Callers choose the names of models: made-up names must not be reported to the group again and
    # again.
    async def scenario():
        async with world(respond_ok, models=()) as here:
            asked = []
            here.role._follower.send_notice = lambda notice: asked.append(notice) or True
            caller = await here.caller()
            status, _, _ = await caller.request("engine", headers=["crowsill-model: nobody"])
            assert status == 503
            status, _, _ = await caller.request("engine", headers=["crowsill-model: m"])
            await until(lambda: len(asked) > 2)
            assert {name for notice in asked for name in notice.missing} == {"engines|m"}

    run(scenario())


def test_the_number_of_resources_that_are_reported_again_is_bounded():
    asked = MissingResources()
    for number in range(MAX_RETAINED + 10):
        asked.retain(f"m{number}", 0.0)
    due = asked.due(0.0)
    assert len(due) == MAX_RETAINED and "m9" not in due and "m10" in due


def test_requests_count_as_urgent_by_what_a_load_costs_their_callers():
    async def scenario():
        async with world(respond_ok) as here:
            for _ in range(100):
                here.role.demand.note_request("engines", "patient", "", 0.25)
                here.role.demand.note_request("engines", "short", "", 1.0)
                here.role.demand.note_request("engines", "idle", "", 0.0)
            urgent = here.role._follower.urgent.collect()
            assert urgent == {"engines|patient": 25, "engines|short": 100}

    run(scenario())


def engine_routes(*routes):
    """Return a table of stream routes to engines whose model `m` loads in 8 s, `n` in 2 s."""
    models = [ModelWeights("m", 70.0, 8.0), ModelWeights("n", 70.0, 2.0)]
    limits = EngineLimits(220.0, 4, 8, 1000, 1.0, models)
    found = [
        Route(
            name,
            "h",
            f"/{name}/",
            RouteKind.STREAM,
            timeout_ms,
            [WeightedService("engines", 1)],
            target_latency_ms=target_ms,
            rank=rank,
        )
        for name, timeout_ms, target_ms, rank in routes
    ]
    return GatewayRoutingTable(
        RouteConfiguration(1, found, [ServiceDefinition("engines", 100, limits)])
    )


def urgencies(table, model):
    routes = table.configuration.routes
    return {route.name: round(table.urgency(route, "engines", model), 3) for route in routes}


def test_urgency_follows_from_the_times_of_the_route_and_the_load():
    table = engine_routes(
        ("chat", 5000, 800, 1), ("letter", 16000, 6000, 1), ("slow", 30000, 9000, 1)
    )
    assert urgencies(table, "m") == {"chat": 1.0, "letter": 0.2, "slow": 0.0}
    assert urgencies(table, "n") == {"chat": 0.286, "letter": 0.0, "slow": 0.0}
    assert urgencies(table, "unknown") == {"chat": 0.0, "letter": 0.0, "slow": 0.0}


def test_a_route_is_as_urgent_as_any_that_is_ranked_below_it():
    # Otherwise models of such a route are loaded after those of a route with a short target
    # latency, and it is served least although the operator ranks it higher.
    table = engine_routes(
        ("chat", 5000, 800, 2), ("letter", 16000, 6000, 1), ("slow", 30000, 9000, 2)
    )
    assert urgencies(table, "m") == {"chat": 1.0, "letter": 1.0, "slow": 0.0}


def test_urgency_changes_continuously_with_the_target():
    # The load takes 2 s, less than any caller waits for the first event.
    found = [
        urgencies(engine_routes(("r", 9000, target_ms, 1)), "n")["r"]
        for target_ms in range(600, 4000, 50)
    ]
    assert found == sorted(found, reverse=True) and found[0] > 0.15 and found[-1] == 0.0
    assert max(before - after for before, after in itertools.pairwise(found)) < 0.02
