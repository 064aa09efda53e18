"""Grants calls the targets of services that this node dispatches to; drives their queues.

Load addressed: some 3,000 calls per second reach one node, most of which are refused. A decision on
a call doesn't look at the waiting ones, and there is one timer for each service with waiting calls.
"""

import asyncio
import math
from collections import Counter
from collections.abc import Callable, Collection
from itertools import count
from typing import Final

from ..errors import ErrorKind, Ran, RequestError
from ..observe import Observer
from ..serving import (
    RETURN_MARGIN_S,
    Call,
    Route,
    SendOutcome,
    Target,
    TargetTable,
    effective_deadline_s,
)
from ._decisions import Refusal, RefusalReason, Start, Wait
from ._service_queue import SWEEP_S, ServiceQueue
from ._time_left import TimeLeft
from ._waiting_calls import QueuedCall

# Mean time of a call before any was answered, as a share of its objective.
PRIOR_MEAN_SHARE: Final = 1.0 / 6.0
LOG_INTERVAL_S: Final = 1.0
OwnedTargets = Callable[[str], Collection[str] | None]


class Grant:
    """The permission to send a call to ``target`` once; it must be finished in any case."""

    def __init__(self, driver: "_QueueDriver", start: Start) -> None:
        """Represent a start of a queue."""
        self.target: Target = start.limiter.target
        self.entry = start.entry
        self._driver = driver
        self._start: Start | None = start

    def finish(self, outcome: SendOutcome) -> None:
        """Free the slot and record the outcome; later calls do nothing."""
        start, self._start = self._start, None
        if start is not None:
            self._driver.finish(start, outcome)

    @property
    def is_contended(self) -> bool:
        """Whether other calls wait for a target of the service."""
        return len(self._driver.queue) > 0

    @property
    def driver(self) -> "_QueueDriver":
        """The queue of the target's service."""
        return self._driver


class SlotQueue:
    """The queues of this node, by service."""

    def __init__(self, targets: TargetTable, owned: OwnedTargets, observer: Observer) -> None:
        """Grant targets of ``targets``.

        ``owned`` returns the instances of a service that this node dispatches to, an empty
        collection if it owns none of them (all targets are used then), or None if the service isn't
        dispatched.
        """
        self._targets = targets
        self._owned = owned
        self._observer = observer
        self._drivers: dict[str, _QueueDriver] = {}
        self._keys = count()

    def applies(self, service: str) -> bool:
        """Whether calls of a service must be granted a target before they are sent."""
        return self._owned(service) is not None

    async def acquire(
        self,
        service: str,
        call: Call,
        route: Route,
        excluded: Collection[str] = (),
        *,
        repeated: bool = False,
    ) -> Grant:
        """Wait for a target of a service.

        ``route.priority`` is the call's priority. A target in ``excluded`` is granted only if no
        other one accepts work. A ``repeated`` attempt goes first and waits until the deadline. If
        the caller is cancelled, the call leaves the queue and nothing is granted.

        :raises RequestError: OVERLOADED or NO_TARGET, with the time after which to retry; the call
            has not been sent for this grant.
        """
        driver = self._driver(service)
        if not call.for_trainer:
            driver.queue.limiters.prior_s = max(0.001, route.objective_s * PRIOR_MEAN_SHARE)
        returning = driver.is_returning(call, route)
        entry = self._entry(call, route, excluded, returning=returning, repeated=repeated)
        return await driver.acquire(entry)

    async def acquire_again(self, grant: Grant, excluded: Collection[str] = ()) -> Grant:
        """Wait again at the old position with a call that its target did not run.

        :raises RequestError: as ``acquire``.
        """
        grant.finish(SendOutcome.NOT_SENT)
        driver = grant.driver
        driver.refresh()
        return await driver.acquire(grant.entry._replace(excluded=tuple(excluded)), again=True)

    def try_acquire(
        self, service: str, call: Call, route: Route, excluded: Collection[str]
    ) -> Grant | None:
        """Return a target outside ``excluded`` for a hedged attempt, None without a free slot.

        There is none while any call waits.
        """
        driver = self._driver(service)
        entry = self._entry(call, route, excluded, returning=True)
        start = driver.queue.start_hedge(entry, asyncio.get_running_loop().time())
        return driver.grant(start) if start is not None else None

    def projected_wait_s(self, service: str) -> float:
        """Return the wait of a new call, ``math.inf`` without targets or off a running loop."""
        if not self.applies(service):
            return math.inf
        driver = self._driver(service)
        return driver.queue.projected_wait_s(asyncio.get_running_loop().time())

    def _driver(self, service: str) -> "_QueueDriver":
        """Return a service's queue with its current targets."""
        driver = self._drivers.get(service)
        if driver is None:
            driver = _QueueDriver(service, self._targets, self._owned, self._observer)
            self._drivers[service] = driver
        driver.refresh()
        return driver

    def _entry(
        self,
        call: Call,
        route: Route,
        excluded: Collection[str],
        *,
        returning: bool,
        repeated: bool = False,
    ) -> QueuedCall:
        return QueuedCall(
            next(self._keys),
            call.received_at_s,
            effective_deadline_s(call, route) - RETURN_MARGIN_S,
            call.received_at_s + route.objective_s,
            call.for_trainer,
            route.priority,
            call.workspace,
            len(call.body),
            tuple(excluded),
            returning,
            repeated,
        )


