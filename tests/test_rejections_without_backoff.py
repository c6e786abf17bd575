"""Replicas that reject requests without asking for a backoff."""

import asyncio

from tests.gateway_world import ID, encode_response, reject_not_run, run, world

REQUESTS = 40
WORK_S = 0.04


async def respond_after_work(headers, writer, _number):
    await asyncio.sleep(WORK_S)
    writer.write(encode_response(headers[ID]))
    return True


def reject_first(count):
    async def script(headers, writer, number):
        return await (reject_not_run if number <= count else respond_after_work)(
            headers, writer, number
        )

    return script


def test_a_replica_that_rejects_requests_is_not_chosen_first():
    """Guards against choosing a replica first that rejects everything.

    It responds within a millisecond and has nothing in flight, so it looked like the faster of two
    replicas, and a rejection without a backoff changed nothing. Each of 40 requests was sent to it
    first and 36 were rejected, while the other replica accepted requests.
    """

    async def scenario():
        async with world(reject_not_run, respond_after_work, models=()) as here:
            caller = await here.caller()
            statuses = [(await caller.request("safe", f"r{n}"))[0] for n in range(REQUESTS)]
            request_count = len(here._replicas[0].requests)
            assert request_count <= REQUESTS // 4, (
                f"chosen {request_count} times; {statuses.count(503)} rejected"
            )
            assert statuses.count(200) >= REQUESTS * 3 // 4

    run(scenario())


def test_a_replica_that_accepts_requests_again_is_used_again():
    async def scenario():
        async with world(reject_first(8), respond_after_work, models=()) as here:
            callers = [await here.caller() for _ in range(8)]
            for number in range(REQUESTS):
                pending = [caller.request("safe", f"r{number}") for caller in callers]
                await asyncio.gather(*pending)
            request_counts = [len(replica.requests) for replica in here._replicas]
            assert request_counts[0] - 8 >= REQUESTS * len(callers) // 4

    run(scenario())
