"""Enforces the concurrency windows and queues callers' calls by priority."""

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
class _QueuedCall:
    """A queued call, ordered by descending priority, then by arrival."""

    order: tuple[int, int]
    latest_start_s: float = field(compare=False)
    granted: asyncio.Future[None] = field(compare=False)


@dataclass
class _ServiceState:
    """Windows, in-flight counts and queue of one service at this node."""

    windows: Windows | None = None
    callers: int = 0
    trainers: int = 0
    service_time: ServiceTime = field(default_factory=ServiceTime)
    queued_calls: list[_QueuedCall] = field(default_factory=list)

    def change(self, work_class: WorkClass, by: int) -> None:
        if work_class is WorkClass.CALLER:
            self.callers += by
        else:
            self.trainers += by


class Limiter:
    """Starts, queues or refuses calls according to the concurrency windows."""

    def __init__(self, board: Blackboard, policy: LimitPolicy) -> None:
        """Create a limiter that reads targets and members from ``board``."""
        self._board = board
        self._policy = policy
        self._services: defaultdict[str, _ServiceState] = defaultdict(_ServiceState)
        self._arrivals = itertools.count()

    @property
    def in_flight(self) -> int:
        """The number of calls in flight at this node."""
        return sum(state.callers + state.trainers for state in self._services.values())

    @property
    def queued(self) -> int:
        """The number of callers' calls queued at this node."""
        return sum(len(state.queued_calls) for state in self._services.values())

    def free_trainer_slots(self, service: str) -> int:
        """Return how many more trainer calls to ``service`` may start now."""
        state = self._services[service]
        windows = self._windows(service)
        return free_trainer_slots(windows, len(state.queued_calls), state.trainers)

    async def admit(self, call: Call) -> None:
        """Wait until the call may start; each return must be paired with :meth:`release`.

        :raises samphirecleat.errors.RequestError: OVERLOADED, not run, as soon as
            the call is not expected to end before its deadline.
        """
        state = self._services[call.service]
        if call.work_class is WorkClass.TRAINER:
            if self.free_trainer_slots(call.service) <= 0:
                raise _overloaded(call.service, TRAINER_RETRY_S)
            state.change(call.work_class, 1)
            return
        match decide_admission(self._admission_view(state, call)):
            case Admit():
                state.change(call.work_class, 1)
            case Refuse(retry_after_s=retry_after_s):
                raise _overloaded(call.service, retry_after_s)
            case Queue():
                await self._wait(state, call)

    def release(self, call: Call, duration_s: float) -> None:
        """Release the slot taken by :meth:`admit` and start queued calls."""
        state = self._services[call.service]
        state.change(call.work_class, -1)
        if call.work_class is WorkClass.CALLER:
            state.service_time.record(duration_s)
        self._start_queued(call.service)

    async def drive(self) -> None:
        """Adjust the windows periodically until cancelled."""
        while True:
            await asyncio.sleep(CONTROL_PERIOD_S)
            for service in list(self._services):
                self._adjust(service)
                self._refuse_expired(service)
                self._start_queued(service)

    def _adjust(self, service: str) -> None:
        state = self._services[service]
        in_flight = Windows(state.callers, state.trainers)
        state.windows = next_windows(
            self._policy, state.windows, self._occupancy(service), in_flight
        )

    def _windows(self, service: str) -> Windows:
        state = self._services[service]
        if state.windows is None:
            self._adjust(service)
        assert state.windows is not None
        return state.windows

    def _occupancy(self, service: str) -> OccupancyView:
        usable = [target for target in self._board.targets_of(service) if target.usable]
        return OccupancyView(
            slots=sum(target.slots for target in usable),
            in_use=sum(target.running + target.waiting for target in usable),
            node_count=len(self._board.live_members()),
            trainer_share=self._trainer_share(service),
        )

    def _trainer_share(self, service: str) -> float:
        """Return the fraction of all trainers' shares held by trainers with steps here."""
        trainers = self._board.config.services.trainers.values()
        shares = {t.name: t.share for t in trainers if t.service == service}
        local_trainers = self._board.active_trainers.get(service, frozenset())
        if not shares:
            return 1.0
        if not local_trainers:
            return 1.0 / len(shares)
        return sum(shares.get(name, 0.0) for name in local_trainers) / sum(shares.values())

    def _admission_view(self, state: _ServiceState, call: Call) -> AdmissionView:
        now_s = asyncio.get_running_loop().time()
        return AdmissionView(
            window=self._windows(call.service).callers,
            in_flight=state.callers,
            queued_ahead=sum(
                1 for queued_call in state.queued_calls if -queued_call.order[0] >= call.priority
            ),
            queued=len(state.queued_calls),
            mean_duration_s=state.service_time.mean_s,
            high_estimate_s=state.service_time.high_estimate_s,
            remaining_s=call.deadline_at_s - now_s,
        )

    async def _wait(self, state: _ServiceState, call: Call) -> None:
        granted: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        latest_start_s = call.deadline_at_s - state.service_time.high_estimate_s
        queued_call = _QueuedCall((-call.priority, next(self._arrivals)), latest_start_s, granted)
        heapq.heappush(state.queued_calls, queued_call)
        try:
            await granted
        except asyncio.CancelledError:
            if granted.done() and not granted.cancelled() and granted.exception() is None:
                # The slot was granted just before the cancellation: release it, or the
                # window would stay one call smaller permanently.
                state.change(call.work_class, -1)
                self._start_queued(call.service)
            raise

    def _start_queued(self, service: str) -> None:
        state = self._services[service]
        window = self._windows(service).callers
        while state.queued_calls and state.callers < window:
            queued_call = heapq.heappop(state.queued_calls)
            if not queued_call.granted.done():
                state.change(WorkClass.CALLER, 1)
                queued_call.granted.set_result(None)

    def _refuse_expired(self, service: str) -> None:
        """Refuse queued calls that can no longer end before their deadline."""
        state = self._services[service]
        now_s = asyncio.get_running_loop().time()
        for queued_call in state.queued_calls:
            if queued_call.latest_start_s <= now_s and not queued_call.granted.done():
                queued_call.granted.set_exception(_overloaded(service, state.service_time.mean_s))
        state.queued_calls = [
            queued_call for queued_call in state.queued_calls if not queued_call.granted.done()
        ]
        heapq.heapify(state.queued_calls)


def _overloaded(service: str, retry_after_s: float) -> RequestError:
    return RequestError(
        ErrorKind.OVERLOADED,
        f'service "{service}" is at capacity; the request was not run',
        retry_after_s=retry_after_s,
    )
