"""Admits work to a service: callers before trainers, within this node's share."""

import asyncio
from collections import Counter
from dataclasses import dataclass
from typing import Final, NamedTuple

from ..blackboard import Blackboard
from ..errors import ErrorKind, RequestError
from ..requests import Call, WorkClass

SHARE_SLACK: Final = 1.5
QUEUE_PER_SLOT: Final = 4.0
RETRY_AFTER_S: Final = 1.0
POLL_S: Final = 0.02


class AdmissionView(NamedTuple):
    """What one admission is decided from.

    ``slots`` are those of the service's usable targets, ``node_count`` the live
    nodes that share them, ``caller_share`` the share that trainers leave free.
    """

    slots: int
    node_count: int
    callers_in_flight: int
    trainers_in_flight: int
    queued: int
    caller_share: float


@dataclass(frozen=True)
class Admit:
    """The call may start now."""


@dataclass(frozen=True)
class Queue:
    """The call waits for its turn."""


@dataclass(frozen=True)
class Refuse:
    """The call is refused at once, with the time after which to come back."""

    retry_after_s: float


Admission = Admit | Queue | Refuse


def decide_admission(view: AdmissionView, work_class: WorkClass) -> Admission:
    """Decide whether one call starts, waits, or is refused.

    Trainers keep off ``caller_share`` of the node's share of slots and never
    wait here: their samples wait with the step instead, where the whole step is
    in view.
    """
    share = max(1.0, view.slots * SHARE_SLACK / max(1, view.node_count))
    in_flight = view.callers_in_flight + view.trainers_in_flight
    match work_class:
        case WorkClass.TRAINER:
            trainer_share = max(1.0, share * (1.0 - view.caller_share))
            idle = view.callers_in_flight < share * view.caller_share * 0.5
            allowed = share if idle else trainer_share
            return Admit() if in_flight < allowed else Refuse(RETRY_AFTER_S)
        case WorkClass.CALLER:
            if in_flight < share:
                return Admit()
            return Queue() if view.queued < share * QUEUE_PER_SLOT else Refuse(RETRY_AFTER_S)


class Limiter:
    """Counts what is in flight here and applies :func:`decide_admission`."""

    def __init__(self, board: Blackboard) -> None:
        """Read targets and members from the blackboard."""
        self._board = board
        self._in_flight: Counter[tuple[str, WorkClass]] = Counter()
        self._queued: Counter[str] = Counter()

    def view(self, service: str) -> AdmissionView:
        """Return what an admission to ``service`` is decided from now."""
        known = self._board.service(service)
        targets = [t for t in self._board.targets_of(service) if t.usable]
        return AdmissionView(
            slots=sum(target.slots for target in targets),
            node_count=len(self._board.live_members()),
            callers_in_flight=self._in_flight[service, WorkClass.CALLER],
            trainers_in_flight=self._in_flight[service, WorkClass.TRAINER],
            queued=self._queued[service],
            caller_share=known.caller_share if known is not None else 0.0,
        )

    async def admit(self, call: Call) -> None:
        """Return once the call may start; pair it with :meth:`release`.

        :raises samphirecleat.errors.RequestError: OVERLOADED at once when it can
            not be expected to start, or when its deadline passes in the queue.
        """
        loop = asyncio.get_running_loop()
        while True:
            match decide_admission(self.view(call.service), call.work_class):
                case Admit():
                    self._in_flight[call.service, call.work_class] += 1
                    return
                case Refuse(retry_after_s=retry_after_s):
                    raise _overloaded(call.service, retry_after_s)
                case Queue():
                    if loop.time() >= call.deadline_at_s:
                        raise _overloaded(call.service, RETRY_AFTER_S)
                    await self._wait(call.service)

    def release(self, call: Call) -> None:
        """Give back what :meth:`admit` took."""
        self._in_flight[call.service, call.work_class] -= 1

    @property
    def in_flight(self) -> int:
        """All calls in flight at this node."""
        return self._in_flight.total()

    async def _wait(self, service: str) -> None:
        self._queued[service] += 1
        try:
            await asyncio.sleep(POLL_S)
        finally:
            self._queued[service] -= 1


def _overloaded(service: str, retry_after_s: float) -> RequestError:
    return RequestError(
        ErrorKind.OVERLOADED,
        f'"{service}" has no room for this request; it was not run',
        retry_after_s=retry_after_s,
    )
