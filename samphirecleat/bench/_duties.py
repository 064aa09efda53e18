"""Bench of duties: who acts while a holder is frozen, cut off or killed, and after it recovers.

A simulation in steps of virtual time. The election, the fold of claims, and the two conditions
under which a holder acts are the product's code; the log, the membership and the platform are
simulated. The baselines are a holder that does not confirm its claim in the log, and a successor
(the heir in the names of rows) that does not wait.
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
FLEET_SIZES: Final = (9, 64, 195, 390)
REPEATS: Final = 6
SUBJECT: Final = "duty:bench"
DURATION_S: Final = 40.0
TICK_S: Final = 0.05
LEASE_S: Final = 3.0
# Delay from a record's append to its fold at a node; time until a silent node is considered dead.
FOLD_DELAY_S: Final = (0.01, 0.25)
DETECTION_DELAY_S: Final = (0.5, 1.3)
# Delay of a late call, which the platform executes after its caller gave it up. Other calls are
# executed at once.
LATE_CALL_DELAY_S: Final = (1.0, 6.0)
CALL_INTERVAL_S: Final = 0.4
FAULT_AT_S: Final = 8.0
FAULT_DURATION_S: Final = 5.0


class Fault(NamedTuple):
    """What happens to the holder at ``FAULT_AT_S``.

    ``keeps_running``: its process goes on. ``reads_log``: it can still read the log.
    ``recovers``: the fault ends after ``FAULT_DURATION_S``. ``has_late_calls``: its last calls
    before the fault are executed ``LATE_CALL_DELAY_S`` later.
    """

    name: str
    keeps_running: bool
    reads_log: bool
    recovers: bool
    has_late_calls: bool = False


FAULTS: Final = (
    Fault("frozen, woken after its heir acted", False, False, True),
    Fault("cut one way", True, False, True),
    Fault("killed as its call is under way", False, False, False, has_late_calls=True),
)


class Rules(NamedTuple):
    """Conditions under which a holder acts, and whether its calls are fenced.

    A successor waits ``successor_wait_s`` after it took the duty over. With ``confirms_claim``, a
    holder acts only if it read the log recently. Where calls are ``fenced``, the platform refuses a
    call whose fencing number is lower than that of an earlier call.
    """

    name: str
    successor_wait_s: float
    confirms_claim: bool = True
    fenced: bool = False


VARIANTS: Final = (
    Rules("no fences, heir waits", takeover_wait_s(LEASE_S, fenced=False)),
    Rules(
        "fences, heir waits for calls under way", takeover_wait_s(LEASE_S, fenced=True), fenced=True
    ),
    Rules("no fences, heir does not wait", 0.0),
    Rules("fences, heir does not wait", 0.0, fenced=True),
    Rules("fences, claim not confirmed", 0.0, confirms_claim=False, fenced=True),
)
# The first variants are the product's rules; the others show what these rules prevent.
PRODUCT_VARIANT_COUNT: Final = 2


class _Node:
    """The state of one node: its fold of the log and its claims."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.next_offset = 0
        self.fold = StepFold()
        self.confirmed_at_s = 0.0
        self.held_since_s: dict[int, float] = {}
        self.claimed_at_s = -1e9
        self.claim_seen_at_s = -1e9


