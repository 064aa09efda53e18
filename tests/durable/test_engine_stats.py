"""Tests of the engine statistics that a runner derives from streams."""

import pytest

from samphirecleat.durable._engine_stats import DEFAULT_EVENT_INTERVAL_S, EngineStatsTable


def table(**event_s: float) -> EngineStatsTable:
    engine_stats = EngineStatsTable()
    for instance, pause_s in event_s.items():
        for _ in range(40):
            engine_stats.of(instance).record_event_interval(pause_s)
    return engine_stats


def test_the_default_interval_is_used_before_any_event() -> None:
    assert EngineStatsTable().median_event_interval_s() == DEFAULT_EVENT_INTERVAL_S
    assert EngineStatsTable().slowness("e1") == 1.0


@pytest.mark.parametrize(
    ("instance", "want"), [("a", 1.0), ("b", 1.0), ("slow", 3.0), ("unseen", 1.0)]
)
def test_slowness_is_relative_to_the_median_engine(instance: str, want: float) -> None:
    engine_stats = table(a=0.04, b=0.04, slow=0.12)
    assert engine_stats.slowness(instance) == pytest.approx(want, rel=0.01)


def test_an_engine_that_became_slow_is_detected_within_a_few_events() -> None:
    """An engine becomes three times slower after a long time at normal speed.

    A mean over all its events would take minutes to show that, while its items are late.
    """
    engine_stats = table(a=0.04, b=0.04, c=0.04)
    for _ in range(8):
        engine_stats.of("a").record_event_interval(0.12)
    assert engine_stats.slowness("a") > 2.5


def test_the_highest_seen_version_is_kept() -> None:
    stats = EngineStatsTable().of("e1")
    stats.record_version("m", 3)
    stats.record_version("m", 2)
    assert stats.versions == {"m": 3}
