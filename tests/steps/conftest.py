"""Fixtures shared by the tests of steps."""

from collections.abc import Callable

import pytest

from samphirecleat.requests import Span
from samphirecleat.steps import Sample, StepSpec

SpecBuilder = Callable[..., StepSpec]
SampleBuilder = Callable[..., Sample]


@pytest.fixture(scope="session")
def make_spec() -> SpecBuilder:
    def build(groups: int = 2, per_group: int = 2, **changes: object) -> StepSpec:
        prompts = tuple(f"prompt {number}" for number in range(groups))
        spec = StepSpec("trainer-1", "step-1", "asesor", prompts, per_group, 10, 1, "")
        return spec._replace(**changes)

    return build


@pytest.fixture(scope="session")
def make_sample() -> SampleBuilder:
    def build(position: int, version: int = 0, name: str = "run") -> Sample:
        return Sample(position, name, [Span(version, 10)], None, "engine", name, name)

    return build
