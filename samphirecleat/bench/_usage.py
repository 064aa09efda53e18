"""Bench of usage: ways to aggregate the counts of a window while nodes are killed.

A simulation in virtual time. Each node takes calls of workspaces at random; nodes are killed at
random and restart without the counts that they had not written. The variants are compared by the
windows whose counts are right for every workspace, and by their load on the log and the network.
"""

import random
from collections import Counter
from collections.abc import Callable, Mapping
from heapq import heappop, heappush
from typing import Final, NamedTuple

from ..usage import CountsAdded, write_interval_s
from ..usage._counter import MIN_WRITE_INTERVAL_S
from ..usage._records import encode_entry
from ._harness import BenchResult, BenchRow, average_runs

DEFAULT_SEED: Final = 23
FLEET_SIZES: Final = (64, 195, 390)
# Calls per second by number of nodes: those of deployments of that size; at 390 the design peak.
CALLS_PER_S: Final[Mapping[int, float]] = {64: 7.0, 195: 60.0, 390: 3100.0}
WORKSPACES: Final = 74
WINDOW_S: Final = 5.0
WINDOWS: Final = 24
REPEATS: Final = 4
# Mean time between two kills: about as many nodes a minute as the loss of a rack takes.
KILL_INTERVAL_S: Final = 6.0
COUNT_TOLERANCE: Final = 0.05
HEARTBEAT_S: Final = 0.15
PEERS: Final = 2
DATAGRAM_LOSS_SHARE: Final = 0.01
# Size of one count in a datagram: workspace and number.
COUNT_BYTES: Final = 12


class _Node:
    """One node's counts that are not sent yet, and the time of its last write."""

    def __init__(self) -> None:
        self.unwritten: Counter[tuple[int, int]] = Counter()
        self.last_write_s = -WINDOW_S


class Variant(NamedTuple):
    """When and where a node writes its counts: to the log, or to peers on heartbeats.

    ``due_at_s`` returns the time of the next write from the number of nodes, the time of the first
    unwritten count and the time of the last write.
    """

    name: str
    due_at_s: Callable[[int, float, float], float]
    uses_peers: bool = False


def _when_rate_allows(nodes: int, at_s: float, last_write_s: float) -> float:
    return max(at_s + MIN_WRITE_INTERVAL_S, last_write_s + write_interval_s(nodes))


def _after_a_pause(nodes: int, at_s: float, _last_s: float) -> float:
    return at_s + write_interval_s(nodes)


