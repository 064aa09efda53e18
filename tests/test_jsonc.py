"""Documents: every fault with its place, and no text that breaks the reader."""

import contextlib

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from samphirecleat.config import DocumentError, read_service_text
from samphirecleat.settings import read_settings

PIECES = st.sampled_from(
    ("{ } [ ] : , -1 1e999 true null /* */ " + '"services" "kind" "engine" "\\ud800" //x\n').split(
        " "
    )
)
BROKEN = {
    "deep nesting": "[" * 100_000,
    "deep objects": '{"a":' * 100_000,
    "a long number": '{"services": {"x": {"kind": "engine", "staleness_bound": '
    + "9" * 5000
    + "}}}",
    "a huge number": '{"services": {"x": {"kind": "engine", "caller_share": 1e999}}}',
    "a long integer for a share": '{"services": {"x": {"kind": "engine", "caller_share": 1'
    + "0" * 400
    + "}}}",
    "no object": "[]",
    "nothing": "",
    "half a surrogate pair": '{"services": {"\ud800": {"kind": "engine"}}}',
}


@pytest.mark.parametrize("name", BROKEN)
def test_a_broken_text_is_a_document_error(name: str) -> None:
    """Anyone who may append to the log may append this; a node must go on after it."""
    with pytest.raises(DocumentError):
        read_service_text(BROKEN[name])
    with pytest.raises(DocumentError):
        read_settings(BROKEN[name])


@settings(max_examples=300)
@given(st.one_of(st.text(max_size=60), st.lists(PIECES, max_size=25).map("".join)))
def test_any_text_is_read_or_refused(text: str) -> None:
    with contextlib.suppress(DocumentError):
        assert read_service_text(text).services


TEXT_FAULTS = {
    "unknown key": ('{"services": {"a": {"kind": "engine", "sise": 1}}}', "sise", "unknown key"),
    "unknown dependency": (
        '{"services": {"a": {"kind": "engine", "depends_on": ["b"]}}}',
        "depends_on",
        '"b" is not a service',
    ),
    "circular": (
        '{"services": {"a": {"kind": "engine", "depends_on": ["b"]},'
        ' "b": {"kind": "engine", "depends_on": ["a"]}}}',
        "depends_on",
        "a -> b -> a",
    ),
    "impossible limit": (
        '{"services": {"a": {"kind": "engine", "caller_share": 1.5}}}',
        "caller_share",
        "outside 0 to 1",
    ),
    "a key twice": (
        '{"services": {"a": {"kind": "engine"}, "a": {"kind": "plain"}}}',
        "(document)",
        'Duplicate key: "a"',
    ),
    "a service that is no engine": (
        '{"services": {"a": {"kind": "scoring"}}, "trainers": {"t": {"service": "a"}}}',
        "service",
        "engine",
    ),
    "a target that is no address": (
        '{"services": {"a": {"kind": "engine", "targets": {"x": {"zone": "z"}}}}}',
        "x",
        "IP:port",
    ),
    "a service in a list": ('{"services": [1]}', "services", "object"),
}


@pytest.mark.parametrize("name", TEXT_FAULTS)
def test_a_fault_names_its_key_and_what_is_allowed(name: str) -> None:
    text, key, message = TEXT_FAULTS[name]
    with pytest.raises(DocumentError) as caught:
        read_service_text(text)
    assert any(key in fault.key and message in fault.message for fault in caught.value.diagnostics)


def test_all_faults_are_told_at_once_in_the_order_of_their_lines() -> None:
    text = '{\n"services": {\n"a": {"kind": "x",\n"depends_on": 3}},\n"extra": 1}'
    with pytest.raises(DocumentError) as caught:
        read_service_text(text)
    assert [fault.line for fault in caught.value.diagnostics] == [3, 4, 5]
