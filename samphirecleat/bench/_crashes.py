"""Bench of a request that ends its targets: ways in which nodes can hear of it from each other.

Pure replay: one request ends each target that runs it and comes back every few seconds, with a new
id, at nodes drawn at random; its client tries again once. Ends are told on heartbeats, written to
the log, asked of all peers before a second attempt, or kept by each node for itself. The ledger
and the news are the product's own.
"""

import math
import random
from collections.abc import Callable, Mapping, Sequence
from functools import partial
from heapq import heappop, heappush
from typing import Final, NamedTuple

from ..blackboard import Member
from ..crashes import MIN_ENDS_TO_REFUSE, CrashGossip, CrashLedger, CrashVerdict, RunEnd
from ..crashes._request_digest import DIGEST_BYTES
from ..durable import reading_pause_s
from ..durable._crash_records import MIN_RECORDED_ENDS
from ..peers import HeartbeatCodec, MemberRow, Message, MessageKind
from ._harness import BenchResult, BenchRow, average_runs

DEFAULT_SEED: Final = 29
FLEETS: Final = (9, 64, 195, 390)
REPEATS: Final = 5
# The request: it ends a target so long after it began, at most so many for a sending, and its
# client's second sending follows so soon.
RUN_S: Final = 0.08
ATTEMPTS: Final = 2
AGAIN_S: Final = 0.05
COMES_BACK_S: Final = 5.0
ARRIVALS: Final = 5
# All nodes in touch may take so long to know of the third end.
TOUCH_S: Final = 3.0
HEARTBEAT_S: Final = 0.15
PROBES: Final = 3
LOST_DATAGRAMS: Final = 0.01
DATAGRAM_S: Final = (0.0002, 0.025)
# An append or a read of the store, and what a question to a peer costs.
STORE_S: Final = 0.004
QUESTION_BYTES: Final = 120
LOOK_S: Final = 0.01
LENGTH_S: Final = ARRIVALS * COMES_BACK_S

_ROW = Member("node-000", "00000000", 0, "z", "10.0.0.1:1", "10.0.0.1:2", 0, False, True, 0, 0, 0)
_EMPTY = Message(MessageKind.PING, 0, "", 1, [MemberRow(_ROW, 0)])
# Requests that come at the same times.
TOGETHER: Final = 2


class _Node:
    def __init__(self, count: int) -> None:
        self.ledger = CrashLedger()
        self.news = CrashGossip(self.ledger, lambda: count)


class Way(NamedTuple):
    """How nodes hear of an end, beside keeping their own; 0 for ``log_from`` is no log."""

    name: str
    heartbeats: bool = False
    log_from: int = 0
    asks: bool = False


WAYS: Final = (
    Way("heartbeats and log", heartbeats=True, log_from=MIN_RECORDED_ENDS),
    Way("heartbeats", heartbeats=True),
    Way("log", log_from=1),
    Way("asking peers", asks=True),
    Way("own ends only"),
)


