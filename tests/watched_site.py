"""A site with three gateways and observed replicas, and requests sent without waiting."""

import asyncio
import contextlib
import os
import time

import aiohttp

from tests.platform_site import ID, PlatformSite, configuration

PLAYED_S = 8.0
REQUEST_INTERVAL_S = 0.0125


async def send(session, front, path):
    """Send a request; return the times of sending and end, status, gateway and response headers."""
    headers = {"Host": "shop.example", ID: os.urandom(8).hex(), "X-From": front.name}
    sent_at_s = time.monotonic()
    try:
        url = f"http://{front.front}{path}"
        async with session.post(url, data=b"x", headers=headers) as response:
            await response.read()
            response_headers = response.headers
            return sent_at_s, time.monotonic(), response.status, front.name, response_headers
    except (aiohttp.ClientError, TimeoutError):
        return sent_at_s, time.monotonic(), 0, front.name, {}


async def keep_sending(fronts, path, until_at_s, interval_s=REQUEST_INTERVAL_S):
    """Send requests to the gateways in turn, without waiting; return their results."""
    timeout = aiohttp.ClientTimeout(total=5.0)
    tasks = []
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(timeout=timeout, connector=connector) as session:
        while time.monotonic() < until_at_s:
            front = fronts[len(tasks) % len(fronts)]
            tasks.append(asyncio.create_task(send(session, front, path)))
            await asyncio.sleep(interval_s)
        return await asyncio.gather(*tasks)


def routes(kind, attempts):
    """Return a configuration with one route."""
    document = configuration(1)
    document["routes"] = [{**document["routes"][0], "kind": kind, "maxAttempts": attempts}]
    # A gateway that has just started accepts an eighth of the connections, so the limit is large.
    document["services"][0]["maxConns"] = 400
    return document


@contextlib.contextmanager
def site_of_three(folder):
    """Start a site of five members and three gateways."""
    site = PlatformSite(folder, fronts=3)
    site.start()
    try:
        yield site
    finally:
        site.stop()


async def play(site, kind, attempts, replicas, draining=()):
    """Start the replicas and send requests for `PLAYED_S`; return their results."""
    await start_replicas(site, kind, attempts, replicas)
    # Only now: earlier responses to the start-up requests would announce it to the gateways.
    for replica in draining:
        replica.announces_draining = True
    return await send_requests(site, replicas)


async def start_replicas(site, kind, attempts, replicas):
    """Start the replicas, and wait until all gateways serve requests."""
    assert await site.publish(routes(kind, attempts)) == 200
    for replica in replicas:
        await replica.start()

    async def served():
        headers = [{"X-From": front.name} for front in site.fronts]
        pairs = zip(site.fronts, headers, strict=True)
        return [(await site.ask(front, "/pay/a", header))[0] for front, header in pairs] == [
            200
        ] * 3

    await site.until(served)
    await asyncio.sleep(1.0)


async def send_requests(site, replicas):
    """Send requests for `PLAYED_S`; return their results."""
    results = await keep_sending(site.fronts, "/pay/a", time.monotonic() + PLAYED_S)
    for replica in replicas:
        await replica.stop()
    return results
