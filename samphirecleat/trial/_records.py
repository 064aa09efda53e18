"""What callers and the trainer received in a trial, to compare with the ledgers."""

from dataclasses import dataclass, field
from typing import NamedTuple

from ..client import CallAnswer
from ..errors import RequestError
from ..steps import Sample


class CallReceipt(NamedTuple):
    """One call and how it ended for its caller."""

    number: int
    service: str
    method: str
    prompt: str
    idempotent: bool
    answer: CallAnswer | None
    error: RequestError | None
    took_s: float


class SampleReceipt(NamedTuple):
    """One sample and the trainer's weight version when it was taken."""

    step_id: str
    sample: Sample
    prompt: str
    trainer_version: int
    staleness_bound: int
    age_s: float


class StepReceipt(NamedTuple):
    """One step that ended, with its size and the time the trainer waited for it."""

    step_id: str
    size: int
    waited_s: float


@dataclass
class Receipts:
    """All that was received in one trial."""

    calls: list[CallReceipt] = field(default_factory=list)
    samples: list[SampleReceipt] = field(default_factory=list)
    steps: list[StepReceipt] = field(default_factory=list)
    trained_s: float = 0.0
    waited_s: float = 0.0
