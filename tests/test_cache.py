"""Prompt caches: hints from lossy events, and transfer of a request's state between engines."""

import asyncio

import aiohttp
from aiohttp import web

from crowsill.backends.http_cache import HttpCache
from crowsill.backends.interface import CacheEvent, CacheEvents
from crowsill.model.fleet import ReplicaDescription, ReplicaKind
from crowsill.routing.cache_hints import CacheHints
from crowsill.routing.selection import SelectionReason, Selector
from crowsill_lab.engine.server import EngineServer
from crowsill_lab.settings import EngineShape
from tests.test_routing import Random, replica, request


def events(first, *prefixes, incarnation="i"):
    return CacheEvents(incarnation, first, [CacheEvent(prefix, True) for prefix in prefixes])


def test_hints_follow_events_and_a_gap_discards_them():
    hints = CacheHints()
    hints.apply("a", events(1, 10, 11))
    assert hints.holds("a", 10) and hints.last_event("a") == 2
    assert hints.apply("a", CacheEvents("i", 3, [CacheEvent(10, False)]))
    assert not hints.holds("a", 10) and hints.holds("a", 11)
    assert not hints.apply("a", events(7, 12))
    assert not hints.holds("a", 11) and hints.holds("a", 12)
    assert not hints.apply("a", events(1, 13, incarnation="j"))
    assert not hints.holds("a", 12) and hints.last_event("a") == 1


def test_a_hinted_replica_is_preferred_until_it_is_overloaded():
    selector = Selector(Random(1), 0.0)
    states = [replica(name) for name in "abc"]
    first = selector.select(request(prefix=5), states, 0.0)
    other = next(state for state in states if state is not first.replica)
    name = other.description.replica_id
    selector.hints.apply(name, events(1, 5))
    hinted = selector.select(request(prefix=5), states, 0.0)
    assert hinted.replica is other and hinted.reason is SelectionReason.CACHE_HINT
    for _ in range(6):
        selector.loads.note_started(name)
    assert selector.select(request(prefix=5), states, 0.0).replica is not other


async def start_engine():
    server = EngineServer(EngineShape("p", 100, 4, [], step_base_ms=1.0), "127.0.0.1:1", 0.1)
    server.core.resident["m"] = 1
    runner = web.AppRunner(server.application(), access_log=None)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    port = runner.addresses[0][1]
    return runner, ReplicaDescription("e", ReplicaKind.ENGINE, f"127.0.0.1:{port}", "z", "p")


def test_a_request_continues_at_another_engine_with_its_state():
    async def scenario():
        (one, first), (two, second) = await start_engine(), await start_engine()
        cache = HttpCache()
        body = {"model": "m", "prompt": "p", "max_tokens": 5, "stream": True}
        headers = {"X-Request-Id": "r1", "X-Prefix-Hash": "77"}
        async with aiohttp.ClientSession() as session:
            url = f"http://{first.address}/v1/completions"
            async with session.post(url, json=body, headers=headers) as response:
                complete = await response.read()
            cached = (await cache.cache_events(first, 0)).unwrap()
            state = (await cache.export_kv(first, "r1")).unwrap()
            (await cache.import_kv(second, "r1", state)).unwrap()
            async with session.get(f"http://{second.address}/v1/streams/r1") as response:
                continued = await response.read()
        await cache.close()
        await one.cleanup()
        await two.cleanup()
        return complete, continued, cached

    complete, continued, cached = asyncio.run(scenario())
    assert complete == continued
    assert cached.first == 1 and cached.events == [CacheEvent(77, True)]
