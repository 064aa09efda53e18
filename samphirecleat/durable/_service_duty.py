"""The duty of running one service's steps and ordering its engines' weights: its parts, wired."""

from collections.abc import Callable, Mapping
from typing import Final, Literal, NamedTuple

from ..crashes import CrashGuard
from ..observe import Observer
from ..serving import RouteTable, TargetTable
from ._drafts import DraftShelf
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
    """Where a service's targets are ordered; ``sees_targets`` says if they are all known now."""

    channel: ScaleChannel
    sees_targets: Callable[[], bool]


NO_PROVISIONING: Final[Literal["no supply"]] = "no supply"
"""Stands for a platform that takes no orders of targets."""


class DutyDependencies(NamedTuple):
    """What the work of any service needs of its node; ``named`` gives a model's newest version."""

    step_log: StepLog
    routes: RouteTable
    targets: TargetTable
    engines: GenerationChannel
    orders: OrderChannel
    scorer: Scorer
    journal: ProgressJournal
    observer: Observer
    named: Callable[[str], int]
    servers: TargetProvisioning | Literal["no supply"] = NO_PROVISIONING
    guard: CrashGuard | None = None


class ServiceDuties:
    """The services of engines that the configuration names, each a duty."""

    def __init__(self, parts: DutyDependencies) -> None:
        """Make posts of ``parts``; what was saved of texts is shared between them."""
        self._parts = parts
        self._drafts = DraftShelf()

    def subjects(self) -> Mapping[str, DutyFactory]:
        """Return the services to run."""
        services = self._parts.routes.config.services
        return {n: self._make for n, spec in services.items() if spec.engine is not None}

    async def _make(self, service: str, holder: Holder) -> Duty:
        await self._parts.journal.restore(self._drafts)
        return ServicePost(service, holder, self._parts, self._drafts)


class ServicePost:
    """A service that this node runs."""

    def __init__(
        self, service: str, holder: Holder, parts: DutyDependencies, drafts: DraftShelf
    ) -> None:
        """Wire the parts; nothing runs before :meth:`start`."""
        self._parts = parts
        work = ServiceWork(service, parts.step_log, parts.routes, parts.targets)
        finisher = Finisher(work, parts.scorer, parts.observer)
        runs = RunPool(work, drafts, parts.engines, finisher, parts.observer, parts.guard)
        self._runner = StepRunner(work, drafts, runs, finisher, parts.observer)
        self._orderer = Orderer(
            service,
            holder,
            parts.routes,
            parts.targets,
            parts.orders,
            parts.observer,
            named=parts.named,
            work=work,
        )
        self._server_orderer = (
            ServerOrderer(
                work,
                parts.routes,
                parts.targets,
                parts.servers.channel,
                holder,
                parts.observer,
                parts.servers.sees_targets,
            )
            if isinstance(parts.servers, TargetProvisioning)
            else None
        )
        self._tasks = DutyTasks()

    def start(self, on_failure: Callable[[BaseException], None]) -> None:
        """Run every part; see :class:`Duty`."""
        parts = self._parts
        works = [
            self._runner.run(),
            self._orderer.run(),
            parts.journal.keep(self._runner.open_drafts),
            drop_forgotten_steps(parts.step_log, parts.observer),
        ]
        if self._server_orderer is not None:
            works.append(self._server_orderer.run())
        self._tasks.start(works, on_failure)

    def stop(self) -> None:
        """Cancel every part."""
        self._tasks.stop()

    async def save(self) -> None:
        """Save every text that is being made."""
        await self._parts.journal.save(self._runner.open_drafts())

    @property
    def out_of_reach(self) -> bool:
        """Say no: an engine that this node can't reach is passed over, and the store has ways."""
        return False
