"""Parses the response stream of one generation and checks that it is complete."""

import json
from typing import Any, Final

from .._decoding import MALFORMED_INPUT_ERRORS
from ..requests import AnswerLine, Call, Span
from ._errors import Lost, TargetError

DEFAULT_MAX_TOKENS: Final = 16


def generate_body(call: Call) -> dict[str, Any]:
    """Return the request body of a call for an engine's generate route."""
    return {
        "request_id": call.request_id,
        "prompt": str(call.body.get("prompt", "")),
        "max_tokens": int(call.body.get("max_tokens", DEFAULT_MAX_TOKENS)),
        "priority": call.priority,
    }


class GenerationReader:
    """Converts the lines of an engine's stream to lines of the answer.

    ``tokens`` counts the tokens so far; ``ended`` is set by the last line.
    """

    def __init__(self, target_address: str) -> None:
        """Add ``target_address`` to the last line of the answer."""
        self._target_address = target_address
        self._run_id = ""
        self.tokens = 0
        self.ended = False

    def read(self, raw: bytes) -> AnswerLine | None:
        """Parse a line; return the line of the answer, or None for the opening line.

        :raises TargetError: with :class:`Lost` for a malformed line, for a stream that ends
            early, and for one whose token count does not match its last line.
        """
        if not raw.endswith(b"\n"):
            raise TargetError(Lost("the stream ended before its last line", connection_closed=True))
        try:
            return self._parse(json.loads(raw))
        except MALFORMED_INPUT_ERRORS as error:
            raise TargetError(Lost(f"a line of the stream is malformed: {error!r}")) from error

    def _parse(self, line: dict[str, Any]) -> AnswerLine | None:
        if "run_id" in line:
            self._run_id = str(line["run_id"])
            return None
        if "end" in line:
            return self._parse_end(line)
        count = int(line["tokens"])
        version = int(line["version"])
        if count <= 0:
            raise ValueError(f"a line has {count} tokens")
        self.tokens += count
        return {"text": str(line["text"]), "spans": [Span(version, count)]}

    def _parse_end(self, line: dict[str, Any]) -> AnswerLine:
        if int(line["tokens"]) != self.tokens:
            raise TargetError(Lost("the token count of the last line does not match the stream"))
        self.ended = True
        return {
            "end": str(line["end"]),
            "run_id": self._run_id,
            "target": self._target_address,
        }
