"""The duty of one service: runs its steps and orders weights and targets."""

from collections.abc import Callable, Mapping
from typing import Final, Literal, NamedTuple

from ..crashes import CrashGuard
from ..observe import Observer
from ..serving import RouteTable, TargetTable
from ._drafts import DraftStore
from ._duty import Duty, DutyFactory, Holder
from ._duty_tasks import DutyTasks
from ._finisher import Finisher
from ._journal import ProgressJournal
from ._orderer import OrderChannel, Orderer
from ._ports import GenerationChannel
from ._retention import drop_forgotten_steps
from ._run_pool import RunPool
from ._runner import StepRunner
from ._scorer import Scorer
from ._server_orders import ScaleChannel, ServerOrderer
from ._service_work import ServiceWork
from ._step_log import StepLog


class TargetProvisioning(NamedTuple):
    """Where targets are ordered; ``sees_targets`` tells whether all targets are known now."""

    channel: ScaleChannel
    sees_targets: Callable[[], bool]


NO_PROVISIONING: Final[Literal["no provisioning"]] = "no provisioning"
"""Marks a platform on which targets can't be ordered."""


class DutyDependencies(NamedTuple):
    """Dependencies of service duties; ``newest_version`` returns a model's newest version."""

    step_log: StepLog
    routes: RouteTable
    targets: TargetTable
    engines: GenerationChannel
    orders: OrderChannel
    scorer: Scorer
    journal: ProgressJournal
    observer: Observer
    newest_version: Callable[[str], int]
    provisioning: TargetProvisioning | Literal["no provisioning"] = NO_PROVISIONING
    guard: CrashGuard | None = None


class ServiceDuties:
    """One duty for each service with engines in the configuration."""

    def __init__(self, dependencies: DutyDependencies) -> None:
        """Create duties with ``dependencies``; all of them share one store of drafts."""
        self._dependencies = dependencies
        self._drafts = DraftStore()

    def subjects(self) -> Mapping[str, DutyFactory]:
        """Return the services to run with their factories."""
        services = self._dependencies.routes.config.services
        return {n: self._make for n, spec in services.items() if spec.engine is not None}

    async def _make(self, service: str, holder: Holder) -> Duty:
        await self._dependencies.journal.restore(self._drafts)
        return ServiceDuty(service, holder, self._dependencies, self._drafts)


class ServiceDuty:
    """The duty of running one service."""

    def __init__(
        self, service: str, holder: Holder, dependencies: DutyDependencies, drafts: DraftStore
    ) -> None:
        """Create all components; nothing runs before :meth:`start`."""
        self._dependencies = dependencies
        work = ServiceWork(
            service, dependencies.step_log, dependencies.routes, dependencies.targets
        )
        finisher = Finisher(work, dependencies.scorer, dependencies.observer)
        runs = RunPool(
            work, drafts, dependencies.engines, finisher, dependencies.observer, dependencies.guard
        )
        self._runner = StepRunner(work, drafts, runs, finisher, dependencies.observer)
        self._orderer = Orderer(
            service,
            holder,
            dependencies.routes,
            dependencies.targets,
            dependencies.orders,
            dependencies.observer,
            newest_version=dependencies.newest_version,
            work=work,
        )
        self._server_orderer = (
            ServerOrderer(
                work,
                dependencies.routes,
                dependencies.targets,
                dependencies.provisioning.channel,
                holder,
                dependencies.observer,
                dependencies.provisioning.sees_targets,
            )
            if isinstance(dependencies.provisioning, TargetProvisioning)
            else None
        )
        self._tasks = DutyTasks()

    def start(self, on_failure: Callable[[BaseException], None]) -> None:
        """Start all components; see :class:`Duty`."""
        dependencies = self._dependencies
        coroutines = [
            self._runner.run(),
            self._orderer.run(),
            dependencies.journal.save_periodically(self._runner.open_drafts),
            drop_forgotten_steps(dependencies.step_log, dependencies.observer),
        ]
        if self._server_orderer is not None:
            coroutines.append(self._server_orderer.run())
        self._tasks.start(coroutines, on_failure)

    def stop(self) -> None:
        """Cancel all components."""
        self._tasks.stop()

    async def save(self) -> None:
        """Save all open drafts."""
        await self._dependencies.journal.save(self._runner.open_drafts())

    @property
    def out_of_reach(self) -> bool:
        """Always False: unreachable engines are skipped, and the store has indirect paths."""
        return False
