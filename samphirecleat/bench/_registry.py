"""Benches by name. The module of a bench is imported only when the bench runs."""

from collections.abc import Mapping
from importlib import import_module
from typing import Final

from ._harness import BenchResult

BENCH_MODULES: Final[Mapping[str, str]] = {
    "planning": "_planning",
    "loads": "_loads",
    "usage": "_usage",
    "duties": "_duties",
    "crashes": "_crashes",
    "blame": "_blame",
    "routing": "_routing",
    "limits": "_limits",
    "queues": "_queues",
    "retries": "_retries",
    "stragglers": "_stragglers",
    "weights": "_weights",
    "membership": "_membership",
    "config": "_config",
    "log-reads": "_log_reads",
    "recovery": "_recovery",
    "overhead": "_overhead",
}


class UnknownBenchError(Exception):
    """No bench has the given name."""


async def run_bench(name: str, seed: int | None) -> BenchResult:
    """Run a bench; with ``None`` as the seed, its module's ``DEFAULT_SEED`` is used.

    Each module defines ``DEFAULT_SEED`` and ``async def run(seed) -> BenchResult``.

    :raises UnknownBenchError: if no bench has that name; the message lists the names.
    """
    module_name = BENCH_MODULES.get(name)
    if module_name is None:
        raise UnknownBenchError(f'no bench "{name}"; there are {", ".join(BENCH_MODULES)}')
    module = import_module(f".{module_name}", __package__)
    result: BenchResult = await module.run(module.DEFAULT_SEED if seed is None else seed)
    return result
