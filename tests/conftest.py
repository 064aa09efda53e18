"""Fixtures and hypothesis profiles shared by all tests."""

import os
from collections import Counter

import pytest
from hypothesis import HealthCheck, settings

settings.register_profile(
    "ci",
    derandomize=True,
    deadline=None,
    print_blob=True,
    suppress_health_check=[HealthCheck.too_slow],
)
settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE", "ci"))

_INTERLEAVINGS: Counter[str] = Counter()


@pytest.fixture(scope="session")
def interleavings() -> Counter[str]:
    """Return a counter of the interleavings tested, by the name of the decision."""
    return _INTERLEAVINGS


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print the number of interleavings tested for each decision."""
    for name, count in sorted(_INTERLEAVINGS.items()):
        terminalreporter.write_line(f"interleavings of {name}: {count}")
