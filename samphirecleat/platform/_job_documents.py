"""Decodes the batch jobs of trainers into steps, and encodes their results as JSON."""

import re
import time
from base64 import b64decode
from collections.abc import Mapping, Sequence
from typing import Any, Final

import msgspec

from .._decoding import (
    MAX_INTEGER,
    MalformedError,
    check_integer,
    check_text,
    decode_json,
    decoding,
)
from ..durable import ItemSpec, ListedResult, RewardSpec, StepPage, StepRequest
from ..errors import ErrorKind, RequestError
from ._wire_names import IDENTITY_HEADERS, LENGTH_HINT, TOKEN_COUNTS

# These characters would end the header line of an item in a request.
_LINE_CHARACTERS: Final = frozenset("\r\n\0")
_HEADER_NAME: Final = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")


def decode_step(
    step_id: str, host: str, raw_path: str, body: bytes, workspace: str = ""
) -> StepRequest:
    """Return the step that a caller of ``workspace`` submitted.

    :raises RequestError: if the document is malformed; the detail names the invalid item.
    """
    try:
        with decoding(f"job {step_id}"):
            return _decode_step(step_id, host, raw_path, decode_json(body), workspace)
    except MalformedError as error:
        raise RequestError(ErrorKind.MALFORMED, str(error)) from error


def without_identity(step: StepRequest) -> StepRequest:
    """Return a step whose items have no identity headers of their own.

    Where keys are required, only the key of the submission tells who the caller is.
    """
    items = [item._replace(headers=_without_identity(item.headers)) for item in step.items]
    return step._replace(items=items)


def _without_identity(headers: Sequence[tuple[str, str]]) -> Sequence[tuple[str, str]]:
    return [(name, value) for name, value in headers if name.lower() not in IDENTITY_HEADERS]


def _decode_step(
    step_id: str, host: str, raw_path: str, document: Mapping[str, Any], workspace: str
) -> StepRequest:
    rows = document["items"]
    if not isinstance(rows, list) or not rows:
        raise MalformedError("items: expected a non-empty list")
    items = []
    for number, row in enumerate(rows):
        with decoding(f"item {number}"):
            items.append(_decode_item(row))
    if len({item.item_id for item in items}) < len(items):
        raise MalformedError("duplicate item id")
    return StepRequest(
        step_id,
        host,
        raw_path,
        _check_count(document.get("step", 0), "step"),
        str(document.get("model", "")),
        _check_count(document.get("minVersion", 0), "minVersion"),
        _check_count(document.get("targetGroups", len({i.group for i in items})), "targetGroups"),
        int(time.time() * 1000),
        items,
        workspace,
    )


def encode_page(page: StepPage) -> bytes:
    """Return the JSON of a page of results."""
    return msgspec.json.encode(
        {
            "total": page.total,
            # Despite its name, nextToken is the position from which to read on.
            "nextToken": page.next_position,
            "results": [_encode_result(result) for result in page.results],
        }
    )


def _decode_item(row: Mapping[str, Any]) -> ItemSpec:
    headers = [_check_header(name, value) for name, value in row.get("headers", {}).items()]
    by_name = {name.lower(): value for name, value in headers}
    counts = by_name.get(TOKEN_COUNTS.lower(), "").split(",")
    prompt_tokens, max_tokens = (
        (_check_count(counts[0], TOKEN_COUNTS), _check_count(counts[1], TOKEN_COUNTS))
        if len(counts) == 2
        else (0, 0)
    )
    length_hint = by_name.get(LENGTH_HINT.lower(), "")
    return ItemSpec(
        check_text(str(row["id"]), "id"),
        _check_path(row["path"]),
        headers,
        b64decode(row.get("body", ""), validate=True),
        prompt_tokens,
        # Without token counts, an item has only the sum of prompt and answer tokens.
        max_tokens or _check_count(row.get("tokens", 0), "tokens"),
        _parse_length_hint(length_hint),
        str(row.get("group", row["id"])),
        _decode_reward(row.get("scoringEndpoint")),
    )


def _decode_reward(row: Mapping[str, Any] | None) -> RewardSpec | None:
    if row is None:
        return None
    return RewardSpec(
        check_text(str(row["id"]), "id"),
        check_text(str(row["host"]), "host"),
        _check_path(row["path"]),
        b64decode(row.get("body", ""), validate=True),
    )


def _check_count(value: Any, name: str) -> int:
    """Return the integer that ``value`` holds, also as text.

    :raises MalformedError: if it is negative or too large; also what ``int`` raises.
    """
    return check_integer(int(value), name)


def _check_header(name: object, value: object) -> tuple[str, str]:
    """Return the name and the value of an item's header.

    :raises MalformedError: if no request can hold them. The item could never be sent, and would be
        tried until its step ends.
    """
    if not isinstance(name, str) or not _HEADER_NAME.fullmatch(name):
        raise MalformedError(f"header {name!r}: invalid name")
    text = str(value)
    if not _LINE_CHARACTERS.isdisjoint(text):
        raise MalformedError(f"header {name!r}: a line break in the value")
    return name, text


def _check_path(value: object) -> str:
    """Return the path of an item or of its reward call.

    :raises MalformedError: if it is no path. Joined to the address of a target, it would name
        another host.
    """
    path = check_text(value, "path")
    if not path.startswith("/") or not path.isascii() or " " in path:
        raise MalformedError(f"path: expected an encoded path, got {path[:80]!r}")
    return path


def _parse_length_hint(text: str) -> int:
    """Return the whole number of tokens in a hint, 0 if it is no plain decimal number."""
    if not text.isascii() or not text.replace(".", "", 1).isdigit():
        return 0
    return min(MAX_INTEGER, int(text.partition(".")[0] or 0))


def _encode_result(result: ListedResult) -> Mapping[str, Any]:
    item = result.item
    row: dict[str, Any] = {
        "id": item.item_id,
        "state": "completed" if item.completed else "dead",
        "text": result.text,
    }
    if item.completed:
        row["versions"] = list(item.versions)
        row["score"] = item.score
    return row
