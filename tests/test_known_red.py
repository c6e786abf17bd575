"""KNOWN-RED.txt, the list of tests that are expected to fail."""

from tests.conftest import known_red_marker, parse_known_red


def test_lines_are_parsed_and_comments_ignored():
    text = "# a comment\n\ntests/test_a.py::test_b | the disk | issue 9\n"
    assert parse_known_red(text) == {"tests/test_a.py::test_b": "the disk | issue 9"}


def test_only_flaky_tests_may_succeed():
    assert known_red_marker("the disk | issue 9").kwargs["strict"]
    assert not known_red_marker("sometimes, 5 of 24 runs | issue 9").kwargs["strict"]
