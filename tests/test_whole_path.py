"""The whole path in one process: text published, calls answered, steps delivered."""

import asyncio

from samphirecleat.trial import TrialOptions, run_trial


def test_a_small_trial_keeps_every_promise() -> None:
    report = asyncio.run(run_trial(TrialOptions(nodes=3, seconds=3.0, seed=7)))
    assert report.broken == []
    assert report.promises["samples_doubled"].checked > 0
    assert report.promises["answers_crossed"].checked > 0
