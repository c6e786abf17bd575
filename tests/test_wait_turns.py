"""Requests that wait at a running gateway get their turn in order, at once, and none is lost."""

import asyncio
from random import Random

import msgspec
import pytest

from crowsill.gateway import waiting
from crowsill.gateway.request import CallerRequest
from crowsill.gateway.wait_queue import MAX_WAITING, WaitQueue
from crowsill.gateway.wait_turns import WaitTurns, new_waiter
from crowsill.metrics import GATEWAY_TURNS
from crowsill.model.instances import LoadedModel, LoadingModel
from crowsill.routing.engine_latency import LatencyModel
from crowsill.settings import LoadControlSettings
from tests.gateway_world import ID, encode_response, instance, respond_ok, routes, run, world
from tests.test_wait_queue import SEEDS, SERVICE, waiter

ORDERED = LoadControlSettings(ordered_waiting=True)
MODEL = "crowsill-model: m"


@pytest.fixture
def without_poll(monkeypatch):
    """Wait for turns only: a wake-up that is lost becomes a request that is not served."""
    monkeypatch.setattr(waiting, "CAPACITY_POLL_S", 60.0)
    monkeypatch.setattr(waiting, "DEMAND_REPEAT_S", 60.0)


class Slots:
    """A replica's script that responds when it is told to, and the order of its requests.

    The end of a response follows some time after its first data: only then the place is free.
    """

    def __init__(self):
        self.order = []
        self.release = asyncio.Semaphore(0)

    async def __call__(self, headers, writer, _number):
        self.order.append(headers[ID])
        await self.release.acquire()
        response = encode_response(headers[ID])
        writer.write(response[:-1])
        await asyncio.sleep(0.02)
        writer.write(response[-1:])
        return True


async def until(condition):
    async with asyncio.timeout(5.0):
        while not condition():
            await asyncio.sleep(0.005)


async def start(here, route, request_id, headers=()):
    """Send a request; return its task once it waits or has reached the replica."""
    caller = await here.caller()
    task = asyncio.create_task(caller.request(route, request_id, headers=headers))
    task.caller = caller
    return task


def two_places():
    """Return routes whose service may have two requests of this gateway at its replica."""
    configuration = routes()
    plain, engines = configuration.services
    services = [msgspec.structs.replace(plain, max_connections=1), engines]
    return msgspec.structs.replace(configuration, services=services)


def load(here):
    """Have the replica load the model, in time for those who wait for it."""
    models, loading = [LoadedModel("n")], [LoadingModel("m", 1.2)]
    here.adopt([instance(here._replicas[0], 1, models=models, loading=loading)])


def waiting_requests(here):
    return len(here.role.turns.queue)


async def fill(here, slots, count=2):
    """Take all places of the replica."""
    tasks = []
    for number in range(count):
        tasks.append(await start(here, "once", f"first-{number}"))
        await until(lambda number=number: len(slots.order) > number)
    return tasks


def test_without_the_switch_nothing_of_it_is_constructed(monkeypatch):
    def fail(*_, **__):
        raise AssertionError

    monkeypatch.setattr(WaitTurns, "__init__", fail)
    monkeypatch.setattr(WaitQueue, "__init__", fail)

    async def body():
        slots = Slots()
        async with world(slots, configuration=two_places()) as here:
            assert here.role.turns is None
            tasks = [await start(here, "once", f"r{number}") for number in range(3)]
            for _ in range(3):
                slots.release.release()
            assert [(await task)[0] for task in tasks] == [200] * 3

    run(body())


def test_places_that_come_free_go_to_waiting_requests_in_order(without_poll):
    async def body():
        slots = Slots()
        async with world(slots, configuration=two_places(), load_control=ORDERED) as here:
            tasks = await fill(here, slots)
            # The shorter the remaining time, the earlier a request must be sent.
            for number, wait_ms in enumerate((2900, 2400, 2700), start=1):
                headers = [f"crowsill-deadline-ms: {wait_ms}"]
                tasks.append(await start(here, "once", f"r{number}", headers))
                await until(lambda number=number: waiting_requests(here) == number)
            for _ in range(5):
                slots.release.release()
            assert [(await task)[0] for task in tasks] == [200] * 5
            assert slots.order[2:] == ["r2", "r3", "r1"]

    run(body())


