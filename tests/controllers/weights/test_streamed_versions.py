"""What the token stream says of a version against what the target reports."""

from samphirecleat.blackboard import Blackboard, Identity
from samphirecleat.controllers.weights._streamed_versions import StreamedVersions, true_version
from tests.controllers.weights.weight_views import LATEST, engine


def test_a_target_that_streams_older_tokens_than_it_reports_is_not_believed() -> None:
    """An engine says that it loaded a version and goes on with the old one.

    Its samples would be thrown away as stale, and nobody would order the load again.
    """
    board = Blackboard(Identity("n", "i", "z", "", ""))
    board.targets["a"] = engine("a", LATEST)
    streamed = StreamedVersions(board)
    streamed.note("a", LATEST - 1, 10.0)
    assert true_version(board, board.targets["a"], 10.0) == LATEST
    streamed.note("a", LATEST - 1, 12.0)
    assert true_version(board, board.targets["a"], 12.0) == LATEST - 1
    assert true_version(board, engine("a", LATEST, instance="a-2"), 12.0) == LATEST
    streamed.note("a", LATEST, 13.0)
    assert true_version(board, board.targets["a"], 13.0) == LATEST
