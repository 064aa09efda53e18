"""Decides which headers of a client reach a target, for calls, streams and items alike.

A target trusts the headers that only the system sets, and its HTTP server the ones that frame a
request. A client that could set them would hide a second request in a body, or use the memory,
the priority or the name of another client.
"""

from collections.abc import Iterable, Sequence, Set
from typing import Final

from ._wire_names import (
    DEADLINE_MS,
    EXPECT_INSTANCE,
    EXPECT_VERSION,
    HOLD,
    IDENTITY_HEADERS,
    KV_BACKUP,
    KV_FETCH,
    KV_FROM,
    LAST_EVENT_ID,
    PIN_MS,
    REQUEST_ID,
    REQUEST_PRIORITY,
)

Headers = Sequence[tuple[str, str]]

# Headers that apply to a single connection (RFC 9110, 7.6.1) and are never forwarded. HTTP clients
# and servers set those that they need themselves.
CONNECTION_HEADERS: Final = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "expect",
    }
)
# Headers with which the system tells a target what to run, for how long, and with which memory.
SYSTEM_HEADERS: Final = frozenset(
    name.lower()
    for name in (
        "Host",
        REQUEST_ID,
        DEADLINE_MS,
        EXPECT_INSTANCE,
        EXPECT_VERSION,
        REQUEST_PRIORITY,
        HOLD,
        PIN_MS,
        KV_FETCH,
        KV_FROM,
        KV_BACKUP,
    )
)
# The system decides after which event the run of a stream or an item begins.
STREAM_SYSTEM_HEADERS: Final = frozenset({LAST_EVENT_ID.lower()})
# The system reads the text of an item itself, and reads no encoded answers.
ITEM_SYSTEM_HEADERS: Final = STREAM_SYSTEM_HEADERS | {"accept-encoding"}
NO_MORE_HEADERS: Final[Set[str]] = frozenset()


def canonical_name(name: str) -> str:
    """Return a header's name in lower case, with hyphens.

    Many servers pass ``X_Tenant`` on to their application under the same name as ``X-Tenant``.
    """
    return name.lower().replace("_", "-")


def client_headers(
    headers: Headers, *, hides_identity: bool, dropped: Set[str] = NO_MORE_HEADERS
) -> list[tuple[str, str]]:
    """Return those headers of a client that its target receives.

    With ``hides_identity`` these leave out the headers by which the client identified itself.
    ``dropped`` holds the canonical names of further headers that are left out.
    """
    left_out = CONNECTION_HEADERS | SYSTEM_HEADERS | dropped | _names_in_connection(headers)
    if hides_identity:
        left_out |= IDENTITY_HEADERS
    return [(name, value) for name, value in headers if canonical_name(name) not in left_out]


def without_identity(headers: Iterable[tuple[str, str]]) -> list[tuple[str, str]]:
    """Return the headers of a client without those by which it identifies itself."""
    return [row for row in headers if canonical_name(row[0]) not in IDENTITY_HEADERS]


def _names_in_connection(headers: Headers) -> Set[str]:
    """Return the names that a ``Connection`` header lists as applying to one connection only."""
    return {
        canonical_name(name.strip())
        for key, value in headers
        if canonical_name(key) == "connection"
        for name in value.split(",")
    }
