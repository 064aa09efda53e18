"""The options of `samphirecleat try`."""

import pytest

from samphirecleat.trial import FAULTS, UnknownFaultError, select_faults, try_command


@pytest.mark.parametrize(
    ("names", "selected"),
    [
        ("none", ()),
        ("all", tuple(FAULTS)),
        ("node_kill,log_slow", ("node_kill", "log_slow")),
        (" engine_crash , log_trim", ("engine_crash", "log_trim")),
    ],
)
def test_faults_are_selected_by_name(names: str, selected: tuple[str, ...]) -> None:
    assert select_faults(names) == selected


def test_unknown_fault_error_lists_known_names() -> None:
    with pytest.raises(UnknownFaultError, match=r"no_such.*node_kill"):
        select_faults("node_kill,no_such")


def test_every_fault_has_description() -> None:
    assert all(fault.description for fault in FAULTS.values())


@pytest.mark.parametrize(
    "options", [{"faults": "no_such"}, {"deployment": "nowhere"}, {"nodes": 1}]
)
def test_invalid_options_exit_with_code_2(options: dict) -> None:
    with pytest.raises(SystemExit) as ended:
        try_command(**options)
    assert ended.value.code == 2
