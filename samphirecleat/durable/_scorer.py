"""Scores complete texts by calling the scoring services, which also serve callers.

Load pattern: the short texts of a step complete within the same second, so their reward calls
arrive all at once at targets that serve callers too. A limit on concurrent reward calls leaves
slots for callers. Reward calls queue for a slot, because a trainer waits for them and not a person.
"""

import asyncio
from typing import Final, NamedTuple

from ..errors import ErrorKind, RequestError
from ..observe import Observer
from ..serving import Call, CallForwarder, Route, RouteTable, TargetTable
from ._records import ItemSpec, RewardSpec

# Deadline of one reward call, and the delay before the next attempt.
REWARD_BUDGET_S: Final = 2.5
REWARD_RETRY_INTERVAL_S: Final = 0.1
# Bounds for the targets tried per reward call. At least two, so that a slow target does not delay a
# step's last item; a third only if the route allows it.
MIN_ATTEMPTS: Final = 2
MAX_ATTEMPTS: Final = 3
# Factor on the route's latency objective, which delays the second attempt. A trainer can wait
# longer than a caller, and an unnecessary second attempt costs the first one's connection.
HEDGE_DELAY_FACTOR: Final = 1.6
# Share of a service's slots that reward calls may use; the rest is left for callers.
REWARD_SLOT_SHARE: Final = 0.7
FAILED_STATUS: Final = 500


class _Outcome(NamedTuple):
    """The status of one reward call, 0 without an answer, and the signature of a success.

    The next call waits for ``retry_after_s``.
    """

    status: int
    signature: str = ""
    retry_after_s: float = REWARD_RETRY_INTERVAL_S


class Scorer:
    """Scores texts through the same routing as callers' calls."""

    def __init__(
        self,
        routes: RouteTable,
        targets: TargetTable,
        forwarder: CallForwarder,
        observer: Observer,
    ) -> None:
        """Send calls through ``forwarder``."""
        self._routes = routes
        self._targets = targets
        self._forwarder = forwarder
        self._observer = observer
        self._logger = observer.log("scorer")
        self._semaphores: dict[str, tuple[int, asyncio.Semaphore]] = {}

    async def score(self, item: ItemSpec, item_route: Route) -> str:
        """Return the signature of the item's reward call, "" for an item without a reward.

        Also returns "" after the call failed as often as the more permissive of the two routes
        allows. Any other outcome is retried until the caller cancels.
        """
        reward = item.reward
        if reward is None:
            return ""
        failures = 0
        while True:
            route = self._routes.find(reward.host, reward.raw_path)
            if route is None:
                await asyncio.sleep(REWARD_RETRY_INTERVAL_S)
                continue
            if failures >= max(item_route.max_attempts, route.max_attempts):
                self._logger.warning("item=%s reward failed %d times", item.item_id, failures)
                return ""
            async with self._semaphore(route):
                outcome = await self._attempt(item, reward, route)
            if outcome.signature:
                return outcome.signature
            if outcome.status == FAILED_STATUS:
                failures += 1
            else:
                await asyncio.sleep(outcome.retry_after_s)

    async def _attempt(self, item: ItemSpec, reward: RewardSpec, route: Route) -> _Outcome:
        """Make one call, and return its outcome."""
        began_s = asyncio.get_running_loop().time()
        call = Call(
            reward.request_id,
            "POST",
            reward.raw_path,
            reward.host,
            (),
            reward.body,
            began_s,
            began_s + REWARD_BUDGET_S,
            for_trainer=True,
        )
        attempts = max(MIN_ATTEMPTS, min(MAX_ATTEMPTS, route.max_attempts))
        try:
            answer = await self._forwarder.forward(
                call,
                route._replace(
                    max_attempts=attempts, objective_s=route.objective_s * HEDGE_DELAY_FACTOR
                ),
            )
        except RequestError as error:
            self._logger.warning(
                "item=%s reward=%s got no answer: %s",
                item.item_id,
                reward.request_id,
                error.detail,
            )
            if error.kind is ErrorKind.CRASH_SUSPECTED:
                return _Outcome(0, retry_after_s=error.retry_after_s)
            return _Outcome(0)
        if not 200 <= answer.status < 300:
            return _Outcome(answer.status)
        self._observer.record_s("reward_call", asyncio.get_running_loop().time() - began_s)
        return _Outcome(answer.status, answer.signature)

    def _semaphore(self, route: Route) -> asyncio.Semaphore:
        """Return the call limit of a route's service, sized by its current target slots."""
        service = route.services[0].service
        slots = sum(target.slots for target in self._targets.accepting_targets(service))
        known = self._semaphores.get(service)
        if known is None or known[0] != slots:
            semaphore = asyncio.Semaphore(max(1, int(slots * REWARD_SLOT_SHARE)))
            known = self._semaphores[service] = (slots, semaphore)
        return known[1]
