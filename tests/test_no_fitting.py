"""Checks that the code does not special-case a known deployment, workload or benchmark."""

import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent / "samphirecleat"
# Tools with deployments of their own, which no daemon imports.
TOOLS = {"bench", "trial", "standins"}
NAMES = re.compile(
    r"aromos|cotiza|lavadero|lns.?cleat|gpcsa|macon|atlanta|athens|fleetbench"
    r"|caption|balloon|dialect|strip.?(packet|wire)|panel.?lm|quiet-\d|trouble-\d|scale-\d",
    re.IGNORECASE,
)
SOURCES = [
    path for path in sorted(ROOT.rglob("*.py")) if path.relative_to(ROOT).parts[0] not in TOOLS
]


def test_sources_are_found() -> None:
    assert len(SOURCES) > 100


@pytest.mark.parametrize(
    "words", ["gpcsa-rollout", "if day == 'trouble-2'", "# on Los Aromos", "fleetbench run"]
)
def test_pattern_matches_known_names(words: str) -> None:
    assert NAMES.search(words)


def test_no_source_contains_a_known_name() -> None:
    """Guards against rules that fit one deployment and fail for others."""
    found = [
        f"{path.relative_to(ROOT)}:{number}: {line.strip()}"
        for path in SOURCES
        for number, line in enumerate(path.read_text(encoding="utf-8").splitlines(), 1)
        if NAMES.search(line)
    ]
    assert found == []
