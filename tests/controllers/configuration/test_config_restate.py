"""Tests of when the accepted configuration is restated, and by how many nodes."""

import math

import pytest

from samphirecleat.config import (
    ConfigState,
    LogRecord,
    Publication,
    fold_records,
    publication_payload,
    restatement_from_state,
    restatement_payload,
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
UNCERTAIN_STATE = fold_records(STATE, [], 9)
RECENT = RecordedState(
    recorded_offset=0, recorded_at_s=100.0, caught_up_since_s=50.0, caught_up_at_s=340.0
)

CASES = {
    "recent record": (RECENT, STATE, 0, 349.0, False),
    "a quarter of the retention has passed, rank 0": (RECENT, STATE, 0, 350.0, True),
    "a quarter of the retention has passed, rank 1": (RECENT, STATE, 1, 350.0, False),
    "delay of rank 1 has passed": (RECENT, STATE, 1, 360.0, True),
    "delay of the last rank has passed": (RECENT, STATE, 300, 390.0, True),
    "uncertain": (RECENT, UNCERTAIN_STATE, 0, 999.0, False),
    "no configuration": (RECENT, ConfigState(), 0, 999.0, False),
    "log outage": (view_after_outage(RECENT), STATE, 0, 999.0, False),
    "log restored, rank 0": (
        RECENT._replace(caught_up_since_s=5000.0),
        STATE,
        0,
        5000.0,
        True,
    ),
    "log restored, rank 2": (
        RECENT._replace(caught_up_since_s=5000.0),
        STATE,
        2,
        5019.0,
        False,
    ),
    "record trimmed": (
        RECENT._replace(first_kept_offset=1, caught_up_since_s=120.0),
        STATE,
        0,
        120.0,
        True,
    ),
}


@pytest.mark.parametrize("name", CASES)
def test_decide_restatement(name: str) -> None:
    """The log trims the accepted configuration, or returns from an outage without it.

    A new node would then have no configuration and serve no caller; if every node restated
    at once, the log would refuse operators' publications.
    """
    view, state, rank, now_s, expect_restatement = CASES[name]
    action = decide_restatement(
        view, state, rank=rank, jitter=0.0, retention_s=RETENTION_S, now_s=now_s
    )
    assert action == (
        Restate(restatement_from_state(state)) if expect_restatement else SkipRestatement()
    )


@pytest.mark.parametrize("rank", [0, 1, 3, 4, 389])
def test_every_rank_restates_before_half_of_the_retention(rank: int) -> None:
    """All nodes that precede this one in the order have just died."""
    action = decide_restatement(
        RECENT, STATE, rank=rank, jitter=1.0, retention_s=RETENTION_S, now_s=599.0
    )
    assert isinstance(action, Restate)


def test_recorded_at_is_the_last_read_before_the_record() -> None:
    """The log gives no times, so a record first read after an outage may be of any age."""
    empty = LogBatch([], 0, 0)
    stated = LogBatch([RECORD], 0, 1)
    found = view_after_batch(RecordedState(), stated, STATE, sent_at_s=70.0)
    assert found.recorded_at_s == -math.inf
    waited = view_after_batch(RecordedState(), empty, ConfigState(), sent_at_s=60.0)
    seen = view_after_batch(waited, stated, STATE, sent_at_s=62.0)
    assert (seen.recorded_offset, seen.recorded_at_s) == (0, 60.0)
    again = LogRecord(1, restatement_payload(restatement_from_state(STATE)))
    empty_again = view_after_batch(seen, LogBatch([], 0, 1), STATE, sent_at_s=90.0)
    restated = view_after_batch(empty_again, LogBatch([again], 0, 2), STATE, sent_at_s=92.0)
    assert (restated.recorded_offset, restated.recorded_at_s) == (1, 90.0)
