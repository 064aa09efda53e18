"""Bench of blame: an hour of failures in which no request ends its targets, and who is refused.

Pure replay: callers' calls, some of them the same request over and over, at targets that crash one
by one, by availability zones, and all together within a second. A call whose target ends is tried
again at another one, which may be the next to go. Compared are rules that say which calls are to
blame; whatever they refuse is refused wrongly.
"""

import random
from collections.abc import Callable, Iterable, Mapping
from functools import partial
from heapq import heappop, heappush
from typing import Final, NamedTuple

from ..crashes import MIN_ENDS_TO_REFUSE, CrashLedger, CrashVerdict, RunEnd
from ._harness import BenchResult, BenchRow, average_runs

DEFAULT_SEED: Final = 31
REPEATS: Final = 3
HOUR_S: Final = 3600.0
CALLS_PER_S: Final = 60.0
# Of the calls, those of a few requests that come all the time.
POPULAR_SHARE: Final = 0.3
POPULAR: Final = 5
RUN_S: Final = (0.02, 0.15)
ATTEMPTS: Final = 2
CLIENT_AGAIN_S: Final = (0.01, 0.3)
SENDINGS: Final = 3
TARGETS: Final = 12
ZONES: Final = 3
BACK_AFTER_S: Final = 3.0
# One crash, the loss of a zone, and of all targets: on average this far apart. What goes together
# goes within so long.
CRASH_EVERY_S: Final = 8.0
ZONE_EVERY_S: Final = 60.0
ALL_EVERY_S: Final = 120.0
TOGETHER_S: Final = 1.0
OTHERS_LOOKED_AT: Final = 3
KEEP_HOUSE_S: Final = 1.0


class Blame(NamedTuple):
    """A rule: whether a call is refused, by the ledger, its mark, and the time."""

    name: str
    refuses: Callable[[CrashLedger, bytes, float], bool]


def _by_ledger(ledger: CrashLedger, mark: bytes, now_s: float) -> bool:
    return ledger.verdict(mark, now_s) is CrashVerdict.REFUSED


def _by_count(ledger: CrashLedger, mark: bytes, now_s: float) -> bool:
    del now_s
    suspect = ledger.suspects.get(mark)
    return suspect is not None and len(suspect.ends) >= MIN_ENDS_TO_REFUSE


def _by_count_later(ledger: CrashLedger, mark: bytes, now_s: float) -> bool:
    """Refuse after three ends without an answer that followed them closely."""
    suspect = ledger.suspects.get(mark)
    if suspect is None or now_s - suspect.last_end_s() < KEEP_HOUSE_S:
        return False
    return len(suspect.ends) >= MIN_ENDS_TO_REFUSE


RULES: Final = (
    Blame("the ledger", _by_ledger),
    Blame("three ends", _by_count),
    Blame("three ends, a second later", _by_count_later),
)


