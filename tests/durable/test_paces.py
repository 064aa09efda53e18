"""What is learned of engines from their streams."""

import pytest

from samphirecleat.durable._paces import DEFAULT_EVENT_INTERVAL_S, EngineStatsTable


def table(**event_s: float) -> EngineStatsTable:
    engine_stats = EngineStatsTable()
    for instance, pause_s in event_s.items():
        for _ in range(40):
            engine_stats.of(instance).record_event_interval(pause_s)
    return engine_stats


def test_before_any_event_the_pace_is_a_guess() -> None:
    assert EngineStatsTable().median_event_interval_s() == DEFAULT_EVENT_INTERVAL_S
    assert EngineStatsTable().slowness("e1") == 1.0


@pytest.mark.parametrize(
    ("instance", "want"), [("a", 1.0), ("b", 1.0), ("slow", 3.0), ("unseen", 1.0)]
)
def test_an_engine_is_slow_beside_the_typical_one(instance: str, want: float) -> None:
    engine_stats = table(a=0.04, b=0.04, slow=0.12)
    assert engine_stats.slowness(instance) == pytest.approx(want, rel=0.01)


def test_an_engine_that_turned_slow_is_known_after_some_events() -> None:
    """An engine turns three times slower in the middle of a day.

    A mean over all its events would take minutes to show it, while its items are late.
    """
    engine_stats = table(a=0.04, b=0.04, c=0.04)
    for _ in range(8):
        engine_stats.of("a").record_event_interval(0.12)
    assert engine_stats.slowness("a") > 2.5


def test_the_highest_version_that_was_seen_counts() -> None:
    stats = EngineStatsTable().of("e1")
    stats.note_version("m", 3)
    stats.note_version("m", 2)
    assert stats.versions == {"m": 3}
