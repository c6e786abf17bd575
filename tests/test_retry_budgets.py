"""A gateway charges each retry to what its requests earned, or to a grant of the leader."""

import asyncio

from crowsill.gateway.retry_budgets import RetryBudgets, RetryResult
from crowsill.routing.earned_retries import RetryBudgetLimits
from crowsill.transport.messages import GrantReply, NotLeader
from tests.gateway_world import ID, NOT_RUN, STAMP, encode_response, granted_retries, world

LIMITS = RetryBudgetLimits(ratio=0.2, window_s=10.0, allowance=20.0)
LONG_AGO_S = -1000.0


class Leader:
    """A leader that gives one reply after the other, then the last one."""

    def __init__(self, *replies):
        self.replies = list(replies)
        self.requests = []

    async def query(self, request, _timeout_s):
        self.requests.append(request)
        return self.replies.pop(0) if len(self.replies) > 1 else self.replies[0]


def budgets(leader, started_at_s=LONG_AGO_S):
    return RetryBudgets(LIMITS, started_at_s, leader.query)


async def results(found, count):
    return [(await found.charge("till"))[1] for _ in range(count)]


def test_what_requests_earned_is_spent_before_the_leader_is_asked():
    async def scenario():
        leader = Leader(GrantReply(True, 0.0, 0.8))
        found = budgets(leader)
        for _ in range(10):
            found.earned("till").earn(asyncio.get_running_loop().time())
        assert await results(found, 3) == ["earned", "granted", "granted"]
        assert [request.retries_of for request in leader.requests] == ["till"] * 2

    asyncio.run(scenario())


def test_a_process_that_just_started_spends_a_fifth_of_what_its_requests_earn():
    async def scenario():
        now_s = asyncio.get_running_loop().time()
        found = budgets(Leader(NotLeader(None)), started_at_s=now_s)
        for _ in range(50):
            found.earned("till").earn(now_s)
        assert await results(found, 4) == ["earned", "earned", "no_leader", "no_leader"]

    asyncio.run(scenario())


def test_a_denied_retry_closes_the_way_to_the_leader_until_there_is_room():
    async def scenario():
        leader = Leader(GrantReply(False, 0.2, 0.0), GrantReply(True, 0.0, 0.8))
        found = budgets(leader)
        assert await results(found, 3) == ["denied"] * 3
        assert len(leader.requests) == 1 and not found.may_charge("till")
        assert (await results(found, 1), found.may_charge("other")) == (["denied"], True)
        await asyncio.sleep(0.25)
        assert await results(found, 1) == ["granted"]

    asyncio.run(scenario())


def test_without_a_leader_nothing_is_granted():
    async def scenario():
        for reply in (None, NotLeader(None)):
            assert await results(budgets(Leader(reply)), 2) == [RetryResult.NO_LEADER] * 2

    asyncio.run(scenario())


def test_a_grant_that_was_not_used_serves_the_next_retry_until_it_expires():
    async def scenario():
        leader = Leader(GrantReply(True, 0.0, 0.3))
        found = budgets(leader)
        charge, _ = await found.charge("till")
        charge.release()
        charge, _ = await found.charge("till")
        assert len(leader.requests) == 1
        charge.note_sent(0.0)
        charge.release()
        charge, _ = await found.charge("till")
        assert len(leader.requests) == 2
        charge.release()
        await asyncio.sleep(0.35)
        await found.charge("till")
        assert len(leader.requests) == 3

    asyncio.run(scenario())


async def fails(headers, writer, _number):
    writer.write(encode_response(headers[ID], b"own", "500 Failed"))
    return True


def test_a_denied_retry_ends_at_once_with_the_answer_of_the_replica():
    async def scenario():
        async with world(fails, fails) as here:
            here.role.retry_budgets = granted_retries(grants=False)
            loop = asyncio.get_running_loop()
            began_at_s = loop.time()
            status, headers, body = await (await here.caller()).request("safe")
            assert (status, body) == (500, b"own") and STAMP in headers
            assert loop.time() - began_at_s < 0.5
            assert sum(len(replica.requests) for replica in here._replicas) == 1

    asyncio.run(scenario())


def test_a_denied_retry_of_what_did_not_run_is_rejected_as_not_run():
    async def scenario():
        async def is_full(headers, writer, _number):
            writer.write(encode_response(headers[ID], b"", "503 Full", f"{NOT_RUN}: 1"))
            return True

        async with world(is_full, is_full) as here:
            here.role.retry_budgets = granted_retries(grants=False)
            status, headers, body = await (await here.caller()).request("once")
            assert status == 503 and float(headers["retry-after"]) > 0.0 and b"not_run" in body
            assert sum(len(replica.requests) for replica in here._replicas) == 1

    asyncio.run(scenario())
