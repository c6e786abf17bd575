"""The log buffer is bounded, and writing to it never blocks the process."""

import os
import select
import threading
import time

from crowsill.log_writer import LogWriter


def read_until(descriptor, text):
    """Read until `text` has arrived; return everything that was read."""
    found = b""
    while text not in found:
        assert select.select([descriptor], [], [], 5.0)[0], f"{text!r} did not arrive"
        found += os.read(descriptor, 65536)
    return found


def test_lines_are_written_completely_and_in_order():
    read_end, write_end = os.pipe()
    writer = LogWriter(write_end)
    for number in range(100):
        writer.write(f"line {number}\n")
    writer.write("end\n")
    found = read_until(read_end, b"end\n")
    assert found.decode().split("\n")[:-1] == [f"line {number}" for number in range(100)] + ["end"]
    writer.close()


def test_a_stopped_reader_does_not_block_and_later_reads_how_many_lines_were_dropped():
    read_end, write_end = os.pipe()
    writer = LogWriter(write_end, buffer_bytes=200_000)
    line = "x" * 999 + "\n"
    started_s = time.monotonic()
    for _ in range(2000):
        writer.write(line)
    assert time.monotonic() - started_s < 1.0
    assert writer.dropped_lines >= 1500
    # Once the reader resumes, it receives the buffered lines and the number of dropped lines.
    reader = threading.Thread(target=lambda: found.append(read_until(read_end, b"left out")))
    found: list[bytes] = []
    reader.start()
    reader.join(5.0)
    assert found and b"left out" in found[0]
    # The writer accepts lines again once it has noticed that its buffer is empty. A line written
    # just before may still be dropped; waiting for such a line would never end.
    deadline_s = time.monotonic() + 5.0
    before = writer.dropped_lines
    writer.write("after\n")
    while writer.dropped_lines != before:
        assert time.monotonic() < deadline_s
        time.sleep(0.01)
        before = writer.dropped_lines
        writer.write("after\n")
    assert b"after" in read_until(read_end, b"after\n")
    writer.close()


def test_closing_does_not_wait_for_a_stopped_reader():
    _read_end, write_end = os.pipe()
    writer = LogWriter(write_end)
    for _ in range(300):
        writer.write("x" * 999 + "\n")
    time.sleep(0.1)
    started_s = time.monotonic()
    writer.close()
    assert time.monotonic() - started_s < 1.0


def test_lines_that_come_as_the_writer_closes_are_written(monkeypatch):
    # A writer that is closed while its thread writes a batch must still write later lines; else the
    # last lines of a process that stops are missing, such as drain_finished (E102).
    reader, descriptor = os.pipe()
    writer = LogWriter(descriptor)
    write_out = writer._write_all

    def write_out_and_close(text):
        write_out(text)
        if text == "first\n":
            writer.write("last\n")
            writer._closing = True

    monkeypatch.setattr(writer, "_write_all", write_out_and_close)
    writer.write("first\n")
    writer._thread.join(5.0)
    writer.close()
    os.close(descriptor)
    with os.fdopen(reader) as output:
        assert output.read() == "first\nlast\n"
