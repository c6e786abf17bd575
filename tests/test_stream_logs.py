"""Log lines that tell which kind of fault put a stream out of order."""

from crowsill.events import Event
from tests.gateway_world import run, world
from tests.resumed_streams import adopt_versions, resuming, streaming


def test_finished_and_interrupted_streams_name_version_and_events(monkeypatch):
    lines = {}
    for module in ("exchange_log", "stream_origins"):
        monkeypatch.setattr(
            f"crowsill.gateway.{module}.log_event",
            lambda event, **fields: lines.update({event: fields}),
        )

    async def scenario():
        async with world(streaming(b"v1")) as here:
            adopt_versions(here, ("v1",))
            caller = await here.caller()
            caller.send("resumable", "r1")
            await caller.head()
            await caller.reader.read()
            caller = await here.caller()
            await caller.request("resumable", "s1", headers=resuming("r1"))

    run(scenario())
    interrupted, finished = lines[Event.ATTEMPT_FAILED], lines[Event.REQUEST_FINISHED]
    assert (interrupted["software_version"], interrupted["events"]) == ("v1", "1..2")
    assert (finished["software_version"], finished["events"]) == ("v1", "3..4")
    assert finished["last_event"] == "2"
    resumed = lines[Event.STREAM_CONTINUED]
    assert resumed["proof_age_s"] >= 0.0
    assert resumed["directory"] > 0
