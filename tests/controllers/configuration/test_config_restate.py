"""When the accepted configuration is stated again, and by how many nodes."""

import math

import pytest

from samphirecleat.config import (
    ConfigState,
    LogRecord,
    Publication,
    fold_records,
    publication_payload,
    restatement_payload,
    state_to_tell,
)
from samphirecleat.controllers.configuration._config_restate import (
    RecordedState,
    Restate,
    SkipRestatement,
    decide_restatement,
    view_after_batch,
    view_after_outage,
)
from samphirecleat.platform import LogBatch

from ...config.texts import text_of

RETENTION_S = 1000.0
RECORD = LogRecord(0, publication_payload(Publication("p", -1, text_of("asesor"), "ana")))
STATE = fold_records(ConfigState(), [RECORD], 0)
BEHIND_A_GAP = fold_records(STATE, [], 9)
FRESH = RecordedState(
    recorded_offset=0, recorded_at_s=100.0, caught_up_since_s=50.0, caught_up_at_s=340.0
)

CASES = {
    "fresh enough": (FRESH, STATE, 0, 349.0, False),
    "a quarter of the retention has passed": (FRESH, STATE, 0, 350.0, True),
    "another goes first": (FRESH, STATE, 1, 350.0, False),
    "the first did not": (FRESH, STATE, 1, 360.0, True),
    "the last in order, before half": (FRESH, STATE, 300, 390.0, True),
    "uncertain": (FRESH, BEHIND_A_GAP, 0, 999.0, False),
    "nothing read yet": (FRESH, ConfigState(), 0, 999.0, False),
    "the log is out": (view_after_outage(FRESH), STATE, 0, 999.0, False),
    "the log is back after long": (
        FRESH._replace(caught_up_since_s=5000.0),
        STATE,
        0,
        5000.0,
        True,
    ),
    "the log is back, and others go first": (
        FRESH._replace(caught_up_since_s=5000.0),
        STATE,
        2,
        5019.0,
        False,
    ),
    "trimmed past the statement": (
        FRESH._replace(first_kept_offset=1, caught_up_since_s=120.0),
        STATE,
        0,
        120.0,
        True,
    ),
}


@pytest.mark.parametrize("name", CASES)
def test_when_the_state_is_stated_again(name: str) -> None:
    """The log trims the accepted text, or comes back from an outage without it.

    A node that starts then would hold no text and serve nobody; if every node
    restated at once, the log would refuse what operators publish.
    """
    view, state, rank, now_s, restates = CASES[name]
    action = decide_restatement(
        view, state, rank=rank, jitter=0.0, retention_s=RETENTION_S, now_s=now_s
    )
    assert action == (Restate(state_to_tell(state)) if restates else SkipRestatement())


@pytest.mark.parametrize("rank", [0, 1, 3, 4, 389])
def test_every_rank_comes_before_half_of_the_retention(rank: int) -> None:
    """All nodes before this one in the order died just then."""
    action = decide_restatement(
        FRESH, STATE, rank=rank, jitter=1.0, retention_s=RETENTION_S, now_s=599.0
    )
    assert isinstance(action, Restate)


def test_a_statement_is_as_old_as_the_last_read_that_did_not_hold_it() -> None:
    """The log gives no times: a record met after an outage may be of any age."""
    empty = LogBatch([], 0, 0)
    stated = LogBatch([RECORD], 0, 1)
    found = view_after_batch(RecordedState(), stated, STATE, sent_at_s=70.0)
    assert found.recorded_at_s == -math.inf
    waited = view_after_batch(RecordedState(), empty, ConfigState(), sent_at_s=60.0)
    seen = view_after_batch(waited, stated, STATE, sent_at_s=62.0)
    assert (seen.recorded_offset, seen.recorded_at_s) == (0, 60.0)
    again = LogRecord(1, restatement_payload(state_to_tell(STATE)))
    empty_again = view_after_batch(seen, LogBatch([], 0, 1), STATE, sent_at_s=90.0)
    restated = view_after_batch(empty_again, LogBatch([again], 0, 2), STATE, sent_at_s=92.0)
    assert (restated.recorded_offset, restated.recorded_at_s) == (1, 90.0)
