"""Common test settings: fixed hypothesis seeds, and tests that are expected to fail.

Each line of KNOWN-RED.txt lists a test as `node id | cause | issue`. A listed test is run and
printed. Its failure does not fail the run, but its success does, so that the list is kept up to
date. A cause that begins with `sometimes` marks a flaky test, which may also succeed.
"""

import gc
from pathlib import Path

import pytest
from hypothesis import settings

settings.register_profile("ci", derandomize=True, deadline=None, print_blob=False)
settings.load_profile("ci")


@pytest.fixture(autouse=True)
def _freeze_what_earlier_tests_left():
    """Keep the garbage collector from pausing this test for what earlier ones left in memory."""
    gc.collect()
    gc.freeze()


@pytest.hookimpl(wrapper=True)
def pytest_runtest_makereport():
    """Make reports without garbage collection.

    A report parses source. If a finalizer fails meanwhile, its traceback parses source as well, and
    Python 3.11 ends the outer parse, and so the test run, with a `SystemError`.
    """
    gc.disable()
    try:
        return (yield)
    finally:
        gc.enable()


KNOWN_RED = Path(__file__).parent.parent / "KNOWN-RED.txt"


def parse_known_red(text):
    """Return the causes of the listed tests by node id."""
    causes = {}
    for line in text.splitlines():
        if line.strip() and not line.startswith("#"):
            node, _, cause = line.partition("|")
            causes[node.strip()] = cause.strip()
    return causes


def known_red_marker(cause):
    """Return the `xfail` marker of a listed test; it is strict unless the test is flaky."""
    return pytest.mark.xfail(reason=cause, strict=not cause.startswith("sometimes"))


def pytest_collection_modifyitems(items):
    causes = parse_known_red(KNOWN_RED.read_text()) if KNOWN_RED.exists() else {}
    for item in items:
        if item.nodeid in causes:
            item.add_marker(known_red_marker(causes[item.nodeid]))