def test_a_head_that_is_cancelled_does_not_take_the_turn_with_it(without_poll):
    async def body():
        slots = Slots()
        async with world(slots, configuration=two_places(), load_control=ORDERED) as here:
            tasks = await fill(here, slots)
            head = await start(here, "once", "head", ["crowsill-deadline-ms: 2000"])
            await until(lambda: waiting_requests(here) == 1)
            tasks.append(await start(here, "once", "next"))
            await until(lambda: waiting_requests(here) == 2)
            head.caller.disconnect()
            head.cancel()
            slots.release.release()
            await until(lambda: "next" in slots.order)
            assert waiting_requests(here) == 0
            for _ in range(2):
                slots.release.release()
            assert [(await task)[0] for task in tasks] == [200] * 3
            assert "head" not in slots.order

    run(body())


def test_a_model_that_arrives_wakes_those_who_wait_for_it(without_poll):
    async def body():
        async with world(respond_ok, models=("n",), load_control=ORDERED) as here:
            load(here)
            tasks = [await start(here, "engine", f"r{number}", [MODEL]) for number in range(4)]
            await until(lambda: waiting_requests(here) == 4)
            here.adopt([instance(here._replicas[0], 1, models=[LoadedModel("m")])])
            assert [(await task)[0] for task in tasks] == [200] * 4
            assert waiting_requests(here) == 0

    run(body())


def test_a_request_for_a_missing_model_does_not_hold_up_one_for_a_held_model(without_poll):
    async def body():
        async with world(respond_ok, models=("n",), load_control=ORDERED) as here:
            load(here)
            missing = await start(here, "engine", "missing", [MODEL])
            await until(lambda: waiting_requests(here) == 1)
            held = await start(here, "engine", "held", ["crowsill-model: n"])
            assert (await held)[0] == 200
            missing.caller.disconnect()
            missing.cancel()
            await until(lambda: waiting_requests(here) == 0)

    run(body())


def test_a_new_request_does_not_overtake_one_that_waits(without_poll):
    async def body():
        slots = Slots()
        async with world(slots, configuration=two_places(), load_control=ORDERED) as here:
            tasks = await fill(here, slots)
            tasks.append(await start(here, "once", "waits", ["crowsill-deadline-ms: 2500"]))
            await until(lambda: waiting_requests(here) == 1)
            # There is room again, but the request that waits has not noticed it.
            record = here.role.registry.find("i-1")
            record.in_flight -= 1
            tasks.append(await start(here, "once", "new"))
            await until(lambda: len(slots.order) == 3)
            assert slots.order[2] == "waits"
            record.in_flight += 1
            for _ in range(4):
                slots.release.release()
            assert [(await task)[0] for task in tasks] == [200] * 4

    run(body())


def test_absurd_figures_of_a_caller_keep_its_tenant_waiting_only_for_some_time():
    request = CallerRequest(b"POST", b"/", [], b"", True, 0.0, model="m")
    request.prompt_tokens = request.output_tokens = 10**12
    request.length_hint = 1e12 - 1.0
    route = routes().routes[-1]
    item = new_waiter(request, route, SERVICE, LatencyModel(), rank=0, tenant="absurd")
    queue, usual = WaitQueue(), waiter(tenant="usual", work_ms=500.0)
    queue.note_sent(item, 1.0, 0.0)
    now_s = 0.0
    while queue._services[SERVICE].work.of("usual") <= queue._services[SERVICE].work.of("absurd"):
        now_s += 0.5
        queue.note_sent(usual, 1.0, now_s)
    assert now_s < 60.0


