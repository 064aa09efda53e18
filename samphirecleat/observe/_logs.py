"""Logs: a fixed prefix for each part, as lines for people or as JSON."""

import json
import logging
import time
from collections.abc import Callable, MutableMapping
from typing import Any, Final, TextIO

HUMAN_FORMAT: Final = "%(asctime)s %(levelname)s %(name)s %(message)s"


class PrefixedLog(logging.LoggerAdapter[logging.Logger]):
    """Sets the prefix of one part before each of its messages."""

    def __init__(self, logger: logging.Logger, part: str) -> None:
        """Log for ``part``."""
        super().__init__(logger, {"part": part})
        self._part = part

    def process(
        self, msg: Any, kwargs: MutableMapping[str, Any]
    ) -> tuple[Any, MutableMapping[str, Any]]:
        """Put the prefix in front and hand the part to formatters."""
        kwargs["extra"] = {**kwargs.get("extra", {}), "part": self._part}
        return f"[{self._part}] {msg}", kwargs


class JsonFormatter(logging.Formatter):
    """One JSON object a line: time, level, logger, part, message, exception."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the line of a record."""
        row = {
            "time_s": round(record.created, 3),
            "level": record.levelname.lower(),
            "logger": record.name,
            "part": getattr(record, "part", ""),
            "message": record.getMessage(),
        }
        if record.exc_info:
            row["exception"] = self.formatException(record.exc_info)
        return json.dumps(row)


def make_formatter(log_format: str) -> logging.Formatter:
    """Return the formatter of the setting ``log_format``, ``human`` or ``json``."""
    return JsonFormatter() if log_format == "json" else logging.Formatter(HUMAN_FORMAT)


class RateLimitedHandler(logging.StreamHandler[TextIO]):
    """Writes at most ``lines_per_s`` lines; of those beyond, it tells how many there were.

    A fault that every request meets would else write more than the host can carry, and the
    writing itself would slow the answers. The last quarter of the bound is kept for warnings
    and errors, which explain what the plain lines only surround.
    """

    WARNING_SHARE: Final = 0.25

    def __init__(
        self, stream: TextIO, lines_per_s: int, clock: Callable[[], float] = time.monotonic
    ) -> None:
        """Write to ``stream``."""
        super().__init__(stream)
        self._lines_per_s = lines_per_s
        self._clock = clock
        self._left = float(lines_per_s)
        self._filled_at_s = clock()
        self.dropped = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record if the bound allows it."""
        now_s = self._clock()
        self._left = min(
            float(self._lines_per_s), self._left + (now_s - self._filled_at_s) * self._lines_per_s
        )
        self._filled_at_s = now_s
        urgent = record.levelno >= logging.WARNING
        reserve = 0.0 if urgent else self.WARNING_SHARE * self._lines_per_s
        if self._left < reserve + 1.0:
            self.dropped += 1
            return
        self._left -= 1.0
        if self.dropped:
            record.msg = f"{record.msg} (lines dropped before: {self.dropped})"
            self.dropped = 0
        super().emit(record)
