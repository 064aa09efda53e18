"""What callers, the trainer and an onlooker saw in a trial, to hold against ledgers."""

import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from ..client import CallAnswer
from ..errors import RequestError
from ..steps import Sample


class Interval(NamedTuple):
    """A span of time on the monotonic clock; ``end_s`` is infinite while it lasts."""

    start_s: float
    end_s: float


class CallReceipt(NamedTuple):
    """One call and how it ended for its caller."""

    service: str
    method: str
    body: Mapping[str, Any]
    idempotent: bool
    answer: CallAnswer | None
    error: RequestError | None
    took_s: float

    @property
    def prompt(self) -> str:
        """The prompt, which no other call of the trial has."""
        return str(self.body["prompt"])


class SampleReceipt(NamedTuple):
    """One sample; ``pull_version`` is the trainer's version that its pull named."""

    step_id: str
    sample: Sample
    prompt: str
    max_tokens: int
    pull_version: int
    staleness_bound: int
    age_s: float


class StepReceipt(NamedTuple):
    """One step with the time the trainer waited for it; not ``whole`` if it hung."""

    step_id: str
    size: int
    waited_s: float
    whole: bool


class ExchangeReceipt(NamedTuple):
    """One HTTP exchange with a node, as its client's connection saw it.

    ``cut`` holds when the connection ended after it was made and before a
    response had come.
    """

    address: str
    started_at_s: float
    ended_at_s: float
    cut: bool


@dataclass
class NodeLifetime:
    """The time in service of one node incarnation."""

    node_id: str
    incarnation: str
    http_address: str
    started_at_s: float
    ended_at_s: float = math.inf
    drain_started_at_s: float = math.inf
    frozen: list[Interval] = field(default_factory=list)


class ConfigSight(NamedTuple):
    """A revision and text that a node was seen to have in force from a time on."""

    incarnation: str
    at_s: float
    revision: int
    text: str


@dataclass
class Receipts:
    """All that was received in one trial."""

    calls: list[CallReceipt] = field(default_factory=list)
    samples: list[SampleReceipt] = field(default_factory=list)
    steps: list[StepReceipt] = field(default_factory=list)
    exchanges: list[ExchangeReceipt] = field(default_factory=list)
    trained_s: float = 0.0
    waited_s: float = 0.0
