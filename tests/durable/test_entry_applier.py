"""Applying entries one by one: what is passed over, and what is seen of it."""

import pytest

from samphirecleat._decoding import MalformedError
from samphirecleat.durable import EntryApplier, LogEntry
from samphirecleat.observe import Observer

TOPIC = "keyed.x"


@pytest.mark.parametrize("error", [MalformedError("bad"), RuntimeError("not foreseen")])
def test_an_entry_that_raises_does_not_stop_those_after_it(
    error: Exception, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against a reader that ends at one entry, now and after each restart."""
    applied: list[str] = []
    passed_over: list[str] = []

    def apply(entry: LogEntry) -> None:
        if entry.key == "bad":
            raise error
        applied.append(entry.key)

    observer = Observer("n1")
    applier = EntryApplier(TOPIC, apply, observer, lambda entry: passed_over.append(entry.key))
    applier.apply([LogEntry(at, key, b"v") for at, key in enumerate(["a", "bad", "c"])])
    assert applied == ["a", "c"]
    assert passed_over == ["bad"]
    assert observer.counters["entries_passed_over_keyed.x"] == 1
    assert "topic=keyed.x key=bad offset=1" in caplog.text


def test_log_lines_about_entries_of_one_key_are_bounded(caplog: pytest.LogCaptureFixture) -> None:
    def apply(_entry: LogEntry) -> None:
        raise MalformedError("x" * 10_000)

    observer = Observer("n1")
    applier = EntryApplier(TOPIC, apply, observer)
    applier.apply([LogEntry(at, "k" * 255, b"v") for at in range(1000)])
    assert len(caplog.records) == 1
    assert len(caplog.text) < 600
    assert observer.counters["entries_passed_over_keyed.x"] == 1000
