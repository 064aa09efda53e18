"""Tracks how many targets each service has left after crashes, and how fast crashed ones restart.

A request that crashes its targets ends a service of three within a tenth of a second if it is sent
on at once. How often it may be sent therefore depends on the targets that are left. A crashed
target stays registered for seconds, so the registrations alone don't tell which targets are left.

Pure: performs no I/O and uses no clock.
"""

from collections import OrderedDict, deque
from collections.abc import Sequence
from typing import Final, NamedTuple, Protocol

from ._target_start import TargetStart

# Time for which a crashed target counts as part of its service: most restart within it.
CRASHED_TARGET_COUNTS_S: Final = 10.0
# Number of other targets that have to accept work while a suspect runs at one.
OTHERS_REQUIRED: Final = 2
# With this many targets left, a suspect may be sent as in a service of any size.
MIN_LARGE_SERVICE: Final = 4
# A service of this size can't lose as many targets as are otherwise needed to refuse a call.
MAX_SERVICE_WITHOUT_SPARE: Final = 3
# Restart times are seen when the registration is read. This share of the shortest one is taken as
# the least time that a restart needs.
RESTART_SHARE: Final = 0.8
RESTARTS_KEPT: Final = 8
MAX_STARTS_KEPT: Final = 2048


class ServiceView(Protocol):
    """The node's view of its targets."""

    def service_of(self, start_name: str) -> tuple[str, TargetStart] | None:
        """Return the service and the start of that name, None if it isn't registered."""
        ...

    def accepting(self, service: str) -> Sequence[TargetStart]:
        """Return the targets of a service that are registered and don't drain."""
        ...

    def has_failed(self, start: TargetStart, now_s: float) -> bool:
        """Whether a target failed a call just before, other than by refusing it."""
        ...


class EmptyServiceView:
    """Knows no target, so that no service counts as small."""

    def service_of(self, start_name: str) -> tuple[str, TargetStart] | None:
        """Return None."""
        del start_name
        return None

    def accepting(self, service: str) -> Sequence[TargetStart]:
        """Return no targets."""
        del service
        return ()

    def has_failed(self, start: TargetStart, now_s: float) -> bool:
        """Return False."""
        del start, now_s
        return False


class ServiceSize(NamedTuple):
    """Targets of a service: those that accept work, and those plus the recently crashed ones."""

    accepting: int
    total: int

    @property
    def is_large(self) -> bool:
        """Whether suspects needn't wait; they needn't either if there is nothing to protect."""
        return self.accepting >= MIN_LARGE_SERVICE or self.total == 0

    @property
    def required(self) -> int:
        """Number of targets that have to accept work before a suspect is sent to one of them."""
        return 1 + min(OTHERS_REQUIRED, max(0, self.total - 1))

    @property
    def can_lose_one(self) -> bool:
        """Whether enough targets accept work to send a suspect to one of them."""
        return self.accepting >= self.required

    @property
    def has_no_spare(self) -> bool:
        """Whether the service can't lose three targets."""
        return 0 < self.total <= MAX_SERVICE_WITHOUT_SPARE


class _Crash(NamedTuple):
    start: TargetStart
    at_s: float


class CrashedServices:
    """Recent crashes and restarts by service."""

    def __init__(self, view: ServiceView) -> None:
        """Look up targets in ``view``."""
        self._view = view
        self._services: OrderedDict[str, str] = OrderedDict()
        self._crashes: dict[str, dict[str, _Crash]] = {}
        self._restarts_s: dict[str, deque[float]] = {}

    def record_crash(self, start_name: str, at_s: float) -> None:
        """Record that a start of a target crashed; ignored if the start isn't registered."""
        found = self._view.service_of(start_name)
        if found is None:
            return
        service, start = found
        self._services[start_name] = service
        if len(self._services) > MAX_STARTS_KEPT:
            self._services.popitem(last=False)
        self._crashes.setdefault(service, {}).setdefault(start_name, _Crash(start, at_s))

    def service_of_crashed(self, start_name: str) -> str | None:
        """Return the service of a crashed start, None if it was never known here."""
        return self._services.get(start_name)

    def size(self, service: str, now_s: float) -> ServiceSize:
        """Return the current size of a service."""
        starts = self._view.accepting(service)
        crashes = self._recent_crashes(service, starts, now_s)
        left = [s for s in starts if s.name not in crashes]
        if len(left) < MIN_LARGE_SERVICE:
            left = [s for s in left if not self._view.has_failed(s, now_s)]
        addresses = {start.address for start in starts}
        addresses.update(crash.start.address for crash in crashes.values())
        return ServiceSize(len(left), len(addresses))

    def earliest_restart_s(self, service: str, now_s: float) -> float:
        """Return the time before which the service won't have the targets that a suspect needs.

        ``now_s`` if nothing is known about restarts of this service.
        """
        size = self.size(service, now_s)
        missing = size.required - size.accepting
        restarts_s = self._restarts_s.get(service)
        down = self._down_since_s(service)
        if missing <= 0 or not restarts_s or missing > len(down):
            return now_s
        crashed_s = down[missing - 1]
        restarted_s = crashed_s + RESTART_SHARE * min(restarts_s)
        return max(now_s, min(restarted_s, down[0] + CRASHED_TARGET_COUNTS_S))

    def refresh(self, now_s: float) -> None:
        """Learn from restarts since the last call; drop old crashes."""
        for service in list(self._crashes):
            if not self._recent_crashes(service, self._view.accepting(service), now_s):
                del self._crashes[service]

    def _down_since_s(self, service: str) -> Sequence[float]:
        """Return the crash times of the targets that haven't restarted, oldest first."""
        registered = {s.address: s.name for s in self._view.accepting(service)}
        crashes = self._crashes.get(service, {})
        return sorted(
            crash.at_s
            for name, crash in crashes.items()
            if registered.get(crash.start.address, name) == name
        )

    def _recent_crashes(
        self, service: str, starts: Sequence[TargetStart], now_s: float
    ) -> dict[str, _Crash]:
        """Return the crashes that still count; those of restarted targets end."""
        crashes = self._crashes.get(service)
        if not crashes:
            return {}
        registered = {start.address: start.name for start in starts}
        for name, crash in list(crashes.items()):
            if now_s - crash.at_s >= CRASHED_TARGET_COUNTS_S:
                del crashes[name]
            elif registered.get(crash.start.address, name) != name:
                del crashes[name]
                kept = self._restarts_s.setdefault(service, deque(maxlen=RESTARTS_KEPT))
                kept.append(max(0.0, now_s - crash.at_s))
        return crashes
