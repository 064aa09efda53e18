"""The records of the configuration stream, and their payloads in the log."""

from collections.abc import Mapping
from typing import Any, Final, NamedTuple

NO_REVISION: Final = -1
ANY_REVISION: Final = -2
"""A base that accepts whatever is in force: the operator's way out when the
accepted state is lost for good (no node lives and the log has trimmed it)."""


class LogRecord(NamedTuple):
    """One record of a stream of the log."""

    offset: int
    payload: Mapping[str, Any]


class Publication(NamedTuple):
    """An operator's wish to put a text in force in place of revision ``base``."""

    publication_id: str
    base: int
    text: str
    operator: str


class Restatement(NamedTuple):
    """The accepted state, stated again before the log trims it away, or by a peer.

    Every record up to and including ``folded_to`` is taken into account in it.
    """

    revision: int
    folded_to: int
    text: str
    operator: str

    @property
    def covers_to(self) -> int:
        """The last offset that it speaks for.

        At the offset that is its revision's own, that revision was in force for
        certain, also when its writer has missed records since.
        """
        return max(self.revision, self.folded_to)


def read_record(payload: Mapping[str, Any]) -> Publication | Restatement | None:
    """Return the typed record, or None for one that is unknown or malformed."""
    try:
        match payload.get("type"):
            case "publication":
                return Publication(
                    _as_text(payload["id"]),
                    int(payload["base"]),
                    _as_text(payload["text"]),
                    _as_text(payload["operator"]),
                )
            case "restatement":
                return Restatement(
                    int(payload["revision"]),
                    int(payload["folded_to"]),
                    _as_text(payload["text"]),
                    _as_text(payload["operator"]),
                )
    except (AttributeError, KeyError, TypeError, ValueError, OverflowError):
        return None
    return None


def _as_text(value: object) -> str:
    """Return a text that can be passed on; half a surrogate pair raises ValueError."""
    if not isinstance(value, str):
        raise ValueError("a text is expected")
    value.encode()
    return value


def publication_payload(publication: Publication) -> Mapping[str, Any]:
    """Return the log payload of a publication; the inverse of :func:`read_record`."""
    return {
        "type": "publication",
        "id": publication.publication_id,
        "base": publication.base,
        "text": publication.text,
        "operator": publication.operator,
    }


def restatement_payload(restatement: Restatement) -> Mapping[str, Any]:
    """Return the log payload of a restatement; the inverse of :func:`read_record`."""
    return {"type": "restatement", **restatement._asdict()}
