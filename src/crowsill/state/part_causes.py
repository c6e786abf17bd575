"""Finds the parts of prompts that explain crashes of replicas. Pure.

A part is a candidate if it was running at enough independent crashes. Of several candidates, the
one in the fewest of the prompts that ran at its crashes is the cause: the others are there because
many prompts contain them.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

import msgspec

from crowsill.model.prompt_parts import InterruptedPrompt
from crowsill.model.suspects import SIMULTANEOUS_CRASH_WINDOW_S, is_independent_crash

# A part is quarantined after this many crashes without a response in between.
PART_CRASH_LIMIT = 5
# A crash is not evidence against a part if another suspect was in at most this share as many of the
# prompts that ran at crashes.
RARER_SHARE = 0.5
# A part that causes crashes is there at no less than this share of the crashes in the same time.
# Others are there by chance, and some of them more often than they get a response.
MIN_SHARE_OF_CRASHES = 0.25


class CrashedPrompts(msgspec.Struct, frozen=True, array_like=True):
    """The prompts that ran on a replica when it crashed, with the parts not known to be sound.

    Attributes:
        instance_id: The incarnation that crashed.
        crashed_at_s: Time of the crash, by the record's clock.
        wall_at_s: Wall-clock time of the crash.
        prompts: The prompts.
    """

    instance_id: str
    crashed_at_s: float
    wall_at_s: float
    prompts: list[InterruptedPrompt]


@dataclass(slots=True)
class Runs:
    """The prompts with one part that ran on a replica when it crashed.

    Attributes:
        crashed_at_s: Time of the crash, by the record's clock.
        sent_at_s: Time at which the last of them was sent.
        request_ids: Their requests.
    """

    crashed_at_s: float
    sent_at_s: float = float("-inf")
    request_ids: set[str] = field(default_factory=set)


# Runs by the incarnation that crashed.
RunsByInstance = dict[str, Runs]


def runs_by_part(crashes: Iterable[CrashedPrompts]) -> dict[bytes, RunsByInstance]:
    """Return what ran at crashes, by part.

    >>> prompt = InterruptedPrompt("r", [b"p"], 0.5)
    >>> runs_by_part([CrashedPrompts("i", 2.0, 2.0, [prompt])])[b"p"]["i"].sent_at_s
    1.5
    """
    found: dict[bytes, RunsByInstance] = {}
    for crash in crashes:
        for prompt in crash.prompts:
            for part in prompt.parts:
                runs = found.setdefault(part, {}).setdefault(
                    crash.instance_id, Runs(crash.crashed_at_s)
                )
                runs.sent_at_s = max(runs.sent_at_s, crash.crashed_at_s - prompt.ran_s)
                runs.request_ids.add(prompt.request_id)
    return found


def independent_crashes(runs: RunsByInstance) -> list[str]:
    """Return the incarnations whose crashes count against a part, by time.

    >>> independent_crashes({"a": Runs(1.0, 0.5), "b": Runs(1.1, 0.6), "c": Runs(1.2, 1.05)})
    ['a', 'c']
    """
    counted: list[str] = []
    for instance_id, run in sorted(runs.items(), key=lambda item: item[1].crashed_at_s):
        if counted and not is_independent_crash(
            runs[counted[-1]].crashed_at_s, run.sent_at_s, run.crashed_at_s
        ):
            continue
        counted.append(instance_id)
    return counted


def find_cause(
    crashes: Mapping[str, CrashedPrompts],
    suspects: Iterable[bytes],
    crash_times_s: Iterable[float],
) -> list[bytes]:
    """Return the parts that best explain their crashes; empty if none has enough crashes.

    Args:
        crashes: Crashes that are not explained yet, by incarnation.
        suspects: Parts that were at several of them.
        crash_times_s: Times of all crashes that are not explained yet.
    """
    if len(crashes) < PART_CRASH_LIMIT:
        return []
    all_runs = runs_by_part(crashes.values())
    runs = {part: all_runs[part] for part in suspects if part in all_runs}
    frequency = {part: _prompts_per_crash(found) for part, found in runs.items()}
    times_s = sorted(crash_times_s)
    causes = []
    for part, found in runs.items():
        counted = independent_crashes(found)
        if len(counted) < PART_CRASH_LIMIT or not _is_at_enough(found, counted, times_s):
            continue
        limit = frequency[part] * RARER_SHARE
        rarer = {other for other, prompts in frequency.items() if prompts <= limit}
        unexplained = [item for item in counted if not contains_any(crashes[item], rarer)]
        if len(unexplained) >= PART_CRASH_LIMIT:
            causes.append(part)
    if not causes:
        return []
    cause = min(causes, key=lambda part: (frequency[part], -len(runs[part]), part))
    return sorted(part for part, found in runs.items() if _places(found) == _places(runs[cause]))


def contains_any(crash: CrashedPrompts, parts: set[bytes]) -> bool:
    """Whether a prompt that ran at a crash contains any of these parts."""
    return any(not parts.isdisjoint(prompt.parts) for prompt in crash.prompts)


def contains_all(crash: CrashedPrompts, parts: list[bytes]) -> bool:
    """Whether one prompt that ran at a crash contains all of these parts."""
    return any(set(parts) <= set(prompt.parts) for prompt in crash.prompts)


def _is_at_enough(runs: RunsByInstance, counted: list[str], times_s: list[float]) -> bool:
    """Whether a part is there at a large share of the crashes since its first one."""
    first_s, last_s = runs[counted[0]].crashed_at_s, runs[counted[-1]].crashed_at_s
    crashes, previous_s = 0, float("-inf")
    for at_s in times_s:
        if first_s <= at_s <= last_s and at_s - previous_s >= SIMULTANEOUS_CRASH_WINDOW_S:
            crashes, previous_s = crashes + 1, at_s
    return len(counted) >= MIN_SHARE_OF_CRASHES * crashes


def _prompts_per_crash(runs: RunsByInstance) -> float:
    return sum(len(run.request_ids) for run in runs.values()) / len(runs)


def _places(runs: RunsByInstance) -> dict[str, set[str]]:
    """Return the requests by incarnation."""
    return {instance_id: run.request_ids for instance_id, run in runs.items()}