class DutiesReplay:
    """Simulates one fleet with one fault under one set of rules."""

    def __init__(self, rules: Rules, fault: Fault, nodes: int, seed: int) -> None:
        """Draw all delays from ``seed``."""
        self._rules = rules
        self._fault = fault
        self._rng = random.Random(seed)
        self._nodes = [_Node(f"n{number:03d}") for number in range(nodes)]
        self._log: list[tuple[float, RunnerClaimed]] = []
        self._faulted_node = ""
        self._detected_at_s = FAULT_AT_S + self._rng.uniform(*DETECTION_DELAY_S)
        self._holder_calls: list[tuple[float, str, int]] = []
        self._next_call_s: dict[str, float] = {}
        self._candidates: list[Candidate] = []
        self._alive_names: set[str] = set()

    def run(self) -> Mapping[str, float]:
        """Run the simulation; return the longest gap between calls and counts of violations."""
        now_s = 0.0
        while now_s < DURATION_S:
            self._candidates = self._find_alive(now_s)
            self._alive_names = {candidate.incarnation for candidate in self._candidates}
            for node in self._nodes:
                if self._is_running(node, now_s):
                    self._step_node(node, now_s)
            now_s += TICK_S
        return self._figures()

    def _is_running(self, node: _Node, now_s: float) -> bool:
        return (
            node.name != self._faulted_node or self._is_healthy(now_s) or self._fault.keeps_running
        )

    def _reads_log(self, node: _Node, now_s: float) -> bool:
        return node.name != self._faulted_node or self._is_healthy(now_s) or self._fault.reads_log

    def _is_healthy(self, now_s: float) -> bool:
        if now_s < FAULT_AT_S:
            return True
        return self._fault.recovers and now_s >= FAULT_AT_S + FAULT_DURATION_S

    def _step_node(self, node: _Node, now_s: float) -> None:
        if self._reads_log(node, now_s):
            self._fold_log(node, now_s)
        claim = node.fold.claims.get(SUBJECT)
        if claim is not None and claim.node_id == node.name:
            self._act_as_holder(node, claim.offset, claim.previous_node_id, now_s)
        elif self._reads_log(node, now_s):
            self._claim_if_due(node, now_s)

    def _fold_log(self, node: _Node, now_s: float) -> None:
        while node.next_offset < len(self._log) and self._log[node.next_offset][0] <= now_s:
            record = self._log[node.next_offset][1]
            if node.fold.apply(record, node.next_offset, now_s):
                node.claim_seen_at_s = now_s
            node.next_offset += 1
        node.confirmed_at_s = now_s

    def _act_as_holder(self, node: _Node, offset: int, previous: str, now_s: float) -> None:
        held_from_s = node.held_since_s.setdefault(offset, now_s)
        follows_other = previous not in ("", node.name)
        successor_wait_s = self._rules.successor_wait_s if follows_other else 0.0
        confirmed = now_s - node.confirmed_at_s <= MAX_CONFIRMATION_AGE_S
        if now_s - held_from_s < successor_wait_s or (self._rules.confirms_claim and not confirmed):
            return
        if now_s < self._next_call_s.get(node.name, 0.0):
            return
        self._next_call_s[node.name] = now_s + CALL_INTERVAL_S
        late_s = self._rng.uniform(*LATE_CALL_DELAY_S) if self._is_late(now_s) else 0.0
        self._holder_calls.append((now_s + late_s, node.name, offset))
        if now_s >= FAULT_AT_S - CALL_INTERVAL_S and not self._faulted_node:
            self._faulted_node = node.name

    def _is_late(self, now_s: float) -> bool:
        return self._fault.has_late_calls and FAULT_AT_S - CALL_INTERVAL_S <= now_s < FAULT_AT_S

    def _claim_if_due(self, node: _Node, now_s: float) -> None:
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
            self._log.append((now_s + self._rng.uniform(*FOLD_DELAY_S), record))

    def _find_alive(self, now_s: float) -> list[Candidate]:
        """Return the nodes that the membership considers alive."""
        found_dead = not self._is_healthy(now_s) and now_s >= self._detected_at_s
        return [
            Candidate(node.name, node.name, 0)
            for node in self._nodes
            if not (found_dead and node.name == self._faulted_node)
        ]

    def _figures(self) -> Mapping[str, float]:
        highest, lower, returns = -1, 0, 0
        calls: list[tuple[float, str, int]] = []
        for call in sorted(self._holder_calls):
            is_lower = call[2] < highest
            lower += is_lower
            if is_lower and self._rules.fenced:
                continue
            highest = max(highest, call[2])
            returns += self._returns_within_lease(calls, call[0], call[1])
            calls.append(call)
        gaps = [after[0] - before[0] for before, after in pairwise(calls)]
        return {
            "longest_without_s": max(gaps, default=DURATION_S),
            "lower_number": float(lower),
            "two_in_a_lease": float(returns),
        }

    @staticmethod
    def _returns_within_lease(
        earlier: list[tuple[float, str, int]], at_s: float, name: str
    ) -> bool:
        """Whether a holder acts again within a lease although another holder acted in between."""
        other_between = False
        for earlier_s, earlier_name, _offset in reversed(earlier):
            if at_s - earlier_s > LEASE_S:
                return False
            if earlier_name != name:
                other_between = True
            elif other_between:
                return True
        return False


async def run(seed: int) -> BenchResult:
    """Simulate every fault at every fleet size under each set of rules.

    Sizes other than the smallest run only the product's rules.
    """
    rows = [
        average_runs(
            f"{rules.name}; {fault.name}, {nodes} nodes",
            [DutiesReplay(rules, fault, nodes, seed + n).run() for n in range(REPEATS)],
        )
        for fault in FAULTS
        for nodes in FLEET_SIZES
        for rules in (VARIANTS if nodes == FLEET_SIZES[0] else VARIANTS[:PRODUCT_VARIANT_COUNT])
    ]
    note = (
        f"the holder fails at {FAULT_AT_S:g} s for {FAULT_DURATION_S:g} s; lower_number: calls "
        "with a lower fencing number than an earlier call, refused where fences are checked; "
        "two_in_a_lease: calls accepted from a holder after another's within a lease"
    )
    return BenchResult("duties", seed, rows, note)
