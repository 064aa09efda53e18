"""From nodes' logs to where a step's time went."""

import io
import json
from pathlib import Path

import pytest

from samphirecleat.explain import GapCause, explain_command, gaps_of, read_lines, trace_steps
from samphirecleat.explain._command import render

ACCEPTED = (0.0, "[steps] step=s1 number=3 items=2 min_version=2 offset=7 new=True")
ENDED = (9.0, "[steps] step=s1 ended offset=19 new=True")


def log_line(time_s: float, message: str, node: str = "n1") -> str:
    return json.dumps({"time_s": time_s, "logger": f"samphirecleat.{node}", "message": message})


def started(time_s: float, item: str, target: str = "e1") -> tuple[float, str]:
    words = (
        f"[runner] item={item} step=s1 target={target} from_event=0 expected_tokens=64 version=2"
    )
    return time_s, words


def whole(time_s: float, item: str) -> tuple[float, str]:
    return time_s, f"[runner] item={item} whole events=9 target=e1"


def completed(time_s: float, item: str) -> tuple[float, str]:
    return time_s, f"[runner] item={item} step=s1 completed=True versions=[2]"


TAKEN = "[duty] service=svc taken fencing=9 follows=n2"
ORDER = "[orders] target=e1 model=m version=3 fencing=9 expected=0 outcome=accepted"
BROKEN = "[runner] item=a target=e1 ended=broken at_event=4 detail=reset"
SILENT = "[runner] item=a target=e1 ended=silent at_event=4 detail=no event for 1.5 s; moved"
LOST = "[store] direct=lost detail=TimeoutError()"


@pytest.mark.parametrize(
    ("between", "want"),
    [
        ([started(2.0, "a"), whole(3.0, "a"), completed(3.0, "a")], [(GapCause.NO_ENGINE, 2.0)]),
        (
            [(1.0, ORDER), started(2.0, "a"), whole(3.0, "a"), completed(3.0, "a")],
            [(GapCause.NO_VERSION, 2.0)],
        ),
        (
            [(1.0, TAKEN), started(2.0, "a"), whole(3.0, "a"), completed(3.0, "a")],
            [(GapCause.NEW_RUNNER, 2.0)],
        ),
        (
            [
                started(0.0, "b"),
                whole(1.0, "b"),
                completed(1.0, "b"),
                started(2.0, "a"),
                whole(3.0, "a"),
                completed(3.0, "a"),
            ],
            [(GapCause.NO_SLOT, 2.0)],
        ),
        (
            [
                started(0.0, "a"),
                (1.0, BROKEN),
                started(1.5, "a", "e2"),
                whole(3.0, "a"),
                completed(3.0, "a"),
            ],
            [(GapCause.BROKEN_RUN, 0.5)],
        ),
        (
            [
                started(0.0, "a"),
                (1.0, SILENT),
                (1.2, TAKEN),
                started(1.5, "a", "e2"),
                whole(3.0, "a"),
                completed(3.0, "a"),
            ],
            [(GapCause.NEW_RUNNER, 0.5)],
        ),
        (
            [started(0.0, "a"), whole(1.0, "a"), completed(3.0, "a")],
            [(GapCause.SCORE, 2.0)],
        ),
        ([], [(GapCause.NO_ENGINE, 9.0)]),
    ],
    ids=[
        "no engine",
        "no version",
        "new runner",
        "no place",
        "broken run",
        "runner changed in a run",
        "score",
        "nothing started",
    ],
)
def test_each_gap_has_its_cause(
    between: list[tuple[float, str]], want: list[tuple[GapCause, float]]
) -> None:
    """An operator asks why a step was late; the item that held it up stood still somewhere."""
    raw = [log_line(*row) for row in [ACCEPTED, *between, ENDED]]
    fleet = trace_steps(read_lines([("log", raw)]).lines)
    gaps = gaps_of(fleet.steps["s1"], fleet)
    got = [(gap.cause, gap.length_s) for gap in gaps if gap.cause is not GapCause.LISTING]
    assert got == want


def test_a_lost_store_stands_beside_the_wait_for_listing() -> None:
    rows = [ACCEPTED, started(0.0, "a"), whole(1.0, "a"), completed(1.0, "a"), (2.0, LOST), ENDED]
    fleet = trace_steps(read_lines([("log", [log_line(*row) for row in rows])]).lines)
    gap = gaps_of(fleet.steps["s1"], fleet)[-1]
    assert (gap.cause, gap.length_s, gap.detail) == (GapCause.LISTING, 8.0, "store lost")


@pytest.mark.parametrize(
    ("raw", "fault"),
    [
        ("plain words", "no JSON object"),
        ('{"time_s": 1.0, "logg', "not JSON"),
        ('{"time_s": "1", "logger": "a", "message": "b"}', "time_s is missing or no number"),
        ('{"time_s": true, "logger": "a", "message": "b"}', "time_s is missing or no number"),
        ('{"time_s": 1.0, "message": "b"}', "logger or message is missing or no text"),
    ],
)
def test_a_malformed_line_is_named_and_not_fatal(raw: str, fault: str) -> None:
    reading = read_lines([("a.log", [log_line(*ACCEPTED), raw, "", log_line(*ENDED)])])
    assert len(reading.lines) == 2
    assert reading.malformed == 1
    assert reading.faults[0].startswith(f"a.log:2: {fault}")
    assert f"1 lines are no lines of a node's log, the first:\n  a.log:2: {fault}" in render(
        reading
    )


def test_lines_of_several_nodes_are_put_in_order_and_words_before_them_skipped() -> None:
    first = [f"  0.5 n2 {log_line(0.5, started(0.5, 'a')[1], 'n2')}"]
    second = [log_line(*row) for row in [ACCEPTED, whole(1.0, "a"), completed(1.0, "a"), ENDED]]
    reading = read_lines([("n2", first), ("n1", second)])
    assert [line.node for line in reading.lines] == ["n1", "n2", "n1", "n1", "n1"]
    fleet = trace_steps(reading.lines)
    assert fleet.steps["s1"].items["a"].runs[0].ended_s == 1.0


def test_a_step_from_before_the_logs_is_counted_and_left_out() -> None:
    reading = read_lines([("log", [log_line(*started(1.0, "a")), log_line(*ENDED)])])
    assert "1 steps were accepted before these logs begin" in render(reading)


def test_the_command_reads_files_and_standard_input(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    rows = [ACCEPTED, started(2.0, "a"), whole(3.0, "a"), completed(3.0, "a"), ENDED]
    text = "\n".join(log_line(*row) for row in rows)
    file = tmp_path / "n1.log"
    file.write_text(text, encoding="utf-8")
    explain_command(str(file))
    from_file = capsys.readouterr().out
    monkeypatch.setattr("sys.stdin", io.StringIO(text))
    explain_command()
    assert capsys.readouterr().out == from_file
    assert "listing and reading" in from_file


@pytest.mark.parametrize("content", [None, "nothing of ours\n"])
def test_what_cannot_be_read_ends_with_a_word(
    content: str | None, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    file = tmp_path / "n1.log"
    if content is not None:
        file.write_text(content, encoding="utf-8")
    with pytest.raises(SystemExit) as ended:
        explain_command(str(file))
    assert ended.value.code == 2
    assert "n1.log" in capsys.readouterr().err
