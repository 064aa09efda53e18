"""Watches runs that are cut off, and finds out whether their target ended."""

import asyncio
from collections.abc import Awaitable, Callable
from enum import Enum
from typing import Final, NamedTuple

from ..observe import Observer

# One look at a target serves every call that it cut.
SAME_LOOK_S: Final = 0.25


class TargetStart(NamedTuple):
    """One start of a target; the time tells two starts of one instance apart."""

    instance: str
    address: str
    started_at_ms: int

    @property
    def name(self) -> str:
        """What logs and other nodes call it."""
        return f"{self.instance}@{self.started_at_ms}"


class Registered(Enum):
    """What a registration says of one start of a target."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class CrashGuard:
    """Tells, for each run that was cut off, which request it was and whether its target ended.

    A cut connection is no evidence by itself: the link, a pause of this node or a faulty target
    cuts too.
    """

    def __init__(
        self,
        listens: Callable[[str], Awaitable[bool]],
        registered: Callable[[TargetStart], Registered],
        observer: Observer,
    ) -> None:
        """Ask ``listens`` whether anything accepts connections at an address."""
        self._listens = listens
        self._registered = registered
        self._observer = observer
        self._words = observer.log("crashes")
        self._looks: dict[TargetStart, tuple[float, asyncio.Task[bool]]] = {}

    async def cut(
        self, request_id: str, mark: bytes, start: TargetStart, begun_s: float, detail: str
    ) -> None:
        """Take a run that its target's end of the connection cut off before its answer.

        Returns once it is known whether the target ended, or may have.
        """
        cut_s = asyncio.get_running_loop().time()
        registered = self._registered(start)
        listens = registered is Registered.READY and await self._look(start, cut_s)
        counts = registered is Registered.READY and not listens
        self._observer.counters["crash_ends_seen"] += counts
        self._words.warning(
            "request=%s call=%s target=%s cut after=%.3f s registered=%s listens=%s counts=%s "
            "detail=%s",
            request_id,
            mark.hex(),
            start.name,
            cut_s - begun_s,
            registered.value,
            listens,
            counts,
            detail,
        )

    def review(self) -> None:
        """Forget what was seen a while ago."""
        now_s = asyncio.get_running_loop().time()
        self._looks = {
            start: look for start, look in self._looks.items() if now_s - look[0] <= SAME_LOOK_S
        }

    async def _look(self, start: TargetStart, now_s: float) -> bool:
        """Whether the target still listens; calls that were cut together share one look."""
        known = self._looks.get(start)
        if known is None or now_s - known[0] > SAME_LOOK_S:
            known = (now_s, asyncio.ensure_future(self._listens(start.address)))
            self._looks[start] = known
        return await asyncio.shield(known[1])