class BlameReplay:
    """One hour under one rule; all nodes share what they know at once."""

    def __init__(self, rule: Blame, seed: int) -> None:
        """Draw calls and crashes from ``seed``, the same for every rule."""
        self._rule = rule
        self._rng = random.Random(seed)
        self._faults = random.Random(seed + 1)
        self._ledger = CrashLedger()
        self._starts = [1] * TARGETS
        self._up = [True] * TARGETS
        self._running: list[dict[int, Callable[[float], None]]] = [{} for _ in range(TARGETS)]
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._number = 0
        self._calls = 0
        self._cut = 0
        self._held = 0
        self._refused: set[bytes] = set()
        self._refusals = 0

    def run(self) -> Mapping[str, float]:
        """Return how many calls there were, lost a target, were held, and were refused."""
        self._at(0.0, self._call)
        self._later(CRASH_EVERY_S, self._crash_one)
        self._later(ZONE_EVERY_S, self._lose_zone)
        self._later(ALL_EVERY_S, self._lose_all)
        self._at(KEEP_HOUSE_S, self._keep_house)
        while self._events:
            at_s, _number, act = heappop(self._events)
            if at_s > HOUR_S:
                break
            act(at_s)
        return {
            "calls": self._calls,
            "runs_ended": self._cut,
            "sendings_held": self._held,
            "requests_refused": len(self._refused),
            "sendings_refused": self._refusals,
        }

    def _at(self, at_s: float, act: Callable[[float], None]) -> None:
        self._number += 1
        heappush(self._events, (at_s, self._number, act))

    def _later(self, every_s: float, act: Callable[[float], None], now_s: float = 0.0) -> None:
        def again(at_s: float) -> None:
            act(at_s)
            self._later(every_s, act, at_s)

        self._at(now_s + self._faults.expovariate(1.0 / every_s), again)

    def _call(self, now_s: float) -> None:
        self._at(now_s + self._rng.expovariate(CALLS_PER_S), self._call)
        self._calls += 1
        popular = self._rng.random() < POPULAR_SHARE
        name = self._rng.randrange(POPULAR) if popular else self._calls + POPULAR
        self._send(b"%d" % name, now_s, SENDINGS)

    def _send(self, mark: bytes, now_s: float, sendings: int) -> None:
        if sendings:
            self._attempt(mark, now_s, ATTEMPTS, sendings)

    def _attempt(self, mark: bytes, now_s: float, attempts: int, sendings: int) -> None:
        """Run a call at a target that is up, or have its client come back."""
        up = [target for target in range(TARGETS) if self._up[target]]
        if not attempts or not up or self._is_barred(mark, now_s):
            pause_s = self._rng.uniform(*CLIENT_AGAIN_S)
            self._at(now_s + pause_s, lambda at_s: self._send(mark, at_s, sendings - 1))
            return
        target = self._rng.choice(up)
        self._number += 1
        run, start = self._number, f"{target}@{self._starts[target]}"

        def cut(at_s: float) -> None:
            self._cut += 1
            self._ledger.record_end(mark, RunEnd(start, now_s, at_s, "n"), at_s)
            self._ledger.recall_answer(mark, at_s)
            if self._ledger.awaits_verdict(mark):
                self._look_at_others(at_s)
            self._attempt(mark, at_s, attempts - 1, sendings)

        def answer(at_s: float) -> None:
            if self._running[target].pop(run, None) is not None:
                self._ledger.remember_answer(mark, at_s)
                if mark in self._ledger.suspects:
                    self._ledger.record_answer(mark, at_s)

        self._running[target][run] = cut
        self._at(now_s + self._rng.uniform(*RUN_S), answer)

    def _is_barred(self, mark: bytes, now_s: float) -> bool:
        if self._rule.refuses(self._ledger, mark, now_s):
            self._refused.add(mark)
            self._refusals += 1
            return True
        held = (
            self._rule.refuses is _by_ledger
            and self._ledger.verdict(mark, now_s) is CrashVerdict.HELD
        )
        self._held += held
        return held

    def _look_at_others(self, now_s: float) -> None:
        for target in self._rng.sample(range(TARGETS), OTHERS_LOOKED_AT):
            if not self._up[target]:
                name = f"{target}@{self._starts[target]}"
                self._ledger.record_ended_target(name, now_s, now_s)

    def _crash_one(self, now_s: float) -> None:
        self._end(self._faults.randrange(TARGETS), now_s)

    def _lose_zone(self, now_s: float) -> None:
        zone = self._faults.randrange(ZONES)
        self._lose([target for target in range(TARGETS) if target % ZONES == zone], now_s)

    def _lose_all(self, now_s: float) -> None:
        self._lose(range(TARGETS), now_s)

    def _lose(self, targets: Iterable[int], now_s: float) -> None:
        within_s = self._faults.uniform(0.0, TOGETHER_S)
        for target in targets:
            at_s = now_s + self._faults.uniform(0.0, within_s)
            self._at(at_s, partial(self._end, target))

    def _end(self, target: int, now_s: float) -> None:
        if not self._up[target]:
            return
        self._up[target] = False
        cuts, self._running[target] = list(self._running[target].values()), {}
        for cut in cuts:
            cut(now_s)
        self._at(now_s + BACK_AFTER_S, lambda _at_s: self._start(target))

    def _start(self, target: int) -> None:
        self._starts[target] += 1
        self._up[target] = True

    def _keep_house(self, now_s: float) -> None:
        self._ledger.decide(now_s)
        self._ledger.forget(now_s)
        self._at(now_s + KEEP_HOUSE_S, self._keep_house)


async def run(seed: int) -> BenchResult:
    """Replay the hour under every rule."""
    note = (
        f"an hour of {CALLS_PER_S:g} calls a second at {TARGETS} targets: a crash every "
        f"{CRASH_EVERY_S:g} s, a zone every {ZONE_EVERY_S:g} s, all every {ALL_EVERY_S:g} s; no "
        "request ends its targets"
    )
    return BenchResult("blame", seed, [_row(rule, seed) for rule in RULES], note)


def _row(rule: Blame, seed: int) -> BenchRow:
    runs = [BlameReplay(rule, seed + repeat).run() for repeat in range(REPEATS)]
    return average_runs(rule.name, runs)
