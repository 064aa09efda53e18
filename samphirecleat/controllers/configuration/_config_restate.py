"""Decides when a node restates the accepted configuration in the log.

The log keeps records only for a limited time. If the record that put the revision in
force were trimmed, a new node could not tell what is in force; so one node appends
the state again before half of that time has passed. A redundant restatement wastes an
append and changes nothing.
"""

import math
from dataclasses import dataclass
from typing import Final, NamedTuple

from ...config import ConfigState, Restatement, read_record, restatement_from_state
from ...platform import LogBatch

RESTATE_FRACTION: Final = 0.25
RANK_DELAY_FRACTION: Final = 0.05
MAX_RANK_DELAY_S: Final = 10.0
MAX_DELAYED_RANK: Final = 4
NEVER_S: Final = -math.inf


class RecordedState(NamedTuple):
    """What a node knows of the newest record of the accepted state in the log.

    The log gives no times, so ``recorded_at_s`` is a lower bound on this node's clock: the
    start of the last read that found nothing new before the record arrived, or ``NEVER_S``
    if there was none. ``caught_up_since_s`` is when the current run of successful reads
    first found nothing new, ``inf`` while the log is not read to its end.
    """

    recorded_offset: int = -1
    recorded_at_s: float = NEVER_S
    first_kept_offset: int = 0
    caught_up_since_s: float = math.inf
    caught_up_at_s: float = NEVER_S


@dataclass(frozen=True)
class Restate:
    """Append this restatement."""

    restatement: Restatement


@dataclass(frozen=True)
class SkipRestatement:
    """Append nothing now."""


RestateAction = Restate | SkipRestatement


def view_after_batch(
    view: RecordedState, batch: LogBatch, state: ConfigState, sent_at_s: float
) -> RecordedState:
    """Return the view after a read that was sent at ``sent_at_s``.

    ``state`` is the state after the batch was folded.
    """
    view = view._replace(first_kept_offset=batch.first_kept_offset)
    if not batch.records:
        since_s = min(view.caught_up_since_s, sent_at_s)
        return view._replace(caught_up_since_s=since_s, caught_up_at_s=sent_at_s)
    for record in batch.records:
        restated = read_record(record.payload)
        is_restated = isinstance(restated, Restatement) and restated.revision == state.revision
        if record.offset == state.revision or is_restated:
            view = view._replace(recorded_offset=record.offset, recorded_at_s=view.caught_up_at_s)
    return view


def view_after_outage(view: RecordedState) -> RecordedState:
    """Return the view after a failed read."""
    return view._replace(caught_up_since_s=math.inf)


def decide_restatement(
    view: RecordedState,
    state: ConfigState,
    *,
    rank: int,
    jitter: float,
    retention_s: float,
    now_s: float,
) -> RestateAction:
    """Decide whether to restate the accepted state.

    ``rank`` is this node's position in the rendezvous order of the live members and
    ``jitter`` a number from 0.0 to 1.0. The first node restates first; the others follow
    only if they see no restatement. After an outage the delay counts from when the log was
    read to its end, so that not every node appends as soon as the log returns.
    """
    has_no_state = state.folded_to < 0
    if has_no_state or not state.certain or view.caught_up_since_s == math.inf:
        return SkipRestatement()
    rank_delay_s = min(MAX_RANK_DELAY_S, RANK_DELAY_FRACTION * retention_s)
    due_at_s = max(view.recorded_at_s + RESTATE_FRACTION * retention_s, view.caught_up_since_s)
    if view.first_kept_offset > view.recorded_offset:
        due_at_s = view.caught_up_since_s
    if now_s < due_at_s + rank_delay_s * (min(rank, MAX_DELAYED_RANK) + jitter):
        return SkipRestatement()
    return Restate(restatement_from_state(state))
