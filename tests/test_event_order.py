"""What callers of streams receive, by event ids: each event once, in order, of a single run.

A stream that lacks its end must not look complete.
"""

import asyncio
import os
import re
import socket
import time

import pytest

from crowsill.model.peers import PeerOffer
from crowsill.transport.stream_messages import FoundStreamOrigin
from tests.control_group import until
from tests.gateway_world import ID, LOCAL, Caller, Replica, run, world
from tests.partitioned_site import PartitionedSite
from tests.resumed_streams import adopt_versions, answer_by_member, events_of, resuming
from tests.stream_site import StreamCaller, stream_site
from tests.test_partitioned_gateways import run as run_site
from tests.test_peer_requests import lose_links
from tests.test_truncated_streams import encode_head, read_response, reset

EVENT_STREAM = "Content-Type: text/event-stream"
CHUNKED = "Transfer-Encoding: chunked"
LAST_CHUNK = b"0\r\n\r\n"
ROUTES = ["stream", "resumable"]
EVENT = re.compile(rb"id: (\d+)\ndata: ([^\n]*)\n\n")
LARGE = b"x" * 100_000
LARGE_EVENTS = 100
# Fewer than the sockets between a replica and its gateway hold.
UNREAD_EVENTS = 5
SMALL_BUFFER_BYTES = 4096


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


def ids_of(body):
    return [int(number) for number, _ in EVENT.findall(body)]


def runs_of(body):
    return {data for _, data in EVENT.findall(body)}


def whole(request_id, run_name, first, last):
    """Return a complete response with these events."""
    body = events_of(run_name, first, last)
    return encode_head(request_id, EVENT_STREAM, CHUNKED) + chunk(body) + LAST_CHUNK


async def resume(here, request_id, began="began", last_id=2):
    """Resume a stream; return status, whether the response is complete, and its body."""
    caller = await here.caller()
    caller.send("resumable", request_id, headers=resuming(began, last_id))
    return await read_response(caller)


def list_one_version(here):
    adopt_versions(here, ("v1",) * len(here._replicas))
    answer_by_member(here, FoundStreamOrigin(None, "v1"))


# Events split over packets.


async def send_in_pieces(writer, pieces):
    for piece in pieces:
        writer.write(piece)
        await writer.drain()
        await asyncio.sleep(0.001)


@pytest.mark.parametrize("is_chunked", [True, False])
def test_events_of_a_resumed_stream_arrive_once_wherever_packets_split_them(is_chunked):
    async def scenario():
        body = events_of(b"v1", 9, 11)
        splits = []

        async def script(headers, writer, _number):
            head = encode_head(headers[ID], EVENT_STREAM, *([CHUNKED] if is_chunked else []))
            response = head + (chunk(body) + LAST_CHUNK if is_chunked else body)
            at = len(response) - len(splits)
            splits.append(at)
            await send_in_pieces(writer, [response[:at], response[at:]])
            return is_chunked

        async with world(script) as here:
            list_one_version(here)
            number = 0
            while not splits or splits[-1] > 1:
                number += 1
                found = await resume(here, f"r{number}", last_id=8)
                assert found == (200, True, body), splits[-1]
            assert number > len(body)

    run(scenario())


def test_a_resumed_stream_that_arrives_byte_by_byte_is_unchanged():
    async def scenario():
        body = events_of(b"v1", 9, 11)

        async def script(headers, writer, _number):
            writer.write(encode_head(headers[ID], EVENT_STREAM, CHUNKED))
            await send_in_pieces(writer, [chunk(body[at : at + 1]) for at in range(len(body))])
            writer.write(LAST_CHUNK)
            return True

        async with world(script) as here:
            list_one_version(here)
            assert await resume(here, "r1", last_id=8) == (200, True, body)

    run(scenario())


# A replica that begins at another event than the one that is asked for.


def beginning_at(first, own_requests=None, split=None):
    """Return a script that begins at an event, whatever the request asks for."""

    async def script(headers, writer, _number):
        if own_requests is not None:
            own_requests.append(headers[ID])
        response = whole(headers[ID], b"v1", first, 12)
        at = len(response) if split is None else response.index(b"id: ") + split
        await send_in_pieces(writer, [response[:at], response[at:]])
        return True

    return script


