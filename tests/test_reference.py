"""The reference pages match the code."""

from pathlib import Path

from crowsill.errors import ERROR_ANSWERS, ErrorKind, Outcome, Problem
from crowsill.events import Event
from crowsill_lab.reference import errors_page, events_page, metrics_page

DOCS = Path(__file__).parent.parent / "docs"


def test_pages_match_the_code():
    assert (DOCS / "ERRORS.md").read_text() == errors_page()
    assert (DOCS / "EVENTS.md").read_text() == events_page()
    assert (DOCS / "METRICS.md").read_text() == metrics_page()


def test_every_error_kind_has_an_answer_and_event_numbers_are_unique():
    assert set(ERROR_ANSWERS) == set(ErrorKind)
    numbers = [event.value.number for event in Event]
    assert len(set(numbers)) == len(numbers)


def test_a_problem_overrides_the_table():
    problem = Problem(ErrorKind.OVERLOADED, "x", retry_after_s=7, outcome=Outcome.UNKNOWN)
    assert (problem.answer.retry_after_s, problem.answer.outcome) == (7, Outcome.UNKNOWN)
