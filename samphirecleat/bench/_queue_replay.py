"""Replays a load against the queue of one service in virtual time.

The targets have a few slots, queue some more calls and refuse the rest. A caller that is refused
retries once, after the time it was told or a third of the time it has left.
"""

import heapq
import random
from collections import Counter, deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from functools import partial
from itertools import count
from typing import Final, Protocol

from ..dispatch import Decision, QueuedCall, Refusal, ServiceQueue, Start, TimeLeft, Wait
from ..serving import SendOutcome, Target

TARGET_COUNT: Final = 3
SLOTS: Final = 6
TARGET_QUEUE: Final = 24
HOP_S: Final = 0.0005
SWEEP_S: Final = 0.01
OBJECTIVE_S: Final = 0.151
# Work and time until the deadline of callers' and of trainers' calls.
CALLER_TIMES_S: Final = (0.025, 2.011)
TRAINER_TIMES_S: Final = (0.03, 1.508)
WORK_SPREAD: Final = (0.7, 1.3)
Finish = Callable[[SendOutcome], None]


class Queue(Protocol):
    """The decisions that are replayed; see ``ServiceQueue``."""

    def offer(self, entry: QueuedCall, now_s: float) -> Decision:
        """Decide on a new call."""
        ...

    def put_back(self, entry: QueuedCall, now_s: float) -> Decision:
        """Decide on a call that a target did not run."""
        ...

    def finish(self, start: Start, outcome: SendOutcome, now_s: float) -> None:
        """End a started call."""
        ...

    def advance(self, now_s: float) -> Sequence[Start | Refusal]:
        """Return the waiting calls that start now or are refused."""
        ...


def replayed_targets() -> Sequence[Target]:
    """Return the registrations of the targets."""
    names = [f"t{number}" for number in range(TARGET_COUNT)]
    return [Target(name, "svc", f"{name}:1", "z", SLOTS, False) for name in names]


def queue_of_all_targets() -> ServiceQueue:
    """Return a queue that knows all targets, none of which is better to reach than another."""
    queue = ServiceQueue(lambda _target, _now_s: 0.0, lambda _target: False)
    queue.set_targets(replayed_targets())
    return queue


@dataclass
class ReplayedTarget:
    """A target; it is ``slowness`` times slower than usual, and closes connections if ``lost``.

    With an infinite slowness it is silent.
    """

    slowness: float = 1.0
    lost: bool = False
    running: int = 0
    queued: deque[tuple[float, Finish]] = field(default_factory=deque)


@dataclass
class ReplayedCaller:
    """A call with at most one retry; ``latency_s`` is that of the try which was answered."""

    workspace: str
    made_at_s: float
    deadline_s: float
    work_s: float
    for_trainer: bool
    tries: int = 0
    latency_s: float = -1.0
    answered_at_s: float = -1.0
    refusals: list[Refusal] = field(default_factory=list)
    waits_s: list[float] = field(default_factory=list)

    @property
    def is_in_time(self) -> bool:
        """Whether it was answered within the objective of that try."""
        return 0.0 <= self.latency_s <= OBJECTIVE_S


