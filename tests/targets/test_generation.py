"""Parsing of the response stream of one generation."""

from collections.abc import Sequence

import pytest

from samphirecleat.targets import Lost, TargetError
from samphirecleat.targets._generation import GenerationReader

OPENING = b'{"run_id": "r1", "instance": "i1"}\n'
TOKEN = b'{"text": "a ", "tokens": 1, "version": 3}\n'


@pytest.mark.parametrize(
    "lines",
    [
        [OPENING, TOKEN, b'{"end": "stop", "tokens": 2}\n'],
        [OPENING, TOKEN, b""],
        [OPENING, TOKEN, b'{"end": "stop", "tokens": 1}'],
        [OPENING, b'{"text": "a", "tokens": 1}\n'],
        [OPENING, b'{"text": "a", "tokens": 0, "version": 3}\n'],
        [OPENING, b'{"text": "a", "tokens": -1, "version": 3}\n'],
        [OPENING, b"[]\n"],
        [OPENING, b"5\n"],
        [OPENING, b"}{\n"],
        [OPENING, b"[" * 100_000 + b"\n"],
        [OPENING, b"\xff\n"],
    ],
)
def test_a_stream_that_is_not_whole_is_lost(lines: Sequence[bytes]) -> None:
    """A stream that is truncated or lacks tokens would give a sample with missing spans."""
    reader = GenerationReader("10.0.0.1:80")
    with pytest.raises(TargetError) as caught:
        [reader.read(line) for line in lines]
    assert isinstance(caught.value.failure, Lost)


def test_a_whole_stream_names_its_run_and_versions() -> None:
    reader = GenerationReader("10.0.0.1:80")
    lines = [OPENING, TOKEN, TOKEN.replace(b"3", b"4"), b'{"end": "stop", "tokens": 2}\n']
    opening, first, second, end = [reader.read(line) for line in lines]
    assert opening is None
    assert first is not None
    assert second is not None
    assert [first["spans"], second["spans"]] == [[(3, 1)], [(4, 1)]]
    assert end == {"end": "stop", "run_id": "r1", "target": "10.0.0.1:80"}
    assert reader.ended