def _at_window_end(_nodes: int, at_s: float, _last_s: float) -> float:
    return (at_s // WINDOW_S + 1) * WINDOW_S


def _immediately(_nodes: int, at_s: float, _last_s: float) -> float:
    return at_s


def _next_heartbeat(_nodes: int, at_s: float, _last_s: float) -> float:
    return at_s + HEARTBEAT_S


VARIANTS: Final = (
    Variant("to the log, as its rate allows", _when_rate_allows),
    Variant("to the log, after a pause", _after_a_pause),
    Variant("to the log, at the window's end", _at_window_end),
    Variant("to the log, each call", _immediately),
    Variant("to two peers on heartbeats", _next_heartbeat, uses_peers=True),
)


class UsageReplay:
    """Simulates one fleet for ``WINDOWS`` windows."""

    def __init__(self, variant: Variant, nodes: int, seed: int) -> None:
        """Draw the same calls and kills from ``seed`` for every variant."""
        self._variant = variant
        self._nodes = nodes
        self._rng = random.Random(seed)
        self._loss_rng = random.Random(seed + 1)
        self._counted: Counter[tuple[int, int]] = Counter()
        self._pending: list[_Node] = [_Node() for _ in range(nodes)]
        self._appends = 0
        self._log_bytes = 0
        self._peer_bytes = 0

    def run(self) -> Mapping[str, float]:
        """Run the simulation; return the share of right windows, lost calls and load per second."""
        length_s = WINDOWS * WINDOW_S
        expected: Counter[tuple[int, int]] = Counter()
        at_s, rate = 0.0, CALLS_PER_S[self._nodes]
        next_kill_s = self._rng.expovariate(1.0 / KILL_INTERVAL_S)
        due: list[tuple[float, int]] = []
        while True:
            at_s += self._rng.expovariate(rate)
            while next_kill_s < min(at_s, length_s):
                self._write_due(due, next_kill_s)
                self._pending[self._rng.randrange(self._nodes)] = _Node()
                next_kill_s += self._rng.expovariate(1.0 / KILL_INTERVAL_S)
            self._write_due(due, at_s)
            if at_s >= length_s:
                break
            node = self._rng.randrange(self._nodes)
            # Squared, so that a few workspaces have most calls.
            workspace = int(WORKSPACES * self._rng.random() ** 2)
            count = (int(at_s // WINDOW_S), workspace)
            expected[count] += 1
            pending = self._pending[node]
            if not pending.unwritten:
                heappush(
                    due, (self._variant.due_at_s(self._nodes, at_s, pending.last_write_s), node)
                )
            pending.unwritten[count] += 1
        self._write_due(due, length_s + 2.0 * WINDOW_S)
        return self._figures(expected, length_s)

    def _write_due(self, due: list[tuple[float, int]], until_s: float) -> None:
        while due and due[0][0] <= until_s:
            at_s, node = heappop(due)
            pending = self._pending[node]
            if not pending.unwritten:
                continue
            if self._variant.uses_peers:
                self._send_to_peers(pending)
            else:
                self._append(pending)
            pending.unwritten = Counter()
            pending.last_write_s = at_s

    def _append(self, pending: _Node) -> None:
        by_window: dict[int, dict[str, int]] = {}
        for (window, workspace), calls in pending.unwritten.items():
            by_window.setdefault(window, {})[f"workspace-{workspace}"] = calls
        self._appends += 1
        for window, counts in by_window.items():
            key, value = encode_entry(CountsAdded(window, counts), "0123456789ab.1")
            self._log_bytes += len(key) + len(value) + 5
        self._counted += pending.unwritten

    def _send_to_peers(self, pending: _Node) -> None:
        """Send counts to ``PEERS`` peers; they are lost only if every datagram is lost."""
        self._peer_bytes += PEERS * COUNT_BYTES * len(pending.unwritten)
        if any(self._loss_rng.random() >= DATAGRAM_LOSS_SHARE for _peer in range(PEERS)):
            self._counted += pending.unwritten

    def _figures(self, expected: Counter[tuple[int, int]], length_s: float) -> Mapping[str, float]:
        wrong = {
            window
            for (window, workspace), calls in expected.items()
            if abs(self._counted[window, workspace] - calls) > COUNT_TOLERANCE * calls
        }
        # Peers keep counts in memory only: each node still has to append its sum of each window.
        appends = self._appends + (self._nodes * WINDOWS if self._variant.uses_peers else 0)
        return {
            "windows_right": 1.0 - len(wrong) / WINDOWS,
            "calls_lost": float(expected.total() - self._counted.total()),
            "appends_per_s": appends / length_s,
            "log_bytes_per_s": self._log_bytes / length_s,
            "peer_bytes_per_s": self._peer_bytes / length_s,
        }


async def run(seed: int) -> BenchResult:
    """Simulate every variant at every fleet size."""
    rows = [_row(variant, nodes, seed) for nodes in FLEET_SIZES for variant in VARIANTS]
    note = (
        f"{WINDOWS} windows of {WINDOW_S:g} s, a node killed every {KILL_INTERVAL_S:g} s; calls a "
        f"second: {', '.join(f'{n} nodes {r:g}' for n, r in CALLS_PER_S.items())}"
    )
    return BenchResult("usage", seed, rows, note)


def _row(variant: Variant, nodes: int, seed: int) -> BenchRow:
    runs = [UsageReplay(variant, nodes, seed + repeat).run() for repeat in range(REPEATS)]
    return average_runs(f"{variant.name}, {nodes} nodes", runs)
