"""Tests of document validation: located errors, and no exception of another type."""

import contextlib

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from samphirecleat.config import DocumentError, read_service_text
from samphirecleat.settings import read_settings

FRAGMENTS = st.sampled_from(
    ("{ } [ ] : , -1 1e999 true null /* */ " + '"services" "kind" "engine" "\\ud800" //x\n').split(
        " "
    )
)
INVALID_TEXTS = {
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


@pytest.mark.parametrize("name", INVALID_TEXTS)
def test_invalid_text_raises_document_error(name: str) -> None:
    """Any writer may append such a text to the log; the nodes must keep working."""
    with pytest.raises(DocumentError):
        read_service_text(INVALID_TEXTS[name])
    with pytest.raises(DocumentError):
        read_settings(INVALID_TEXTS[name])


@settings(max_examples=300)
@given(st.one_of(st.text(max_size=60), st.lists(FRAGMENTS, max_size=25).map("".join)))
def test_any_text_is_read_or_raises_document_error(text: str) -> None:
    with contextlib.suppress(DocumentError):
        assert read_service_text(text).services


TEXT_ERRORS = {
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


@pytest.mark.parametrize("name", TEXT_ERRORS)
def test_error_contains_its_key_and_allowed_values(name: str) -> None:
    text, key, message = TEXT_ERRORS[name]
    with pytest.raises(DocumentError) as caught:
        read_service_text(text)
    assert any(
        key in diagnostic.key and message in diagnostic.message
        for diagnostic in caught.value.diagnostics
    )


def test_all_errors_are_reported_together_in_line_order() -> None:
    text = '{\n"services": {\n"a": {"kind": "x",\n"depends_on": 3}},\n"extra": 1}'
    with pytest.raises(DocumentError) as caught:
        read_service_text(text)
    assert [diagnostic.line for diagnostic in caught.value.diagnostics] == [3, 4, 5]
