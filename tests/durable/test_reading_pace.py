"""How often nodes read on in the step log."""

import pytest

from samphirecleat.durable import reading_pause_s, stores_items_separately

LISTINGS_PER_S = 30.0


@pytest.mark.parametrize(
    ("nodes", "store_reads_per_s"), [(9, 2000.0), (13, 2000.0), (75, 6000.0), (390, 6000.0)]
)
def test_a_fleet_reads_less_often_than_its_store_allows(
    nodes: int, store_reads_per_s: float
) -> None:
    """Four trainers' results are listed thirty times a second, and all nodes wake each time.

    Beyond the store's rate its refusals hit the reads of configurations and targets as well.
    """
    pause_s = reading_pause_s(nodes, runs_work=False)
    reads_per_s = nodes / max(1.0 / LISTINGS_PER_S, pause_s)
    assert reads_per_s < store_reads_per_s / 2.0


def test_a_runner_and_a_small_fleet_never_wait() -> None:
    assert reading_pause_s(390, runs_work=True) == 0.0
    assert reading_pause_s(13, runs_work=False) == 0.0


@pytest.mark.parametrize(("nodes", "apart"), [(1, False), (13, False), (75, True), (390, True)])
def test_only_a_large_fleet_keeps_items_apart(nodes: int, apart: bool) -> None:
    assert stores_items_separately(nodes) is apart
