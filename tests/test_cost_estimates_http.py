"""Estimates of costs in a running gateway, with replicas and callers on sockets."""

import asyncio
import time

import pytest

from crowsill.settings import LoadControlSettings
from tests.gateway_world import ID, encode_response, never_respond, respond_ok, run, world

ON = LoadControlSettings(cost_estimates=True)


def work_of(here):
    """Return the work that the gateway counts at the replicas, in ms."""
    return sum(record.own_work.left_ms(time.monotonic()) for record in here.role.registry.listed())


@pytest.mark.parametrize("load_control", [ON, LoadControlSettings()], ids=["on", "off"])
def test_costs_are_learnt_only_if_switched_on(load_control):
    async def scenario():
        async with world(respond_ok, respond_ok, load_control=load_control) as here:
            caller = await here.caller()
            for number in range(8):
                status, _, _ = await caller.request("once", f"r{number}")
                assert status == 200
            costs = here.role.registry.costs
            assert (costs is not None) == load_control.cost_estimates
            assert costs is None or costs.kinds == 4
            assert work_of(here) == 0.0

    run(scenario())


def test_work_counts_until_the_caller_leaves():
    async def scenario():
        async with world(never_respond, load_control=ON) as here:
            caller = await here.caller()
            caller.send("safe")
            while not here._replicas[0].requests:
                await asyncio.sleep(0.01)
            assert work_of(here) > 0.0
            assert sum(use.work_ms for use in here.role.registry.in_use(0.0).values()) > 0
            caller.disconnect()
            while work_of(here):
                await asyncio.sleep(0.01)
            # The request is a sample of one that takes longer than it ran.
            assert here.role.registry.costs.kinds == 4

    run(scenario())


def test_a_stream_costs_the_time_after_its_first_event():
    async def stream(headers, writer, _number):
        await asyncio.sleep(0.2)
        extra = "Content-Type: text/event-stream\r\nContent-Length: 18"
        writer.write(encode_response(headers[ID], b"data: a\n\n", "200 OK", extra, length=False))
        await asyncio.sleep(0.05)
        writer.write(b"data: b\n\n")
        return True

    async def scenario():
        async with world(stream, load_control=ON) as here:
            caller = await here.caller()
            headers = ["crowsill-model: m", "crowsill-token-counts: 100,20"]
            status, _, _ = await caller.request("engine", "r1", headers=headers)
            assert status == 200
            [histogram] = [
                found
                for key, found in here.role.registry.costs._kinds.items()
                if key == ("engines",)
            ]
            assert 30.0 < histogram.distribution().mean_ms < 160.0

    run(scenario())
