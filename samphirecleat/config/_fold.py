"""The pure function that turns the log's configuration records into the state in force.

Every node folds the same records in offset order and so agrees without talking
to another. A publication is accepted when its text is valid and its base is the
revision in force at its offset; its own offset is then the new revision, so that
revisions only rise. The publication's id plays no part in the decision (an id
that is appended twice fails by its base), which keeps a fold that starts late in
agreement with one that starts at the first record.
"""

from collections.abc import Mapping, Sequence
from typing import Any, Final, NamedTuple

from .._jsonc import DocumentError
from ._check import read_service_text
from ._service_text import EMPTY_SERVICE_TEXT, ServiceText

NO_REVISION: Final = -1
OUTCOMES_KEPT: Final = 500


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
    """The accepted state, appended again before the log trims it away.

    It covers every record up to and including ``folded_to``.
    """

    revision: int
    folded_to: int
    text: str
    operator: str


class Outcome(NamedTuple):
    """What became of one publication."""

    publication_id: str
    offset: int
    accepted: bool
    reason: str


class ConfigState(NamedTuple):
    """What a fold knows.

    ``certain`` is false while records may have been trimmed before they were
    read: the text stays in force, but publications wait in ``pending`` until a
    restatement or a peer says what was in force before them.
    """

    revision: int = NO_REVISION
    text: str = ""
    operator: str = ""
    services: ServiceText = EMPTY_SERVICE_TEXT
    folded_to: int = -1
    certain: bool = False
    pending: Sequence[LogRecord] = ()
    outcomes: Mapping[str, Outcome] = {}


def fold_records(
    state: ConfigState, records: Sequence[LogRecord], first_kept_offset: int
) -> ConfigState:
    """Return the state after ``records``, which follow ``state.folded_to``.

    ``first_kept_offset`` is the oldest offset that the log still held when they
    were read. Records at or before ``state.folded_to`` are passed over, so that a
    batch which is read twice changes nothing.
    """
    if first_kept_offset > state.folded_to + 1:
        # Records were trimmed before this node read them. One of them may have
        # replaced the revision in force; accepting a publication on top of the
        # old one would then differ from what the other nodes accepted.
        state = state._replace(certain=False)
    elif state.folded_to < 0:
        state = state._replace(certain=True)
    for record in records:
        if record.offset > state.folded_to:
            state = _fold_record(state, record)._replace(folded_to=record.offset)
    return state


def adopt_peer_state(state: ConfigState, peer: Restatement) -> ConfigState:
    """Return the state after a peer told what it has in force.

    Only a peer that has folded further than this node's last certain point
    changes anything, and the revision never falls.
    """
    if peer.revision < state.revision:
        return state
    if state.certain and peer.folded_to <= state.folded_to:
        return state
    return _apply_restatement(state, peer)


def read_record(payload: Mapping[str, Any]) -> Publication | Restatement | None:
    """Return the typed record, or None for one that this version does not know."""
    try:
        match payload.get("type"):
            case "publication":
                return Publication(
                    str(payload["id"]),
                    int(payload["base"]),
                    str(payload["text"]),
                    str(payload["operator"]),
                )
            case "restatement":
                return Restatement(
                    int(payload["revision"]),
                    int(payload["folded_to"]),
                    str(payload["text"]),
                    str(payload["operator"]),
                )
    except (KeyError, TypeError, ValueError):
        return None
    return None


def publication_payload(publication: Publication) -> Mapping[str, Any]:
    """Return the log payload of a publication; the inverse of :func:`read_record`."""
    return {
        "type": "publication",
        "id": publication.publication_id,
        "base": publication.base,
        "text": publication.text,
        "operator": publication.operator,
    }


def restatement_payload(state: ConfigState) -> Mapping[str, Any]:
    """Return the log payload that states ``state`` again under its revision."""
    return {
        "type": "restatement",
        "revision": state.revision,
        "folded_to": state.folded_to,
        "text": state.text,
        "operator": state.operator,
    }


def _fold_record(state: ConfigState, record: LogRecord) -> ConfigState:
    match read_record(record.payload):
        case Publication() as publication if state.certain:
            return _decide(state, record.offset, publication)
        case Publication():
            return state._replace(pending=(*state.pending, record))
        case Restatement() as restatement:
            return _apply_restatement(state, restatement)
    return state


def _decide(state: ConfigState, offset: int, publication: Publication) -> ConfigState:
    if publication.base != state.revision:
        in_force = f"revision {state.revision} by {state.operator or 'nobody'}"
        reason = f"made from revision {publication.base}, but {in_force} is in force"
        return _with_outcome(state, publication, offset, accepted=False, reason=reason)
    try:
        services = read_service_text(publication.text)
    except DocumentError as error:
        return _with_outcome(state, publication, offset, accepted=False, reason=str(error))
    state = state._replace(
        revision=offset,
        text=publication.text,
        operator=publication.operator,
        services=services,
    )
    return _with_outcome(state, publication, offset, accepted=True, reason="")


def _with_outcome(
    state: ConfigState, publication: Publication, offset: int, *, accepted: bool, reason: str
) -> ConfigState:
    outcomes = dict(state.outcomes)
    known = outcomes.get(publication.publication_id)
    if known is None or (accepted and not known.accepted):
        outcomes[publication.publication_id] = Outcome(
            publication.publication_id, offset, accepted, reason
        )
    while len(outcomes) > OUTCOMES_KEPT:
        del outcomes[next(iter(outcomes))]
    return state._replace(outcomes=outcomes)


def _apply_restatement(state: ConfigState, restatement: Restatement) -> ConfigState:
    """Take over a restated revision, then decide what waited behind it."""
    if restatement.revision < state.revision or (
        state.certain and restatement.revision == state.revision
    ):
        return state
    if state.certain and restatement.folded_to <= state.folded_to:
        # A certain fold has decided every record up to folded_to itself. A
        # restatement that disagrees there was written by a node with a fault.
        return state
    try:
        services = read_service_text(restatement.text)
    except DocumentError:
        return state
    pending = [record for record in state.pending if record.offset > restatement.folded_to]
    state = state._replace(
        revision=restatement.revision,
        text=restatement.text,
        operator=restatement.operator,
        services=services,
        folded_to=max(state.folded_to, restatement.folded_to),
        certain=True,
        pending=(),
    )
    for record in pending:
        state = _fold_record(state, record)
    return state
