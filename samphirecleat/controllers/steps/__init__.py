"""Training steps: registration, sample generation and delivery to trainers."""

from ._step_registry import StepRegistry
from ._step_runner import StepRunner

__all__ = [
    "StepRegistry",
    "StepRunner",
]
