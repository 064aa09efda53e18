"""Bench of crash attribution: false refusals during an hour of unrelated target failures.

A discrete-event simulation. Callers send requests, some of them repeatedly, to targets that crash
singly, by availability zone, and all together within a second. A call whose target ends is retried
at another target, which may fail next. No request causes a crash, so every refusal is a false
positive. The first row is the product's ledger; the others only count ends.
"""

import random
from collections.abc import Callable, Iterable, Mapping
from functools import partial
from heapq import heappop, heappush
from typing import Final, NamedTuple

from ..crashes import MIN_CRASHES_TO_REFUSE, CrashedRun, CrashLedger, CrashVerdict
from ._harness import BenchResult, BenchRow, average_runs

DEFAULT_SEED: Final = 31
REPEATS: Final = 3
DURATION_S: Final = 3600.0
CALLS_PER_S: Final = 60.0
# Share of calls that repeat one of ``POPULAR_REQUESTS`` requests.
POPULAR_SHARE: Final = 0.3
POPULAR_REQUESTS: Final = 5
RUN_DURATION_S: Final = (0.02, 0.15)
ATTEMPTS_PER_SEND: Final = 2
CLIENT_RETRY_DELAY_S: Final = (0.01, 0.3)
SENDS_PER_CALL: Final = 3
TARGET_COUNT: Final = 12
ZONE_COUNT: Final = 3
RESTART_S: Final = 3.0
# Mean times between single crashes, zone losses and losses of all targets. The targets of one loss
# end within ``CORRELATED_LOSS_S`` of each other.
CRASH_INTERVAL_S: Final = 8.0
ZONE_LOSS_INTERVAL_S: Final = 60.0
TOTAL_LOSS_INTERVAL_S: Final = 120.0
CORRELATED_LOSS_S: Final = 1.0
TARGETS_CHECKED: Final = 3
MAINTENANCE_INTERVAL_S: Final = 1.0


class RefusalRule(NamedTuple):
    """Decides whether to refuse a call from the ledger, the call's digest and the time."""

    name: str
    should_refuse: Callable[[CrashLedger, bytes, float], bool]


def _refuse_by_ledger(ledger: CrashLedger, digest: bytes, now_s: float) -> bool:
    return ledger.verdict(digest, now_s) is CrashVerdict.REFUSED


def _refuse_by_count(ledger: CrashLedger, digest: bytes, now_s: float) -> bool:
    del now_s
    suspect = ledger.suspects.get(digest)
    return suspect is not None and len(suspect.crashed_runs) >= MIN_CRASHES_TO_REFUSE


def _refuse_by_count_after_pause(ledger: CrashLedger, digest: bytes, now_s: float) -> bool:
    """Refuse by count, but only once no end came for a while, so that an answer may come first."""
    suspect = ledger.suspects.get(digest)
    if suspect is None or now_s - suspect.last_crash_s() < MAINTENANCE_INTERVAL_S:
        return False
    return len(suspect.crashed_runs) >= MIN_CRASHES_TO_REFUSE


RULES: Final = (
    RefusalRule("the ledger", _refuse_by_ledger),
    RefusalRule("three ends", _refuse_by_count),
    RefusalRule("three ends, a second later", _refuse_by_count_after_pause),
)


