"""Logs: a fixed prefix for each part, as lines for people or as JSON."""

import json
import logging
from collections.abc import MutableMapping
from typing import Any, Final

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
