"""Tests of the fold of the step log: it is the same for every reader, despite failures."""

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import Bundle, RuleBasedStateMachine, invariant, rule

from samphirecleat.durable import LogEntry, RunnerClaimed, StepEnded, StepFold
from samphirecleat.durable._records import Record, RecordAssembler, split_record

from .steps import accepted, listed, step

STEPS = ("s1", "s2")
ITEMS = 4


def fold_of(entries: list[LogEntry]) -> StepFold:
    """Fold entries as a newly started node does."""
    fold, assembler = StepFold(), RecordAssembler()
    for entry in entries:
        record = assembler.add(entry.key, entry.value)
        if record is not None:
            fold.apply(record, entry.offset, 0.0)
    return fold


def positions(fold: StepFold) -> dict[str, list[tuple[str, str]]]:
    """Return the results that trainers can read of each step, in order."""
    return {
        step_id: [(r.item_id, r.text.key if r.text else "") for r in state.results]
        for step_id, state in fold.steps.items()
    }


class StepLogMachine(RuleBasedStateMachine):
    """Two nodes write; their appends are applied once, twice, late, or never.

    A position that a trainer has read must never change, at any node: one that followed the
    log, one that reads the whole history, and one that reads only the newest entry of each key.
    """

    delayed = Bundle("delayed")

    def __init__(self) -> None:
        super().__init__()
        self.entries: list[LogEntry] = []
        self.followed = StepFold()
        self.assembler = RecordAssembler()
        self.read_before: dict[str, list[tuple[str, str]]] = {}
        self.keys = 0

    def append(self, record: Record) -> None:
        self.keys += 1
        for key, value in split_record(record, f"k/{self.keys}"):
            entry = LogEntry(len(self.entries), key, value)
            self.entries.append(entry)
            replayed = self.assembler.add(key, value)
            if replayed is not None:
                self.followed.apply(replayed, entry.offset, 0.0)

    @rule(step_id=st.sampled_from(STEPS))
    def accept(self, step_id: str) -> None:
        self.append(accepted(step(step_id, ITEMS)))

    @rule(
        step_id=st.sampled_from(STEPS),
        number=st.integers(0, ITEMS - 1),
        writer=st.sampled_from(["a", "b"]),
        times=st.integers(1, 2),
    )
    def list_item(self, step_id: str, number: int, writer: str, times: int) -> None:
        for _ in range(times):
            self.append(listed(step_id, f"{step_id}-{number}", f"by {writer}"))

    @rule(target=delayed, step_id=st.sampled_from(STEPS), number=st.integers(0, ITEMS - 1))
    def send_delayed(self, step_id: str, number: int) -> Record:
        return listed(step_id, f"{step_id}-{number}", "late")

    @rule(record=delayed)
    def apply_delayed(self, record: Record) -> None:
        self.append(record)

    @rule(step_id=st.sampled_from(STEPS))
    def end(self, step_id: str) -> None:
        self.append(StepEnded(step_id))

    @rule(node=st.sampled_from(["a", "b"]))
    def claim(self, node: str) -> None:
        held = self.followed.claims.get("svc")
        replaces = held.offset if held else -1
        self.append(RunnerClaimed("svc", node, f"inc-{node}", replaces))

    @rule(target=delayed, node=st.sampled_from(["a", "b"]))
    def claim_delayed(self, node: str) -> Record:
        held = self.followed.claims.get("svc")
        return RunnerClaimed("svc", node, f"late-{node}", held.offset if held else -1)

    @invariant()
    def all_readers_agree(self) -> None:
        replayed = fold_of(self.entries)
        newest = {entry.key: entry for entry in self.entries}
        compacted = fold_of(sorted(newest.values()))
        assert positions(self.followed) == positions(replayed) == positions(compacted)
        assert self.followed.claims == replayed.claims == compacted.claims

    @invariant()
    def read_positions_never_change(self) -> None:
        now = positions(self.followed)
        for step_id, rows in self.read_before.items():
            assert now[step_id][: len(rows)] == rows
            assert len({item_id for item_id, _ in now[step_id]}) == len(now[step_id])
        self.read_before = now


TestStepLogMachine = StepLogMachine.TestCase


@pytest.mark.parametrize(
    ("records", "expected"),
    [
        ([listed("s1", "s1-0")], {}),
        ([accepted(step("s1")), listed("s1", "other")], {"s1": []}),
        ([accepted(step("s1")), listed("s1", "s1-0"), listed("s1", "s1-0", "b")], {"s1": ["text"]}),
        ([accepted(step("s1")), StepEnded("s1"), listed("s1", "s1-0")], {"s1": []}),
        ([accepted(step("s1")), listed("s1", "s1-0"), accepted(step("s1"))], {"s1": ["text"]}),
    ],
    ids=["no step", "no such item", "listed twice", "after the end", "accepted twice"],
)
def test_only_valid_records_take_effect(
    records: list[Record], expected: dict[str, list[str]]
) -> None:
    fold = StepFold()
    for offset, record in enumerate(records):
        fold.apply(record, offset, 0.0)
    kept = {name: [r.text.key for r in s.results if r.text] for name, s in fold.steps.items()}
    assert kept == expected


def test_steps_are_forgotten_after_their_retention() -> None:
    fold = StepFold()
    fold.apply(accepted(step("s1")), 0, 0.0)
    fold.apply(accepted(step("s2")), 1, 0.0)
    fold.apply(StepEnded("s1"), 2, 10.0)
    assert fold.forget_before(60.0, 60.0, 500.0) == []
    assert fold.forget_before(70.1, 60.0, 500.0) == ["s1"]
    assert list(fold.steps) == ["s2"]
    assert fold.forget_before(501.0, 60.0, 500.0) == ["s2"]


def test_claim_holds_the_previous_node() -> None:
    fold = StepFold()
    for offset, node in enumerate(["a", "a", "b"]):
        fold.apply(RunnerClaimed("svc", node, f"{node}{offset}", offset - 1), offset, 0.0)
    assert fold.claims["svc"].previous_node_id == "a"
    assert fold.claims["svc"].offset == 2


def test_delayed_claim_has_no_effect() -> None:
    """The store applies a claim seconds late, after another node has taken over.

    If it were valid, the service would move again, together with every running generation.
    """
    fold = StepFold()
    fold.apply(RunnerClaimed("svc", "a", "a0", -1), 0, 0.0)
    fold.apply(RunnerClaimed("svc", "b", "b0", 0), 3, 0.0)
    assert not fold.apply(RunnerClaimed("svc", "c", "c0", 0), 9, 0.0)
    assert fold.claims["svc"].node_id == "b"
