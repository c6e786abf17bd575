"""The sample by which a gateway tells lost links of its own from failed replicas."""

from random import Random

import pytest

from crowsill.gateway.link_sample import (
    FIRST_SAMPLE,
    FULL_SAMPLE,
    MIN_SAMPLE_INTERVAL_S,
    LinkSamples,
    SampleStep,
)

REPLICAS = 45
RUNS = 20_000


def take_sample(random, failed_share):
    """Take a sample after a failure; return the last step and the rounds of checks it took."""
    samples = LinkSamples()
    assert samples.note_failure("s", "r", 0.0) is SampleStep.FIRST
    others = [f"i-{number}" for number in range(REPLICAS)]
    fails = {name for name in others if random.random() < failed_share}
    random.shuffle(others)
    rounds = [others[:FIRST_SAMPLE], others[FIRST_SAMPLE:FULL_SAMPLE]]
    for number, checked in enumerate(rounds, start=1):
        samples.note_checked("s", checked)
        steps = [samples.note_failure("s", name, 0.2) for name in checked if name in fails]
        if SampleStep.ALL in steps:
            return SampleStep.ALL, number
        if SampleStep.MORE not in steps:
            break
    return SampleStep.NOTHING, number


@pytest.mark.parametrize(("crashed", "at_most"), [(0.0, 0.0), (0.16, 0.025), (0.25, 0.085)])
def test_all_replicas_are_seldom_checked_where_some_have_crashed(crashed, at_most):
    # Two failures within 2 s started checks of all, so every gateway did.
    random = Random(1)
    results = [take_sample(random, crashed)[0] for _ in range(RUNS)]
    assert results.count(SampleStep.ALL) / RUNS <= at_most


@pytest.mark.parametrize(("lost", "found", "at_once"), [(0.9, 0.995, 0.7), (1.0, 1.0, 1.0)])
def test_lost_links_are_found_with_the_first_checks_or_the_next(lost, found, at_once):
    random = Random(2)
    results = [take_sample(random, lost) for _ in range(RUNS)]
    all_checked = [rounds for step, rounds in results if step is SampleStep.ALL]
    assert len(all_checked) / RUNS >= found
    assert all_checked.count(1) / RUNS >= at_once


def test_a_failure_that_is_no_part_of_the_sample_starts_the_next_one_only_later():
    samples = LinkSamples()
    samples.note_failure("s", "a", 1.0)
    samples.note_checked("s", ["b", "c", "d"])
    assert samples.note_failure("s", "x", 1.5) is SampleStep.NOTHING
    assert samples.note_failure("t", "x", 1.5) is SampleStep.FIRST
    assert samples.note_failure("s", "x", 1.0 + MIN_SAMPLE_INTERVAL_S) is SampleStep.FIRST


def test_a_replica_that_is_late_and_then_fails_counts_once():
    samples = LinkSamples()
    samples.note_failure("s", "a", 1.0)
    samples.note_checked("s", ["b", "c", "d"])
    assert samples.note_failure("s", "b", 1.2) is SampleStep.MORE
    samples.note_checked("s", ["e", "f", "g", "h"])
    assert [samples.note_failure("s", "b", 1.5) for _ in range(9)] == [SampleStep.NOTHING] * 9


def test_a_service_with_few_replicas_is_checked_whole():
    samples = LinkSamples()
    samples.note_failure("s", "a", 1.0)
    samples.note_checked("s", ["b"])
    assert samples.note_failure("s", "b", 1.1) is SampleStep.ALL
