"""Logs are bounded and never hold the process up."""

import os
import select
import threading
import time

from crowsill.log_writer import LogWriter


def read_until(descriptor, wanted):
    """Read until a text has come."""
    found = b""
    while wanted not in found:
        assert select.select([descriptor], [], [], 5.0)[0], f"{wanted!r} did not come"
        found += os.read(descriptor, 65536)
    return found


def test_lines_come_out_whole_and_in_order():
    reading, writing = os.pipe()
    writer = LogWriter(writing)
    for number in range(100):
        writer.write(f"line {number}\n")
    writer.write("end\n")
    found = read_until(reading, b"end\n")
    assert found.decode().split("\n")[:-1] == [f"line {number}" for number in range(100)] + ["end"]
    writer.close()


def test_a_reader_that_stops_holds_nobody_up_and_learns_what_was_left_out():
    reading, writing = os.pipe()
    writer = LogWriter(writing, buffer_bytes=200_000)
    line = "x" * 999 + "\n"
    started_s = time.monotonic()
    for _ in range(2000):
        writer.write(line)
    assert time.monotonic() - started_s < 1.0
    assert writer.dropped_lines >= 1500
    # It reads again: what was kept comes out, and how much was not.
    reader = threading.Thread(target=lambda: found.append(read_until(reading, b"left out")))
    found: list[bytes] = []
    reader.start()
    reader.join(5.0)
    assert found and b"left out" in found[0]
    # Once the writer has noticed that all is out, it takes lines again. A line written in the
    # moment before that may still be left out: this test once waited for such a line for ever.
    deadline_s = time.monotonic() + 5.0
    before = writer.dropped_lines
    writer.write("after\n")
    while writer.dropped_lines != before:
        assert time.monotonic() < deadline_s
        time.sleep(0.01)
        before = writer.dropped_lines
        writer.write("after\n")
    assert b"after" in read_until(reading, b"after\n")
    writer.close()


def test_a_process_ends_though_nobody_reads():
    _reading, writing = os.pipe()
    writer = LogWriter(writing)
    for _ in range(300):
        writer.write("x" * 999 + "\n")
    time.sleep(0.1)
    started_s = time.monotonic()
    writer.close()
    assert time.monotonic() - started_s < 1.0


def test_lines_that_come_as_the_writer_closes_are_written(monkeypatch):
    # The last lines of a process that ended by plan were missing, drain_finished (E102) among them:
    # the writer was closed while its thread wrote out a batch, and the thread looked no further.
    reader, descriptor = os.pipe()
    writer = LogWriter(descriptor)
    write_out = writer._write_all

    def closed_meanwhile(text):
        write_out(text)
        if text == "first\n":
            writer.write("last\n")
            writer._closing = True

    monkeypatch.setattr(writer, "_write_all", closed_meanwhile)
    writer.write("first\n")
    writer._thread.join(5.0)
    writer.close()
    os.close(descriptor)
    with os.fdopen(reader) as output:
        assert output.read() == "first\nlast\n"
