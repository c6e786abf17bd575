"""The list of tests that are known to be red."""

from tests.conftest import known_red, known_red_marker


def test_lines_are_read_and_comments_passed_over():
    text = "# a comment\n\ntests/test_a.py::test_b | the disk | issue 9\n"
    assert known_red(text) == {"tests/test_a.py::test_b": "the disk | issue 9"}


def test_only_a_test_that_fails_sometimes_may_succeed():
    assert known_red_marker("the disk | issue 9").kwargs["strict"]
    assert not known_red_marker("sometimes, 5 of 24 runs | issue 9").kwargs["strict"]
