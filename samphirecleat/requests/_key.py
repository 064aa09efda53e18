"""Idempotency keys of requests.

A key names the incarnation of a node that is the only one allowed to start the request.
"""

import re
from typing import Final, NamedTuple

from ..errors import ErrorKind, RequestError

_PATTERN: Final = re.compile(
    r"(?P<node_id>[A-Za-z0-9_-]{1,40})\.(?P<incarnation>[0-9a-f]{1,32})"
    r"\.(?P<epoch>\d{1,12})\.(?P<unique>[A-Za-z0-9_-]{1,64})"
)


class RequestKey(NamedTuple):
    """A parsed key; ``epoch`` is a key epoch of the named incarnation."""

    node_id: str
    incarnation: str
    epoch: int
    unique: str

    def __str__(self) -> str:
        """Return the key in the form that callers send; inverse of :func:`parse_key`."""
        return f"{self.node_id}.{self.incarnation}.{self.epoch}.{self.unique}"


def parse_key(text: str) -> RequestKey:
    """Parse a caller's key.

    :raises samphirecleat.errors.RequestError: with KEY_MALFORMED.
    """
    match = _PATTERN.fullmatch(text)
    if match is None:
        raise RequestError(
            ErrorKind.KEY_MALFORMED,
            "a key has the form node.incarnation.epoch.unique;"
            " the first three parts come from /v1/entries",
        )
    return RequestKey(match["node_id"], match["incarnation"], int(match["epoch"]), match["unique"])
