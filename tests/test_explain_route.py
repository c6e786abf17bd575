"""`crowsill explain-route`: where a request would go now, without sending it."""

import asyncio
import json
import time

import pytest
from typer.testing import CliRunner

from crowsill.cli.main import application
from crowsill.gateway.choice_explanation import MAX_QUERY_BYTES, ExplanationService
from crowsill.model.explanations import RequestDescription
from crowsill.model.replica_use import ReplicaUse
from crowsill.settings import LoadControlSettings
from tests.gateway_world import respond_ok, run, world

ON = LoadControlSettings(cost_estimates=True)
PLAIN = RequestDescription("h.example", "/once/x")


def explanation_of(here, description=PLAIN):
    service = ExplanationService(here.role, here.role)
    return service.explain(description, asyncio.get_running_loop().time())


async def explain_over_http(here, query):
    port = here.role._ready_server._server.sockets[0].getsockname()[1]
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(f"GET /explain/route?{query} HTTP/1.1\r\nConnection: close\r\n\r\n".encode())
    head, _, body = (await reader.read()).partition(b"\r\n\r\n")
    writer.close()
    return int(head.split()[1]), body


@pytest.mark.parametrize("load_control", [ON, LoadControlSettings()], ids=["on", "off"])
@pytest.mark.parametrize(
    ("description", "path", "headers"),
    [
        (PLAIN, "once", []),
        (
            RequestDescription(
                "h.example", "/engine/x", model="m", prompt_tokens=900, output_tokens=50
            ),
            "engine",
            ["crowsill-model: m", "crowsill-token-counts: 900,50"],
        ),
    ],
    ids=["plain", "model"],
)
def test_the_explained_replica_is_the_one_that_is_sent_the_request(
    load_control, description, path, headers
):
    async def scenario():
        async with world(*[respond_ok] * 6, load_control=load_control) as here:
            # Its attempts to connect would use the same random source between the two choices.
            here.role._tasks[0].cancel()
            caller = await here.caller()
            for number in range(12):
                explained = explanation_of(here, description)
                assert explanation_of(here, description).outcome == explained.outcome
                before = [len(replica.requests) for replica in here._replicas]
                await caller.request(path, f"r{number}", headers=headers)
                [sent_to] = [
                    place
                    for place, replica in enumerate(here._replicas, start=1)
                    if len(replica.requests) > before[place - 1]
                ]
                assert explained.outcome.removesuffix("e") == f"i-{sent_to}"

    run(scenario())


def test_an_explanation_sends_nothing_and_changes_nothing():
    async def scenario():
        async with world(respond_ok, respond_ok, load_control=ON) as here:
            state = here.role.random.getstate()
            for _ in range(20):
                explanation_of(here)
            assert here.role.random.getstate() == state
            assert here.role.registry.costs.kinds == 0
            assert not any(replica.requests for replica in here._replicas)
            assert not here.role.registry.in_use(0.0)

    run(scenario())


def test_excluded_replicas_are_shown_with_the_reason():
    async def scenario():
        async with world(respond_ok, respond_ok, respond_ok, load_control=ON) as here:
            here.drain(1)
            now_s = time.monotonic()
            here.role.registry.find("i-2").availability.note_backoff(5.0, now_s)
            here.role.registry.find("i-3").note_peer_use(ReplicaUse(3, work_ms=600), now_s)
            explained = explanation_of(here)
            assert (explained.outcome, explained.is_chosen, explained.rank) == ("i-3", True, 5)
            chosen, *others = explained.replicas
            assert chosen.is_chosen and chosen.work_left_ms > 400 and chosen.peers_age_s < 1.0
            reasons = {item.instance_id: item.excluded for item in others}
            assert reasons == {"i-1": "draining", "i-2": "resting"}
            here.drain(3)
            assert not explanation_of(here).is_chosen

    run(scenario())


def test_explanations_over_http_are_bounded_and_say_what_is_wrong():
    async def scenario():
        async with world(respond_ok) as here:
            status, body = await explain_over_http(here, "host=h.example&path=/once/x")
            assert status == 200 and json.loads(body)["outcome"] == "i-1"
            status, _ = await explain_over_http(here, "host=h.example&path=/once/x")
            assert status == 429
            for query, message in [
                ("host=nowhere&path=/", b"no route matches nowhere/"),
                ("host=h.example&path=/once/x&tenant=who", b"no tenant is named who"),
                ("host=h.example&path=/once/x&service=other", b"has no service other"),
                ("host=h.example&path=/once/x&prompt_tokens=many", b"prompt_tokens"),
                ("path=/", b"host"),
                ("host=h.example&path=/once/x&key=secret", b"key"),
                ("x" * (MAX_QUERY_BYTES + 1), b"more than 4096 bytes"),
            ]:
                await asyncio.sleep(0.11)
                status, body = await explain_over_http(here, query)
                assert status == 400 and message in body and b"secret" not in body

    run(scenario())


def run_command(here_options, *arguments):
    """Run the command against a gateway in this process; return its exit code and output."""

    async def scenario():
        async with world(respond_ok, **here_options) as here:
            port = here.role._ready_server._server.sockets[0].getsockname()[1]
            gateway = f"http://127.0.0.1:{port}"
            command = ["explain-route", gateway, *arguments]
            return await asyncio.to_thread(CliRunner().invoke, application, command)

    results = []

    async def keep_result():
        results.append(await scenario())

    run(keep_result())
    return results[0].exit_code, results[0].output


def test_the_command_shows_a_table_or_json():
    request = ["--host", "h.example", "--path", "/once/x"]
    code, output = run_command({"load_control": ON}, *request)
    assert code == 0 and "would go to i-1" in output and "expected cost 20.0 ms" in output
    code, output = run_command({}, *request, "--json")
    assert code == 0 and json.loads(output)["cost_ms"] is None


def test_the_command_exits_with_1_if_nothing_is_chosen_or_known():
    code, output = run_command({}, "--host", "h.example", "--path", "/engine/x", "--model", "zz")
    assert code == 1 and "would not be sent: no_model" in output
    code, output = run_command({}, "--host", "nowhere")
    assert code == 1 and "no route matches nowhere/" in output
    code, _ = run_command({}, "--host", "h.example", "--prompt-tokens", "-4")
    assert code == 2
