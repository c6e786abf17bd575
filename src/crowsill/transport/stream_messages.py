"""Messages about what began the streams that callers may resume."""

import msgspec

from crowsill.model.stream_origins import StreamOriginRecord


class StreamOriginsNotice(msgspec.Struct, frozen=True, omit_defaults=True, tag="stream-origins"):
    """What began streams, from a gateway to its member, or from a member to the others.

    Attributes:
        records: The records.
        is_forwarded: Whether a member sends it, so that it is not forwarded again.
    """

    records: list[StreamOriginRecord]
    is_forwarded: bool = False


class FindStreamOrigin(msgspec.Struct, frozen=True, tag="find-stream-origin"):
    """Asks for what began a stream; answered by `FoundStreamOrigin`.

    Attributes:
        key: See `stream_key`; empty if the caller named no request.
        is_forwarded: Whether a member asks, so that no further one is asked.
        service: Service that must have begun the stream if there is no record; empty if there are
            several.
    """

    key: bytes
    is_forwarded: bool = False
    service: str = ""


class FoundStreamOrigin(msgspec.Struct, frozen=True, tag="found-stream-origin"):
    """The response to `FindStreamOrigin`.

    Attributes:
        record: The record; None if no member that was asked has it.
        sole_version: The only software version that replicas of the service ever had; None if there
            were several, or if no leader confirmed it after the question arrived.
        has_several_versions: Whether a leader confirmed that there were several, or none.
        routes_version: Version of the routes that the leader confirmed with it; 0 if none did.
    """

    record: StreamOriginRecord | None
    sole_version: str | None = None
    has_several_versions: bool = False
    routes_version: int = 0

    @property
    def is_known(self) -> bool:
        """Whether it tells what began the stream."""
        return self.record is not None or self.sole_version is not None
