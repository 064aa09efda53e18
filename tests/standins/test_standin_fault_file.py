"""Fault files of stand-ins that run as processes."""

import pytest

from samphirecleat._jsonc import DocumentError
from samphirecleat.standins import StandInLog, inject_faults, read_fault_file


def test_same_seed_gives_same_times() -> None:
    text = """{"seed": 3, "faults": {
        "back": {"after_s": 9, "jitter_s": 2, "set": "down", "to": 0},
        "outage": {"after_s": 1, "jitter_s": 2, "set": "down", "to": 1}}}"""
    first = read_fault_file(text, "f", StandInLog())
    assert first == read_fault_file(text, "f", StandInLog())
    assert [fault.action.value for fault in first] == [True, False]


@pytest.mark.parametrize(
    "row",
    [
        '{"after_s": 1, "set": "no_such", "to": 1}',
        '{"after_s": 1, "set": "_streams", "to": 1}',
        '{"after_s": 1, "call": "no_such"}',
        '{"set": "down", "to": 1}',
        '{"after_s": 1, "set": "down", "to": 1, "also": 2}',
    ],
)
def test_invalid_fault_row_is_rejected(row: str) -> None:
    with pytest.raises(DocumentError):
        read_fault_file(f'{{"faults": {{"x": {row}}}}}', "f", StandInLog())


@pytest.mark.parametrize(("action", "to"), [("down", True), ("lose_answers", 2)])
def test_faults_are_applied(action: str, to: int) -> None:
    import asyncio

    log = StandInLog()
    text = f'{{"faults": {{"x": {{"after_s": 0, "set": "{action}", "to": {int(to)}}}}}}}'
    asyncio.run(inject_faults(log, read_fault_file(text, "f", log)))
    assert getattr(log, action) == to
