"""Parts of prompts that several requests share, and prompts that were running on crashed replicas.

A part is identified by a keyed digest of its id and the caller's tenant. The last part of a prompt
belongs to a single request or session, so that it identifies no cause that requests share.
"""

import msgspec

# Parts of one prompt that are considered; longer prompts keep their first parts.
MAX_PARTS_PER_PROMPT = 16
# A replica that still writes this long after the first byte of a response has survived the prompt:
# a part crashes a replica as its response begins.
SOUND_AFTER_S = 1.0


class InterruptedPrompt(msgspec.Struct, frozen=True, array_like=True):
    """A prompt that was running on a replica when the replica crashed.

    Attributes:
        request_id: The caller's id of the request.
        parts: Digests of the shared parts of the prompt, in order.
        ran_s: Time from when the request was sent to the crash.
        wrote_s: Time from the first byte of the response to the crash; negative if there was none.
    """

    request_id: str
    parts: list[bytes]
    ran_s: float
    wrote_s: float = -1.0

    @property
    def is_sound(self) -> bool:
        """Whether the replica had been writing the response for too long to crash of the prompt.

        >>> InterruptedPrompt("r", [b"p"], 3.0, 2.0).is_sound
        True
        """
        return self.wrote_s >= SOUND_AFTER_S


def format_parts(parts: list[bytes]) -> str:
    r"""Return digests of parts as logged.

    >>> format_parts([b"\x01", b"\x02"])
    '01/02'
    """
    return "/".join(part.hex() for part in parts)


class PartsState(msgspec.Struct, frozen=True, array_like=True):
    """What gateways know about parts of prompts.

    Attributes:
        suspects: Parts that ran at several crashes; gateways report which of them are sound.
        quarantined: Sets of parts; a prompt that contains all parts of a set is rejected.
    """

    suspects: list[bytes] = []
    quarantined: list[list[bytes]] = []
