"""Bench of usage: ways to bring the counts of a window together while nodes are killed.

Pure replay: each node takes calls of workspaces at random; nodes are killed at random moments and
start again without what they had not written. Compared by windows whose figures are right for
every workspace, and by what that costs the log and the network between nodes.
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
FLEETS: Final = (64, 195, 390)
# Calls a second by fleet: what the deployments of that size have, and the designed peak.
CALLS_PER_S: Final[Mapping[int, float]] = {64: 7.0, 195: 60.0, 390: 3100.0}
WORKSPACES: Final = 74
WINDOW_S: Final = 5.0
WINDOWS: Final = 24
REPEATS: Final = 4
# One node in this time: a rack's worth of them in a bad minute.
KILL_EVERY_S: Final = 6.0
TOLERANCE: Final = 0.05
HEARTBEAT_S: Final = 0.15
PEERS: Final = 2
LOST_DATAGRAMS: Final = 0.01
# Of a datagram that carries counts: workspace and number.
ROW_BYTES: Final = 12


class _Node:
    """One node's counts that are not handed on yet, and when it last handed some on."""

    def __init__(self) -> None:
        self.unwritten: Counter[tuple[int, int]] = Counter()
        self.last_s = -WINDOW_S


class Way(NamedTuple):
    """How counts are handed on: to the log, or to peers at each heartbeat.

    ``due_at_s`` says when, by the number of nodes, the time of the first count that is not handed
    on, and when the node last handed some on.
    """

    name: str
    due_at_s: Callable[[int, float, float], float]
    to_peers: bool = False


def _as_rate_allows(nodes: int, at_s: float, last_s: float) -> float:
    return max(at_s + MIN_WRITE_INTERVAL_S, last_s + write_interval_s(nodes))


def _after_a_pause(nodes: int, at_s: float, _last_s: float) -> float:
    return at_s + write_interval_s(nodes)


def _at_window_end(_nodes: int, at_s: float, _last_s: float) -> float:
    return (at_s // WINDOW_S + 1) * WINDOW_S


def _at_once(_nodes: int, at_s: float, _last_s: float) -> float:
    return at_s


def _next_heartbeat(_nodes: int, at_s: float, _last_s: float) -> float:
    return at_s + HEARTBEAT_S


WAYS: Final = (
    Way("to the log, as its rate allows", _as_rate_allows),
    Way("to the log, after a pause", _after_a_pause),
    Way("to the log, at the window's end", _at_window_end),
    Way("to the log, each call", _at_once),
    Way("to two peers on heartbeats", _next_heartbeat, to_peers=True),
)


class UsageReplay:
    """One fleet through some windows."""

    def __init__(self, way: Way, nodes: int, seed: int) -> None:
        """Draw calls and kills from ``seed``, the same for every way."""
        self._way = way
        self._nodes = nodes
        self._rng = random.Random(seed)
        self._loss = random.Random(seed + 1)
        self._kept: Counter[tuple[int, int]] = Counter()
        self._held: list[_Node] = [_Node() for _ in range(nodes)]
        self._appends = 0
        self._log_bytes = 0
        self._peer_bytes = 0

    def run(self) -> Mapping[str, float]:
        """Return windows right, and appends and bytes a second."""
        length_s = WINDOWS * WINDOW_S
        truth: Counter[tuple[int, int]] = Counter()
        at_s, rate = 0.0, CALLS_PER_S[self._nodes]
        next_kill_s = self._rng.expovariate(1.0 / KILL_EVERY_S)
        due: list[tuple[float, int]] = []
        while True:
            at_s += self._rng.expovariate(rate)
            while next_kill_s < min(at_s, length_s):
                self._write_due(due, next_kill_s)
                self._held[self._rng.randrange(self._nodes)] = _Node()
                next_kill_s += self._rng.expovariate(1.0 / KILL_EVERY_S)
            self._write_due(due, at_s)
            if at_s >= length_s:
                break
            node = self._rng.randrange(self._nodes)
            # A few workspaces are large.
            workspace = int(WORKSPACES * self._rng.random() ** 2)
            count = (int(at_s // WINDOW_S), workspace)
            truth[count] += 1
            held = self._held[node]
            if not held.unwritten:
                heappush(due, (self._way.due_at_s(self._nodes, at_s, held.last_s), node))
            held.unwritten[count] += 1
        self._write_due(due, length_s + 2.0 * WINDOW_S)
        return self._figures(truth, length_s)

    def _write_due(self, due: list[tuple[float, int]], until_s: float) -> None:
        while due and due[0][0] <= until_s:
            at_s, node = heappop(due)
            held = self._held[node]
            if not held.unwritten:
                continue
            if self._way.to_peers:
                self._tell_peers(held)
            else:
                self._append(held)
            held.unwritten = Counter()
            held.last_s = at_s

    def _append(self, held: _Node) -> None:
        by_window: dict[int, dict[str, int]] = {}
        for (window, workspace), calls in held.unwritten.items():
            by_window.setdefault(window, {})[f"workspace-{workspace}"] = calls
        self._appends += 1
        for window, counts in by_window.items():
            key, value = encode_entry(CountsAdded(window, counts), "0123456789ab.1")
            self._log_bytes += len(key) + len(value) + 5
        self._kept += held.unwritten

    def _tell_peers(self, held: _Node) -> None:
        """Hand counts to two peers; they are lost with all of their datagrams."""
        self._peer_bytes += PEERS * ROW_BYTES * len(held.unwritten)
        if any(self._loss.random() >= LOST_DATAGRAMS for _peer in range(PEERS)):
            self._kept += held.unwritten

    def _figures(self, truth: Counter[tuple[int, int]], length_s: float) -> Mapping[str, float]:
        wrong = {
            window
            for (window, workspace), calls in truth.items()
            if abs(self._kept[window, workspace] - calls) > TOLERANCE * calls
        }
        # Peers hold counts in memory; each window's sum still has to be written by every node.
        appends = self._appends + (self._nodes * WINDOWS if self._way.to_peers else 0)
        return {
            "windows_right": 1.0 - len(wrong) / WINDOWS,
            "calls_lost": float(truth.total() - self._kept.total()),
            "appends_per_s": appends / length_s,
            "log_bytes_per_s": self._log_bytes / length_s,
            "peer_bytes_per_s": self._peer_bytes / length_s,
        }


async def run(seed: int) -> BenchResult:
    """Replay every way at every size of fleet."""
    rows = [_row(way, nodes, seed) for nodes in FLEETS for way in WAYS]
    note = (
        f"{WINDOWS} windows of {WINDOW_S:g} s, a node killed every {KILL_EVERY_S:g} s; calls a "
        f"second: {', '.join(f'{n} nodes {r:g}' for n, r in CALLS_PER_S.items())}"
    )
    return BenchResult("usage", seed, rows, note)


def _row(way: Way, nodes: int, seed: int) -> BenchRow:
    runs = [UsageReplay(way, nodes, seed + repeat).run() for repeat in range(REPEATS)]
    return average_runs(f"{way.name}, {nodes} nodes", runs)
