"""Sets up the duties that a node may hold: services, usage reports and orders of targets."""

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
    """This node's view of the platform, as its duties need it.

    ``registrations_current`` tells whether the known registrations of targets are up to date,
    ``store_reachable`` whether the store answers this node directly.
    """

    log: KeyedLog
    clock: TrueClock
    registrations_current: Callable[[], bool]
    store_reachable: Callable[[], bool]


class NodeDuties:
    """Claims and runs this node's share of the duties, by its settings and the configuration."""

    def __init__(
        self,
        board: Blackboard,
        settings: BootSettings,
        dependencies: DutyDependencies,
        api: DutyApi,
        view: PlatformView,
        rng: random.Random,
    ) -> None:
        """Set up the duties; nothing is claimed before :meth:`run`."""
        self._reports_usage = settings.reports_usage
        if settings.orders_targets:
            dependencies = dependencies._replace(
                provisioning=TargetProvisioning(api, view.registrations_current)
            )
        self._services = ServiceDuties(dependencies)
        self._usage = UsageDuty(
            UsageDependencies(
                view.log,
                api,
                view.clock,
                ReportSchedule(settings.report_window_s, settings.report_due_s),
                dependencies.observer,
                rng,
                view.store_reachable,
            )
        )
        self._keeper = DutyKeeper(
            board,
            dependencies.step_log,
            self._subjects,
            dependencies.observer,
            rng,
            lease_s=settings.lease_s,
            fenced=settings.fences_checked,
        )

    async def run(self) -> None:
        """Claim and run duties until cancelled."""
        await self._keeper.run()

    async def hand_over(self) -> None:
        """Hand each duty that this node holds to its next holder."""
        await self._keeper.hand_over()

    def held_duties(self) -> Mapping[str, int]:
        """Return the fencing number of each duty that this node holds, by subject."""
        return self._keeper.held_duties()

    def runs_any_service(self) -> bool:
        """Whether this node runs the steps of any service."""
        return not self._services.subjects().keys().isdisjoint(self._keeper.held_duties())

    def _subjects(self) -> Mapping[str, DutyFactory]:
        """Return the duties that the fleet must hold, by subject."""
        if not self._reports_usage:
            return self._services.subjects()
        return {**self._services.subjects(), **self._usage.subjects()}
