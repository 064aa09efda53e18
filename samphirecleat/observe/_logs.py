"""Logging: a prefix for each component, text and JSON formatters, a rate limit."""

import json
import logging
import time
from collections.abc import Callable, MutableMapping
from typing import Any, Final, TextIO

HUMAN_FORMAT: Final = "%(asctime)s %(levelname)s %(name)s %(message)s"


class PrefixedLog(logging.LoggerAdapter[logging.Logger]):
    """Prepends ``[part]`` to each message of one component."""

    def __init__(self, logger: logging.Logger, part: str) -> None:
        """Log to ``logger`` for the component ``part``."""
        super().__init__(logger, {"part": part})
        self._part = part

    def process(
        self, msg: Any, kwargs: MutableMapping[str, Any]
    ) -> tuple[Any, MutableMapping[str, Any]]:
        """Prepend the prefix and pass the part to the formatters as a record attribute."""
        kwargs["extra"] = {**kwargs.get("extra", {}), "part": self._part}
        return f"[{self._part}] {msg}", kwargs


class JsonFormatter(logging.Formatter):
    """Formats a record as one line of JSON.

    The keys are ``time_s``, ``level``, ``logger``, ``part``, ``message`` and, if there
    is one, ``exception``.
    """

    def format(self, record: logging.LogRecord) -> str:
        """Return the JSON line of a record."""
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
    """Return the formatter for the setting ``log_format``: ``human`` or ``json``."""
    return JsonFormatter() if log_format == "json" else logging.Formatter(HUMAN_FORMAT)


class RateLimitedHandler(logging.StreamHandler[TextIO]):
    """Writes at most ``lines_per_s`` lines per second and reports how many it dropped.

    Without the limit, an error that affects every request could log more than the host can
    write, and the writing would slow down the responses. A quarter of the budget is reserved
    for warnings and errors, because they explain what went wrong.
    """

    WARNING_RESERVE_SHARE: Final = 0.25

    def __init__(
        self, stream: TextIO, lines_per_s: int, clock: Callable[[], float] = time.monotonic
    ) -> None:
        """Write to ``stream``; ``clock`` returns monotonic seconds."""
        super().__init__(stream)
        self._lines_per_s = lines_per_s
        self._clock = clock
        self._available_lines = float(lines_per_s)
        self._refilled_at_s = clock()
        self.dropped = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record unless the rate limit is exhausted."""
        now_s = self._clock()
        self._available_lines = min(
            float(self._lines_per_s),
            self._available_lines + (now_s - self._refilled_at_s) * self._lines_per_s,
        )
        self._refilled_at_s = now_s
        is_warning = record.levelno >= logging.WARNING
        reserve = 0.0 if is_warning else self.WARNING_RESERVE_SHARE * self._lines_per_s
        if self._available_lines < reserve + 1.0:
            self.dropped += 1
            return
        self._available_lines -= 1.0
        if self.dropped:
            record.msg = f"{record.msg} (lines dropped before: {self.dropped})"
            self.dropped = 0
        super().emit(record)
