"""Structured logs on standard output: one line per event, with number, name and `key=value`."""

import sys
import time
from collections.abc import Callable

from loguru import logger

from crowsill.events import Event
from crowsill.log_writer import LogWriter

_LEVEL_NUMBERS = {"DEBUG": 10, "INFO": 20, "WARNING": 30, "ERROR": 40, "CRITICAL": 50}
_minimum_level = _LEVEL_NUMBERS["INFO"]
# `log_event` formats the timestamp: formatting by loguru takes a fifth of the time of a line.
_FORMAT = "{message}"
_writers: list[LogWriter] = []


def configure_logs(node: str, level: str, sink: Callable[[str], None] | None = None) -> None:
    """Write log lines of at least `level` to standard output, each with the node's name.

    Args:
        node: Name of this process.
        level: Minimum level of the lines that are written.
        sink: Receives each line instead of standard output; used by tests.
    """
    global _minimum_level  # noqa: PLW0603
    _minimum_level = _LEVEL_NUMBERS[level]
    logger.remove()
    target = sink
    if target is None:
        writer = LogWriter(sys.stdout.fileno())
        _writers.append(writer)
        target = writer.write
    # loguru's queue is not used: it needs shared memory, which the platform does not provide.
    logger.add(target, format=_FORMAT + f" node={node}", level=level, colorize=False)


def flush_logs() -> None:
    """Write buffered lines, with a timeout, before the process is terminated by force."""
    for writer in _writers:
        writer.close()


class _Timestamp:
    """The time of day in UTC, formatted once a second."""

    def __init__(self) -> None:
        self._second = -1
        self._text = ""

    def now(self) -> str:
        """Return the time with milliseconds."""
        now_s = time.time()
        second = int(now_s)
        if second != self._second:
            self._second = second
            self._text = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(second))
        return f"{self._text}.{int((now_s - second) * 1000):03d}Z"


_timestamp = _Timestamp()


def _format_value(value: object) -> str:
    text = str(value)
    if any(character in text for character in ' "=\n'):
        escaped = text.replace('"', "'").replace("\n", " ")
        return f'"{escaped}"'
    return text


def log_event(event: Event, **fields: object) -> None:
    """Write one event with its fields, if its level is enabled.

    Args:
        event: The event.
        fields: Fields of the line, in their order.
    """
    definition = event.value
    if _LEVEL_NUMBERS[definition.level] < _minimum_level:
        return
    words = [f"{name}={_format_value(value)}" for name, value in fields.items()]
    head = f"{_timestamp.now()} {definition.level} E{definition.number} {event.name.lower()} "
    logger.log(definition.level, head + " ".join(words))
