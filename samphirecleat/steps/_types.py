"""The data of a training step: what a trainer asks for and what it gets."""

from collections.abc import Mapping, Sequence
from typing import Any, Final, NamedTuple

from ..requests import Span

NO_VERSION: Final = -1
"""The trainer has not said yet which weight version it is at."""


class StepSpec(NamedTuple):
    """A step as a trainer submits it.

    A sample's position is ``group * samples_per_group + index``; it is the same
    at every node and over every submission of the step. ``group_max_tokens`` and
    ``group_length_hints`` hold one number a group, or nothing; a hint is the
    length in tokens that the trainer expects.
    """

    trainer: str
    step_id: str
    service: str
    prompts: Sequence[str]
    samples_per_group: int
    max_tokens: int
    staleness_bound: int
    scoring: str
    group_max_tokens: Sequence[int] = ()
    group_length_hints: Sequence[int] = ()

    @property
    def size(self) -> int:
        """How many samples the step has."""
        return len(self.prompts) * self.samples_per_group

    def group_of(self, position: int) -> int:
        """Return the group of a sample."""
        return position // self.samples_per_group

    def positions_of(self, group: int) -> range:
        """Return the positions of a group's samples."""
        first = group * self.samples_per_group
        return range(first, first + self.samples_per_group)

    def prompt_of(self, position: int) -> str:
        """Return the prompt of a sample."""
        return self.prompts[self.group_of(position)]

    def max_tokens_of(self, position: int) -> int:
        """Return how many tokens a sample may have at most."""
        if not self.group_max_tokens:
            return self.max_tokens
        return self.group_max_tokens[self.group_of(position)]

    def expected_tokens_of(self, position: int) -> int:
        """Return how many tokens a sample is expected to have."""
        most = self.max_tokens_of(position)
        if not self.group_length_hints:
            return most
        return max(1, min(most, self.group_length_hints[self.group_of(position)]))


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

    @property
    def tokens(self) -> int:
        """How many tokens it has."""
        return sum(span.tokens for span in self.spans)


class Pull(NamedTuple):
    """One pull of a trainer: what it holds, and the weight version it is at.

    ``client_id`` is that of one record of the trainer: its pulls are numbered
    from 1 on, and a trainer that starts again without its record has a new one.
    """

    number: int
    version: int
    held: frozenset[int]
    wait_s: float
    limit: int
    client_id: str = ""


class PullReply(NamedTuple):
    """The answer to one pull; ``number`` is that of the pull.

    ``whole_groups`` are those of which every sample is held or in this reply.
    ``leaving`` asks the trainer to submit the step to another node.
    """

    number: int
    samples: Sequence[Sample]
    missing: int
    whole_groups: Sequence[int] = ()
    leaving: bool = False


def is_fresh(sample: Sample, version: int, staleness_bound: int) -> bool:
    """Return whether a trainer at ``version`` may be given a sample."""
    return version - sample.oldest_version <= staleness_bound


def encode_positions(positions: frozenset[int]) -> str:
    """Return a set of positions as a hexadecimal bitmap."""
    bits = 0
    for position in positions:
        bits |= 1 << position
    return f"{bits:x}"


def decode_positions(text: str, size: int) -> frozenset[int]:
    """Return the positions of a hexadecimal bitmap of at most ``size`` bits.

    :raises ValueError: for a text that is none, or one with more bits.
    """
    if len(text) > size // 4 + 1:
        raise ValueError(f"the bitmap of held positions has more than {size} bits")
    bits = int(text or "0", 16)
    if bits < 0 or bits.bit_length() > size:
        raise ValueError(f"the bitmap of held positions has more than {size} bits")
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


def reply_to_json(reply: PullReply, spec: StepSpec) -> Mapping[str, Any]:
    """Return the answer to a pull as trainers receive it."""
    return {
        "pull": reply.number,
        "samples": [sample_to_json(sample, spec) for sample in reply.samples],
        "missing": reply.missing,
        "whole_groups": list(reply.whole_groups),
        "leaving": reply.leaving,
    }


def reply_from_json(body: Mapping[str, Any]) -> PullReply:
    """Return the received answer to a pull; the inverse of :func:`reply_to_json`."""
    return PullReply(
        number=int(body["pull"]),
        samples=[sample_from_json(row) for row in body["samples"]],
        missing=int(body["missing"]),
        whole_groups=[int(group) for group in body.get("whole_groups", ())],
        leaving=bool(body.get("leaving", False)),
    )
