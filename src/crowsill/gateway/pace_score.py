"""What the score of a replica counts more, or less, because of its pace. Pure.

Each replica takes part in choices with a chance in proportion to its speed, so the longer time at a
slow one that is idle does not count again. What counts is that a response there is near its target
or beyond, and that a prompt more makes the streams there pause too long.
"""

from crowsill.gateway.replica_registry import ReplicaRecord
from crowsill.gateway.selection_limits import SelectionLimits
from crowsill.routing.engine_latency import INITIAL_OUTPUT_MS

# Share of a target beyond which time counts more: noise that nobody has reported yet may lengthen
# it 2.5 times.
TARGET_MARGIN = 0.4
# Weights of the time beyond this share.
LATE_WEIGHT = 1.0
PAUSE_WEIGHT = 2.0
# Tokens of prompts that an engine reads in one step, and the time of each stream in it.
STEP_TOKENS = 2048
STREAM_STEP_MS = 0.05


def idle_difference_ms(record: ReplicaRecord, idle_ms: float, now_s: float) -> float:
    """Return what an idle replica of usual pace takes longer than this one; negative if less.

    Args:
        record: The replica.
        idle_ms: Time that an idle replica of usual pace takes.
        now_s: Current monotonic time.
    """
    return idle_ms * (1.0 - record.pace.factor(now_s))


def late_ms(expected_ms: float, limits: SelectionLimits) -> float:
    """Return the weighted time by which a response is near its target or late."""
    return LATE_WEIGHT * max(0.0, expected_ms - TARGET_MARGIN * limits.target_ms)


def pause_ms(
    record: ReplicaRecord, model: str, unread: int, limits: SelectionLimits, now_s: float
) -> float:
    """Return the weighted time by which streams there are expected to pause too long.

    An engine makes no events while it reads prompts, up to `STEP_TOKENS` at a time.

    Args:
        record: The engine.
        model: Model of the request.
        unread: Tokens of the request's prompt that the engine has not read.
        limits: Bounds and inputs of the choice.
        now_s: Current monotonic time.
    """
    if not limits.target_gap_ms:
        return 0.0
    unread_tokens = unread + record.pending_prompt_tokens + record.peer_prompt_tokens(now_s)
    step_ms = limits.latency_model.prefill_ms(model, int(min(unread_tokens, STEP_TOKENS)))
    streams = record.in_flight + record.peer_requests(now_s)
    step_ms += INITIAL_OUTPUT_MS + STREAM_STEP_MS * streams
    gap_ms = step_ms * record.pace.factor(now_s)
    return PAUSE_WEIGHT * max(0.0, gap_ms - TARGET_MARGIN * limits.target_gap_ms)
