"""The data of a training step: what a trainer asks for and what it gets."""

from collections.abc import Mapping, Sequence
from typing import Any, NamedTuple

from ..requests import Span


class StepSpec(NamedTuple):
    """A step as a trainer submits it.

    A sample's position is ``group * samples_per_group + index``; it is the same
    at every node and over every submission of the step.
    """

    trainer: str
    step_id: str
    service: str
    prompts: Sequence[str]
    samples_per_group: int
    max_tokens: int
    staleness_bound: int
    scoring: str

    @property
    def size(self) -> int:
        """How many samples the step has."""
        return len(self.prompts) * self.samples_per_group

    def prompt_of(self, position: int) -> str:
        """Return the prompt of a sample."""
        return self.prompts[position // self.samples_per_group]


class Sample(NamedTuple):
    """A sample that is made; ``spans`` cover all of its tokens without a gap."""

    position: int
    text: str
    spans: Sequence[Span]
    score: float | None
    target: str
    run_id: str
    request_id: str

    @property
    def oldest_version(self) -> int:
        """The oldest weight version that made any of its tokens."""
        return min(span.version for span in self.spans)


class Pull(NamedTuple):
    """One pull of a trainer: what it holds, and the weight version it is at."""

    number: int
    version: int
    held: frozenset[int]
    wait_s: float
    limit: int


class PullReply(NamedTuple):
    """The answer to one pull; ``number`` is that of the pull."""

    number: int
    samples: Sequence[Sample]
    missing: int


def encode_positions(positions: frozenset[int]) -> str:
    """Return a set of positions as a hexadecimal bitmap."""
    bits = 0
    for position in positions:
        bits |= 1 << position
    return f"{bits:x}"


def decode_positions(text: str) -> frozenset[int]:
    """Return the positions of a hexadecimal bitmap.

    :raises ValueError: for a text that is none.
    """
    bits = int(text or "0", 16)
    return frozenset(i for i in range(bits.bit_length()) if bits >> i & 1)


def sample_to_json(sample: Sample, spec: StepSpec) -> Mapping[str, Any]:
    """Return a sample as trainers receive it."""
    return {
        "position": sample.position,
        "group": sample.position // spec.samples_per_group,
        "index": sample.position % spec.samples_per_group,
        "text": sample.text,
        "spans": [list(span) for span in sample.spans],
        "score": sample.score,
        "target": sample.target,
        "run_id": sample.run_id,
        "request_id": sample.request_id,
    }


def sample_from_json(row: Mapping[str, Any]) -> Sample:
    """Return the sample of a received row; the inverse of :func:`sample_to_json`."""
    return Sample(
        position=int(row["position"]),
        text=str(row["text"]),
        spans=[Span(int(version), int(tokens)) for version, tokens in row["spans"]],
        score=row["score"],
        target=str(row["target"]),
        run_id=str(row["run_id"]),
        request_id=str(row["request_id"]),
    )