def test_a_shutdown_and_a_full_queue_reject_at_once(monkeypatch, without_poll):
    async def body():
        slots = Slots()
        async with world(slots, configuration=two_places(), load_control=ORDERED) as here:
            here.role.turns.queue._max_waiting = 1
            tasks = await fill(here, slots)
            waits = await start(here, "once", "waits")
            await until(lambda: waiting_requests(here) == 1)
            status, headers, _ = await (await start(here, "once", "too-many"))
            assert status == 503
            assert "retry-after" in headers
            stopping = asyncio.create_task(here.role.drain())
            status, _, _ = await waits
            assert status == 503
            assert slots.order == ["first-0", "first-1"]
            for _ in range(2):
                slots.release.release()
            assert [(await task)[0] for task in tasks] == [200] * 2
            await stopping

    assert MAX_WAITING > 1
    run(body())


@pytest.mark.parametrize("is_full", [False, True])
def test_a_request_that_a_replica_could_take_is_not_refused_for_those_that_go_first(
    monkeypatch, is_full
):
    monkeypatch.setattr(waiting, "should_wait", lambda *_arguments: False)

    async def body():
        async with world(respond_ok, load_control=ORDERED) as here:
            queue = here.role.turns.queue
            for _ in range(MAX_WAITING if is_full else 1):
                ahead = waiter("", at_s=asyncio.get_running_loop().time())
                ahead.service = "plain"
                assert queue.join(ahead)
            task = await start(here, "once", "late")
            assert (await task)[0] == 200

    run(body())


async def play(seed):
    """Replay random events against the turns alone, without a poll; return what is wrong."""
    random, turns = Random(seed), WaitTurns()
    room = dict.fromkeys("ab", 0)
    sent, cancelled = [], set()

    async def request(item):
        turn, resource = turns_of[item], item.request_class.resource
        model = resource.model
        try:
            while True:
                if room[model] and not turn.goes_after_others():
                    room[model] -= 1
                    turn.note_sent()
                    sent.append(item)
                    if random.random() < 0.3:
                        # Nothing could be sent after all: the place is free again.
                        await asyncio.sleep(0)
                        turn.note_not_run()
                        room[model] += 1
                        turns.offer(SERVICE, resource.__eq__)
                        sent.remove(item)
                        continue
                    return
                assert turn.join(was_sent_before=False)
                await turn.wait(60.0)
        finally:
            turn.leave()

    turns_of, tasks = {}, {}
    for number in range(200):
        action = random.random()
        if action < 0.5:
            item = waiter(random.choice("ab"), rank=random.randrange(3), at_s=number / 100.0)
            turns_of[item] = turns.turn_of(item, 1.0, f"r{number}")
            tasks[item] = asyncio.create_task(request(item))
        elif action < 0.65 and tasks:
            item = random.choice(list(tasks))
            if tasks[item].cancel():
                cancelled.add(item)
        else:
            model = random.choice("ab")
            room[model] += 1
            if random.random() < 0.8:
                turns.offer(SERVICE, lambda resource, model=model: resource.model == model)
            else:
                turns.offer_all()
        if random.random() < 0.2:
            turns.wake_all()
        for _ in range(random.randrange(4)):
            await asyncio.sleep(0)
    for _ in range(2000):
        await asyncio.sleep(0)
    left = [item for item, task in tasks.items() if not task.done()]
    idle = [item for item in left if room[item.request_class.resource.model]]
    for task in tasks.values():
        task.cancel()
    await asyncio.gather(*tasks.values(), return_exceptions=True)
    return idle, len(turns.queue), len(turns.waiting)


@pytest.mark.parametrize("seed", SEEDS)
def test_no_place_stays_free_while_a_request_that_could_use_it_waits(seed):
    assert asyncio.run(play(seed)) == ([], 0, 0)


def test_turns_are_counted():
    before = GATEWAY_TURNS.labels("0", "sent")._value.get()
    assert asyncio.run(play(1)) == ([], 0, 0)
    assert GATEWAY_TURNS.labels("0", "sent")._value.get() > before
