"""Decodes the batch jobs of trainers into steps, and encodes their results as JSON."""

import time
from base64 import b64decode
from collections.abc import Mapping
from typing import Any, Final

import msgspec

from ..durable import ItemSpec, ListedResult, RewardSpec, StepPage, StepRequest
from ..errors import ErrorKind, RequestError
from ._answers import RESPONSE_ERRORS
from ._wire_names import LENGTH_HINT, TOKEN_COUNTS

_DECODER: Final = msgspec.json.Decoder()


def decode_step(
    step_id: str, host: str, raw_path: str, body: bytes, workspace: str = ""
) -> StepRequest:
    """Return the step that a caller of ``workspace`` submitted.

    :raises RequestError: if the document is malformed; the detail names the invalid item.
    """
    try:
        document = _DECODER.decode(body)
        item_rows = document["items"]
        if not isinstance(item_rows, list) or not item_rows:
            raise ValueError("items: expected a non-empty list")
    except RESPONSE_ERRORS as error:
        raise RequestError(ErrorKind.MALFORMED, f"job {step_id}: {error!r}") from error
    items = []
    for number, row in enumerate(item_rows):
        try:
            items.append(_decode_item(row))
        except RESPONSE_ERRORS as error:
            detail = f"job {step_id}: item {number}: {error!r}"
            raise RequestError(ErrorKind.MALFORMED, detail) from error
    if len({item.item_id for item in items}) < len(items):
        raise RequestError(ErrorKind.MALFORMED, f"job {step_id}: duplicate item id")
    groups = {item.group for item in items}
    try:
        return StepRequest(
            step_id,
            host,
            raw_path,
            int(document.get("step", 0)),
            str(document.get("model", "")),
            int(document.get("minVersion", 0)),
            int(document.get("targetGroups", len(groups))),
            int(time.time() * 1000),
            items,
            workspace,
        )
    except RESPONSE_ERRORS as error:
        raise RequestError(ErrorKind.MALFORMED, f"job {step_id}: {error!r}") from error


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
    headers = [(str(name), str(value)) for name, value in row.get("headers", {}).items()]
    by_name = {name.lower(): value for name, value in headers}
    counts = by_name.get(TOKEN_COUNTS.lower(), "").split(",")
    prompt_tokens, max_tokens = (int(counts[0]), int(counts[1])) if len(counts) == 2 else (0, 0)
    length_hint = by_name.get(LENGTH_HINT.lower(), "")
    return ItemSpec(
        str(row["id"]),
        str(row["path"]),
        headers,
        b64decode(row.get("body", ""), validate=True),
        prompt_tokens,
        # Without token counts, an item has only the sum of prompt and answer tokens.
        max_tokens or int(row.get("tokens", 0)),
        int(float(length_hint)) if length_hint.replace(".", "", 1).isdigit() else 0,
        str(row.get("group", row["id"])),
        _decode_reward(row.get("scoringEndpoint")),
    )


def _decode_reward(row: Mapping[str, Any] | None) -> RewardSpec | None:
    if row is None:
        return None
    return RewardSpec(
        str(row["id"]),
        str(row["host"]),
        str(row["path"]),
        b64decode(row.get("body", ""), validate=True),
    )


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
