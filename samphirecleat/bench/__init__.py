"""Benchmarks that compare a policy of the product with simple baselines."""

from ._harness import BenchResult, BenchRow, average_runs, print_result, run_repeats
from ._registry import BENCH_MODULES, UnknownBenchError, run_bench

__all__ = [
    "BENCH_MODULES",
    "BenchResult",
    "BenchRow",
    "UnknownBenchError",
    "average_runs",
    "print_result",
    "run_bench",
    "run_repeats",
]
