"""Bench of a request that crashes its targets: ways to share the evidence between nodes.

A discrete-event simulation. One request ends each target that runs it and comes back every few
seconds, with a new id, at nodes drawn at random; its client retries once. Ends are sent on
heartbeats, written to the log, asked of all peers before a second attempt, or kept by each node
for itself. The ledger and the gossip are the product's code; network and store are simulated.
"""

import math
import random
from collections.abc import Callable, Mapping, Sequence
from functools import partial
from heapq import heappop, heappush
from typing import Final, NamedTuple

from ..blackboard import Member
from ..crashes import MIN_CRASHES_TO_REFUSE, CrashedRun, CrashGossip, CrashLedger, CrashVerdict
from ..crashes._request_digest import DIGEST_BYTES
from ..durable import reading_pause_s
from ..durable._crash_records import MIN_RECORDED_CRASHES
from ..peers import HeartbeatCodec, MemberRow, Message, MessageKind
from ._harness import BenchResult, BenchRow, average_runs

DEFAULT_SEED: Final = 29
FLEET_SIZES: Final = (9, 64, 195, 390)
REPEATS: Final = 5
# The request ends a target ``RUN_DURATION_S`` after its run began, at most ``ATTEMPTS_PER_SEND``
# targets for each send; its client sends it a second time after ``CLIENT_RETRY_DELAY_S``.
RUN_DURATION_S: Final = 0.08
ATTEMPTS_PER_SEND: Final = 2
CLIENT_RETRY_DELAY_S: Final = 0.05
ARRIVAL_INTERVAL_S: Final = 5.0
ARRIVALS: Final = 5
# Within this time all connected nodes have to know of the third end.
SPREAD_LIMIT_S: Final = 3.0
HEARTBEAT_S: Final = 0.15
PROBES_PER_HEARTBEAT: Final = 3
DATAGRAM_LOSS_SHARE: Final = 0.01
DATAGRAM_DELAY_S: Final = (0.0002, 0.025)
# Duration of an append to or a read of the log; size of a question to a peer and of its answer.
LOG_CALL_S: Final = 0.004
QUESTION_BYTES: Final = 120
CHECK_INTERVAL_S: Final = 0.01
DURATION_S: Final = ARRIVALS * ARRIVAL_INTERVAL_S

_MEMBER = Member(
    "node-000", "00000000", 0, "z", "10.0.0.1:1", "10.0.0.1:2", 0, False, True, 0, 0, 0
)
_BARE_MESSAGE = Message(MessageKind.PING, 0, "", 1, [MemberRow(_MEMBER, 0)])
# Number of requests that arrive at the same times in the last rows.
SIMULTANEOUS_REQUESTS: Final = 2


class _Node:
    def __init__(self, count: int) -> None:
        self.ledger = CrashLedger()
        self.gossip = CrashGossip(self.ledger, lambda: count)


class Variant(NamedTuple):
    """How nodes learn of the ends that other nodes saw.

    ``log_from`` is the number of ends of a request from which they are written to the log; 0 means
    that nothing is written.
    """

    name: str
    heartbeats: bool = False
    log_from: int = 0
    asks_peers: bool = False


VARIANTS: Final = (
    Variant("heartbeats and log", heartbeats=True, log_from=MIN_RECORDED_CRASHES),
    Variant("heartbeats", heartbeats=True),
    Variant("log", log_from=1),
    Variant("asking peers", asks_peers=True),
    Variant("own ends only"),
)


