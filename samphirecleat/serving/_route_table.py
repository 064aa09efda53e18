"""Selects the route of a call: by host, then by the longest matching path prefix."""

from collections import defaultdict
from collections.abc import Sequence
from typing import Final

from ..errors import ErrorKind, RequestError
from ._types import DEFAULT_PRIORITY, EMPTY_CONFIG, CallKind, Route, RoutingConfig
from ._workspaces import KeyTable

# Retry delay for callers of a node that has no configuration yet.
RETRY_AFTER_S: Final = 0.2
_STEP_KINDS: Final = (CallKind.ROLLOUT, CallKind.BATCH)


class RouteTable:
    """The active configuration, indexed for lookups; its revision never decreases."""

    def __init__(self) -> None:
        """Start without a configuration."""
        self.config: RoutingConfig = EMPTY_CONFIG
        self.keys = KeyTable(EMPTY_CONFIG)
        self._by_host: dict[str, Sequence[Route]] = {}
        self._priorities: dict[str, int] = {}

    @property
    def has_config(self) -> bool:
        """Whether a configuration has been received; if not, any route may still exist."""
        return self.config.revision >= 0

    def require_config(self) -> None:
        """Return if a configuration has been received.

        :raises RequestError: NOT_READY if not, since routes and keys are still unknown.
        """
        if not self.has_config:
            detail = "no configuration received yet"
            raise RequestError(ErrorKind.NOT_READY, detail, retry_after_s=RETRY_AFTER_S)

    def put(self, config: RoutingConfig) -> bool:
        """Activate a configuration; return False if it isn't newer than the active one."""
        if config.revision <= self.config.revision:
            return False
        by_host: dict[str, list[Route]] = defaultdict(list)
        for route in config.routes:
            by_host[route.host].append(route)
        for routes in by_host.values():
            routes.sort(key=lambda route: len(route.path_prefix), reverse=True)
        self.config = config
        self.keys = KeyTable(config)
        self._by_host = dict(by_host)
        self._priorities = {
            workspace.name: workspace.priority
            for workspace in config.workspaces
            if workspace.priority is not None
        }
        return True

    def find(self, host: str, raw_path: str) -> Route | None:
        """Return the route with the longest matching path prefix, None if there is none."""
        path = raw_path.partition("?")[0]
        for route in self._by_host.get(host.lower(), ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def priority_of(self, workspace: str) -> int:
        """Return the priority of a workspace, the default one if it has none."""
        return self._priorities.get(workspace, DEFAULT_PRIORITY)

    def call_priority(self, workspace: str, route: Route) -> int:
        """Return the priority of a call: its workspace's, or its route's if that has none."""
        return self._priorities.get(workspace, route.priority)

    def allows_anonymous_steps(self, host: str) -> bool:
        """Whether steps may be submitted to a host without an API key."""
        routes = self._by_host.get(host.lower(), ())
        return any(route.allows_anonymous and route.kind in _STEP_KINDS for route in routes)
