"""Connections to targets: kept and reused, one pool for each start of a target."""

import math
from collections.abc import Mapping
from functools import partial
from typing import Final

import aiohttp

from ..observe import Observer
from ..serving import Target
from ..targets import make_connector, make_strict

# How long a connection may idle before the target has said how long it keeps one.
FIRST_IDLE_S: Final = 4.0
# Closed this long before the target would, so that a call never meets that close.
IDLE_MARGIN_S: Final = 0.8
# The kernel gives a connection up when its path is silent this long.
SILENT_AFTER_S: Final = 1.0
CONNECT_TIMEOUT_S: Final = 0.5
_NO_HEADERS: Final = frozenset({"User-Agent", "Accept", "Accept-Encoding", "Content-Type"})


class TargetSessions:
    """A client session for each target, closed when the target is gone."""

    def __init__(self, observer: Observer) -> None:
        """Start without connections; ``observer`` counts the new ones of each service."""
        self._counters = observer.counters
        self._sessions: dict[tuple[str, str, int], aiohttp.ClientSession] = {}
        self._services: dict[tuple[str, str, int], str] = {}
        self._idle_s: dict[str, float] = {}
        self._closing: list[aiohttp.ClientSession] = []

    def get(self, target: Target) -> aiohttp.ClientSession:
        """Return the session of a target."""
        key = (target.instance, target.address, target.started_at_ms)
        session = self._sessions.get(key)
        if session is None:
            session = self._sessions[key] = self._open(target.service)
            self._services[key] = target.service
        return session

    def idle_timeout_s(self, service: str) -> float:
        """Return how long connections to a service's targets are kept idle."""
        return self._idle_s.get(service, FIRST_IDLE_S)

    def learn_idle(self, target: Target, keep_alive: str) -> None:
        """Take a ``Keep-Alive`` header: the whole seconds after which the target closes."""
        for part in keep_alive.split(","):
            name, _, value = part.strip().partition("=")
            if name.lower() == "timeout" and value.isdigit():
                idle_s = max(0.2, int(value) - IDLE_MARGIN_S)
                if not math.isclose(self._idle_s.get(target.service, -1.0), idle_s):
                    self._idle_s[target.service] = idle_s
                    self._apply_idle(target.service, idle_s)

    async def close_stale(self, targets: Mapping[str, Target]) -> None:
        """Close the sessions of starts that are gone."""
        present = {(t.instance, t.address, t.started_at_ms) for t in targets.values()}
        for key in [key for key in self._sessions if key not in present]:
            self._closing.append(self._sessions.pop(key))
            del self._services[key]
        for session in self._closing:
            # Calls under way keep their connection until they end.
            connector = session.connector
            if connector is not None and not getattr(connector, "_acquired", ()):
                await session.close()
        self._closing = [session for session in self._closing if not session.closed]

    async def close(self) -> None:
        """Close every session."""
        for session in [*self._sessions.values(), *self._closing]:
            await session.close()

    def _open(self, service: str) -> aiohttp.ClientSession:
        idle_s = self.idle_timeout_s(service)
        pool = make_connector(SILENT_AFTER_S, keepalive_timeout_s=idle_s)
        connector = make_strict(pool, partial(self._count, service))
        session = aiohttp.ClientSession(
            connector=connector,
            skip_auto_headers=_NO_HEADERS,
            auto_decompress=False,
            cookie_jar=aiohttp.DummyCookieJar(),
            timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S),
            max_line_size=65536,
            max_field_size=65536,
        )
        # The library would send a call again by itself when a kept connection closes under it,
        # which may have run it; it has no parameter for that.
        session._retry_connection = False
        return session

    def _count(self, service: str) -> None:
        """Count a new connection: each holds a target up for a moment."""
        self._counters[f"connections_made_{service}"] += 1

    def _apply_idle(self, service: str, idle_s: float) -> None:
        """Have every target of a service keep connections so long.

        All sessions that were opened before the first answer came have the first guess. With
        that their connections would be closed between two bursts of calls, and opened again.
        """
        for key, session in self._sessions.items():
            if self._services[key] == service and session.connector is not None:
                # The library has no setter; a new pool would cost every connection in use.
                session.connector._keepalive_timeout = idle_s
