"""The report of request outcomes from saved logs."""

from crowsill_lab.report import plot, read_tries, table

AT = "2026-01-02T03:04:05.678Z INFO"
FINISHED = f"{AT} E202 request_finished wait_ms=5000.0 route=r1"
REFUSED = f"{AT} E201 request_refused route=r1"
LOG = f"""
{FINISHED} request=a status=200 late=False ms=50 node=g
{FINISHED} request=b status=200 late=True ms=900 node=g
{FINISHED} request=c status=500 late=False ms=50 node=g
{REFUSED} request=d may_have_run=False retry_after_s=2.1 wait_ms=5000.0 ms=1
{REFUSED} request=e may_have_run=False retry_after_s=2.3 wait_ms=5000.0 ms=1500
{REFUSED} request=f may_have_run=True retry_after_s= wait_ms=3000.0 ms=1500
{AT} E209 caller_left request=e
a broken line
"""


def test_a_try_counts_by_the_first_line_that_ends_it():
    found = read_tries([LOG])
    lines = table(found).splitlines()
    (tally,) = found.values()
    assert (tally.in_time, tally.late, tally.failed, tally.cancelled) == (1, 1, 2, 0)
    assert (tally.immediate, tally.waits_ms, tally.retry_after_s) == (1, [1500.0], [2.1, 2.3])
    shares = ["0.167", "0.167", "0.333", "0.000", "0.167", "0.167"]
    assert lines[1].split() == ["r1", "6", *shares, "1.50", "1.50", "2.30", "2.30"]


def test_waits_of_rejected_tries_are_plotted():
    assert "up to  2.00 s      1 ########" in plot(read_tries([LOG]))
