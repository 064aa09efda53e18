"""Tests of the engine statistics that a runner derives from streams."""

import pytest

from samphirecleat.durable._engine_stats import (
    DEFAULT_EVENT_INTERVAL_S,
    EngineStats,
    EngineStatsTable,
)

SHORT_SLOWDOWN_S = 0.6


def record(stats: EngineStats, interval_s: float, from_s: float, duration_s: float) -> float:
    """Record the events of one run over a duration; return its end."""
    for number in range(1, int(duration_s / interval_s) + 1):
        stats.record_event_interval(interval_s, from_s + number * interval_s)
    return from_s + duration_s


def table(**event_s: float) -> EngineStatsTable:
    engine_stats = EngineStatsTable()
    for instance, interval_s in event_s.items():
        record(engine_stats.of(instance), interval_s, 0.0, 4.0)
    return engine_stats


def test_the_default_interval_is_used_before_any_event() -> None:
    assert EngineStatsTable().median_event_interval_s() == DEFAULT_EVENT_INTERVAL_S
    assert EngineStatsTable().slowness("e1") == 1.0


@pytest.mark.parametrize(
    ("instance", "want"),
    [("a", 1.0), ("near", 1.0), ("slow", 3.0), ("fast", 0.6), ("unseen", 1.0)],
)
def test_slowness_is_relative_to_the_median_engine(instance: str, want: float) -> None:
    """Guards against a fast engine that counts as a usual one, and against noise that counts."""
    engine_stats = table(a=0.04, b=0.04, near=0.045, slow=0.12, fast=0.024)
    assert engine_stats.slowness(instance) == pytest.approx(want, rel=0.01)


def test_an_engine_that_became_slow_is_detected_within_a_few_events() -> None:
    """An engine becomes three times slower after a long time at normal speed.

    A mean over all its events would take minutes to show that, while its items are late.
    """
    engine_stats = table(a=0.04, b=0.04, c=0.04)
    record(engine_stats.of("a"), 0.12, 4.0, 8 * 0.12)
    assert engine_stats.current_slowness("a") > 2.5
    record(engine_stats.of("a"), 0.12, 4.0 + 8 * 0.12, 1.0)
    assert engine_stats.slowness("a") > 2.5


@pytest.mark.parametrize("idle_s", [0.0, 0.05, 0.1, 0.15, 30.0])
def test_a_short_slowdown_does_not_change_the_lasting_pace(idle_s: float) -> None:
    """Guards against runs that leave an engine because of a slowdown that ends by itself.

    It begins at any time within a bucket, or after the engine had no run for long.
    """
    engine_stats = table(a=0.04, b=0.04, c=0.04)
    from_s = 4.0 + idle_s
    end_s = record(engine_stats.of("a"), 0.1, from_s, SHORT_SLOWDOWN_S)
    assert engine_stats.slowness("a") == 1.0
    record(engine_stats.of("a"), 0.04, end_s, 0.3)
    assert engine_stats.slowness("a") == 1.0


def test_a_pause_for_new_weights_does_not_change_the_lasting_pace() -> None:
    """Guards against moves of all runs of an engine that made no event for a second."""
    engine_stats = table(a=0.04, b=0.04, c=0.04)
    for _ in range(8):
        engine_stats.of("a").record_event_interval(1.04, 5.04)
    record(engine_stats.of("a"), 0.04, 5.04, 0.4)
    assert engine_stats.slowness("a") == 1.0


def test_the_highest_seen_version_is_kept() -> None:
    stats = EngineStatsTable().of("e1")
    stats.record_version("m", 3)
    stats.record_version("m", 2)
    assert stats.versions == {"m": 3}
