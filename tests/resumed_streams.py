"""Scripted replicas whose events name their version, and requests that resume a stream."""

import time

import msgspec

from crowsill.model.instances import LoadedModel
from crowsill.state.directory import DirectoryChange
from tests.gateway_world import ID, NAMES, STAMP, instance


def events_of(version, first, last):
    return b"".join(b"id: %d\ndata: %s\n\n" % (n, version) for n in range(first, last + 1))


def streaming(version, own_requests=None):
    """Return a script that writes two events after the last one, and breaks off a new stream."""

    async def script(headers, writer, _number):
        last_id = int(headers.get("last-event-id", 0))
        if own_requests is not None:
            own_requests.append(headers[ID])
        head = f"HTTP/1.1 200 OK\r\n{ID}: {headers[ID]}\r\n{STAMP}: s1\r\n"
        head += "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        body = events_of(version, last_id + 1, last_id + 2)
        writer.write(head.encode() + b"%x\r\n%s\r\n" % (len(body), body))
        if last_id:
            writer.write(b"0\r\n\r\n")
        return bool(last_id)

    return script


def answer_by_member(here, answer):
    """Have each question about the origin of a stream answered by a member."""

    async def query(_question, _timeout_s):
        return answer

    here.role.stream_origins._query = query


def adopt_versions(here, versions):
    """List the first replicas of a world with these software versions."""
    listed = [
        msgspec.structs.replace(
            instance(replica, number, models=[LoadedModel("m")]), software_version=version
        )
        for number, (replica, version) in enumerate(
            zip(here._replicas, versions, strict=False), start=1
        )
    ]
    change = DirectoryChange(here.role.registry.version + 1, listed, [])
    here.role._on_directory(here.role.registry.adopt(change, True, time.monotonic()))


def resuming(began, last_id=2):
    return [f"Last-Event-Id: {last_id}", f"{NAMES.resumed_request.decode()}: {began}"]
