"""Decodes the batch jobs of trainers into steps, and encodes their results as JSON."""

import re
import time
from base64 import b64decode
from collections.abc import Mapping
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
from ..serving import CallerLimits
from ._request_headers import ITEM_SYSTEM_HEADERS, client_headers
from ._wire_names import LENGTH_HINT, TOKEN_COUNTS

# No field of an HTTP head may hold these; some of them would end the header's line.
_CONTROL_CHARACTER: Final = re.compile(r"[\x00-\x08\x0a-\x1f\x7f]")
# A header's line has a colon, a blank and a line break beside its name and value.
_HEADER_LINE_BYTES: Final = 4
DEFAULT_MAX_HEADER_BYTES: Final = CallerLimits().header_bytes
_HEADER_NAME: Final = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")


def decode_step(
    step_id: str,
    host: str,
    raw_path: str,
    body: bytes,
    workspace: str = "",
    max_header_bytes: int = DEFAULT_MAX_HEADER_BYTES,
) -> StepRequest:
    """Return the step that a caller of ``workspace`` submitted.

    An item that could not be sent to any engine makes the whole document malformed, also one whose
    path and headers exceed ``max_header_bytes``: it would be tried until its step ends.

    :raises RequestError: if the document is malformed; the detail names the invalid item.
    """
    try:
        with decoding(f"job {step_id}"):
            document = decode_json(body)
            return _decode_step(step_id, host, raw_path, document, workspace, max_header_bytes)
    except MalformedError as error:
        raise RequestError(ErrorKind.MALFORMED, str(error)) from error


def with_client_headers(step: StepRequest, *, hides_identity: bool) -> StepRequest:
    """Return a step whose items have only headers that a client may set.

    The same holds when an item is sent. But during an update of the fleet, a node with an older
    build, which does not check that, may run items that this node accepts.
    With ``hides_identity`` only the key of the submission tells who the caller is.
    """
    items = [
        item._replace(
            headers=client_headers(
                item.headers, hides_identity=hides_identity, dropped=ITEM_SYSTEM_HEADERS
            )
        )
        for item in step.items
    ]
    return step._replace(items=items)


def _decode_step(
    step_id: str,
    host: str,
    raw_path: str,
    document: Mapping[str, Any],
    workspace: str,
    max_header_bytes: int,
) -> StepRequest:
    rows = document["items"]
    if not isinstance(rows, list) or not rows:
        raise MalformedError("items: expected a non-empty list")
    items = []
    for number, row in enumerate(rows):
        with decoding(f"item {number}"):
            items.append(_check_head_size(_decode_item(row), max_header_bytes))
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
        _check_id(str(row["id"])),
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
        _check_id(str(row["id"])),
        check_text(str(row["host"]), "host"),
        _check_path(row["path"]),
        b64decode(row.get("body", ""), validate=True),
    )


def _check_count(value: Any, name: str) -> int:
    """Return the integer that ``value`` holds, also as text.

    :raises MalformedError: if it is negative or too large; also what ``int`` raises.
    """
    return check_integer(int(value), name)


def _check_id(text: str) -> str:
    """Return the id of a request.

    :raises MalformedError: if a target would echo another one, without the blanks around it.
    """
    if text != text.strip():
        raise MalformedError(f"id: blanks around {text[:80]!r}")
    return check_text(text, "id")


def _check_head_size(item: ItemSpec, max_header_bytes: int) -> ItemSpec:
    """Return an item whose path and headers are within the limit for requests.

    :raises MalformedError: if they aren't; engines refuse such a request however often it is sent.
    """
    lines = (len(f"{name}{value}".encode()) + _HEADER_LINE_BYTES for name, value in item.headers)
    size_bytes = len(item.raw_path) + sum(lines)
    if size_bytes > max_header_bytes:
        raise MalformedError(
            f"path and headers of {size_bytes} bytes, at most {max_header_bytes} allowed"
        )
    return item


def _check_header(name: object, value: object) -> tuple[str, str]:
    """Return the name and the value of an item's header.

    :raises MalformedError: if no request can hold them.
    """
    if not isinstance(name, str) or not _HEADER_NAME.fullmatch(name):
        raise MalformedError(f"header {name!r}: invalid name")
    if isinstance(value, bool) or not isinstance(value, str | int | float):
        raise MalformedError(f"header {name!r}: expected text, got {type(value).__name__}")
    text = str(value)
    if _CONTROL_CHARACTER.search(text):
        raise MalformedError(f"header {name!r}: a control character in the value")
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
