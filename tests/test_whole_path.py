"""End-to-end test in one process: publishes a text, answers calls, delivers steps."""

import asyncio

from samphirecleat.trial import TrialOptions, run_trial


def test_small_trial_keeps_every_promise() -> None:
    report = asyncio.run(run_trial(TrialOptions(nodes=3, seconds=3.0, seed=7)))
    assert report.broken == []
    assert report.promises["samples_doubled"].checked > 0
    assert report.promises["answers_crossed"].checked > 0