class BlameReplay:
    """Simulates ``DURATION_S`` under one rule; one ledger stands for all nodes."""

    def __init__(self, rule: RefusalRule, seed: int) -> None:
        """Draw the same calls and crashes from ``seed`` for every rule."""
        self._rule = rule
        self._rng = random.Random(seed)
        self._faults = random.Random(seed + 1)
        self._ledger = CrashLedger()
        self._start_counts = [1] * TARGET_COUNT
        self._is_up = [True] * TARGET_COUNT
        self._running: list[dict[int, Callable[[float], None]]] = [{} for _ in range(TARGET_COUNT)]
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._sequence = 0
        self._calls = 0
        self._runs_ended = 0
        self._sends_held = 0
        self._refused_digests: set[bytes] = set()
        self._sends_refused = 0

    def run(self) -> Mapping[str, float]:
        """Run the simulation; return counts of calls, ended runs, held and refused sends."""
        self._schedule(0.0, self._arrive)
        self._schedule_repeating(CRASH_INTERVAL_S, self._crash_target)
        self._schedule_repeating(ZONE_LOSS_INTERVAL_S, self._lose_zone_targets)
        self._schedule_repeating(TOTAL_LOSS_INTERVAL_S, self._lose_all_targets)
        self._schedule(MAINTENANCE_INTERVAL_S, self._maintain_ledger)
        while self._events:
            at_s, _sequence, action = heappop(self._events)
            if at_s > DURATION_S:
                break
            action(at_s)
        return {
            "calls": self._calls,
            "runs_ended": self._runs_ended,
            "sendings_held": self._sends_held,
            "requests_refused": len(self._refused_digests),
            "sendings_refused": self._sends_refused,
        }

    def _schedule(self, at_s: float, action: Callable[[float], None]) -> None:
        self._sequence += 1
        heappush(self._events, (at_s, self._sequence, action))

    def _schedule_repeating(
        self, mean_interval_s: float, action: Callable[[float], None], now_s: float = 0.0
    ) -> None:
        def run_and_reschedule(at_s: float) -> None:
            action(at_s)
            self._schedule_repeating(mean_interval_s, action, at_s)

        self._schedule(now_s + self._faults.expovariate(1.0 / mean_interval_s), run_and_reschedule)

    def _arrive(self, now_s: float) -> None:
        self._schedule(now_s + self._rng.expovariate(CALLS_PER_S), self._arrive)
        self._calls += 1
        popular = self._rng.random() < POPULAR_SHARE
        request = (
            self._rng.randrange(POPULAR_REQUESTS) if popular else self._calls + POPULAR_REQUESTS
        )
        self._send(b"%d" % request, now_s, SENDS_PER_CALL)

    def _send(self, digest: bytes, now_s: float, sends_left: int) -> None:
        if sends_left:
            self._attempt(digest, now_s, ATTEMPTS_PER_SEND, sends_left)

    def _attempt(self, digest: bytes, now_s: float, attempts_left: int, sends_left: int) -> None:
        """Run a call at a random target that is up, or let its client send it again later."""
        up = [target for target in range(TARGET_COUNT) if self._is_up[target]]
        if not attempts_left or not up or self._is_barred(digest, now_s):
            pause_s = self._rng.uniform(*CLIENT_RETRY_DELAY_S)
            self._schedule(now_s + pause_s, lambda at_s: self._send(digest, at_s, sends_left - 1))
            return
        target = self._rng.choice(up)
        self._sequence += 1
        run, instance = self._sequence, f"{target}@{self._start_counts[target]}"

        def end_run(at_s: float) -> None:
            self._runs_ended += 1
            self._ledger.record_crash(digest, CrashedRun(instance, now_s, at_s, "n"), at_s)
            self._ledger.apply_remembered_answer(digest, at_s)
            if self._ledger.awaits_verdict(digest):
                self._check_other_targets(at_s)
            self._attempt(digest, at_s, attempts_left - 1, sends_left)

        def answer_call(at_s: float) -> None:
            if self._running[target].pop(run, None) is not None:
                self._ledger.remember_answer(digest, at_s)
                if digest in self._ledger.suspects:
                    self._ledger.record_answer(digest, at_s)

        self._running[target][run] = end_run
        self._schedule(now_s + self._rng.uniform(*RUN_DURATION_S), answer_call)

    def _is_barred(self, digest: bytes, now_s: float) -> bool:
        if self._rule.should_refuse(self._ledger, digest, now_s):
            self._refused_digests.add(digest)
            self._sends_refused += 1
            return True
        held = (
            self._rule.should_refuse is _refuse_by_ledger
            and self._ledger.verdict(digest, now_s) is CrashVerdict.HELD
        )
        self._sends_held += held
        return held

    def _check_other_targets(self, now_s: float) -> None:
        for target in self._rng.sample(range(TARGET_COUNT), TARGETS_CHECKED):
            if not self._is_up[target]:
                instance = f"{target}@{self._start_counts[target]}"
                self._ledger.record_crashed_target(instance, now_s, now_s)

    def _crash_target(self, now_s: float) -> None:
        self._end_target(self._faults.randrange(TARGET_COUNT), now_s)

    def _lose_zone_targets(self, now_s: float) -> None:
        zone = self._faults.randrange(ZONE_COUNT)
        self._end_targets(
            [target for target in range(TARGET_COUNT) if target % ZONE_COUNT == zone], now_s
        )

    def _lose_all_targets(self, now_s: float) -> None:
        self._end_targets(range(TARGET_COUNT), now_s)

    def _end_targets(self, targets: Iterable[int], now_s: float) -> None:
        within_s = self._faults.uniform(0.0, CORRELATED_LOSS_S)
        for target in targets:
            at_s = now_s + self._faults.uniform(0.0, within_s)
            self._schedule(at_s, partial(self._end_target, target))

    def _end_target(self, target: int, now_s: float) -> None:
        if not self._is_up[target]:
            return
        self._is_up[target] = False
        end_runs, self._running[target] = list(self._running[target].values()), {}
        for end_run in end_runs:
            end_run(now_s)
        self._schedule(now_s + RESTART_S, lambda _at_s: self._restart_target(target))

    def _restart_target(self, target: int) -> None:
        self._start_counts[target] += 1
        self._is_up[target] = True

    def _maintain_ledger(self, now_s: float) -> None:
        self._ledger.refuse_proven_calls(now_s)
        self._ledger.remove_expired(now_s)
        self._schedule(now_s + MAINTENANCE_INTERVAL_S, self._maintain_ledger)


async def run(seed: int) -> BenchResult:
    """Simulate the same failures under every rule."""
    note = (
        f"an hour of {CALLS_PER_S:g} calls a second at {TARGET_COUNT} targets: a crash every "
        f"{CRASH_INTERVAL_S:g} s, a zone every {ZONE_LOSS_INTERVAL_S:g} s, "
        f"all every {TOTAL_LOSS_INTERVAL_S:g} s; no request ends its targets"
    )
    return BenchResult("blame", seed, [_row(rule, seed) for rule in RULES], note)


def _row(rule: RefusalRule, seed: int) -> BenchRow:
    runs = [BlameReplay(rule, seed + repeat).run() for repeat in range(REPEATS)]
    return average_runs(rule.name, runs)
