"""A pure fold from the records of the configuration stream to the state in force.

Every node folds the same records in offset order, so all nodes reach the same state
without coordination. A publication is accepted if its text is valid and its base is
the revision in force at its offset. Its offset becomes the new revision, so revisions
only increase. The publication id does not affect the decision: a publication that is
appended twice is rejected the second time because of its base. A fold that starts late
therefore agrees with one that starts at the first record.

The log trims old records. A fold that missed some records is *uncertain*: it keeps the
revision in force, but decides no publication until a restatement of the accepted
state, from the log or from a peer, covers every missed record.
"""

from collections.abc import Mapping, Sequence
from functools import lru_cache
from typing import Final, NamedTuple

from .._jsonc import DocumentError
from ._check import read_service_text
from ._records import ANY_REVISION, NO_REVISION, LogRecord, Publication, Restatement, read_record
from ._service_text import EMPTY_SERVICE_TEXT, ServiceText

MAX_OUTCOMES: Final = 500
MAX_PENDING_PUBLICATIONS: Final = 100
PARSED_TEXT_CACHE_SIZE: Final = 8
MAX_REASON_CHARACTERS: Final = 2_000


class PublicationOutcome(NamedTuple):
    """Whether one publication was accepted, and the reason if it was rejected."""

    publication_id: str
    offset: int
    accepted: bool
    reason: str


class ConfigState(NamedTuple):
    """The state of a fold after all records up to and including ``folded_to``.

    Some records before ``unread_below`` were trimmed before this fold read them;
    0 means that none were. While the fold is uncertain, publications are queued in
    ``pending``.
    """

    revision: int = NO_REVISION
    text: str = ""
    operator: str = ""
    services: ServiceText = EMPTY_SERVICE_TEXT
    folded_to: int = -1
    unread_below: int = 0
    pending: Sequence[LogRecord] = ()
    outcomes: Mapping[str, PublicationOutcome] = {}

    @property
    def certain(self) -> bool:
        """Whether the revision is known to be the one in force at ``folded_to``."""
        return self.unread_below == 0


def fold_records(
    state: ConfigState, records: Sequence[LogRecord], first_kept_offset: int
) -> ConfigState:
    """Return the state after ``records``, which follow ``state.folded_to``.

    ``first_kept_offset`` is the oldest offset that the log still held when the
    records were read. Records at or before ``state.folded_to`` are ignored, so
    folding the same batch twice has no effect.
    """
    state = _advance_to(state, first_kept_offset)
    for record in records:
        if record.offset > state.folded_to:
            state = _advance_to(state, record.offset)
            state = _fold_record(state, record)._replace(folded_to=record.offset)
    return state


def adopt_peer_state(state: ConfigState, peer: Restatement) -> ConfigState:
    """Return the state after a peer reported the state that it has in force.

    The revision never decreases. If the peer's state does not cover every missed
    record, the fold stays uncertain.
    """
    return _apply_restatement(state, peer)


def restatement_from_state(state: ConfigState) -> Restatement:
    """Return a restatement that covers only the offsets for which ``state`` is certain."""
    covered_to = state.folded_to if state.certain else state.revision
    return Restatement(state.revision, covered_to, state.text, state.operator)


def _advance_to(state: ConfigState, next_offset: int) -> ConfigState:
    """Return the state with ``next_offset`` as the next offset to fold."""
    if next_offset <= state.folded_to + 1:
        return state
    # Records were trimmed before this node read them. One of them may have replaced
    # the revision in force, and accepting a publication based on the old revision
    # would then diverge from the other nodes. Pending publications precede the gap, so
    # the restatement that covers the gap covers them too.
    return state._replace(folded_to=next_offset - 1, unread_below=next_offset, pending=())


def _fold_record(state: ConfigState, record: LogRecord) -> ConfigState:
    match read_record(record.payload):
        case Publication(base=base) as publication if state.certain or base == ANY_REVISION:
            return _decide(state, record.offset, publication)
        case Publication() if len(state.pending) >= MAX_PENDING_PUBLICATIONS:
            # Bounds memory: the pending publications become part of the gap.
            return state._replace(pending=(), unread_below=record.offset + 1)
        case Publication():
            return state._replace(pending=(*state.pending, record))
        case Restatement() as restatement if restatement.covered_to < record.offset:
            return _apply_restatement(state, restatement)
    # Ignores unknown records, and a restatement that covers its own offset or later
    # ones: a correct node never writes one, and applying it would skip the records in
    # between.
    return state


def _decide(state: ConfigState, offset: int, publication: Publication) -> ConfigState:
    if publication.base not in (state.revision, ANY_REVISION):
        in_force = f"revision {state.revision} by {state.operator or 'nobody'}"
        reason = f"made from revision {publication.base}, but {in_force} is in force"
        return _with_outcome(state, publication, offset, accepted=False, reason=reason)
    services = _parse_text(publication.text)
    if isinstance(services, str):
        return _with_outcome(state, publication, offset, accepted=False, reason=services)
    # A publication with ANY_REVISION as its base also makes an uncertain fold certain:
    # every node accepts it, whatever was in force before.
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
        outcomes[publication.publication_id] = PublicationOutcome(
            publication.publication_id, offset, accepted, reason
        )
    while len(outcomes) > MAX_OUTCOMES:
        del outcomes[next(iter(outcomes))]
    return state._replace(outcomes=outcomes)


def _apply_restatement(state: ConfigState, restatement: Restatement) -> ConfigState:
    """Apply a restatement, then decide the pending publications that follow it."""
    covered_to = restatement.covered_to
    if restatement.revision < state.revision:
        return state
    if state.certain and covered_to <= state.folded_to:
        # A certain fold has already decided every record up to covered_to. If the
        # restatement disagrees, the node that wrote it is faulty.
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
    if not state.certain and covered_to < state.unread_below - 1:
        # A missed record after covered_to may have replaced the restated revision,
        # so publications cannot be decided yet.
        return state
    pending = state.pending
    state = state._replace(folded_to=max(state.folded_to, covered_to), unread_below=0, pending=())
    for record in pending:
        if record.offset > covered_to:
            state = _fold_record(state, record)
        else:
            state = _record_covered_publication(state, record, restatement)
    return state


def _record_covered_publication(
    state: ConfigState, record: LogRecord, restatement: Restatement
) -> ConfigState:
    """Record the outcome of a pending publication that ``restatement`` covers."""
    publication = read_record(record.payload)
    if not isinstance(publication, Publication) or record.offset < restatement.revision:
        # Precedes the revision in force: it may have been accepted and then replaced.
        return state
    accepted = record.offset == restatement.revision
    reason = (
        ""
        if accepted
        else f"revision {restatement.revision} by {restatement.operator} remained in force"
    )
    return _with_outcome(state, publication, record.offset, accepted=accepted, reason=reason)


def _read_restated_text(restatement: Restatement) -> ServiceText | None:
    """Return the parsed text, or None if it is invalid and so was never in force."""
    if restatement.revision == NO_REVISION:
        return EMPTY_SERVICE_TEXT
    services = _parse_text(restatement.text)
    return None if isinstance(services, str) else services


@lru_cache(maxsize=PARSED_TEXT_CACHE_SIZE)
def _parse_text(text: str) -> ServiceText | str:
    """Return the parsed text, or the error message if it is invalid.

    Cached, because restatements repeat the same text often.
    """
    try:
        return read_service_text(text)
    except DocumentError as error:
        return str(error)[:MAX_REASON_CHARACTERS]
