"""The batch jobs of trainers, read into steps, and their results as JSON."""

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
    """Return the step of a submission by a caller of ``workspace``.

    :raises RequestError: when the document is not one, naming the item at fault.
    """
    try:
        document = _DECODER.decode(body)
        rows = document["items"]
        if not isinstance(rows, list) or not rows:
            raise ValueError("items: wants a list that is not empty")
    except RESPONSE_ERRORS as error:
        raise RequestError(ErrorKind.MALFORMED, f"job {step_id}: {error!r}") from error
    items = []
    for number, row in enumerate(rows):
        try:
            items.append(_item(row))
        except RESPONSE_ERRORS as error:
            detail = f"job {step_id}: item {number}: {error!r}"
            raise RequestError(ErrorKind.MALFORMED, detail) from error
    if len({item.item_id for item in items}) < len(items):
        raise RequestError(ErrorKind.MALFORMED, f"job {step_id}: two items with one id")
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
    """Return the JSON of some results."""
    return msgspec.json.encode(
        {
            "total": page.total,
            # Named a token; it is the next position to read.
            "nextToken": page.next_position,
            "results": [_result(result) for result in page.results],
        }
    )


def _item(row: Mapping[str, Any]) -> ItemSpec:
    headers = [(str(name), str(value)) for name, value in row.get("headers", {}).items()]
    named = {name.lower(): value for name, value in headers}
    counts = named.get(TOKEN_COUNTS.lower(), "").split(",")
    prompt, most = (int(counts[0]), int(counts[1])) if len(counts) == 2 else (0, 0)
    hint = named.get(LENGTH_HINT.lower(), "")
    return ItemSpec(
        str(row["id"]),
        str(row["path"]),
        headers,
        b64decode(row.get("body", ""), validate=True),
        prompt,
        # Without counts of its own an item names only the sum of both.
        most or int(row.get("tokens", 0)),
        int(float(hint)) if hint.replace(".", "", 1).isdigit() else 0,
        str(row.get("group", row["id"])),
        _reward(row.get("scoringEndpoint")),
    )


def _reward(row: Mapping[str, Any] | None) -> RewardSpec | None:
    if row is None:
        return None
    return RewardSpec(
        str(row["id"]),
        str(row["host"]),
        str(row["path"]),
        b64decode(row.get("body", ""), validate=True),
    )


def _result(result: ListedResult) -> Mapping[str, Any]:
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
