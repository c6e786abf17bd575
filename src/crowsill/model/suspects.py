"""Suspect requests: requests that were running on replicas that crashed."""

import msgspec

from crowsill.model.prompt_parts import InterruptedPrompt, PartsState, format_parts

# A request is quarantined after this many replicas crashed while they ran it. One crash proves
# nothing: up to a hundred other requests ran on the replica. Two crashes can coincide while another
# request crashes replicas and the requests it interrupted are retried. The requirement allows
# three.
CRASH_LIMIT = 3
# A gateway does not retry a request on its own once this many replicas crashed while they ran it.
RETRY_CRASH_LIMIT = 2
MAX_HOST_AND_PATH_LENGTH = 120
# A failing rack or zone stops its replicas within milliseconds, and gateways detect that within
# 0.25 s, the longest check of a port.
SIMULTANEOUS_CRASH_WINDOW_S = 0.3
# A request that completed within this time is not a suspect: it evidently does not crash the
# replica that runs it. Without this rule, identical requests sent by many callers, which run on
# every replica that crashes, stay quarantined while no replica is left to clear them: a soak test
# of 9 s rejected 57 of them without the rule and none with it. The time is bounded because a new
# version of a service may crash on a request that completed before.
COMPLETION_VALIDITY_S = 60.0


def is_independent_crash(last_crash_at_s: float, sent_at_s: float, crashed_at_s: float) -> bool:
    """Return whether a crash counts against a request in addition to the last counted crash.

    Identical requests of many callers run on several replicas at once. If these replicas crash
    together, that is no evidence against the request. All times are of the same clock.

    Args:
        last_crash_at_s: Time of the last crash that was counted.
        sent_at_s: Time when the request was sent to this replica.
        crashed_at_s: Time of this replica's crash.

    >>> is_independent_crash(5.0, 4.9, 5.1), is_independent_crash(5.0, 5.01, 5.1)
    (False, True)
    >>> is_independent_crash(5.0, 4, 6)
    True
    """
    return (
        sent_at_s >= last_crash_at_s
        or abs(crashed_at_s - last_crash_at_s) >= SIMULTANEOUS_CRASH_WINDOW_S
    )


class SuspectRequest(msgspec.Struct, frozen=True, array_like=True):
    """A request that was running on a replica when the replica crashed.

    Attributes:
        fingerprint: Hash that all attempts of the same request share.
        request_id: The caller's id of this request, for diagnosis.
        host_and_path: Host and path, cut to `MAX_HOST_AND_PATH_LENGTH` characters.
        service: Service of the request.
        ran_s: Time from when the request was sent to the crash.
        known_crashes: Crashes under this request that the gateway knew of when it sent it.
        prompt: Its prompt, if that has shared parts.
    """

    fingerprint: bytes
    request_id: str
    host_and_path: str
    service: str
    ran_s: float
    known_crashes: int = 0
    prompt: InterruptedPrompt | None = None


def fingerprint_list(requests: list[SuspectRequest]) -> str:
    r"""Return the fingerprints of requests as logged.

    >>> fingerprint_list([SuspectRequest(b"\x01", "r1", "h/a", "s", 0.1)])
    '01'
    """
    return ",".join(request.fingerprint.hex() for request in requests)


def parts_list(requests: list[SuspectRequest]) -> str:
    r"""Return the shared parts of the prompts of requests as logged; `-` for none.

    >>> prompt = InterruptedPrompt("r1", [b"\x01"], 0.1)
    >>> request = SuspectRequest(b"\x01", "r1", "h/a", "s", 0.1)
    >>> parts_list([request, msgspec.structs.replace(request, prompt=prompt)])
    '-,01'
    """
    return ",".join(
        "-" if request.prompt is None else format_parts(request.prompt.parts)
        for request in requests
    )


class Suspect(msgspec.Struct, frozen=True, array_like=True):
    """The crash history of one suspect request.

    Attributes:
        request: The attempt during which a replica crashed last.
        crashed_instances: Ids of the incarnations that crashed while they ran the request.
        first_crash_at_s: Wall-clock time of the first crash.
        last_crash_at_s: Wall-clock time of the last crash that was counted.
        ran_s: Time from when the request was sent to each crash, in the order of
            `crashed_instances`.
        excused_instance: Incarnation whose crash is attributed to another request only; empty
            if there is none.
    """

    request: SuspectRequest
    crashed_instances: list[str]
    first_crash_at_s: float
    last_crash_at_s: float
    ran_s: list[float] = []
    excused_instance: str = ""

    @property
    def counted_crashes(self) -> list[str]:
        """Ids of the incarnations whose crash counts against the request."""
        return [item for item in self.crashed_instances if item != self.excused_instance]

    @property
    def is_quarantined(self) -> bool:
        """Whether the request is quarantined."""
        return len(self.counted_crashes) >= CRASH_LIMIT


class SuspectCrashes(msgspec.Struct, frozen=True, array_like=True):
    """Incarnations that crashed under one request; none if it is no longer a suspect."""

    fingerprint: bytes
    crashed_instances: list[str]


class SuspectChange(msgspec.Struct, frozen=True, array_like=True):
    """What one version of the crash record changed.

    Attributes:
        version: Version of the record.
        changed: Requests whose crashes changed.
        parts: What is known about parts of prompts; None if that is unchanged.
    """

    version: int
    changed: list[SuspectCrashes]
    parts: PartsState | None = None