class _QueueDriver:
    """The queue of one service, with a future for each waiting call and one timer."""

    def __init__(
        self, service: str, targets: TargetTable, owned: OwnedTargets, observer: Observer
    ) -> None:
        self._service = service
        self._targets = targets
        self._owned = owned
        self._observer = observer
        self._logger = observer.log("dispatch")
        self.queue = ServiceQueue(targets.reach_cost, targets.runs_suspect)
        self._futures: dict[int, asyncio.Future[Grant]] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._time_left: dict[str, TimeLeft] = {}
        self._seen: tuple[object, frozenset[str]] | None = None
        self._refused: Counter[str] = Counter()
        self._logged_at_s = -math.inf

    def is_returning(self, call: Call, route: Route) -> bool:
        """Return whether a call's caller has been refused before, as far as its time shows."""
        if call.for_trainer:
            return False
        left_s = effective_deadline_s(call, route) - call.received_at_s
        return self._time_left.setdefault(route.name, TimeLeft()).is_returning(left_s)

    def refresh(self) -> None:
        """Use the current targets."""
        mapping = self._targets.targets
        owned = self._owned(self._service) or ()
        if (
            self._seen is not None
            and self._seen[0] is mapping
            and len(self._seen[1]) == len(owned)
            and self._seen[1].issuperset(owned)
        ):
            return
        self._seen = mapping, frozenset(owned)
        accepting = self._targets.accepting_targets(self._service)
        self.queue.set_targets([t for t in accepting if not owned or t.instance in owned])
        self._pump()

    async def acquire(self, entry: QueuedCall, *, again: bool = False) -> Grant:
        """Wait for a target; ``again`` returns a call to the queue without a check."""
        loop = asyncio.get_running_loop()
        now_s = loop.time()
        decision = self.queue.put_back(entry, now_s) if again else self.queue.offer(entry, now_s)
        match decision:
            case Start():
                self._observer.record_s("queue_wait", 0.0)
                return self.grant(decision)
            case Refusal():
                raise self._refusal_error(decision, now_s)
            case Wait():
                future: asyncio.Future[Grant] = loop.create_future()
                self._futures[entry.key] = future
                if decision.replaced is not None:
                    self._settle(decision.replaced, now_s)
                self._pump()
                grant = await self._wait(entry, future)
                self._observer.record_s("queue_wait", loop.time() - now_s)
                return grant

    async def _wait(self, entry: QueuedCall, future: asyncio.Future[Grant]) -> Grant:
        try:
            return await future
        except asyncio.CancelledError:
            # The task may be cancelled in the loop iteration in which its call was granted.
            if future.done() and not future.cancelled() and future.exception() is None:
                future.result().finish(SendOutcome.NOT_SENT)
            self.queue.remove(entry)
            raise
        finally:
            self._futures.pop(entry.key, None)

    def grant(self, start: Start) -> Grant:
        """Return the grant for a start."""
        self._observer.counters["queue_started"] += 1
        self._observer.counters["queue_probes"] += start.probe
        return Grant(self, start)

    def finish(self, start: Start, outcome: SendOutcome) -> None:
        """End a start and pass its slot on."""
        self.queue.finish(start, outcome, asyncio.get_running_loop().time())
        if len(self.queue):
            self._pump()

    def _pump(self) -> None:
        """Start and refuse waiting calls; set the timer if some still wait."""
        now_s = asyncio.get_running_loop().time()
        # A start whose caller has gone frees its slot for another call.
        while sum(self._settle(decision, now_s) for decision in self.queue.advance(now_s)):
            pass
        self._observer.counters[f"queue_length_{self._service}"] = len(self.queue)
        if len(self.queue) and self._timer is None:
            self._timer = asyncio.get_running_loop().call_later(SWEEP_S, self._tick)

    def _tick(self) -> None:
        self._timer = None
        self.refresh()
        self._pump()

    def _settle(self, decision: Start | Refusal, now_s: float) -> bool:
        """Tell the waiting task; return whether a start came to nothing and its slot is free."""
        future = self._futures.get(decision.entry.key)
        is_waiting = future is not None and not future.done()
        match decision:
            case Start():
                if future is None or not is_waiting:
                    now_s = asyncio.get_running_loop().time()
                    self.queue.finish(decision, SendOutcome.NOT_SENT, now_s)
                    return True
                future.set_result(self.grant(decision))
            case Refusal():
                if future is not None and is_waiting:
                    future.set_exception(self._refusal_error(decision, now_s))
        return False

    def _refusal_error(self, refusal: Refusal, now_s: float) -> RequestError:
        """Count a refusal and return its error."""
        reason = refusal.reason
        self._observer.counters[f"queue_refused_{reason.value}"] += 1
        self._observer.counters["queue_returns_booked"] += refusal.booked
        self._refused[reason.value] += 1
        rate_per_s = self.queue.capacity.rate_per_s(now_s)
        if now_s - self._logged_at_s >= LOG_INTERVAL_S:
            self._log(rate_per_s, now_s)
        limiters = self.queue.limiters.by_instance.values()
        has_target = reason is not RefusalReason.NO_TARGET and not all(r.failed for r in limiters)
        return RequestError(
            ErrorKind.OVERLOADED if has_target else ErrorKind.NO_TARGET,
            f"{self._service}: not queued ({reason.value}); {len(self.queue)} calls wait, "
            f"{rate_per_s:.0f} start per second, waited {now_s - refusal.entry.arrival_s:.3f} s",
            ran=Ran.NO,
            retry_after_s=refusal.retry_after_s,
        )

    def _log(self, rate_per_s: float, now_s: float) -> None:
        """Log the inputs of the decisions and the refusals since the last such line."""
        self._logged_at_s = now_s
        limiters = self.queue.limiters.by_instance.values()
        self._logger.warning(
            "service=%s refuses calls: queue=%d in_flight=%d limit=%d targets=%d closed=%d "
            "rate_per_s=%.0f oldest=%.3f s refused=%s",
            self._service,
            len(self.queue),
            sum(limiter.in_flight for limiter in limiters),
            sum(int(limiter.limit) for limiter in limiters if not limiter.is_closed),
            len(limiters),
            sum(limiter.is_closed for limiter in limiters),
            rate_per_s,
            self.queue.oldest_wait_s(now_s),
            dict(self._refused),
        )
        self._refused.clear()
