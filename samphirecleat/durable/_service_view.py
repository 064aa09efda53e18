"""What the configuration in force says of a service's engines, with what holds without it."""

from collections.abc import Sequence
from typing import Final

from ..serving import EngineSpec, RouteTable, Target, TargetTable

# The memory of an engine whose configuration names none.
UNBOUNDED_TOKENS: Final = 1 << 40


class ServiceView:
    """One service, as the configuration says at the moment of the question."""

    def __init__(self, service: str, routes: RouteTable, targets: TargetTable) -> None:
        """Look at ``service``."""
        self._service = service
        self._routes = routes
        self._targets = targets

    @property
    def tokens_per_event(self) -> int:
        """How many tokens one event of its streams holds."""
        engine = self._engine()
        return engine.tokens_per_event if engine is not None else 1

    @property
    def memory_tokens(self) -> int:
        """The memory of one of its engines."""
        engine = self._engine()
        return engine.memory_tokens if engine is not None else UNBOUNDED_TOKENS

    @property
    def wants_single_version(self) -> bool:
        """Whether its texts must be made by one version throughout."""
        return any(
            route.single_version
            for route in self._routes.config.routes
            if any(part.service == self._service for part in route.services)
        )

    def places(self, target: Target) -> int:
        """Return how many runs an engine takes at once."""
        engine = self._engine()
        return engine.slots if engine is not None else max(1, target.slots)

    @property
    def most_places(self) -> int:
        """The places of its largest engine, 1 at least."""
        targets = self._targets.serving(self._service)
        return max([1, *(self.places(target) for target in targets)])

    def models(self, target: Target) -> Sequence[str]:
        """Return the models that an engine serves."""
        engine = self._engine()
        return list(engine.models if engine is not None else target.versions)

    def _engine(self) -> EngineSpec | None:
        spec = self._routes.config.services.get(self._service)
        return spec.engine if spec is not None else None
