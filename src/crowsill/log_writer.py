"""Writes log lines without ever holding up the event loop.

Lines go into a bounded buffer; a thread writes them out in batches. Whoever reads the output may be
slow or stop reading: then lines are left out, and the next line that gets through says how many.
"""

import atexit
import os
import threading

BUFFER_BYTES = 1024 * 1024
BATCH_S = 0.05
CLOSE_TIMEOUT_S = 0.5


class LogWriter:
    """A bounded buffer in front of a file descriptor.

    Attributes:
        left_out: Lines left out since the writer was made.
    """

    def __init__(self, descriptor: int, buffer_bytes: int = BUFFER_BYTES) -> None:
        """Start to write.

        Args:
            descriptor: Where the lines go.
            buffer_bytes: Bytes that may wait; lines beyond them are left out.
        """
        self._descriptor = descriptor
        self._buffer_bytes = buffer_bytes
        self._lock = threading.Lock()
        self._lines: list[str] = []
        self._waiting_bytes = 0
        self._left_out_now = 0
        self.left_out = 0
        self._filled = threading.Event()
        self._closing = False
        self._thread = threading.Thread(target=self._run, name="log-writer", daemon=True)
        self._thread.start()
        atexit.register(self.close)

    def write(self, line: str) -> None:
        """Take a line; never waits."""
        with self._lock:
            if self._waiting_bytes + len(line) > self._buffer_bytes:
                self.left_out += 1
                self._left_out_now += 1
                return
            self._lines.append(line)
            self._waiting_bytes += len(line)
        if not self._filled.is_set():
            self._filled.set()

    def _take(self) -> str:
        with self._lock:
            if self._left_out_now:
                self._lines.append(f"log_writer left out {self._left_out_now} lines\n")
                self._left_out_now = 0
            text = "".join(self._lines)
            self._lines.clear()
            return text

    def _run(self) -> None:
        while not self._closing:
            self._filled.wait()
            if not self._closing:
                # A moment for more lines, so that many go out with one call.
                threading.Event().wait(BATCH_S)
            self._filled.clear()
            self._write_out(self._take())
        # What came while the last batch was written: the last lines before a process ends tell why.
        self._write_out(self._take())

    def _write_out(self, text: str) -> None:
        data = text.encode("utf-8", "replace")
        try:
            while data:
                data = data[os.write(self._descriptor, data) :]
        except OSError:
            # Nobody reads any more; there is nowhere to say so.
            pass
        with self._lock:
            self._waiting_bytes = max(0, self._waiting_bytes - len(text))

    def close(self) -> None:
        """Write what waits, for a short time at most."""
        self._closing = True
        self._filled.set()
        self._thread.join(CLOSE_TIMEOUT_S)
