"""Data types of training steps, and their JSON form."""

from collections.abc import Mapping, Sequence
from typing import Any, Final, NamedTuple

from ..requests import Span

NO_VERSION: Final = -1
"""Weight version of a trainer that has not named one yet."""


class StepSpec(NamedTuple):
    """A step as submitted by a trainer; one prompt makes one group of samples.

    The position of a sample is ``group * samples_per_group + index``; it is the
    same on every node and in every submission of the step. ``group_max_tokens``
    and ``group_length_hints`` hold one number per group or are empty; a hint is the
    number of tokens that the trainer expects. ``staleness_bound`` is in weight
    versions.
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
        """Number of samples of the step."""
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
        """Return the maximum number of tokens of a sample."""
        if not self.group_max_tokens:
            return self.max_tokens
        return self.group_max_tokens[self.group_of(position)]

    def expected_tokens_of(self, position: int) -> int:
        """Return the expected number of tokens of a sample: its hint, or else the maximum."""
        max_tokens = self.max_tokens_of(position)
        if not self.group_length_hints:
            return max_tokens
        return max(1, min(max_tokens, self.group_length_hints[self.group_of(position)]))


class Sample(NamedTuple):
    """A finished sample; ``spans`` cover all of its tokens without gaps."""

    position: int
    text: str
    spans: Sequence[Span]
    score: float | None
    target: str
    run_id: str
    request_id: str

    @property
    def oldest_version(self) -> int:
        """The oldest weight version that generated any of the sample's tokens."""
        return min(span.version for span in self.spans)

    @property
    def tokens(self) -> int:
        """Number of tokens of the sample."""
        return sum(span.tokens for span in self.spans)


class Pull(NamedTuple):
    """A trainer's request for samples.

    ``version`` is the trainer's weight version, ``held`` the positions it holds and
    ``limit`` the maximum number of samples in the reply. ``client_id`` identifies
    one record of the trainer, which numbers its pulls from 1; a trainer that
    restarts without its record uses a new one.
    """

    number: int
    version: int
    held: frozenset[int]
    wait_s: float
    limit: int
    client_id: str = ""


class PullReply(NamedTuple):
    """The reply to the pull with the same ``number``.

    ``missing`` counts the positions that are neither held nor ready.
    ``whole_groups`` are the groups of which every sample is held or in this reply.
    ``leaving`` asks the trainer to submit the step to another node.
    """

    number: int
    samples: Sequence[Sample]
    missing: int
    whole_groups: Sequence[int] = ()
    leaving: bool = False


def is_fresh(sample: Sample, version: int, staleness_bound: int) -> bool:
    """Return whether a sample is within the staleness bound of a trainer at ``version``."""
    return version - sample.oldest_version <= staleness_bound


def encode_positions(positions: frozenset[int]) -> str:
    """Return a set of positions as a hexadecimal bitmap."""
    bits = 0
    for position in positions:
        bits |= 1 << position
    return f"{bits:x}"


def decode_positions(text: str, size: int) -> frozenset[int]:
    """Return the positions of a hexadecimal bitmap of at most ``size`` bits.

    :raises ValueError: if the text is not a hexadecimal number or has more bits.
    """
    if len(text) > size // 4 + 1:
        raise ValueError(f"the bitmap of held positions has more than {size} bits")
    bits = int(text or "0", 16)
    if bits < 0 or bits.bit_length() > size:
        raise ValueError(f"the bitmap of held positions has more than {size} bits")
    return frozenset(i for i in range(bits.bit_length()) if bits >> i & 1)


def sample_to_json(sample: Sample, spec: StepSpec) -> Mapping[str, Any]:
    """Return the JSON form of a sample, as sent to trainers."""
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
    """Parse a received sample; the inverse of :func:`sample_to_json`."""
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
    """Return the JSON form of a reply, as sent to trainers."""
    return {
        "pull": reply.number,
        "samples": [sample_to_json(sample, spec) for sample in reply.samples],
        "missing": reply.missing,
        "whole_groups": list(reply.whole_groups),
        "leaving": reply.leaving,
    }


def reply_from_json(body: Mapping[str, Any]) -> PullReply:
    """Parse a received reply; the inverse of :func:`reply_to_json`."""
    return PullReply(
        number=int(body["pull"]),
        samples=[sample_from_json(row) for row in body["samples"]],
        missing=int(body["missing"]),
        whole_groups=[int(group) for group in body.get("whole_groups", ())],
        leaving=bool(body.get("leaving", False)),
    )
