"""What is told of runs that were cut off: by their target's end, or not."""

import asyncio
import logging

import pytest

from samphirecleat.crashes import CrashGuard, Registered, TargetStart
from samphirecleat.observe import Observer

CALL = b"\x01" * 12


@pytest.mark.parametrize(
    ("listens", "registered", "counts"),
    [
        (False, Registered.READY, True),
        (True, Registered.READY, False),
        (False, Registered.DRAINING, False),
        (False, Registered.GONE, False),
    ],
    ids=["crashed", "only the connection", "left as it said", "left without a word"],
)
def test_a_cut_counts_only_if_the_target_ended_unplanned(
    listens: bool, registered: Registered, counts: bool, caplog: pytest.LogCaptureFixture
) -> None:
    """Links, faulty targets and releases cut connections too; a call is not to blame for them."""

    async def body() -> None:
        looks: list[str] = []

        async def look(address: str) -> bool:
            looks.append(address)
            return listens

        guard = CrashGuard(look, lambda _start: registered, Observer("n"))
        cuts = [guard.cut("r", CALL, TargetStart("t", "t:1", 5), 0.0, "reset") for _ in range(9)]
        with caplog.at_level(logging.WARNING):
            await asyncio.gather(*cuts)
        assert looks == (["t:1"] if registered is Registered.READY else [])

    asyncio.run(body())
    assert f"request=r call={CALL.hex()} target=t@5 cut" in caplog.text
    assert f"counts={counts}" in caplog.text
