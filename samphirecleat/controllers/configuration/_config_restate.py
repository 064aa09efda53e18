"""Decides when a node states the accepted configuration again in the log.

The log keeps records only for a limited time. If the record that put the
revision in force were trimmed, a node that starts could not tell what is in
force; so one node appends the state again before half of that time has passed.
A second restatement is waste and changes nothing.
"""

import math
from dataclasses import dataclass
from typing import Final, NamedTuple

from ...config import ConfigState, Restatement, read_record, state_to_tell
from ...platform import LogBatch

RESTATE_FRACTION: Final = 0.25
STEP_FRACTION: Final = 0.05
LONGEST_STEP_S: Final = 10.0
LAST_RANK: Final = 4
NEVER_S: Final = -math.inf


class StatementView(NamedTuple):
    """What a node knows of the newest statement of its state in the log.

    The log gives no times. ``stated_at_s`` is therefore a lower bound on this
    node's clock: the start of the last read that found nothing new before the
    statement arrived, or ``NEVER_S`` when there was none. ``at_end_since_s`` is
    when the present run of answered reads first found nothing new, ``inf`` while
    the log is not read to its end.
    """

    stated_offset: int = -1
    stated_at_s: float = NEVER_S
    first_kept_offset: int = 0
    at_end_since_s: float = math.inf
    at_end_at_s: float = NEVER_S


@dataclass(frozen=True)
class Restate:
    """Append this restatement."""

    restatement: Restatement


@dataclass(frozen=True)
class LeaveStated:
    """Append nothing now."""


RestateAction = Restate | LeaveStated


def note_batch(
    view: StatementView, batch: LogBatch, state: ConfigState, sent_at_s: float
) -> StatementView:
    """Return the view after a read that was sent at ``sent_at_s``.

    ``state`` is the state after the batch was folded.
    """
    view = view._replace(first_kept_offset=batch.first_kept_offset)
    if not batch.records:
        since_s = min(view.at_end_since_s, sent_at_s)
        return view._replace(at_end_since_s=since_s, at_end_at_s=sent_at_s)
    for record in batch.records:
        restated = read_record(record.payload)
        is_restated = isinstance(restated, Restatement) and restated.revision == state.revision
        if record.offset == state.revision or is_restated:
            view = view._replace(stated_offset=record.offset, stated_at_s=view.at_end_at_s)
    return view


def note_outage(view: StatementView) -> StatementView:
    """Return the view after a read that was not answered."""
    return view._replace(at_end_since_s=math.inf)


def decide_restatement(
    view: StatementView,
    state: ConfigState,
    *,
    rank: int,
    jitter: float,
    retention_s: float,
    now_s: float,
) -> RestateAction:
    """Decide whether to state the accepted state again.

    ``rank`` is this node's place in the rendezvous order of the live members,
    ``jitter`` a number from 0.0 to 1.0. The first node goes first; the others
    come in only if they see no restatement of its. After an outage the time
    counts from when the log was read to its end, so that its return is not met
    by one append of every node.
    """
    nothing_to_state = state.folded_to < 0
    if nothing_to_state or not state.certain or view.at_end_since_s == math.inf:
        return LeaveStated()
    step_s = min(LONGEST_STEP_S, STEP_FRACTION * retention_s)
    due_at_s = max(view.stated_at_s + RESTATE_FRACTION * retention_s, view.at_end_since_s)
    if view.first_kept_offset > view.stated_offset:
        due_at_s = view.at_end_since_s
    if now_s < due_at_s + step_s * (min(rank, LAST_RANK) + jitter):
        return LeaveStated()
    return Restate(state_to_tell(state))
