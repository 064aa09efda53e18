"""Engine settings of a service from the current configuration, with defaults."""

from collections.abc import Sequence
from typing import Final

from ..serving import EngineSpec, RouteTable, Target, TargetTable

# Engine memory when the configuration sets none.
UNBOUNDED_TOKENS: Final = 1 << 40


class ServiceView:
    """Reads the settings of one service; every call uses the configuration in force."""

    def __init__(self, service: str, routes: RouteTable, targets: TargetTable) -> None:
        """Read the settings of ``service``."""
        self._service = service
        self._routes = routes
        self._targets = targets

    @property
    def tokens_per_event(self) -> int:
        """The number of tokens per streamed event."""
        engine = self._engine()
        return engine.tokens_per_event if engine is not None else 1

    @property
    def memory_tokens(self) -> int:
        """The memory of one engine, in tokens."""
        engine = self._engine()
        return engine.memory_tokens if engine is not None else UNBOUNDED_TOKENS

    @property
    def tokens_per_slot(self) -> int:
        """The memory that an engine has for each of its slots, in tokens."""
        engine = self._engine()
        return UNBOUNDED_TOKENS if engine is None else engine.memory_tokens // max(1, engine.slots)

    @property
    def wants_single_version(self) -> bool:
        """Whether any route to the service requires texts of a single weight version."""
        return any(
            route.single_version
            for route in self._routes.config.routes
            if any(part.service == self._service for part in route.services)
        )

    def slots(self, target: Target) -> int:
        """Return how many concurrent runs an engine accepts."""
        engine = self._engine()
        return engine.slots if engine is not None else max(1, target.slots)

    @property
    def max_slots(self) -> int:
        """The slots of the largest engine, at least 1."""
        targets = self._targets.accepting_targets(self._service)
        return max([1, *(self.slots(target) for target in targets)])

    def models(self, target: Target) -> Sequence[str]:
        """Return the models that an engine serves."""
        engine = self._engine()
        return list(engine.models if engine is not None else target.versions)

    def _engine(self) -> EngineSpec | None:
        spec = self._routes.config.services.get(self._service)
        return spec.engine if spec is not None else None
