"""Applies the limits: counts what is in flight, and queues callers by priority."""

import asyncio
import heapq
import itertools
from collections import defaultdict
from dataclasses import dataclass, field
from typing import Final

from ...blackboard import Blackboard
from ...errors import ErrorKind, RequestError
from ...requests import Call, WorkClass
from ..policies import LimitPolicy
from ._limits import (
    AdmissionView,
    Admit,
    OccupancyView,
    Queue,
    Refuse,
    Windows,
    decide_admission,
    free_trainer_slots,
    next_windows,
)
from ._service_time import ServiceTime

CONTROL_PERIOD_S: Final = 0.25
TRAINER_RETRY_S: Final = 0.1


@dataclass(order=True)
class _Waiter:
    """A queued call: the higher priority first, then the earlier arrival."""

    order: tuple[int, int]
    latest_start_s: float = field(compare=False)
    turn: asyncio.Future[None] = field(compare=False)


@dataclass
class _Gate:
    """What this node holds of one service."""

    windows: Windows | None = None
    callers: int = 0
    trainers: int = 0
    service_time: ServiceTime = field(default_factory=ServiceTime)
    waiters: list[_Waiter] = field(default_factory=list)

    def change(self, work_class: WorkClass, by: int) -> None:
        if work_class is WorkClass.CALLER:
            self.callers += by
        else:
            self.trainers += by


class Limiter:
    """Lets calls start within the windows of :mod:`~samphirecleat.controllers.admission`."""

    def __init__(self, board: Blackboard, policy: LimitPolicy) -> None:
        """Read targets and members from the blackboard."""
        self._board = board
        self._policy = policy
        self._gates: defaultdict[str, _Gate] = defaultdict(_Gate)
        self._arrivals = itertools.count()

    @property
    def in_flight(self) -> int:
        """All calls in flight at this node."""
        return sum(gate.callers + gate.trainers for gate in self._gates.values())

    @property
    def queued(self) -> int:
        """All callers' calls that wait at this node."""
        return sum(len(gate.waiters) for gate in self._gates.values())

    def free_trainer_slots(self, service: str) -> int:
        """Return how many more trainer calls to ``service`` may start now."""
        gate = self._gates[service]
        windows = self._windows(service)
        return free_trainer_slots(windows, len(gate.waiters), gate.trainers)

    async def admit(self, call: Call) -> None:
        """Return once the call may start; pair it with :meth:`release`.

        :raises samphirecleat.errors.RequestError: OVERLOADED, not run, as soon as
            the call can not be expected to end before its deadline.
        """
        gate = self._gates[call.service]
        if call.work_class is WorkClass.TRAINER:
            if self.free_trainer_slots(call.service) <= 0:
                raise _overloaded(call.service, TRAINER_RETRY_S)
            gate.change(call.work_class, 1)
            return
        match decide_admission(self._admission_view(gate, call)):
            case Admit():
                gate.change(call.work_class, 1)
            case Refuse(retry_after_s=retry_after_s):
                raise _overloaded(call.service, retry_after_s)
            case Queue():
                await self._wait(gate, call)

    def release(self, call: Call, took_s: float) -> None:
        """Give back what :meth:`admit` took, and let the next caller start."""
        gate = self._gates[call.service]
        gate.change(call.work_class, -1)
        if call.work_class is WorkClass.CALLER:
            gate.service_time.note(took_s)
        self._start_waiters(call.service)

    async def drive(self) -> None:
        """Adjust the windows for as long as the node lives."""
        while True:
            await asyncio.sleep(CONTROL_PERIOD_S)
            for service in list(self._gates):
                self._adjust(service)
                self._refuse_hopeless(service)
                self._start_waiters(service)

    def _adjust(self, service: str) -> None:
        gate = self._gates[service]
        in_flight = Windows(gate.callers, gate.trainers)
        gate.windows = next_windows(self._policy, gate.windows, self._occupancy(service), in_flight)

    def _windows(self, service: str) -> Windows:
        gate = self._gates[service]
        if gate.windows is None:
            self._adjust(service)
        assert gate.windows is not None
        return gate.windows

    def _occupancy(self, service: str) -> OccupancyView:
        usable = [target for target in self._board.targets_of(service) if target.usable]
        return OccupancyView(
            slots=sum(target.slots for target in usable),
            in_use=sum(target.running + target.waiting for target in usable),
            node_count=len(self._board.live_members()),
            trainer_share=self._trainer_share(service),
        )

    def _trainer_share(self, service: str) -> float:
        """Return the part of the trainers' shares that has steps at this node."""
        trainers = self._board.config.services.trainers.values()
        shares = {t.name: t.share for t in trainers if t.service == service}
        here = self._board.active_trainers.get(service, frozenset())
        if not shares:
            return 1.0
        if not here:
            return 1.0 / len(shares)
        return sum(shares.get(name, 0.0) for name in here) / sum(shares.values())

    def _admission_view(self, gate: _Gate, call: Call) -> AdmissionView:
        now_s = asyncio.get_running_loop().time()
        return AdmissionView(
            window=self._windows(call.service).callers,
            in_flight=gate.callers,
            ahead=sum(1 for waiter in gate.waiters if -waiter.order[0] >= call.priority),
            queued=len(gate.waiters),
            service_s=gate.service_time.mean_s,
            upper_s=gate.service_time.upper_s,
            left_s=call.deadline_at_s - now_s,
        )

    async def _wait(self, gate: _Gate, call: Call) -> None:
        turn: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        latest_start_s = call.deadline_at_s - gate.service_time.upper_s
        waiter = _Waiter((-call.priority, next(self._arrivals)), latest_start_s, turn)
        heapq.heappush(gate.waiters, waiter)
        try:
            await turn
        except asyncio.CancelledError:
            if turn.done() and not turn.cancelled() and turn.exception() is None:
                # The turn came in the same moment as the cancel: hand it on, or
                # the window would stay one call smaller for good.
                gate.change(call.work_class, -1)
                self._start_waiters(call.service)
            raise

    def _start_waiters(self, service: str) -> None:
        gate = self._gates[service]
        window = self._windows(service).callers
        while gate.waiters and gate.callers < window:
            waiter = heapq.heappop(gate.waiters)
            if not waiter.turn.done():
                gate.change(WorkClass.CALLER, 1)
                waiter.turn.set_result(None)

    def _refuse_hopeless(self, service: str) -> None:
        """Answer at once those that could no longer end before their deadline."""
        gate = self._gates[service]
        now_s = asyncio.get_running_loop().time()
        for waiter in gate.waiters:
            if waiter.latest_start_s <= now_s and not waiter.turn.done():
                waiter.turn.set_exception(_overloaded(service, gate.service_time.mean_s))
        gate.waiters = [waiter for waiter in gate.waiters if not waiter.turn.done()]
        heapq.heapify(gate.waiters)


def _overloaded(service: str, retry_after_s: float) -> RequestError:
    return RequestError(
        ErrorKind.OVERLOADED,
        f'"{service}" has no room for this request; it was not run',
        retry_after_s=retry_after_s,
    )
