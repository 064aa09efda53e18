"""What an owner may do for a call of another node: attempts, usage, and the time it may take."""

import asyncio

import pytest

from samphirecleat.dispatch import (
    AttemptGrant,
    GrantedChannel,
    SendDelays,
    count_usage_in_scope,
    hop_scope,
)
from samphirecleat.errors import Ran
from samphirecleat.serving import Call, Target, TargetAnswer, TargetFault

TARGET = Target("t", "plain", "a:1", "z", 6, False)
CALL = Call("id", "POST", "/x", "h", (), b"", 0.0, 9.0)
ANSWER = TargetAnswer(200, (), b"", "sig")


class Channel:
    """Raises the scripted faults, then answers; records the time that it was given."""

    def __init__(self, *faults: TargetFault) -> None:
        self.faults = list(faults)
        self.budgets_s: list[float] = []

    async def exchange(self, call: Call, target: Target, budget_s: float) -> TargetAnswer:
        del call, target
        self.budgets_s.append(budget_s)
        if self.faults:
            raise self.faults.pop(0)
        return ANSWER


def test_only_granted_attempts_are_sent() -> None:
    """Guards against an attempt that the sender has given to another owner.

    Asking takes time, which the target must not be given.
    """

    async def body() -> None:
        answers = [True, False]

        async def ask() -> bool:
            await asyncio.sleep(0.02)
            return answers.pop(0)

        channel = Channel()
        granted = GrantedChannel(channel)
        with hop_scope(AttemptGrant(1, ask), counts_usage=True):
            await granted.exchange(CALL, TARGET, 1.0)
            await granted.exchange(CALL, TARGET, 1.0)
            with pytest.raises(TimeoutError):
                async with asyncio.timeout(0.1):
                    await granted.exchange(CALL, TARGET, 1.0)
        assert channel.budgets_s[0] > 0.99
        assert len(channel.budgets_s) == 2
        assert channel.budgets_s[1] <= 0.98
        await granted.exchange(CALL, TARGET, 1.0)

    asyncio.run(body())


def test_refused_attempt_is_not_used_up() -> None:
    """Guards against a call that fails because full targets refused it before it ran anywhere."""

    async def body() -> None:
        async def ask() -> bool:
            return False

        refused = TargetFault("full", Ran.NO, refused=True)
        channel = GrantedChannel(Channel(refused, refused))
        with hop_scope(AttemptGrant(1, ask), counts_usage=True):
            for _ in range(2):
                with pytest.raises(TargetFault):
                    await channel.exchange(CALL, TARGET, 1.0)
            assert await channel.exchange(CALL, TARGET, 1.0) == ANSWER

    asyncio.run(body())


def test_usage_is_counted_once_by_all_owners() -> None:
    counted: list[str] = []
    meter = count_usage_in_scope(lambda workspace, _began_at_s: counted.append(workspace))
    with hop_scope(None, counts_usage=False):
        meter("elsewhere", 0.0)
    meter("here", 0.0)
    assert counted == ["here"]


def test_delay_of_a_message_is_found_without_synchronized_clocks() -> None:
    """Guards against a woken owner that gives its target more time than the caller has left."""
    delays = SendDelays()
    assert delays.delay_s("a", 100.0, 7000.001) == 0.0
    assert delays.delay_s("a", 101.0, 7001.001) == pytest.approx(0.0, abs=0.001)
    assert delays.delay_s("a", 102.0, 7004.001) == pytest.approx(2.0, abs=0.001)
    # Clocks that drift apart don't make later messages look delayed for ever.
    assert delays.delay_s("a", 100100.0, 107000.5) == pytest.approx(0.0, abs=0.001)
    assert delays.delay_s("b", 5.0, 7005.0) == 0.0