@pytest.mark.parametrize("first", [1, 9, 10])
@pytest.mark.parametrize("split", [None, 1, 4, 5])
def test_a_caller_does_not_get_an_event_again_that_it_has(first, split):
    async def scenario():
        async with world(beginning_at(first, split=split)) as here:
            list_one_version(here)
            _, _, body = await resume(here, "r1", last_id=10)
            assert [number for number in ids_of(body) if number <= 10] == []
            assert b"id: " not in body

    run(scenario())


def test_a_stream_is_resumed_at_a_replica_that_begins_at_the_right_event():
    async def scenario():
        ran = []

        async def script(headers, writer, number):
            ran.append(headers[ID])
            first = 10 if len(ran) == 1 else 11
            return await beginning_at(first)(headers, writer, number)

        async with world(script, script) as here:
            list_one_version(here)
            found = await resume(here, "r1", last_id=10)
            assert found == (200, True, events_of(b"v1", 11, 12))
            assert ran == ["r1", "r1"]

    run(scenario())


@pytest.mark.parametrize("prefix", [b"", b": hello\n\n", b"data: no id\n\n", b"event: x\n"])
@pytest.mark.parametrize(("event_id", "last_id"), [(b"11", 10), (b"30", 10), (b"a-1", 10)])
def test_a_resumed_stream_with_any_other_first_event_is_relayed(prefix, event_id, last_id):
    async def scenario():
        body = prefix + b"id: %s\ndata: v1\n\n" % event_id

        async def script(headers, writer, _number):
            writer.write(encode_head(headers[ID], EVENT_STREAM, CHUNKED) + chunk(body) + LAST_CHUNK)
            return True

        async with world(script) as here:
            list_one_version(here)
            assert await resume(here, "r1", last_id=last_id) == (200, True, body)

    run(scenario())


# A first try and the gateway's own retry.


def cut_off_at_first(cut, resets, runs):
    """Return a script whose first run is cut off after some bytes; later runs are complete."""

    async def script(headers, writer, _number):
        runs.append(headers[ID])
        response = whole(headers[ID], b"run %d" % len(runs), 1, 4)
        if len(runs) > 1:
            writer.write(response)
            return True
        writer.write(response[:cut])
        await writer.drain()
        if resets:
            await asyncio.sleep(0.01)
            reset(writer)
        return False

    return script


@pytest.mark.parametrize("resets", [False, True])
def test_a_caller_gets_events_of_one_run_where_the_gateway_tries_again(resets):
    async def scenario():
        response = whole("r1", b"run 1", 1, 4)
        body_begins = response.index(b"\r\n\r\n") + 4
        near_body = range(body_begins - 3, body_begins + 12)
        retried = 0
        for cut in sorted({*range(0, len(response), 9), *near_body, len(response) - 1}):
            runs = []
            script = cut_off_at_first(cut, resets, runs)
            async with world(script, script) as here:
                adopt_versions(here, ("v1", "v2"))
                caller = await here.caller()
                caller.send("resumable", "r1")
                status, is_complete, body = await read_response(caller)
                assert len(runs_of(body)) <= 1, cut
                assert ids_of(body) == [1, 2, 3, 4][: len(ids_of(body))], cut
                if status == 200 and is_complete:
                    assert body == events_of(b"run 2", 1, 4), cut
                    retried += 1
                elif b"run 1" in body:
                    assert runs == ["r1"], cut
        assert retried >= 5

    run(scenario())


# A gateway that was asked to help.


class ScriptedPeer:
    """What takes the place of another gateway: it answers with the bytes of a script."""

    def __init__(self, site, script):
        self._site = site
        self._replica = Replica(script)

    async def __aenter__(self):
        """Have the first gateway of a site ask only this peer."""
        await self._replica.start()
        offer = PeerOffer(f"{LOCAL}:{self._replica.port}", "z1", 0, [], [])
        registry = self._site.gateways[0].peers.registry
        registry._known.clear()
        registry.note_offers([offer], time.monotonic())
        registry.note_offers = lambda _offers, _now_s: None
        return self._replica

    async def __aexit__(self, *_):
        await self._replica.stop()


