"""Tests of the version in the token stream against the version that a target reports."""

from samphirecleat.blackboard import Blackboard, Identity
from samphirecleat.controllers.weights._streamed_versions import (
    StreamedVersionTracker,
    effective_version,
)
from tests.controllers.weights.weight_views import LATEST, engine


def test_tokens_of_older_version_disprove_reported_version() -> None:
    """Guards against an engine that reports a new version and continues with the old one.

    Its samples would be discarded as stale, and the load would not be ordered again.
    """
    board = Blackboard(Identity("n", "i", "z", "", ""))
    board.targets["a"] = engine("a", LATEST)
    tracker = StreamedVersionTracker(board)
    tracker.record_token("a", LATEST - 1, 10.0)
    assert effective_version(board, board.targets["a"], 10.0) == LATEST
    tracker.record_token("a", LATEST - 1, 12.0)
    assert effective_version(board, board.targets["a"], 12.0) == LATEST - 1
    assert effective_version(board, engine("a", LATEST, instance="a-2"), 12.0) == LATEST
    tracker.record_token("a", LATEST, 13.0)
    assert effective_version(board, board.targets["a"], 13.0) == LATEST
