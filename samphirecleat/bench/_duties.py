"""Bench of duties: a holder that freezes, is cut off, dies or wakes, and who acts meanwhile.

Pure replay in steps of virtual time: the election, the fold of claims, and the two conditions
under which a holder acts are the product's own; the log, the membership and the platform are
played. Compared with a holder that does not ask whether its claim still stands, and with an heir
that does not wait.
"""

import random
from collections.abc import Mapping
from itertools import pairwise
from typing import Final, NamedTuple

from ..durable._duty import MAX_CONFIRMATION_AGE_S, takeover_wait_s
from ..durable._election import Candidate, ElectionView, should_claim
from ..durable._fold import StepFold
from ..durable._records import RunnerClaimed
from ._harness import BenchResult, average_runs

DEFAULT_SEED: Final = 29
FLEETS: Final = (9, 64, 195, 390)
REPEATS: Final = 6
SUBJECT: Final = "duty:bench"
LENGTH_S: Final = 40.0
TICK_S: Final = 0.05
LEASE_S: Final = 3.0
# Between a record's append and its fold at a node, and until a silent node is found dead.
FOLD_S: Final = (0.01, 0.25)
DETECT_S: Final = (0.5, 1.3)
# A call is carried out at once, or seconds after its caller gave it up.
LATE_S: Final = (1.0, 6.0)
ACT_EVERY_S: Final = 0.4
FAULT_AT_S: Final = 8.0
FAULT_S: Final = 5.0


class Fault(NamedTuple):
    """What happens to the holder at ``FAULT_AT_S``.

    ``runs`` says that its process goes on, ``hears`` that the log reaches it, ``comes_back``
    that it does so after ``FAULT_S``. Some of its last calls are ``late``.
    """

    name: str
    runs: bool
    hears: bool
    comes_back: bool
    late: bool = False


FAULTS: Final = (
    Fault("frozen, woken after its heir acted", False, False, True),
    Fault("cut one way", True, False, True),
    Fault("killed as its call is under way", False, False, False, late=True),
)


class Rules(NamedTuple):
    """Whether a holder asks if its claim stands, how long an heir waits, and who checks fences.

    A call with a lower number than one before it is refused where they are ``fenced``.
    """

    name: str
    wait_s: float
    confirms: bool = True
    fenced: bool = False


VARIANTS: Final = (
    Rules("no fences, heir waits", takeover_wait_s(LEASE_S, fenced=False)),
    Rules(
        "fences, heir waits for calls under way", takeover_wait_s(LEASE_S, fenced=True), fenced=True
    ),
    Rules("no fences, heir does not wait", 0.0),
    Rules("fences, heir does not wait", 0.0, fenced=True),
    Rules("fences, claim not confirmed", 0.0, confirms=False, fenced=True),
)
# These are the product's own; the others show what they prevent.
KEPT_VARIANTS: Final = 2


