"""The pure function that turns the log's configuration records into the state in force.

Every node folds the same records in offset order and so agrees without talking
to another. A publication is accepted when its text is valid and its base is the
revision in force at its offset; its own offset is then the new revision, so that
revisions only rise. The publication's id plays no part in the decision (an id
that is appended twice fails by its base), which keeps a fold that starts late in
agreement with one that starts at the first record.

The log trims old records. A fold that missed some is *uncertain*: it keeps its
revision in force, but decides nothing until a statement of the accepted state,
from the log or from a peer, covers every record that it missed.
"""

from collections.abc import Mapping, Sequence
from functools import lru_cache
from typing import Final, NamedTuple

from .._jsonc import DocumentError
from ._check import read_service_text
from ._records import ANY_REVISION, NO_REVISION, LogRecord, Publication, Restatement, read_record
from ._service_text import EMPTY_SERVICE_TEXT, ServiceText

OUTCOMES_KEPT: Final = 500
PENDING_KEPT: Final = 100
TEXTS_KEPT: Final = 8
REASON_CHARACTERS: Final = 2_000


class Outcome(NamedTuple):
    """What became of one publication."""

    publication_id: str
    offset: int
    accepted: bool
    reason: str


class ConfigState(NamedTuple):
    """What a fold knows after all records up to and including ``folded_to``.

    Some records before ``unread_below`` were trimmed before this fold read them;
    0 means that none were. While it is uncertain, publications wait in
    ``pending``.
    """

    revision: int = NO_REVISION
    text: str = ""
    operator: str = ""
    services: ServiceText = EMPTY_SERVICE_TEXT
    folded_to: int = -1
    unread_below: int = 0
    pending: Sequence[LogRecord] = ()
    outcomes: Mapping[str, Outcome] = {}

    @property
    def certain(self) -> bool:
        """Whether the revision is known to be the one in force at ``folded_to``."""
        return self.unread_below == 0


def fold_records(
    state: ConfigState, records: Sequence[LogRecord], first_kept_offset: int
) -> ConfigState:
    """Return the state after ``records``, which follow ``state.folded_to``.

    ``first_kept_offset`` is the oldest offset that the log still held when they
    were read. Records at or before ``state.folded_to`` are passed over, so that a
    batch which is read twice changes nothing.
    """
    state = _skip_to(state, first_kept_offset)
    for record in records:
        if record.offset > state.folded_to:
            state = _skip_to(state, record.offset)
            state = _fold_record(state, record)._replace(folded_to=record.offset)
    return state


def adopt_peer_state(state: ConfigState, peer: Restatement) -> ConfigState:
    """Return the state after a peer told what it has in force.

    The revision never falls, and a state that does not reach the end of the
    records that were missed leaves the fold uncertain.
    """
    return _apply_restatement(state, peer)


def state_to_tell(state: ConfigState) -> Restatement:
    """Return what a node may tell a peer: no more than it knows for certain."""
    covers_to = state.folded_to if state.certain else state.revision
    return Restatement(state.revision, covers_to, state.text, state.operator)


def _skip_to(state: ConfigState, next_offset: int) -> ConfigState:
    """Return the state when the next record to fold is the one at ``next_offset``."""
    if next_offset <= state.folded_to + 1:
        return state
    # Records were trimmed before this node read them. One of them may have
    # replaced the revision in force; accepting a publication on top of the old
    # one would then differ from what the other nodes accepted. What was pending
    # lies before the gap: whatever closes the gap decides it too.
    return state._replace(folded_to=next_offset - 1, unread_below=next_offset, pending=())


def _fold_record(state: ConfigState, record: LogRecord) -> ConfigState:
    match read_record(record.payload):
        case Publication(base=base) as publication if state.certain or base == ANY_REVISION:
            return _decide(state, record.offset, publication)
        case Publication() if len(state.pending) >= PENDING_KEPT:
            # Memory is bounded: the waiting ones become part of the gap.
            return state._replace(pending=(), unread_below=record.offset + 1)
        case Publication():
            return state._replace(pending=(*state.pending, record))
        case Restatement() as restatement if restatement.covers_to < record.offset:
            return _apply_restatement(state, restatement)
    # Unknown, or a restatement of records that come after it: no node with a
    # right fold writes one, and believing it would skip what lies between.
    return state


def _decide(state: ConfigState, offset: int, publication: Publication) -> ConfigState:
    if publication.base not in (state.revision, ANY_REVISION):
        in_force = f"revision {state.revision} by {state.operator or 'nobody'}"
        reason = f"made from revision {publication.base}, but {in_force} is in force"
        return _with_outcome(state, publication, offset, accepted=False, reason=reason)
    services = _check_text(publication.text)
    if isinstance(services, str):
        return _with_outcome(state, publication, offset, accepted=False, reason=services)
    # A publication on any base settles an uncertain fold as well: whatever was
    # in force before it, it is in force now, at every node.
    state = state._replace(
        revision=offset,
        text=publication.text,
        operator=publication.operator,
        services=services,
        unread_below=0,
        pending=(),
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
    """Take over what a restatement adds, then decide what waited behind it."""
    covers_to = restatement.covers_to
    if restatement.revision < state.revision:
        return state
    if state.certain and covers_to <= state.folded_to:
        # A certain fold has decided every record up to covers_to itself. A
        # restatement that disagrees there was written by a node with a fault.
        return state
    services = _read_restated_text(restatement)
    if services is None:
        return state
    state = state._replace(
        revision=restatement.revision,
        text=restatement.text,
        operator=restatement.operator,
        services=services,
    )
    if not state.certain and covers_to < state.unread_below - 1:
        # It was in force once, but a record that this fold missed may have
        # replaced it since: still no ground to decide publications on.
        return state
    pending = state.pending
    state = state._replace(folded_to=max(state.folded_to, covers_to), unread_below=0, pending=())
    for record in pending:
        if record.offset > covers_to:
            state = _fold_record(state, record)
        else:
            state = _record_decided(state, record, restatement)
    return state


def _record_decided(state: ConfigState, record: LogRecord, settled: Restatement) -> ConfigState:
    """Keep the outcome of a publication that others decided before this fold could."""
    publication = read_record(record.payload)
    if not isinstance(publication, Publication) or record.offset < settled.revision:
        # Before the revision in force: it may have been accepted and replaced since.
        return state
    accepted = record.offset == settled.revision
    reason = (
        "" if accepted else f"revision {settled.revision} by {settled.operator} stayed in force"
    )
    return _with_outcome(state, publication, record.offset, accepted=accepted, reason=reason)


def _read_restated_text(restatement: Restatement) -> ServiceText | None:
    """Return the typed text, or None for a text that no publication put in force."""
    if restatement.revision == NO_REVISION:
        return EMPTY_SERVICE_TEXT
    services = _check_text(restatement.text)
    return None if isinstance(services, str) else services


@lru_cache(maxsize=TEXTS_KEPT)
def _check_text(text: str) -> ServiceText | str:
    """Return the typed text, or what is wrong in it; restatements repeat a text often."""
    try:
        return read_service_text(text)
    except DocumentError as error:
        return str(error)[:REASON_CHARACTERS]
