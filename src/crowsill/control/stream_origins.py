"""Keeps at a control member what began the streams of all gateways.

The records are in memory only, and every member has them: a gateway sends each record to the member
that it follows, which forwards it to the others. A member that has just started asks the others for
what it does not know.
"""

import asyncio
from collections.abc import Callable, Coroutine, Iterable

from crowsill.clock import monotonic_s
from crowsill.model.stream_origins import StreamOriginRecord, StreamOrigins
from crowsill.transport.member_links import MemberLinks
from crowsill.transport.messages import Body
from crowsill.transport.stream_messages import (
    FindStreamOrigin,
    FoundStreamOrigin,
    StreamOriginsNotice,
)

# Records that arrive within this time share a message to each of the other members.
FORWARD_DELAY_S = 0.02
# Members in touch respond within milliseconds; the caller waits meanwhile.
MEMBER_REPLY_TIMEOUT_S = 0.25
# Time in which the others may report a record before the only version of a service is reported.
RECORD_PRIORITY_S = 0.15


class MemberStreamOrigins:
    """The records of one member."""

    def __init__(
        self, links: MemberLinks, infer: Callable[[str], Coroutine[None, None, FoundStreamOrigin]]
    ) -> None:
        """Create it.

        Args:
            links: The streams to the other members.
            infer: Returns what the versions that replicas of a service ever had, as confirmed after
                the call, tell about a stream without a record.
        """
        self._links = links
        self._infer = infer
        self._origins = StreamOrigins()
        self._to_forward: list[StreamOriginRecord] = []

    def note(self, notice: StreamOriginsNotice) -> None:
        """Record what began streams, and forward what is new to the other members."""
        now_s = monotonic_s()
        new = [record for record in notice.records if self._origins.note(record, now_s)]
        if notice.is_forwarded or not new:
            return
        if not self._to_forward:
            asyncio.get_running_loop().call_later(FORWARD_DELAY_S, self._forward)
        self._to_forward += new

    def _forward(self) -> None:
        records, self._to_forward = self._to_forward, []
        self._links.broadcast(StreamOriginsNotice(records, is_forwarded=True))

    async def find(self, request: FindStreamOrigin) -> FoundStreamOrigin:
        """Return what began a stream, as far as this member or another one knows it."""
        found = self._origins.find(request.key, monotonic_s())
        if found is not None or request.is_forwarded:
            return FoundStreamOrigin(found)
        if not request.service:
            return await self._find_at_others(request.key, MEMBER_REPLY_TIMEOUT_S)
        inferring = asyncio.create_task(self._infer(request.service))
        try:
            # A record prevails: the route may have led to another service when the stream began.
            found_by_others = await self._find_at_others(request.key, RECORD_PRIORITY_S)
            if found_by_others.is_known:
                return found_by_others
            inferred = await inferring
            found = self._origins.find(request.key, monotonic_s())
            return inferred if found is None else FoundStreamOrigin(found)
        finally:
            inferring.cancel()

    async def _find_at_others(self, key: bytes, timeout_s: float) -> FoundStreamOrigin:
        """Return the record that other members have of a stream."""
        if not key:
            return FoundStreamOrigin(None)
        question = FindStreamOrigin(key, is_forwarded=True)
        replies = await self._links.request_all(question, timeout_s)
        # A record may have arrived meanwhile.
        known = [self._origins.find(key, monotonic_s()), *_records_of(replies)]
        for record in known:
            if record is not None:
                self._origins.note(record, monotonic_s())
        return FoundStreamOrigin(self._origins.find(key, monotonic_s()))


def _records_of(replies: Iterable[Body]) -> list[StreamOriginRecord | None]:
    return [reply.record for reply in replies if isinstance(reply, FoundStreamOrigin)]