class CrashReplay:
    """Simulates one fleet and the requests that crash its targets."""

    def __init__(self, variant: Variant, count: int, seed: int, requests: int = 1) -> None:
        """Draw the same arrivals and network delays from ``seed`` for every variant.

        ``requests`` is the number of requests that arrive at the same times.
        """
        self._variant = variant
        self._count = count
        self._rng = random.Random(seed)
        self._network = random.Random(seed + 1)
        self._nodes = [_Node(count) for _ in range(count)]
        self._codec = HeartbeatCodec("bench")
        self._bare_bytes = len(self._codec.pack(_BARE_MESSAGE))
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._sequence = 0
        self._digests = [bytes([number]) * DIGEST_BYTES for number in range(requests)]
        self._end_times_s: dict[bytes, list[float]] = {digest: [] for digest in self._digests}
        self._all_known_at_s = math.inf
        self._next_check_s = 0.0
        self._peer_bytes: dict[int, int] = {}
        self._log_calls = 0
        self._questions = 0

    def run(self) -> Mapping[str, float]:
        """Run the simulation; return the time until all nodes know, the ends, and the costs."""
        for arrival in range(ARRIVALS):
            for digest in self._digests:
                self._schedule(arrival * ARRIVAL_INTERVAL_S, partial(self._arrive, digest))
        if self._variant.heartbeats:
            for number in range(self._count):
                self._schedule(self._network.uniform(0.0, HEARTBEAT_S), self._heartbeat_of(number))
        while self._events:
            at_s, _sequence, action = heappop(self._events)
            if at_s > DURATION_S:
                break
            action(at_s)
            if (
                at_s >= self._next_check_s
                and len(self._end_times_s[self._digests[0]]) >= MIN_CRASHES_TO_REFUSE
            ):
                self._check_all_know(at_s)
        third_s = self._end_times_s[self._digests[0]][MIN_CRASHES_TO_REFUSE - 1]
        peak = max(self._peer_bytes.values(), default=0) / self._count
        return {
            "all_know_s": min(DURATION_S, self._all_known_at_s - third_s),
            "ends": max(len(ends) for ends in self._end_times_s.values()),
            "sent_on": max(_count_sent_on(ends) for ends in self._end_times_s.values()),
            "peak_bytes_per_node_s": peak,
            "store_calls": self._log_calls,
            "questions": self._questions,
        }

    def _schedule(self, at_s: float, action: Callable[[float], None]) -> None:
        self._sequence += 1
        heappush(self._events, (at_s, self._sequence, action))

    def _arrive(self, digest: bytes, at_s: float) -> None:
        first, second = self._rng.sample(range(self._count), 2)

        def send_again(end_s: float) -> None:
            self._send(digest, second, end_s + CLIENT_RETRY_DELAY_S, ATTEMPTS_PER_SEND)

        self._send(digest, first, at_s, ATTEMPTS_PER_SEND, send_again)

    def _send(
        self,
        digest: bytes,
        number: int,
        at_s: float,
        attempts_left: int,
        on_done: Callable[[float], None] | None = None,
    ) -> None:
        """Let a node run the request at one target after another until its attempts are used."""

        def begin_run(now_s: float) -> None:
            if attempts_left == 0 or self._nodes[number].ledger.verdict(digest, now_s) in (
                CrashVerdict.HELD,
                CrashVerdict.REFUSED,
            ):
                if on_done is not None:
                    on_done(now_s)
                return
            self._schedule(now_s + RUN_DURATION_S, lambda end_s: end_run(now_s, end_s))

        def end_run(begun_s: float, now_s: float) -> None:
            ends = self._end_times_s[digest]
            ends.append(now_s)
            target = f"t{digest[0]}.{len(ends)}@0"
            self._observe_end(digest, number, CrashedRun(target, begun_s, now_s, f"n{number}"))
            wait_s = self._ask_peers(digest, number, now_s) if self._variant.asks_peers else 0.0
            self._send(digest, number, now_s + wait_s, attempts_left - 1, on_done)

        self._schedule(at_s, begin_run)

    def _observe_end(self, digest: bytes, number: int, end: CrashedRun) -> None:
        node = self._nodes[number]
        node.ledger.record_crash(digest, end, end.ended_s)
        node.gossip.announce_crash(digest, end.target, end.ended_s)
        crashed_runs = list(node.ledger.suspects[digest].crashed_runs.values())
        if 0 < self._variant.log_from <= len(crashed_runs):
            self._log_calls += 1
            pause_s = reading_pause_s(self._count, runs_work=False)
            for other in self._nodes:
                self._log_calls += 1
                heard_s = end.ended_s + 2.0 * LOG_CALL_S + self._network.uniform(0.0, pause_s)
                self._schedule(heard_s, self._note_ends_at(other, digest, crashed_runs))

    def _note_ends_at(
        self, node: _Node, digest: bytes, ends: Sequence[CrashedRun]
    ) -> Callable[[float], None]:
        def note_ends(now_s: float) -> None:
            for end in ends:
                node.ledger.record_crash(digest, end, now_s)

        return note_ends

    def _ask_peers(self, digest: bytes, number: int, at_s: float) -> float:
        """Ask every peer for its ends; return the delay in seconds until the slowest answer."""
        node = self._nodes[number]
        self._questions += self._count - 1
        self._count_bytes(at_s, 2 * QUESTION_BYTES * (self._count - 1))
        for other in self._nodes:
            suspect = other.ledger.suspects.get(digest)
            for end in suspect.crashed_runs.values() if suspect is not None else ():
                node.ledger.record_crash(digest, end, at_s)
        return 2.0 * max(self._network.uniform(*DATAGRAM_DELAY_S) for _ in range(self._count))

    def _heartbeat_of(self, number: int) -> Callable[[float], None]:
        def send_probes(now_s: float) -> None:
            for _probe in range(PROBES_PER_HEARTBEAT):
                other = self._network.randrange(self._count)
                self._send_gossip(number, other, now_s, answers=True)
            self._schedule(now_s + HEARTBEAT_S, send_probes)

        return send_probes

    def _send_gossip(self, number: int, other: int, now_s: float, *, answers: bool) -> None:
        message = self._nodes[number].gossip.add_updates(_BARE_MESSAGE, now_s)
        if message.crashes:
            self._count_bytes(now_s, len(self._codec.pack(message)) - self._bare_bytes)
        if self._network.random() < DATAGRAM_LOSS_SHARE:
            return

        def arrive(at_s: float) -> None:
            self._nodes[other].gossip.apply_updates(message, at_s)
            if answers:
                self._send_gossip(other, number, at_s, answers=False)

        self._schedule(now_s + self._network.uniform(*DATAGRAM_DELAY_S), arrive)

    def _count_bytes(self, at_s: float, count: int) -> None:
        second = int(at_s)
        self._peer_bytes[second] = self._peer_bytes.get(second, 0) + count

    def _check_all_know(self, now_s: float) -> None:
        """Record the time at which every node knows the third end."""
        self._next_check_s = now_s + CHECK_INTERVAL_S
        suspects = [node.ledger.suspects.get(self._digests[0]) for node in self._nodes]
        if all(
            suspect is not None and len(suspect.crashed_runs) >= MIN_CRASHES_TO_REFUSE
            for suspect in suspects
        ):
            self._all_known_at_s = now_s
            self._next_check_s = math.inf
        else:
            self._schedule(self._next_check_s, lambda _now_s: None)