class CrashReplay:
    """One fleet and one request."""

    def __init__(self, way: Way, count: int, seed: int, requests: int = 1) -> None:
        """Draw arrivals and the network from ``seed``, the same for every way.

        So many ``requests`` that end their targets come at the same times.
        """
        self._way = way
        self._count = count
        self._rng = random.Random(seed)
        self._network = random.Random(seed + 1)
        self._nodes = [_Node(count) for _ in range(count)]
        self._codec = HeartbeatCodec("bench")
        self._plain_bytes = len(self._codec.pack(_EMPTY))
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._number = 0
        self._marks = [bytes([number]) * DIGEST_BYTES for number in range(requests)]
        self._ends: dict[bytes, list[float]] = {mark: [] for mark in self._marks}
        self._known_s = math.inf
        self._next_look_s = 0.0
        self._peer_bytes: dict[int, int] = {}
        self._store_calls = 0
        self._questions = 0

    def run(self) -> Mapping[str, float]:
        """Return how long nodes take to know, what the request still ends, and what that costs."""
        for arrival in range(ARRIVALS):
            for mark in self._marks:
                self._at(arrival * COMES_BACK_S, partial(self._arrive, mark))
        if self._way.heartbeats:
            for number in range(self._count):
                self._at(self._network.uniform(0.0, HEARTBEAT_S), self._beat_of(number))
        while self._events:
            at_s, _number, act = heappop(self._events)
            if at_s > LENGTH_S:
                break
            act(at_s)
            if at_s >= self._next_look_s and len(self._ends[self._marks[0]]) >= MIN_ENDS_TO_REFUSE:
                self._look_who_knows(at_s)
        third_s = self._ends[self._marks[0]][MIN_ENDS_TO_REFUSE - 1]
        peak = max(self._peer_bytes.values(), default=0) / self._count
        return {
            "all_know_s": min(LENGTH_S, self._known_s - third_s),
            "ends": max(len(ends) for ends in self._ends.values()),
            "sent_on": max(_sent_on(ends) for ends in self._ends.values()),
            "peak_bytes_per_node_s": peak,
            "store_calls": self._store_calls,
            "questions": self._questions,
        }

    def _at(self, at_s: float, act: Callable[[float], None]) -> None:
        self._number += 1
        heappush(self._events, (at_s, self._number, act))

    def _arrive(self, mark: bytes, at_s: float) -> None:
        first, second = self._rng.sample(range(self._count), 2)

        def again(end_s: float) -> None:
            self._send(mark, second, end_s + AGAIN_S, ATTEMPTS)

        self._send(mark, first, at_s, ATTEMPTS, again)

    def _send(
        self,
        mark: bytes,
        number: int,
        at_s: float,
        attempts: int,
        after: Callable[[float], None] | None = None,
    ) -> None:
        """Have a node run the request at one target, and then at the next."""

        def begin(now_s: float) -> None:
            if attempts == 0 or self._nodes[number].ledger.verdict(mark, now_s) in (
                CrashVerdict.HELD,
                CrashVerdict.REFUSED,
            ):
                if after is not None:
                    after(now_s)
                return
            self._at(now_s + RUN_S, lambda end_s: end(now_s, end_s))

        def end(begun_s: float, now_s: float) -> None:
            ends = self._ends[mark]
            ends.append(now_s)
            name = f"t{mark[0]}.{len(ends)}@0"
            self._see(mark, number, RunEnd(name, begun_s, now_s, f"n{number}"))
            wait_s = self._ask(mark, number, now_s) if self._way.asks else 0.0
            self._send(mark, number, now_s + wait_s, attempts - 1, after)

        self._at(at_s, begin)

    def _see(self, mark: bytes, number: int, end: RunEnd) -> None:
        node = self._nodes[number]
        node.ledger.record_end(mark, end, end.ended_s)
        node.news.announce_end(mark, end.target, end.ended_s)
        ends = list(node.ledger.suspects[mark].ends.values())
        if 0 < self._way.log_from <= len(ends):
            self._store_calls += 1
            pause_s = reading_pause_s(self._count, runs_work=False)
            for other in self._nodes:
                self._store_calls += 1
                heard_s = end.ended_s + 2.0 * STORE_S + self._network.uniform(0.0, pause_s)
                self._at(heard_s, self._hear_of(other, mark, ends))

    def _hear_of(self, node: _Node, mark: bytes, ends: Sequence[RunEnd]) -> Callable[[float], None]:
        def hear(now_s: float) -> None:
            for end in ends:
                node.ledger.record_end(mark, end, now_s)

        return hear

    def _ask(self, mark: bytes, number: int, at_s: float) -> float:
        """Ask every peer what it has seen; return how long the slowest answer takes."""
        node = self._nodes[number]
        self._questions += self._count - 1
        self._count_bytes(at_s, 2 * QUESTION_BYTES * (self._count - 1))
        for other in self._nodes:
            suspect = other.ledger.suspects.get(mark)
            for end in suspect.ends.values() if suspect is not None else ():
                node.ledger.record_end(mark, end, at_s)
        return 2.0 * max(self._network.uniform(*DATAGRAM_S) for _ in range(self._count))

    def _beat_of(self, number: int) -> Callable[[float], None]:
        def beat(now_s: float) -> None:
            for _probe in range(PROBES):
                other = self._network.randrange(self._count)
                self._tell(number, other, now_s, answers=True)
            self._at(now_s + HEARTBEAT_S, beat)

        return beat

    def _tell(self, number: int, other: int, now_s: float, *, answers: bool) -> None:
        message = self._nodes[number].news.add_updates(_EMPTY, now_s)
        if message.crashes:
            self._count_bytes(now_s, len(self._codec.pack(message)) - self._plain_bytes)
        if self._network.random() < LOST_DATAGRAMS:
            return

        def arrive(at_s: float) -> None:
            self._nodes[other].news.apply_updates(message, at_s)
            if answers:
                self._tell(other, number, at_s, answers=False)

        self._at(now_s + self._network.uniform(*DATAGRAM_S), arrive)

    def _count_bytes(self, at_s: float, count: int) -> None:
        second = int(at_s)
        self._peer_bytes[second] = self._peer_bytes.get(second, 0) + count

    def _look_who_knows(self, now_s: float) -> None:
        """Note the moment at which the last node holds the third end."""
        self._next_look_s = now_s + LOOK_S
        known = [node.ledger.suspects.get(self._marks[0]) for node in self._nodes]
        if all(
            suspect is not None and len(suspect.ends) >= MIN_ENDS_TO_REFUSE for suspect in known
        ):
            self._known_s = now_s
            self._next_look_s = math.inf
        else:
            self._at(self._next_look_s, lambda _now_s: None)


def _sent_on(ends_s: Sequence[float]) -> int:
    """Return how many ends of a request began when all nodes could know of its third."""
    if len(ends_s) < MIN_ENDS_TO_REFUSE:
        return 0
    known_s = ends_s[MIN_ENDS_TO_REFUSE - 1] + TOUCH_S
    return sum(at_s - RUN_S > known_s for at_s in ends_s)


async def run(seed: int) -> BenchResult:
    """Replay every way at every size of fleet, and the kept one with several requests."""
    rows = [_row(way, count, seed) for count in FLEETS for way in WAYS]
    rows += [_row(WAYS[0], count, seed, TOGETHER) for count in FLEETS]
    note = (
        f"one request, back every {COMES_BACK_S:g} s for {LENGTH_S:g} s; sent_on counts what "
        f"begins later than {TOUCH_S:g} s after the third end, of which three are allowed; "
        f"all_know_s of {LENGTH_S:g} is never"
    )
    return BenchResult("crashes", seed, rows, note)


def _row(way: Way, count: int, seed: int, requests: int = 1) -> BenchRow:
    runs = [CrashReplay(way, count, seed + repeat, requests).run() for repeat in range(REPEATS)]
    name = f"{way.name}, {count} nodes"
    return average_runs(name if requests == 1 else f"{name}, {requests} requests", runs)
