"""Decisions depend on what is observed, never on whose deployment it is or on what plays it."""

import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent / "samphirecleat"
# Tools that play deployments of their own; no daemon imports them.
TOOLS = {"bench", "trial", "standins"}
NAMES = re.compile(
    r"aromos|cotiza|lavadero|lns.?cleat|gpcsa|macon|atlanta|athens|fleetbench"
    r"|caption|balloon|dialect|strip.?(packet|wire)|panel.?lm|quiet-\d|trouble-\d|scale-\d",
    re.IGNORECASE,
)
SOURCES = [
    path for path in sorted(ROOT.rglob("*.py")) if path.relative_to(ROOT).parts[0] not in TOOLS
]


def test_there_are_sources_to_look_at() -> None:
    assert len(SOURCES) > 100


@pytest.mark.parametrize(
    "words", ["gpcsa-rollout", "if day == 'trouble-2'", "# on Los Aromos", "fleetbench run"]
)
def test_a_name_would_be_found(words: str) -> None:
    assert NAMES.search(words)


def test_no_source_names_a_deployment_a_day_or_the_bench() -> None:
    """A rule for one deployment would serve it and fail the next customer's."""
    found = [
        f"{path.relative_to(ROOT)}:{number}: {line.strip()}"
        for path in SOURCES
        for number, line in enumerate(path.read_text(encoding="utf-8").splitlines(), 1)
        if NAMES.search(line)
    ]
    assert found == []
