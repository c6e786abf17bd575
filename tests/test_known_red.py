"""The list of tests that are known to be red."""

from tests.conftest import known_red


def test_lines_are_read_and_comments_passed_over():
    text = "# a comment\n\ntests/test_a.py::test_b | the disk | issue 9\n"
    assert known_red(text) == {"tests/test_a.py::test_b": "the disk | issue 9"}