async def fetch_at(site, number, route, request_id):
    caller = Caller(*await asyncio.open_connection(LOCAL, site.gateways[number].port()))
    caller.send(route, request_id)
    return await read_response(caller)


FRAMINGS = {"chunks": CHUNKED, "length": "Content-Length: 500", "close": "Connection: close"}


@pytest.mark.parametrize("end", ["killed", "reset", "frozen"])
def test_a_stream_is_not_complete_if_the_gateway_that_helps_goes(tmp_path, end):
    async def scenario():
        body = events_of(b"v1", 1, 3)

        async def script(headers, writer, _number):
            framing = FRAMINGS[headers[ID].partition("-")[0]]
            head = encode_head(headers[ID], EVENT_STREAM, framing)
            writer.write(head + (chunk(body) if framing == CHUNKED else body))
            await writer.drain()
            if end == "frozen":
                await asyncio.sleep(10)
            if end == "reset":
                await asyncio.sleep(0.05)
                reset(writer)
            return False

        async with PartitionedSite(tmp_path, gateways=2) as site:
            await lose_links(site, [0])
            async with ScriptedPeer(site, script) as peer:
                requests = [(route, f"{name}-{route}") for route in ROUTES for name in FRAMINGS]
                found = await asyncio.gather(*(fetch_at(site, 0, *item) for item in requests))
                assert [item[:2] for item in found] == [(200, False)] * len(requests)
                for _, _, received in found:
                    assert ids_of(received) == [1, 2, 3][: len(ids_of(received))]
                assert len(peer.requests) == len(requests)

    run_site(scenario())


def test_a_caller_does_not_get_an_event_again_over_a_gateway_that_helps(tmp_path):
    async def scenario():
        async with PartitionedSite(tmp_path, gateways=2) as site:
            await lose_links(site, [0])
            role = site.gateways[0]

            async def answer(_question, _timeout_s):
                return FoundStreamOrigin(None, "")

            role.stream_origins._query = answer
            async with ScriptedPeer(site, beginning_at(10)) as peer:
                caller = Caller(*await asyncio.open_connection(LOCAL, role.port()))
                caller.send("resumable", "r1", headers=resuming("began", last_id=10))
                status, _, body = await read_response(caller)
                assert (status, ids_of(body), len(peer.requests)) == (502, [], 1)

    run_site(scenario())


@pytest.mark.parametrize("events", [0, 2])
def test_a_stream_is_not_complete_if_a_real_gateway_that_helps_is_killed(tmp_path, events):
    async def scenario():
        has_sent = asyncio.Event()
        body = events_of(b"v1", 1, events)

        async def script(headers, writer, _number):
            writer.write(encode_head(headers[ID], EVENT_STREAM, CHUNKED))
            if body:
                writer.write(chunk(body))
            await writer.drain()
            has_sent.set()
            await asyncio.sleep(10)
            return False

        async with PartitionedSite(tmp_path, gateways=2) as site:
            await lose_links(site, [0])
            for replica in site.replicas:
                replica.script = script
            fetching = asyncio.create_task(fetch_at(site, 0, "stream", "r1"))
            await has_sent.wait()
            await asyncio.sleep(0.1)
            site.gateways[1]._running.abort_all()
            status, is_complete, received = await fetching
            assert received == body if events else status != 200
            assert not (status == 200 and is_complete)

    run_site(scenario())


# A caller that does not read.


def large_events(last):
    return b"".join(b"id: %d\ndata: %s\n\n" % (n, LARGE) for n in range(1, last + 1))


