"""Tests of the pauses between reads of the step log."""

import pytest

from samphirecleat.durable import reading_pause_s, stores_items_separately

LISTINGS_PER_S = 30.0


@pytest.mark.parametrize(
    ("nodes", "store_reads_per_s"), [(9, 2000.0), (13, 2000.0), (75, 6000.0), (390, 6000.0)]
)
def test_read_rate_stays_below_the_limit_of_the_store(nodes: int, store_reads_per_s: float) -> None:
    """The results of four trainers are listed 30 times per second, and every node reads each time.

    Above its rate limit the store would also reject reads of configurations and targets.
    """
    pause_s = reading_pause_s(nodes, runs_work=False)
    reads_per_s = nodes / max(1.0 / LISTINGS_PER_S, pause_s)
    assert reads_per_s < store_reads_per_s / 2.0


def test_runners_and_small_fleets_do_not_pause() -> None:
    assert reading_pause_s(390, runs_work=True) == 0.0
    assert reading_pause_s(13, runs_work=False) == 0.0


@pytest.mark.parametrize(("nodes", "separate"), [(1, False), (13, False), (75, True), (390, True)])
def test_only_large_fleets_store_items_separately(nodes: int, separate: bool) -> None:
    assert stores_items_separately(nodes) is separate
