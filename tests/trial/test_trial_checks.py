"""Each check of a trial detects the violation that it is meant to find."""

import math
from types import SimpleNamespace

import pytest

from samphirecleat.standins import LogAppend, StandInPlainService
from samphirecleat.standins._plain import PlainRun
from samphirecleat.trial._checks import _check_crashes
from samphirecleat.trial._config_checks import check_late, check_reverted, fold_publications
from samphirecleat.trial._records import ConfigObservation, Interval, NodeLifetime


def publication(offset: int, base: int, text: str, at_s: float) -> LogAppend:
    payload = {"type": "publication", "id": f"p{offset}", "base": base, "text": text}
    return LogAppend("config", offset, payload, at_s)


LEDGER = [
    publication(0, -1, "first", 0.0),
    publication(1, 0, "second", 10.0),
    publication(2, 0, "loser of a race", 10.1),
    publication(3, 1, "// invalid on purpose", 11.0),
    publication(4, 1, "third", 20.0),
]


def test_fold_accepts_only_valid_texts_on_base_in_force() -> None:
    assert [accepted.revision for accepted in fold_publications(LEDGER)] == [0, 1, 4]


@pytest.mark.parametrize(
    ("sights", "broken"),
    [
        ([(0, "first"), (1, "second"), (4, "third")], 0),
        ([(1, "second"), (0, "first")], 1),
        ([(2, "loser of a race")], 1),
        ([(1, "first")], 1),
    ],
)
def test_reverted_config_is_detected(sights: list[tuple[int, str]], broken: int) -> None:
    """A node returns to an older text or applies one that was never accepted.

    Callers would then be served by a text that has been replaced.
    """
    seen = [ConfigObservation("i", float(n), rev, text) for n, (rev, text) in enumerate(sights)]
    assert check_reverted(LEDGER, seen).broken == broken


@pytest.mark.parametrize(
    ("in_force_at_s", "outages", "frozen", "broken", "checked"),
    [
        (13.9, [], [], 0, 1),
        (14.1, [], [], 1, 1),
        (18.0, [Interval(9.0, 15.0)], [], 0, 1),
        (19.5, [Interval(9.0, 15.0)], [], 1, 1),
        (18.0, [], [Interval(11.0, 15.0)], 0, 1),
        (99.0, [], [Interval(11.0, math.inf)], 0, 0),
    ],
)
def test_late_config_is_detected(
    in_force_at_s: float,
    outages: list[Interval],
    frozen: list[Interval],
    broken: int,
    checked: int,
) -> None:
    """A node takes longer than 4 s to apply an accepted text.

    Its callers are served by the old text until then. The deadline is extended while
    the log cannot be read or the node is frozen.
    """
    lifetime = NodeLifetime("n1", "i", "127.0.0.1:1", started_at_s=9.0, frozen=frozen)
    sights = [
        ConfigObservation("i", 9.5, 0, "first"),
        ConfigObservation("i", in_force_at_s, 1, "second"),
    ]
    ledger = [publication(1, -1, "second", at_s=10.0)]
    verdict = check_late(ledger, sights, [lifetime], outages, observed_until_s=40.0)
    assert (verdict.broken, verdict.checked) == (broken, checked)


@pytest.mark.parametrize(
    ("runs_s", "ends_s", "broken"),
    [
        ([0.0, 1.0, 2.0, 6.0, 7.0, 8.0], [0.0, 1.0, 2.0], 0),
        ([0.0, 1.0, 2.0, 3.0, 4.0, 4.9, 6.0, 7.0, 8.0], [0.0, 1.0, 2.0], 0),
        ([0.0, 1.0, 2.0, 6.0, 7.0, 8.0, 9.0], [0.0, 1.0, 2.0], 1),
        ([0.0, 1.0, 6.0, 7.0, 8.0, 9.0], [0.0, 1.0], 0),
    ],
    ids=["three more", "before all could know", "four more", "two ends"],
)
def test_request_sent_on_after_crashing_three_targets_is_detected(
    runs_s: list[float], ends_s: list[float], broken: int
) -> None:
    server = StandInPlainService("svc", "z")
    server.runs = [PlainRun("r", "m", "p", at_s) for at_s in runs_s]
    server.ends = [PlainRun("r", "m", "p", at_s) for at_s in ends_s]
    verdict = _check_crashes(SimpleNamespace(plain=[server]))  # type: ignore[arg-type]
    assert (verdict.broken, verdict.checked) == (broken, 1)