async def connect_with_small_buffers(here):
    """Return a caller to which the gateway can send little while it does not read."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
    sock.setblocking(False)
    await asyncio.get_running_loop().sock_connect(sock, (LOCAL, here.role.port()))
    caller = Caller(*await asyncio.open_connection(sock=sock))
    await until(lambda: here.role._running.connections)
    connection = next(iter(here.role._running._connections))
    gateway_socket = connection.transport.get_extra_info("socket")
    gateway_socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL_BUFFER_BYTES)
    return caller, connection


def replica_connections(here):
    return here.role.pool._pools["i-1"].busy


def going_while_unread(framing, how, here_of):
    """Return a script that sends whole events, and goes while its response is not read."""
    body = large_events(UNREAD_EVENTS)

    async def script(headers, writer, _number):
        writer.write(encode_head(headers[ID], EVENT_STREAM, framing))
        writer.write(chunk(body) if framing == CHUNKED else body)
        await until(lambda: all(item.is_paused for item in replica_connections(here_of())))
        if how == "crash":
            await here_of()._replicas[0].crash()
        elif how == "reset":
            reset(writer)
        return False

    return script


@pytest.mark.parametrize(
    ("framing", "how"),
    [
        (CHUNKED, "close"),
        (CHUNKED, "reset"),
        (CHUNKED, "crash"),
        (f"Content-Length: {len(large_events(UNREAD_EVENTS)) + 1}", "close"),
        ("Connection: close", "reset"),
        ("Connection: close", "crash"),
    ],
)
def test_a_stream_that_ends_early_is_not_complete_for_a_caller_that_does_not_read(framing, how):
    async def scenario():
        async with world(going_while_unread(framing, how, lambda: here)) as here:
            caller, _ = await connect_with_small_buffers(here)
            caller.writer.transport.pause_reading()
            caller.send("stream", "r1")
            await until(lambda: here._replicas[0].requests and not here._replicas[0]._writers)
            await asyncio.sleep(0.1)
            assert [item.is_paused for item in replica_connections(here)] == [True]
            caller.writer.transport.resume_reading()
            status, is_complete, body = await read_response(caller)
            assert (status, is_complete) == (200, False)
            assert ids_of(body) == list(range(1, len(ids_of(body)) + 1))

    run(scenario())


def send_by_http_1_0(caller):
    """Send a request of HTTP/1.0, whose response ends with the connection."""
    lines = ["POST /stream/x HTTP/1.0", "Host: h.example", f"{ID}: r1", "Content-Length: 0"]
    caller.writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())


async def send_large_stream(headers, writer, _number):
    writer.write(encode_head(headers[ID], EVENT_STREAM, CHUNKED))
    writer.write(chunk(large_events(LARGE_EVENTS)) + LAST_CHUNK)
    await writer.drain()
    return True


async def read_until_end(reader):
    """Return what is left of a body that its connection ends, and whether it ended cleanly."""
    body = b""
    try:
        async with asyncio.timeout(5):
            while data := await reader.read(65536):
                body += data
    except ConnectionError:
        return body, False
    return body, True


def test_a_response_that_ends_with_its_connection_is_whole_for_a_caller_that_reads_slowly():
    async def scenario():
        async with world(send_large_stream) as here:
            caller = await here.caller()
            send_by_http_1_0(caller)
            await caller.head()
            await asyncio.sleep(0.3)
            body, is_clean = await read_until_end(caller.reader)
            assert is_clean and ids_of(body) == list(range(1, LARGE_EVENTS + 1))

    run(scenario())


def close_as_the_kernel_does(sock):
    """Close the socket of a process that is killed: nothing that it still holds is sent."""
    null = os.open(os.devnull, os.O_RDONLY)
    os.dup2(null, sock.fileno())
    os.close(null)


@pytest.mark.parametrize("end", ["it is not disturbed", "it stops", "it is killed"])
def test_a_response_that_ends_with_its_connection_is_complete_only_if_its_gateway_sent_it(end):
    async def scenario():
        # Less than what has the gateway stop reading from the replica.
        body = b"".join(b"id: %d\ndata: %s\n\n" % (n, LARGE[:9000]) for n in range(1, 7))

        async def script(headers, writer, _number):
            writer.write(encode_head(headers[ID], EVENT_STREAM, CHUNKED) + chunk(body) + LAST_CHUNK)
            return True

        async with world(script) as here:
            caller, connection = await connect_with_small_buffers(here)
            caller.writer.transport.pause_reading()
            send_by_http_1_0(caller)
            await until(lambda: here._replicas[0].requests and not connection.is_busy)
            assert connection.transport.get_write_buffer_size() > 0
            if end == "it stops":
                connection.abort()
            elif end == "it is killed":
                close_as_the_kernel_does(connection.transport.get_extra_info("socket"))
            caller.writer.transport.resume_reading()
            received, is_clean = await read_until_end(caller.reader)
            assert is_clean == received.endswith(body)
            assert is_clean == (end == "it is not disturbed")

    run(scenario())


# A gateway that is told to stop.


def streaming_for(seconds, interval_s=0.1):
    """Return a script that sends an event at a time, and its last one after some seconds."""

    async def script(headers, writer, _number):
        writer.write(encode_head(headers[ID], EVENT_STREAM, CHUNKED))
        for number in range(1, int(seconds / interval_s) + 1):
            writer.write(chunk(events_of(b"v1", number, number)))
            await writer.drain()
            await asyncio.sleep(interval_s)
        writer.write(LAST_CHUNK)
        return True

    return script


@pytest.mark.parametrize("route", ["stream", "resumable"])
@pytest.mark.parametrize(("lasts_s", "expected"), [(1.0, True), (2.9, False)])
def test_a_stream_is_complete_only_if_it_ends_before_its_gateway_stops(route, lasts_s, expected):
    async def scenario():
        async with world(streaming_for(lasts_s)) as here:
            caller = await here.caller()
            caller.send(route, "r1")
            reading = asyncio.create_task(read_response(caller))
            await until(lambda: here._replicas[0].requests)
            await here.role.drain()
            await here.role.stop()
            status, is_complete, body = await reading
            assert (status, is_complete) == (200, expected)
            ids = ids_of(body)
            assert ids == list(range(1, len(ids) + 1))
            assert (len(ids) == round(lasts_s / 0.1)) == expected

    run(scenario())


def test_a_stream_over_a_gateway_that_stops_is_complete_only_if_it_is_whole(tmp_path):
    async def scenario():
        async with PartitionedSite(tmp_path, gateways=2) as site:
            await lose_links(site, [0])
            for replica in site.replicas:
                replica.script = streaming_for(1.0)
            fetching = asyncio.create_task(fetch_at(site, 0, "stream", "r1"))
            await until(lambda: site.gateways[1]._running.exchanges)
            await site.gateways[1].drain()
            await site.gateways[1].stop()
            status, is_complete, body = await fetching
            ids = ids_of(body)
            assert ids == list(range(1, len(ids) + 1))
            assert (status == 200 and is_complete) == (len(ids) == 10)

    run_site(scenario())


# Real processes.


class RecordingReader:
    """Reads a response in chunks, and keeps the last line."""

    def __init__(self, reader):
        self._reader = reader
        self.last_line = b""

    async def readline(self):
        self.last_line = await self._reader.readline()
        return self.last_line

    async def readexactly(self, size):
        return await self._reader.readexactly(size)


class EndCheckingCaller(StreamCaller):
    """Counts the responses that ended as complete although events were missing."""

    early_ends = 0

    async def _read_events(self, reader, attempt):
        recording = RecordingReader(reader)
        await super()._read_events(recording, attempt)
        has_ended = recording.last_line.strip() == b"0"
        self.early_ends += has_ended and not self.is_complete


async def stop_a_gateway(site):
    site.fronts[0].process.terminate()


async def kill_a_gateway(site):
    site.fronts[0].kill()


async def freeze_two_gateways(site):
    for front in site.fronts[:2]:
        front.pause()
    await asyncio.sleep(1.5)
    for front in site.fronts[:2]:
        front.resume()


@pytest.mark.parametrize(
    ("disturb", "breaks_streams"),
    [(stop_a_gateway, True), (kill_a_gateway, True), (freeze_two_gateways, False)],
)
def test_streams_are_in_order_while_gateways_stop_or_stand_still(tmp_path, disturb, breaks_streams):
    async def scenario():
        async with stream_site(tmp_path, ("v1", "v1", "v2", "v2")) as (site, _):
            until_at_s = time.monotonic() + 14.0
            callers = [EndCheckingCaller(number) for number in range(24)]
            following = [
                asyncio.create_task(item.follow(site.fronts, until_at_s)) for item in callers
            ]
            await asyncio.sleep(1.0)
            await disturb(site)
            await asyncio.gather(*following)
        assert sum(caller.early_ends for caller in callers) == 0
        assert [caller.events for caller in callers if not caller.is_in_order] == []
        assert [caller.events for caller in callers if len(caller.versions) > 1] == []
        assert any(caller.is_complete for caller in callers)
        assert any(caller.was_resumed for caller in callers) or not breaks_streams

    asyncio.run(scenario())
