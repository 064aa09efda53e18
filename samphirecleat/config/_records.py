"""The record types of the configuration stream and their log payloads."""

from collections.abc import Mapping
from typing import Any, Final, NamedTuple

from .._decoding import MALFORMED_INPUT_ERRORS

NO_REVISION: Final = -1
ANY_REVISION: Final = -2
"""A base that matches any revision in force. Operators use it to recover when the
accepted state is lost: no node is running and the log has trimmed it."""


class LogRecord(NamedTuple):
    """One record of a log stream."""

    offset: int
    payload: Mapping[str, Any]


class Publication(NamedTuple):
    """An operator's request to replace revision ``base`` with ``text``."""

    publication_id: str
    base: int
    text: str
    operator: str


class Restatement(NamedTuple):
    """The accepted state, repeated in the log before it is trimmed, or sent by a peer.

    It reflects every record up to and including ``folded_to``.
    """

    revision: int
    folded_to: int
    text: str
    operator: str

    @property
    def covered_to(self) -> int:
        """The last offset at which this restatement is known to hold.

        The revision was certainly in force at its own offset, even if the writer has
        missed later records.
        """
        return max(self.revision, self.folded_to)


def read_record(payload: Mapping[str, Any]) -> Publication | Restatement | None:
    """Return the decoded record, or None if its type is unknown or it is malformed."""
    try:
        match payload.get("type"):
            case "publication":
                return Publication(
                    _as_string(payload["id"]),
                    int(payload["base"]),
                    _as_string(payload["text"]),
                    _as_string(payload["operator"]),
                )
            case "restatement":
                return Restatement(
                    int(payload["revision"]),
                    int(payload["folded_to"]),
                    _as_string(payload["text"]),
                    _as_string(payload["operator"]),
                )
    except MALFORMED_INPUT_ERRORS:
        return None
    return None


def _as_string(value: object) -> str:
    """Return ``value`` if it is a string that can be encoded as UTF-8.

    :raises ValueError: for another type or an unpaired surrogate.
    """
    if not isinstance(value, str):
        raise ValueError("expected a string")
    value.encode()
    return value


def publication_payload(publication: Publication) -> Mapping[str, Any]:
    """Return the log payload of a publication, which :func:`read_record` decodes."""
    return {
        "type": "publication",
        "id": publication.publication_id,
        "base": publication.base,
        "text": publication.text,
        "operator": publication.operator,
    }


def restatement_payload(restatement: Restatement) -> Mapping[str, Any]:
    """Return the log payload of a restatement, which :func:`read_record` decodes."""
    return {"type": "restatement", **restatement._asdict()}