class Replay:
    """One load; several queues over the same targets are those of nodes which all own them."""

    def __init__(self, seed: int, queues: Sequence[Queue]) -> None:
        """Play against ``queues``, each of which has the targets ``replayed_targets()``."""
        self.rng = random.Random(seed)
        self.now_s = 1.0
        self.targets = {target.instance: ReplayedTarget() for target in replayed_targets()}
        self._queues = queues
        self._left = [TimeLeft() for _ in queues]
        self.callers: list[ReplayedCaller] = []
        self.sends: Counter[str] = Counter()
        self.refused_sends = 0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = count()
        self._entries: dict[int, ReplayedCaller] = {}

    def at(self, time_s: float, action: Callable[[], None]) -> None:
        """Schedule an action."""
        heapq.heappush(self._events, (time_s, next(self._order), action))

    def run(self, until_s: float) -> None:
        """Play up to a time."""
        for owner in range(len(self._queues)):
            self._sweep(owner)
        while self._events[0][0] <= until_s:
            self.now_s, _, action = heapq.heappop(self._events)
            action()

    def load(
        self,
        per_s: float,
        start_s: float,
        end_s: float,
        workspaces: Callable[[], str] = lambda: "w",
        for_trainer: bool = False,
    ) -> None:
        """Add calls at random times, ``per_s`` of them a second."""
        work_s, left_s = TRAINER_TIMES_S if for_trainer else CALLER_TIMES_S
        time_s = start_s
        while (time_s := time_s + self.rng.expovariate(per_s)) < end_s:
            work = work_s * self.rng.uniform(*WORK_SPREAD)
            caller = ReplayedCaller(workspaces(), time_s, time_s + left_s, work, for_trainer)
            self.callers.append(caller)
            self.at(time_s, partial(self._arrive, caller))

    def _arrive(self, caller: ReplayedCaller) -> None:
        caller.tries += 1
        owner, now_s = self.rng.randrange(len(self._queues)), self.now_s
        returning = not caller.for_trainer and self._left[owner].is_returning(
            caller.deadline_s - now_s
        )
        times_s = now_s, caller.deadline_s, now_s + OBJECTIVE_S
        entry = QueuedCall(next(self._order), *times_s, caller.for_trainer, 5, caller.workspace, 9)
        self._entries[entry.key] = caller
        decision = self._queues[owner].offer(entry._replace(returning=returning), now_s)
        if not isinstance(decision, Wait):
            self._settle(owner, decision)
            return
        if decision.replaced is not None:
            self._settle(owner, decision.replaced)
        self._advance(owner)

    def _settle(self, owner: int, decision: Start | Refusal) -> None:
        if isinstance(decision, Start):
            self._send(owner, decision)
            return
        caller = self._entries.pop(decision.entry.key)
        caller.refusals.append(decision)
        caller.waits_s.append(self.now_s - decision.entry.arrival_s)
        if caller.tries == 1:
            delay_s = min(decision.retry_after_s, (caller.deadline_s - self.now_s) / 3)
            self.at(self.now_s + delay_s + 2 * HOP_S, lambda: self._arrive(caller))

    def _advance(self, owner: int) -> None:
        for decision in self._queues[owner].advance(self.now_s):
            self._settle(owner, decision)

    def _sweep(self, owner: int) -> None:
        self._advance(owner)
        self.at(self.now_s + SWEEP_S, lambda: self._sweep(owner))

    def _send(self, owner: int, start: Start) -> None:
        name = start.limiter.target.instance
        work_s = self._entries[start.entry.key].work_s
        self.sends[name] += 1

        def finish(outcome: SendOutcome) -> None:
            self.at(self.now_s + HOP_S, lambda: self._finish(owner, start, outcome))

        self.at(self.now_s + HOP_S, lambda: self._receive(self.targets[name], work_s, finish))

    def _receive(self, at: ReplayedTarget, work_s: float, finish: Finish) -> None:
        if at.lost:
            finish(SendOutcome.FAILED)
        elif at.running < SLOTS:
            self._run(at, work_s, finish)
        elif len(at.queued) < TARGET_QUEUE:
            at.queued.append((work_s, finish))
        else:
            self.refused_sends += 1
            finish(SendOutcome.REFUSED)

    def _run(self, at: ReplayedTarget, work_s: float, finish: Finish) -> None:
        def done() -> None:
            at.running -= 1
            finish(SendOutcome.FAILED if at.lost else SendOutcome.ANSWERED)
            if at.queued:
                self._run(at, *at.queued.popleft())

        at.running += 1
        self.at(self.now_s + work_s * at.slowness, done)

    def _finish(self, owner: int, start: Start, outcome: SendOutcome) -> None:
        queue, entry = self._queues[owner], start.entry
        queue.finish(start, outcome, self.now_s)
        if outcome is SendOutcome.ANSWERED:
            caller = self._entries.pop(entry.key)
            caller.latency_s = self.now_s - entry.arrival_s
            caller.answered_at_s = self.now_s
        else:
            # Idempotent calls are sent again also after a failure.
            failed = outcome is SendOutcome.FAILED
            again = entry._replace(repeated=entry.repeated or failed)
            decision = queue.put_back(again, self.now_s)
            if not isinstance(decision, Wait):
                self._settle(owner, decision)
        self._advance(owner)
