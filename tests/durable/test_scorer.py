"""Tests of reward calls: retries, the concurrency limit, and giving up."""

import asyncio
import random

import pytest

from samphirecleat.crashes import SETTLE_S, CrashedRun, CrashGuard, CrashLedger, CrashVerdict
from samphirecleat.durable import Scorer
from samphirecleat.errors import Ran
from samphirecleat.observe import Observer
from samphirecleat.serving import (
    Call,
    CallerLimits,
    CallKind,
    Forwarder,
    Route,
    RouteTable,
    RoutingConfig,
    Target,
    TargetAnswer,
    TargetFault,
    TargetTable,
    WeightedService,
    call_digest,
)

from ..crashes.guards import make_guard
from .steps import item

OK = TargetAnswer(200, (), b"", "sig")
FAILED = TargetAnswer(500, (), b"", "")


class Channel:
    """Answers as scripted, then with successes; records the highest number of concurrent calls."""

    def __init__(self, *replies: TargetAnswer | TargetFault) -> None:
        self.replies = list(replies)
        self.calls = 0
        self.at_once = 0
        self.most_at_once = 0

    async def exchange(self, call: Call, target: Target, budget_s: float) -> TargetAnswer:
        del call, target, budget_s
        self.calls += 1
        self.at_once += 1
        self.most_at_once = max(self.most_at_once, self.at_once)
        await asyncio.sleep(0.002)
        self.at_once -= 1
        reply = self.replies.pop(0) if self.replies else OK
        if isinstance(reply, TargetFault):
            raise reply
        return reply


def guard_after_bursts(call: Call, last_crash_s: float) -> CrashGuard:
    """Return a guard that knows of two bursts of crashes under a call, and refuses it for them."""
    now_s = asyncio.get_running_loop().time()
    guard = make_guard(ledger := CrashLedger())
    for number in range(6):
        ended_s = now_s - last_crash_s - (5 - number) * 0.4 - (3.0 if number < 3 else 0.0)
        run = CrashedRun(f"e-{number}@1", ended_s - 0.1, ended_s, "n1")
        ledger.record_crash(call_digest(call), run, now_s)
    assert guard.verdict("r", call_digest(call)) is CrashVerdict.REFUSED
    return guard


def score(
    channel: Channel, count: int = 1, *, reward: bool = True, crashed: bool = False
) -> list[str]:
    async def body() -> list[str]:
        routes, targets = RouteTable(), TargetTable("z")
        part = [WeightedService("score", 1.0)]
        to = Route(
            "s", "host.example", "/score/", CallKind.IDEMPOTENT, part, 1.0, 0.2, max_attempts=2
        )
        routes.put(RoutingConfig(1, (to,), {}, CallerLimits()))
        targets.replace({n: Target(n, "score", "a:1", "z", 5, False) for n in ("t1", "t2")})
        spec = item("i0", reward=True).reward
        assert spec is not None
        call = Call(spec.request_id, "POST", spec.raw_path, spec.host, (), spec.body, 0.0, 0.0)
        guard = guard_after_bursts(call, SETTLE_S) if crashed else None
        forwarder = Forwarder(routes, targets, channel, random.Random(1), guard=guard)
        scorer = Scorer(routes, targets, forwarder, Observer("n1"))
        of = Route("r", "host.example", "/run/", CallKind.ROLLOUT, [], max_attempts=3)
        items = [item(f"i{n}", reward=reward) for n in range(count)]
        async with asyncio.timeout(10.0):
            return list(await asyncio.gather(*(scorer.score(one, of) for one in items)))

    return asyncio.run(body())


def test_the_score_is_the_signature_of_a_successful_call() -> None:
    assert score(Channel()) == ["sig"]


def test_an_item_without_a_reward_needs_no_call() -> None:
    channel = Channel()
    assert score(channel, reward=False) == [""]
    assert channel.calls == 0


@pytest.mark.parametrize(
    "reply", [TargetFault("reset", Ran.UNKNOWN), TargetFault("full", Ran.NO, refused=True)]
)
def test_a_call_without_an_answer_is_retried(reply: TargetFault) -> None:
    """The scoring service refuses calls or loses answers for a second.

    Only failures that it answered may give up an item; otherwise the trainer loses a sample.
    """
    assert score(Channel(*[reply] * 12)) == ["sig"]


def test_a_reward_that_always_fails_is_given_up() -> None:
    """Some reward calls fail every time.

    An item that retried them forever would delay its group until the step's deadline.
    """
    channel = Channel(*[FAILED] * 99)
    assert score(channel) == [""]
    # As many failures as the item's route allows, each after all attempts of a call.
    assert channel.calls == 6


def test_reward_calls_leave_slots_for_callers() -> None:
    """Short texts of a step complete together, and all their reward calls start at once.

    Without a limit they would take every slot of the service, and callers would wait.
    """
    channel = Channel()
    score(channel, 30)
    assert channel.most_at_once <= 7


def test_a_reward_call_under_which_targets_crashed_is_made_once_all_is_calm() -> None:
    """Guards against an item that is never listed because its reward call counts as refused."""
    channel = Channel()
    assert score(channel, crashed=True) == ["sig"]
    assert channel.calls == 1
