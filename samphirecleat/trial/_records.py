"""Records of what clients received and what the fleet monitor observed in a trial."""

import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from ..client import CallAnswer
from ..errors import RequestError
from ..steps import Sample


class Interval(NamedTuple):
    """An interval on the monotonic clock; ``end_s`` is infinite until it ends."""

    start_s: float
    end_s: float


class CallReceipt(NamedTuple):
    """One call and its result as seen by the caller."""

    service: str
    method: str
    body: Mapping[str, Any]
    idempotent: bool
    answer: CallAnswer | None
    error: RequestError | None
    took_s: float

    @property
    def prompt(self) -> str:
        """The prompt, unique within the trial."""
        return str(self.body["prompt"])


class SampleReceipt(NamedTuple):
    """One sample received by the trainer.

    ``pull_version`` is the trainer's weight version at the pull that returned the
    sample; ``age_s`` is the time since the step was started.
    """

    step_id: str
    sample: Sample
    prompt: str
    max_tokens: int
    pull_version: int
    staleness_bound: int
    age_s: float


class StepReceipt(NamedTuple):
    """One step and how long the trainer waited for it.

    ``whole`` is False if the step failed or timed out.
    """

    step_id: str
    size: int
    waited_s: float
    whole: bool


class ExchangeReceipt(NamedTuple):
    """One HTTP exchange with a node as seen by the client.

    ``cut`` is True if the connection was established and then closed before a
    response arrived.
    """

    address: str
    started_at_s: float
    ended_at_s: float
    cut: bool


@dataclass
class NodeLifetime:
    """The lifetime of one node incarnation, with the intervals in which it was frozen."""

    node_id: str
    incarnation: str
    http_address: str
    started_at_s: float
    ended_at_s: float = math.inf
    drain_started_at_s: float = math.inf
    frozen: list[Interval] = field(default_factory=list)


class ConfigObservation(NamedTuple):
    """A change of the revision and text in force at a node, first observed at ``at_s``."""

    incarnation: str
    at_s: float
    revision: int
    text: str


@dataclass
class Receipts:
    """Everything that clients received in one trial."""

    calls: list[CallReceipt] = field(default_factory=list)
    samples: list[SampleReceipt] = field(default_factory=list)
    steps: list[StepReceipt] = field(default_factory=list)
    exchanges: list[ExchangeReceipt] = field(default_factory=list)
    trained_s: float = 0.0
    waited_s: float = 0.0
