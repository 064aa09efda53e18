"""Applying registrations of targets, and the log lines about them."""

import json

import pytest

from samphirecleat.durable import LogEntry
from samphirecleat.observe import Observer
from samphirecleat.platform._watches import TargetWatch
from samphirecleat.serving import TargetRegistry, TargetTable


def registration(number: int, *, draining: bool = False) -> LogEntry:
    document = {
        "service": "svc", "address": f"10.0.0.{number}:80", "zone": "z", "version": "1",
        "slots": 4, "state": "draining" if draining else "ready", "coldRemainingMs": 0,
        "sequence": 1, "stage": "both", "models": [], "born": 1,
    }  # fmt: skip
    return LogEntry(number, f"i-{number}", json.dumps(document).encode())


def test_all_changed_targets_are_logged_in_one_line(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against log lines about faults that are dropped by the limit on the log volume.

    When a fleet of hundreds of nodes starts, each node reads the registrations of all targets. One
    line per registration would be nodes times targets lines in the first seconds.
    """
    observer = Observer("n1")
    table = TargetTable("z")
    watch = TargetWatch(TargetRegistry(lambda: -1e9), table, observer)
    with caplog.at_level("INFO"):
        watch.apply([registration(number) for number in range(40)], True)
        watch.apply([registration(3, draining=True)], False)
        watch.apply([LogEntry(50, "i-7", b"")], False)
    lines = [record.getMessage() for record in caplog.records]
    assert len(table.targets) == 39
    assert len(lines) == 3
    assert "targets=40 came=i-0@10.0.0.0:80," in lines[0]
    assert lines[1].endswith("draining=i-3")
    assert "gone=i-7" in lines[2]


@pytest.mark.parametrize(
    "value", [b"[" * 2000, b"\xff", b"7", b'{"service": "svc", "address": "10.0.0.9:99999"}']
)
@pytest.mark.parametrize("is_snapshot", [True, False])
def test_an_unreadable_registration_leaves_the_others_usable(
    value: bytes, is_snapshot: bool, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against an entry of another writer after which no target is found any more."""
    observer = Observer("n1")
    table = TargetTable("z")
    watch = TargetWatch(TargetRegistry(lambda: -1e9), table, observer)
    entries = [registration(1), LogEntry(2, "i-2", value), registration(3)]
    for _ in range(3):
        watch.apply(entries, is_snapshot)
    assert set(table.targets) == {"i-1", "i-3"}
    assert observer.counters["entries_passed_over_keyed.servers"] == 3
    lines = [record.getMessage() for record in caplog.records if record.levelname == "ERROR"]
    assert len(lines) == 1
    assert "topic=keyed.servers key=i-2 offset=2" in lines[0]
