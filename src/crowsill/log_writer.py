"""Writes log lines without blocking the event loop.

Lines go into a bounded buffer, which a thread writes in batches. If the reader of the output is
slow or stops, lines are dropped, and the next line that is written gives their number.
"""

import atexit
import os
import threading

BUFFER_BYTES = 1024 * 1024
BATCH_INTERVAL_S = 0.05
CLOSE_TIMEOUT_S = 0.5


class LogWriter:
    """A bounded buffer in front of a file descriptor.

    Attributes:
        dropped_lines: Number of lines dropped since the writer was created.
    """

    def __init__(self, descriptor: int, buffer_bytes: int = BUFFER_BYTES) -> None:
        """Start the writer thread.

        Args:
            descriptor: File descriptor to write to.
            buffer_bytes: Size of the buffer; lines that do not fit are dropped.
        """
        self._descriptor = descriptor
        self._capacity_bytes = buffer_bytes
        self._lock = threading.Lock()
        self._lines: list[str] = []
        self._buffered_bytes = 0
        self._unreported_dropped_lines = 0
        self.dropped_lines = 0
        self._has_lines = threading.Event()
        self._closing = False
        self._thread = threading.Thread(target=self._run, name="log-writer", daemon=True)
        self._thread.start()
        atexit.register(self.close)

    def write(self, line: str) -> None:
        """Add a line to the buffer without blocking."""
        with self._lock:
            if self._buffered_bytes + len(line) > self._capacity_bytes:
                self.dropped_lines += 1
                self._unreported_dropped_lines += 1
                return
            self._lines.append(line)
            self._buffered_bytes += len(line)
        if not self._has_lines.is_set():
            self._has_lines.set()

    def _drain_buffer(self) -> str:
        with self._lock:
            if self._unreported_dropped_lines:
                self._lines.append(f"log_writer left out {self._unreported_dropped_lines} lines\n")
                self._unreported_dropped_lines = 0
            text = "".join(self._lines)
            self._lines.clear()
            return text

    def _run(self) -> None:
        while not self._closing:
            self._has_lines.wait()
            if not self._closing:
                # Wait for more lines, so that one call writes many.
                threading.Event().wait(BATCH_INTERVAL_S)
            self._has_lines.clear()
            self._write_all(self._drain_buffer())
        # Also write the lines added during the last batch: the last lines before a process ends
        # give the reason.
        self._write_all(self._drain_buffer())

    def _write_all(self, text: str) -> None:
        data = text.encode("utf-8", "replace")
        try:
            while data:
                data = data[os.write(self._descriptor, data) :]
        except OSError:
            # The output is closed, so the error cannot be logged either.
            pass
        with self._lock:
            self._buffered_bytes = max(0, self._buffered_bytes - len(text))

    def close(self) -> None:
        """Write the buffered lines, for at most `CLOSE_TIMEOUT_S`."""
        self._closing = True
        self._has_lines.set()
        self._thread.join(CLOSE_TIMEOUT_S)
