"""Holds suspect calls while their service can't afford to lose another target.

A target that crashes takes all its calls down, so a few dozen calls become suspect at once, of
which one is the cause. They are sent one after the other, in the order in which they began to wait,
once enough targets accept work.
"""

import asyncio
from collections import Counter, OrderedDict
from collections.abc import Callable
from typing import Final

from ._crashed_services import CrashedServices

# Registrations change without notice to this class, so waiting calls look again this often.
RECHECK_S: Final = 0.02


class SuspectGate:
    """Counts the suspects that this node runs in each service, and lets the others wait."""

    def __init__(self, services: CrashedServices) -> None:
        """Start without suspects."""
        self._services = services
        self._running: Counter[str] = Counter()
        self._waiting: dict[str, OrderedDict[object, None]] = {}
        self._changed = asyncio.Event()

    def start(self, service: str) -> Callable[[], None]:
        """Count a suspect that is sent to a service; return a function that ends this."""
        self._running[service] += 1
        counted = [service]

        def end() -> None:
            if counted:
                self._running[counted.pop()] -= 1
                self._notify()

        return end

    def running(self, service: str) -> int:
        """Return how many suspects this node runs in a service."""
        return self._running[service]

    def may_start(self, service: str, now_s: float) -> bool:
        """Whether a suspect may be sent to the service now."""
        size = self._services.size(service, now_s)
        return size.is_large or (size.can_lose_one and self._running[service] <= 0)

    def is_free(self, service: str, now_s: float) -> bool:
        """Whether a suspect may be sent now, and none has been waiting for it."""
        size = self._services.size(service, now_s)
        return size.is_large or (not self._waiting.get(service) and self.may_start(service, now_s))

    async def wait(self, service: str, last_start_s: float, is_over: Callable[[], bool]) -> bool:
        """Wait until a suspect may be sent; return False if that can't be before ``last_start_s``.

        Return True as well once ``is_over`` says that the call needn't wait any longer. The caller
        sends the call without yielding in between.
        """
        loop = asyncio.get_running_loop()
        entry = object()
        queue = self._waiting.setdefault(service, OrderedDict())
        queue[entry] = None
        try:
            while True:
                now_s = loop.time()
                is_next = next(iter(queue)) is entry
                if is_over() or (is_next and self.may_start(service, now_s)):
                    return True
                if self._services.earliest_restart_s(service, now_s) >= last_start_s:
                    return False
                await self._wait_for_change(min(RECHECK_S, last_start_s - now_s))
        finally:
            del queue[entry]
            self._notify()

    async def _wait_for_change(self, timeout_s: float) -> None:
        try:
            async with asyncio.timeout(timeout_s):
                await self._changed.wait()
        except TimeoutError:
            pass

    def _notify(self) -> None:
        """Let every waiting call look again; each waits for one change at a time."""
        self._changed.set()
        self._changed = asyncio.Event()
