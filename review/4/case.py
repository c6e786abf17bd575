"""The group is never formed if its first seed is killed within the first half second."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))

from configuration import HOST, document, plain_route, plain_service
from standins import BROKEN, HELD, UNUSABLE, Replica, finish, http, run_case

# The kill comes this long after the start of all machines; the process is back after half a second.
KILL_AFTER_S = 0.4
DOWN_S = 0.5
# Bounds of the deployment: recoverS, and 3 ms a route on top of ackMs.
RECOVER_S = 12.0
OBSERVED_S = 60.0


async def case(site, has_trouble):
    site.start()
    await asyncio.sleep(KILL_AFTER_S)
    if has_trouble:
        site.core[0].kill()
        await asyncio.sleep(DOWN_S)
        # `bootstrap` is true only on the first start.
        site.core[0].start(bootstrap=False)
    began_s = time.monotonic()
    route = plain_route("start-auth", "/cuti104/", "session-api")
    configuration = document(7, [route], [plain_service("session-api")])
    status = await site.publish(configuration, OBSERVED_S)
    taken_s = time.monotonic() - began_s
    replicas = [await Replica(site, n, "session-api", slots=6).start() for n in range(3)]
    is_ready = await site.wait_ready(5.0)
    statuses = []
    for number in range(20):
        node = site.fronts[number % len(site.fronts)]
        headers = {
            "Host": HOST,
            "X-Crowsill-Request-Id": f"{number:016x}",
            "X-Crowsill-Request-Deadline": "1500",
        }
        try:
            answer, _, _ = await http(node.front, "POST", "/cuti104/2f", headers, b"{}", 1.6)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            answer = 0
        site.record("client", f"{number:016x}", "gets", answer, "from", node.name)
        statuses.append(answer)
    for replica in replicas:
        replica.stop()
    text = (
        f"the first configuration got {status} within {taken_s:.1f} s after the process was back;"
        f" ready: {is_ready}; {statuses.count(200)} of {len(statuses)} requests served"
    )
    return finish(site, HELD if 200 in statuses else BROKEN, text)


if __name__ == "__main__":
    run_case(case, Path(__file__).parent)