def _count_sent_on(ends_s: Sequence[float]) -> int:
    """Count the ended runs that began more than ``SPREAD_LIMIT_S`` after the third end."""
    if len(ends_s) < MIN_CRASHES_TO_REFUSE:
        return 0
    known_s = ends_s[MIN_CRASHES_TO_REFUSE - 1] + SPREAD_LIMIT_S
    return sum(at_s - RUN_DURATION_S > known_s for at_s in ends_s)


async def run(seed: int) -> BenchResult:
    """Simulate every variant at every fleet size, and the policy with several requests too."""
    rows = [_row(variant, count, seed) for count in FLEET_SIZES for variant in VARIANTS]
    rows += [_row(VARIANTS[0], count, seed, SIMULTANEOUS_REQUESTS) for count in FLEET_SIZES]
    note = (
        f"one request, back every {ARRIVAL_INTERVAL_S:g} s for {DURATION_S:g} s; sent_on counts "
        f"runs that begin more than {SPREAD_LIMIT_S:g} s after the third end, at most three are "
        f"allowed; all_know_s of {DURATION_S:g} is never"
    )
    return BenchResult("crashes", seed, rows, note)


def _row(variant: Variant, count: int, seed: int, requests: int = 1) -> BenchRow:
    runs = [CrashReplay(variant, count, seed + repeat, requests).run() for repeat in range(REPEATS)]
    name = f"{variant.name}, {count} nodes"
    return average_runs(name if requests == 1 else f"{name}, {requests} requests", runs)
