"""Replays a load against a service's queue in virtual time, with targets that refuse when full."""

import heapq
import random
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count

from samphirecleat.dispatch._decisions import Refusal, Start, Wait
from samphirecleat.dispatch._line import SWEEP_S, ServiceLine
from samphirecleat.dispatch._time_left import TimeLeft
from samphirecleat.dispatch._waiting_calls import LineEntry
from samphirecleat.serving import SendOutcome, Target

HOP_S = 0.0005


def target(name: str, slots: int = 6) -> Target:
    return Target(name, "svc", f"{name}:1", "z", slots, False)


def make_line(*targets: Target) -> ServiceLine:
    line = ServiceLine(lambda _target, _now_s: 0.0, lambda _target: False)
    line.set_targets(targets)
    return line


@dataclass
class FakeTarget:
    """Runs ``slots`` calls at once, queues 24 and refuses others; ``lost`` ones close at once."""

    slots: int = 6
    slowness: float = 1.0
    lost: bool = False
    running: int = 0
    queued: deque[tuple[float, Callable[[SendOutcome], None]]] = field(default_factory=deque)


@dataclass
class Caller:
    """A call with at most one retry; all times are absolute."""

    workspace: str
    arrival_s: float
    deadline_s: float
    work_s: float
    objective_s: float
    for_trainer: bool = False
    tries: int = 0
    booked: bool = True
    latency_s: float = -1.0
    answered_at_s: float = -1.0
    refusals: list[Refusal] = field(default_factory=list)
    waits_s: list[float] = field(default_factory=list)


class Replay:
    """One or more owners' queues over the same targets."""

    def __init__(self, targets: int = 3, owners: int = 1, seed: int = 1) -> None:
        self.rng = random.Random(seed)
        self.now_s = 1.0
        self.targets = {f"t{n}": FakeTarget() for n in range(targets)}
        self.lines = [make_line(*map(target, self.targets)) for _ in range(owners)]
        self.left = [TimeLeft() for _ in range(owners)]
        self.callers: list[Caller] = []
        self.sends: Counter[str] = Counter()
        self.refused_sends = 0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = count()
        self._entries: dict[int, Caller] = {}

    def at(self, time_s: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (time_s, next(self._order), action))

    def run(self, until_s: float) -> None:
        for line in range(len(self.lines)):
            self._sweep(line, until_s)
        while self._events and self._events[0][0] <= until_s:
            self.now_s, _, action = heapq.heappop(self._events)
            action()

    def load(
        self,
        per_s: float,
        start_s: float,
        end_s: float,
        workspaces: Callable[[], str] = lambda: "w",
        work_s: float = 0.025,
        objective_s: float = 0.151,
        left_s: float = 2.011,
        for_trainer: bool = False,
    ) -> None:
        time_s = start_s
        while (time_s := time_s + self.rng.expovariate(per_s)) < end_s:
            work = work_s * self.rng.uniform(0.7, 1.3)
            deadline_s = time_s + left_s
            caller = Caller(workspaces(), time_s, deadline_s, work, objective_s, for_trainer)
            self.callers.append(caller)
            self.at(time_s, lambda caller=caller: self._arrive(caller))

    def _arrive(self, caller: Caller) -> None:
        caller.tries += 1
        caller.arrival_s = self.now_s
        owner = self.rng.randrange(len(self.lines))
        left_s = caller.deadline_s - self.now_s
        returning = not caller.for_trainer and self.left[owner].is_returning(left_s)
        entry = LineEntry(
            next(self._order),
            self.now_s,
            caller.deadline_s,
            self.now_s + caller.objective_s,
            caller.for_trainer,
            5,
            caller.workspace,
            100,
            (),
            returning,
        )
        self._entries[entry.key] = caller
        match self.lines[owner].offer(entry, self.now_s):
            case Wait(_, replaced):
                if replaced is not None:
                    self._refused(replaced)
                self._advance(owner)
            case Start() as start:
                self._send(owner, start)
            case Refusal() as refusal:
                self._refused(refusal)

    def _refused(self, refusal: Refusal) -> None:
        caller = self._entries.pop(refusal.entry.key)
        caller.refusals.append(refusal)
        caller.waits_s.append(self.now_s - refusal.entry.arrival_s)
        if caller.tries == 1:
            again_s = self.now_s + min(refusal.retry_after_s, (caller.deadline_s - self.now_s) / 3)
            self.at(again_s + 2 * HOP_S, lambda: self._arrive(caller))

    def _advance(self, owner: int) -> None:
        for decision in self.lines[owner].advance(self.now_s):
            if isinstance(decision, Start):
                self._send(owner, decision)
            else:
                self._refused(decision)

    def _sweep(self, owner: int, until_s: float) -> None:
        self._advance(owner)
        if self.now_s < until_s:
            self.at(self.now_s + SWEEP_S, lambda: self._sweep(owner, until_s))

    def _send(self, owner: int, start: Start) -> None:
        name = start.room.target.instance
        work_s = self._entries[start.entry.key].work_s
        self.sends[name] += 1

        def finish(outcome: SendOutcome) -> None:
            self.at(self.now_s + HOP_S, lambda: self._finish(owner, start, outcome))

        self.at(self.now_s + HOP_S, lambda: self._receive(self.targets[name], work_s, finish))

    def _receive(
        self, at: FakeTarget, work_s: float, finish: Callable[[SendOutcome], None]
    ) -> None:
        if at.lost:
            finish(SendOutcome.FAILED)
        elif at.running < at.slots:
            self._run(at, work_s, finish)
        elif len(at.queued) < 24:
            at.queued.append((work_s, finish))
        else:
            self.refused_sends += 1
            finish(SendOutcome.REFUSED)

    def _run(self, at: FakeTarget, work_s: float, finish: Callable[[SendOutcome], None]) -> None:
        def done() -> None:
            at.running -= 1
            finish(SendOutcome.FAILED if at.lost else SendOutcome.ANSWERED)
            if at.queued:
                self._run(at, *at.queued.popleft())

        at.running += 1
        self.at(self.now_s + work_s * at.slowness, done)

    def _finish(self, owner: int, start: Start, outcome: SendOutcome) -> None:
        line = self.lines[owner]
        line.finish(start, outcome, self.now_s)
        if outcome is SendOutcome.ANSWERED:
            caller = self._entries.pop(start.entry.key)
            caller.latency_s = self.now_s - start.entry.arrival_s
            caller.answered_at_s = self.now_s
        else:
            # Idempotent calls are sent again also after a failure.
            failed = outcome is SendOutcome.FAILED
            entry = start.entry._replace(returning=start.entry.returning or failed)
            again = line.put_back(entry, self.now_s)
            if isinstance(again, Refusal):
                self._refused(again)
        self._advance(owner)
