"""A configuration with a version of twenty digits ends one control process after the other."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from configuration import HOST, document, plain_route, plain_service
from standins import BROKEN, HELD, UNUSABLE, Replica, finish, http, run_case

# The operator numbers its versions by the time of day, first to the second, then to the microsecond.
FIRST_VERSION = 20261204181500
SECOND_VERSION = 20261204181530
LONG_VERSION = 20261204181530123456
SENDING_S = 80.0
# "on half of the core, processes end by themselves three times in the day"
MAX_OWN_ENDS = 2


def configuration(version):
    route = plain_route("start-auth", "/cuti104/", "session-api")
    return document(version, [route], [plain_service("session-api")])


async def ask(site, number):
    """Send a request; return the status that the client gets."""
    headers = {
        "Host": HOST,
        "X-Crowsill-Request-Id": f"{number:016x}",
        "X-Crowsill-Request-Deadline": "1500",
    }
    node = site.fronts[number % len(site.fronts)]
    try:
        status, _, _ = await http(node.front, "POST", "/cuti104/2f", headers, b"{}", 1.6)
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        status = 0
    site.record("client", f"{number:016x}", "gets", status, "from", node.name)
    return status


async def case(site, has_trouble):
    site.start()
    platform = asyncio.create_task(site.keep_running())
    if await site.publish(configuration(FIRST_VERSION)) != 200:
        return finish(site, UNUSABLE, "the first configuration was not acknowledged")
    replicas = [await Replica(site, n, "session-api", slots=6).start() for n in range(3)]
    if not await site.wait_ready():
        return finish(site, UNUSABLE, "the front machines are not ready")
    # Calm for longer than contactMs; nothing at all is done to a machine in this case.
    await asyncio.sleep(4.0)
    version = LONG_VERSION if has_trouble else SECOND_VERSION
    began_s = time.monotonic()
    # Without a clear answer the operator sends the same again, to any node.
    status = await site.publish(configuration(version), SENDING_S)
    taken_s = time.monotonic() - began_s
    statuses = [await ask(site, number) for number in range(10)]
    platform.cancel()
    for replica in replicas:
        replica.stop()
    ends = {node.name: len(node.own_ends) for node in site.core}
    many = [name for name, number in ends.items() if number > MAX_OWN_ENDS]
    total = sum(ends.values())
    text = (
        f"PUT /config version {version} -> {status} after {taken_s:.1f} s; control processes ended by"
        f" themselves {total} times {ends}; {statuses.count(200)} of 10 requests served after it"
    )
    # Half of the core: three machines of five, on each of which processes ended three times.
    return finish(site, BROKEN if len(many) >= 3 else HELD, text)


if __name__ == "__main__":
    run_case(case, Path(__file__).parent, limit_s=115.0)