class _Node:
    """One node's view."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.folded = 0
        self.fold = StepFold()
        self.confirmed_at_s = 0.0
        self.taken: dict[int, float] = {}
        self.claimed_at_s = -1e9
        self.claim_seen_at_s = -1e9


class DutiesReplay:
    """One fleet, one fault, one way."""

    def __init__(self, rules: Rules, fault: Fault, nodes: int, seed: int) -> None:
        """Draw delays from ``seed``."""
        self._rules = rules
        self._fault = fault
        self._rng = random.Random(seed)
        self._nodes = [_Node(f"n{number:03d}") for number in range(nodes)]
        self._log: list[tuple[float, RunnerClaimed]] = []
        self._struck = ""
        self._detected_at_s = FAULT_AT_S + self._rng.uniform(*DETECT_S)
        self._acts: list[tuple[float, str, int]] = []
        self._next_act_s: dict[str, float] = {}
        self._candidates: list[Candidate] = []
        self._alive_names: set[str] = set()

    def run(self) -> Mapping[str, float]:
        """Return the time without a holder, and the calls that break a rule."""
        now_s = 0.0
        while now_s < LENGTH_S:
            self._candidates = self._alive(now_s)
            self._alive_names = {candidate.incarnation for candidate in self._candidates}
            for node in self._nodes:
                if self._is_running(node, now_s):
                    self._look(node, now_s)
            now_s += TICK_S
        return self._figures()

    def _is_running(self, node: _Node, now_s: float) -> bool:
        return node.name != self._struck or self._is_over(now_s) or self._fault.runs

    def _hears(self, node: _Node, now_s: float) -> bool:
        return node.name != self._struck or self._is_over(now_s) or self._fault.hears

    def _is_over(self, now_s: float) -> bool:
        if now_s < FAULT_AT_S:
            return True
        return self._fault.comes_back and now_s >= FAULT_AT_S + FAULT_S

    def _look(self, node: _Node, now_s: float) -> None:
        if self._hears(node, now_s):
            self._follow(node, now_s)
        claim = node.fold.claims.get(SUBJECT)
        if claim is not None and claim.node_id == node.name:
            self._hold(node, claim.offset, claim.previous_node_id, now_s)
        elif self._hears(node, now_s):
            self._claim(node, now_s)

    def _follow(self, node: _Node, now_s: float) -> None:
        while node.folded < len(self._log) and self._log[node.folded][0] <= now_s:
            record = self._log[node.folded][1]
            if node.fold.apply(record, node.folded, now_s):
                node.claim_seen_at_s = now_s
            node.folded += 1
        node.confirmed_at_s = now_s

    def _hold(self, node: _Node, offset: int, before: str, now_s: float) -> None:
        taken_at_s = node.taken.setdefault(offset, now_s)
        follows_other = before not in ("", node.name)
        wait_s = self._rules.wait_s if follows_other else 0.0
        confirmed = now_s - node.confirmed_at_s <= MAX_CONFIRMATION_AGE_S
        if now_s - taken_at_s < wait_s or (self._rules.confirms and not confirmed):
            return
        if now_s < self._next_act_s.get(node.name, 0.0):
            return
        self._next_act_s[node.name] = now_s + ACT_EVERY_S
        late_s = self._rng.uniform(*LATE_S) if self._is_late(now_s) else 0.0
        self._acts.append((now_s + late_s, node.name, offset))
        if now_s >= FAULT_AT_S - ACT_EVERY_S and not self._struck:
            self._struck = node.name

    def _is_late(self, now_s: float) -> bool:
        return self._fault.late and FAULT_AT_S - ACT_EVERY_S <= now_s < FAULT_AT_S

    def _claim(self, node: _Node, now_s: float) -> None:
        claim = node.fold.claims.get(SUBJECT)
        view = ElectionView(
            node.name,
            self._candidates,
            len(self._nodes),
            claim,
            self._alive_names,
            now_s - self._detected_at_s,
            now_s - node.claim_seen_at_s,
            now_s - node.claimed_at_s,
            now_s,
        )
        if should_claim(view):
            node.claimed_at_s = now_s
            replaces = claim.offset if claim is not None else -1
            record = RunnerClaimed(SUBJECT, node.name, node.name, replaces)
            self._log.append((now_s + self._rng.uniform(*FOLD_S), record))

    def _alive(self, now_s: float) -> list[Candidate]:
        """Return the nodes that are taken for alive."""
        found_dead = not self._is_over(now_s) and now_s >= self._detected_at_s
        return [
            Candidate(node.name, node.name, 0)
            for node in self._nodes
            if not (found_dead and node.name == self._struck)
        ]

    def _figures(self) -> Mapping[str, float]:
        highest, lower, turns = -1, 0, 0
        acts: list[tuple[float, str, int]] = []
        for act in sorted(self._acts):
            is_lower = act[2] < highest
            lower += is_lower
            if is_lower and self._rules.fenced:
                continue
            highest = max(highest, act[2])
            turns += self._returns_within_lease(acts, act[0], act[1])
            acts.append(act)
        gaps = [after[0] - before[0] for before, after in pairwise(acts)]
        return {
            "longest_without_s": max(gaps, default=LENGTH_S),
            "lower_number": float(lower),
            "two_in_a_lease": float(turns),
        }

    @staticmethod
    def _returns_within_lease(before: list[tuple[float, str, int]], at_s: float, name: str) -> bool:
        """Whether a holder acts after another one that acted after it, all within a lease."""
        other_between = False
        for before_s, before_name, _offset in reversed(before):
            if at_s - before_s > LEASE_S:
                return False
            if before_name != name:
                other_between = True
            elif other_between:
                return True
        return False


async def run(seed: int) -> BenchResult:
    """Replay every fault at every size of fleet under each set of rules."""
    rows = [
        average_runs(
            f"{rules.name}; {fault.name}, {nodes} nodes",
            [DutiesReplay(rules, fault, nodes, seed + n).run() for n in range(REPEATS)],
        )
        for fault in FAULTS
        for nodes in FLEETS
        for rules in (VARIANTS if nodes == FLEETS[0] else VARIANTS[:KEPT_VARIANTS])
    ]
    note = (
        f"the holder is struck at {FAULT_AT_S:g} s for {FAULT_S:g} s; lower_number: calls that a "
        "fence refuses, or that break a rule where there is none; two_in_a_lease: calls taken of "
        "a holder after another's within a lease"
    )
    return BenchResult("duties", seed, rows, note)
