"""From the id of a request to its cause."""

from typer.testing import CliRunner

from crowsill.cli.main import application

LOG = """
2026-01-02T03:04:00.000Z INFO E501 placement_decided replica=i-1 load=n unload=m reason=x node=c
2026-01-02T03:04:05.000Z INFO E207 request_held request=r1 service=s resource=m why=no_model node=g
2026-01-02T03:04:05.010Z INFO E507 placement_deferred service=s resource=m why="busy for 8 s" node=c
2026-01-02T03:04:05.020Z INFO E507 placement_deferred service=s resource=z why=other node=c
2026-01-02T03:04:06.500Z INFO E201 request_refused request=r1 resource=m kind=no_replica node=g
not a log line
"""


def test_a_request_is_shown_with_what_decided_it(tmp_path):
    log = tmp_path / "log"
    log.write_text(LOG)
    shown = CliRunner().invoke(application, ["trace", "r1", str(log)])
    assert shown.exit_code == 0
    assert "unload=m" in shown.output and "busy for 8 s" in shown.output
    assert "resource=z" not in shown.output
    assert shown.output.strip().endswith(
        "E201: A request was rejected; the line gives the error kind."
    )


def test_unknown_requests_and_files_are_said_so(tmp_path):
    log = tmp_path / "log"
    log.write_text(LOG)
    assert CliRunner().invoke(application, ["trace", "r9", str(log)]).exit_code == 1
    assert CliRunner().invoke(application, ["trace", "r1", str(tmp_path / "no")]).exit_code == 1


RESTS = """
2026-01-02T03:04:00.000Z INFO E211 replica_rests replica=i-1 status=503 rest_s=2.0 request=r0 node=g
2026-01-02T03:04:00.100Z INFO E211 replica_rests replica=i-2 status=503 rest_s=2.0 request=r0 node=g
2026-01-02T03:04:01.000Z INFO E201 request_refused request=r1 kind=overloaded \
detail="every replica that could run it asked for rest: i-1 for 1.00 s more" sendings=0 node=g
"""


def test_a_request_that_was_sent_nowhere_is_shown_with_the_word_of_the_replica_that_rests(tmp_path):
    log = tmp_path / "log"
    log.write_text(RESTS)
    shown = CliRunner().invoke(application, ["trace", "r1", str(log)]).output
    assert "E211 replica_rests replica=i-1" in shown and "replica=i-2" not in shown
