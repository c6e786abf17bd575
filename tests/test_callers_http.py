"""The callers' listener on real connections: broken streams and callers that disconnect."""

import asyncio

import aiohttp
import pytest
from returns.result import Success

from crowsill.api.callers import caller_application
from crowsill.api.server import HttpServer
from crowsill.pipeline.incoming import StreamedResponse
from crowsill.settings import HttpListener


class StreamingPipeline:
    """Serves every request with one stream."""

    table = None

    def __init__(self, breaks_stream):
        self.breaks_stream = breaks_stream
        self.closed = asyncio.Event()
        self.cancelled = asyncio.Event()
        self.started = asyncio.Event()
        self.never_responds = False

    async def serve(self, incoming):
        self.started.set()
        if self.never_responds:
            try:
                await asyncio.Event().wait()
            finally:
                self.cancelled.set()
        return Success(StreamedResponse(200, "text/event-stream", self.chunks()))

    async def chunks(self):
        try:
            yield b"first"
            if self.breaks_stream:
                raise RuntimeError("broken")
            while True:
                await asyncio.sleep(0.001)
                yield b"more"
        finally:
            self.closed.set()


async def start_server(pipeline):
    application = caller_application(pipeline, lambda: True, 1000)
    server = HttpServer(application, HttpListener("127.0.0.1", 0))
    await server.start()
    return server, f"http://127.0.0.1:{server.port}/v1/completions"


def test_a_broken_stream_does_not_end_cleanly():
    async def scenario():
        server, url = await start_server(StreamingPipeline(breaks_stream=True))
        async with aiohttp.ClientSession() as session, session.post(url, data=b"{}") as response:
            with pytest.raises(aiohttp.ClientPayloadError):
                await response.read()
        await server.stop()

    asyncio.run(scenario())


def test_the_stream_of_a_caller_that_disconnected_is_closed():
    async def scenario():
        pipeline = StreamingPipeline(breaks_stream=False)
        server, url = await start_server(pipeline)
        async with aiohttp.ClientSession() as session:
            response = await session.post(url, data=b"{}")
            await response.content.readany()
            response.close()
            await asyncio.wait_for(pipeline.closed.wait(), 10)
        await server.stop()

    asyncio.run(scenario())


def test_a_waiting_request_of_a_caller_that_disconnected_is_cancelled():
    async def scenario():
        pipeline = StreamingPipeline(breaks_stream=False)
        pipeline.never_responds = True
        server, url = await start_server(pipeline)
        async with aiohttp.ClientSession() as session:
            task = asyncio.create_task(session.post(url, data=b"{}"))
            await pipeline.started.wait()
            task.cancel()
            await asyncio.wait_for(pipeline.cancelled.wait(), 10)
        await server.stop()

    asyncio.run(scenario())


@pytest.mark.parametrize(
    "request_start",
    [
        b"Content-Length: 100\r\n\r\n{}",
        b"Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n",
    ],
)
def test_a_request_with_an_incomplete_body_is_never_served(request_start):
    async def scenario():
        pipeline = StreamingPipeline(breaks_stream=False)
        server, url = await start_server(pipeline)
        port = int(url.split(":")[2].split("/")[0])
        _, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"POST /v1/completions HTTP/1.1\r\nHost: x\r\n" + request_start)
        while not server.requests_in_flight:
            await asyncio.sleep(0.001)
        writer.close()
        while server.requests_in_flight or server.connections:
            await asyncio.sleep(0.001)
        await server.stop()
        return pipeline.started.is_set()

    assert not asyncio.run(scenario())


def test_a_too_large_body_and_an_unknown_path_are_rejected():
    async def scenario():
        server, url = await start_server(StreamingPipeline(breaks_stream=False))
        async with aiohttp.ClientSession() as session:
            async with session.post(url, data=b"x" * 2000) as response:
                too_large = response.status, (await response.json())["kind"]
            async with session.get(f"{url}/unknown") as response:
                unknown = response.status, (await response.json())["kind"]
        await server.stop()
        return too_large, unknown

    too_large, unknown = asyncio.run(scenario())
    assert too_large == (413, "body_too_large")
    assert unknown == (404, "invalid_request")
