"""Training steps: registered, run as samples, handed to trainers."""

from ._step_registry import StepRegistry
from ._step_runner import StepRunner

__all__ = [
    "StepRegistry",
    "StepRunner",
]
