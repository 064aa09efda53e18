"""Training steps: their data, and their state at the node that works on them."""

from ._step import StartSample, Step, StepTable
from ._types import (
    Pull,
    PullReply,
    Sample,
    StepSpec,
    decode_positions,
    encode_positions,
    sample_from_json,
    sample_to_json,
)

__all__ = [
    "Pull",
    "PullReply",
    "Sample",
    "StartSample",
    "Step",
    "StepSpec",
    "StepTable",
    "decode_positions",
    "encode_positions",
    "sample_from_json",
    "sample_to_json",
]
