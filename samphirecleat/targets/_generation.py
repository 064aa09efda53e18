"""Reads the stream of one generation, line by line, and checks that it is whole."""

import json
from typing import Any, Final

from ..requests import AnswerLine, Call, Span
from ._errors import Lost, TargetError

DEFAULT_MAX_TOKENS: Final = 16


def generate_body(call: Call) -> dict[str, Any]:
    """Return the body that asks an engine for a call's generation."""
    return {
        "request_id": call.request_id,
        "prompt": str(call.body.get("prompt", "")),
        "max_tokens": int(call.body.get("max_tokens", DEFAULT_MAX_TOKENS)),
        "priority": call.priority,
    }


class GenerationReader:
    """Turns the lines of an engine's stream into lines of the answer."""

    def __init__(self, target_address: str) -> None:
        """Name the target in the last line."""
        self._target_address = target_address
        self._run_id = ""
        self.tokens = 0
        self.ended = False

    def read(self, raw: bytes) -> AnswerLine | None:
        """Return what a line adds to the answer, None for the line that opens it.

        :raises TargetError: with Lost for a line that is not understood, for a
            stream that ends too early, and for one from which tokens are missing.
        """
        if not raw.endswith(b"\n"):
            raise TargetError(Lost("the stream ended before its last line", connection_closed=True))
        try:
            return self._read(json.loads(raw))
        except (ValueError, KeyError, TypeError, RecursionError) as error:
            raise TargetError(Lost(f"a line is not understood: {error!r}")) from error

    def _read(self, line: dict[str, Any]) -> AnswerLine | None:
        if "run_id" in line:
            self._run_id = str(line["run_id"])
            return None
        if "end" in line:
            return self._read_end(line)
        count = int(line["tokens"])
        version = int(line["version"])
        if count <= 0:
            raise ValueError(f"{count} tokens")
        self.tokens += count
        return {"text": str(line["text"]), "spans": [Span(version, count)]}

    def _read_end(self, line: dict[str, Any]) -> AnswerLine:
        if int(line["tokens"]) != self.tokens:
            raise TargetError(Lost("tokens are missing from the stream"))
        self.ended = True
        return {
            "end": str(line["end"]),
            "run_id": self._run_id,
            "target": self._target_address,
        }
