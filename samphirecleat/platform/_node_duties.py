"""The duties that a node of this platform may have, wired: services, usage, ordered targets."""

import random
from collections.abc import Callable, Mapping
from typing import NamedTuple

from ..blackboard import Blackboard
from ..durable import (
    DutyDependencies,
    DutyFactory,
    DutyKeeper,
    KeyedLog,
    ServiceDuties,
    TargetProvisioning,
)
from ..usage import ReportSchedule, TrueClock, UsageDependencies, UsageDuty
from ._boot_settings import BootSettings
from ._duty_api import DutyApi


class PlatformView(NamedTuple):
    """What a node's duties ask of its view of the platform.

    ``sees_targets`` says if the registrations of targets are known as they are now,
    ``store_answers`` if the store answers this node itself.
    """

    log: KeyedLog
    clock: TrueClock
    sees_targets: Callable[[], bool]
    store_answers: Callable[[], bool]


class NodeDuties:
    """Keeps this node's share of the duties that the settings and the configuration name."""

    def __init__(
        self,
        board: Blackboard,
        settings: BootSettings,
        parts: DutyDependencies,
        api: DutyApi,
        view: PlatformView,
        rng: random.Random,
    ) -> None:
        """Wire the duties; nothing is claimed before :meth:`run`."""
        self._reports_usage = settings.reports_usage
        if settings.orders_targets:
            parts = parts._replace(servers=TargetProvisioning(api, view.sees_targets))
        self._services = ServiceDuties(parts)
        self._usage = UsageDuty(
            UsageDependencies(
                view.log,
                api,
                view.clock,
                ReportSchedule(settings.report_window_s, settings.report_due_s),
                parts.observer,
                rng,
                view.store_answers,
            )
        )
        self._keeper = DutyKeeper(
            board,
            parts.step_log,
            self._subjects,
            parts.observer,
            rng,
            lease_s=settings.lease_s,
            fenced=settings.fences_checked,
        )

    async def run(self) -> None:
        """Look after the duties for as long as the node lives."""
        await self._keeper.run()

    async def hand_over(self) -> None:
        """Name the next holder of each duty that this node has."""
        await self._keeper.hand_over()

    def posts(self) -> Mapping[str, int]:
        """Return the subjects that this node holds, with their fencing numbers."""
        return self._keeper.held_duties()

    def runs_services(self) -> bool:
        """Whether this node runs the steps of any service."""
        return not self._services.subjects().keys().isdisjoint(self._keeper.held_duties())

    def _subjects(self) -> Mapping[str, DutyFactory]:
        """Return the duties that some node must have."""
        if not self._reports_usage:
            return self._services.subjects()
        return {**self._services.subjects(), **self._usage.subjects()}
