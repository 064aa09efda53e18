"""Persistent connections to targets, with one pool per process start of a target."""

import math
from collections import OrderedDict
from collections.abc import Mapping
from functools import partial
from typing import Final, NamedTuple

import aiohttp

from .._decoding import parse_whole_number
from ..observe import Observer
from ..serving import Target
from ..targets import make_connector, use_strict_handler
from ._answer_bytes import DEFAULT_LIMIT_BYTES, AnswerBytes
from ._wire_names import NOT_EXECUTED, REQUEST_ID

# Idle timeout of connections until a target of the service sends its own.
DEFAULT_IDLE_TIMEOUT_S: Final = 4.0
# An idle connection is closed this long before the target closes it, so that no call is sent on a
# connection that is being closed.
IDLE_TIMEOUT_MARGIN_S: Final = 0.8
# TCP keepalive probes start after this time without traffic; the kernel closes a connection whose
# probes get no response.
KEEPALIVE_PROBE_AFTER_S: Final = 1.0
CONNECT_TIMEOUT_S: Final = 0.5
LOGGED_ID_CHARS: Final = 80
MISDIRECTED_STATUS: Final = 421
_SKIPPED_AUTO_HEADERS: Final = frozenset(
    {"User-Agent", "Accept", "Accept-Encoding", "Content-Type"}
)


class _SessionKey(NamedTuple):
    """One start of a target, and whether each request gets a new connection."""

    instance: str
    address: str
    started_at_ms: int
    new_connections: bool


# Requests that a target refused, and that may be sent to it again.
MAX_REFUSED_REQUESTS: Final = 2000


class TargetSessions:
    """A client session per target, closed when the target is gone.

    Decides which response is the answer to a request: a faulty target may answer an earlier
    request a second time, at the place where the next response is expected. ``answers`` reads the
    bodies of responses.
    """

    def __init__(self, observer: Observer, answer_bytes_limit: int = DEFAULT_LIMIT_BYTES) -> None:
        """Start without connections; ``observer`` counts new connections by service.

        Up to ``answer_bytes_limit`` bytes of answers are held while they arrive.
        """
        self.answers = AnswerBytes(observer, answer_bytes_limit)
        self._counters = observer.counters
        self._logger = observer.log("targets")
        self._refused: OrderedDict[tuple[str, str], None] = OrderedDict()
        self._sessions: dict[_SessionKey, aiohttp.ClientSession] = {}
        self._services: dict[_SessionKey, str] = {}
        self._idle_timeouts_s: dict[str, float] = {}
        self._closing: list[aiohttp.ClientSession] = []

    def get(
        self, target: Target, request_id: str = "", *, new_connection: bool = False
    ) -> aiohttp.ClientSession:
        """Return the session of a target, with new connections for a request refused before.

        A second refusal of the earlier sending would bear the id of this one, too. It can only
        arrive on the connection of the earlier sending. A request without an id whose answer must
        not be mistaken asks for a ``new_connection``.
        """
        was_refused = bool(request_id) and (target.instance, request_id) in self._refused
        opens = new_connection or was_refused
        key = _SessionKey(target.instance, target.address, target.started_at_ms, opens)
        session = self._sessions.get(key)
        if session is None:
            session = self._sessions[key] = self._open(target.service, new_connections=opens)
            self._services[key] = target.service
        return session

    def is_answer(
        self, target: Target, response: aiohttp.ClientResponse, request_id: str = ""
    ) -> bool:
        """Return whether a response answers the request with this id, "" for one without an id.

        The connection of a response to another request is closed, and nothing may be concluded
        from the response: neither that the request ran, nor that it did not. The true answer may
        still arrive there.
        """
        answered_ids = response.headers.getall(REQUEST_ID, [""])
        if answered_ids == [request_id]:
            if request_id and is_refusal(response):
                self._remember_refused(target, request_id)
            return True
        response.close()
        self._counters[f"foreign_responses_{target.service}"] += 1
        self._logger.warning(
            "target=%s request=%s got a response with id=%s status=%d not_executed=%s; "
            "connection closed",
            target.instance,
            request_id,
            ",".join(answered_ids)[:LOGGED_ID_CHARS],
            response.status,
            NOT_EXECUTED in response.headers,
        )
        return False

    def _remember_refused(self, target: Target, request_id: str) -> None:
        self._refused[target.instance, request_id] = None
        if len(self._refused) > MAX_REFUSED_REQUESTS:
            self._refused.popitem(last=False)

    def idle_timeout_s(self, service: str) -> float:
        """Return the idle timeout of connections to the targets of a service, in seconds."""
        return self._idle_timeouts_s.get(service, DEFAULT_IDLE_TIMEOUT_S)

    def update_idle_timeout(self, target: Target, keep_alive: str) -> None:
        """Update the idle timeout of a service from a ``Keep-Alive`` header, in whole seconds."""
        for part in keep_alive.split(","):
            name, _, value = part.strip().partition("=")
            whole_s = parse_whole_number(value)
            if name.lower() == "timeout" and whole_s is not None:
                timeout_s = max(0.2, whole_s - IDLE_TIMEOUT_MARGIN_S)
                if not math.isclose(self._idle_timeouts_s.get(target.service, -1.0), timeout_s):
                    self._idle_timeouts_s[target.service] = timeout_s
                    self._apply_idle_timeout(target.service, timeout_s)

    async def close_stale(self, targets: Mapping[str, Target]) -> None:
        """Close the sessions of targets that are gone or were restarted since."""
        present = {(t.instance, t.address, t.started_at_ms) for t in targets.values()}
        for key in [key for key in self._sessions if key[:3] not in present]:
            self._closing.append(self._sessions.pop(key))
            del self._services[key]
        for session in self._closing:
            # Calls in flight keep their connection until they end.
            connector = session.connector
            if connector is not None and not getattr(connector, "_acquired", ()):
                await session.close()
        self._closing = [session for session in self._closing if not session.closed]

    async def close(self) -> None:
        """Close every session."""
        for session in [*self._sessions.values(), *self._closing]:
            await session.close()

    def _open(self, service: str, *, new_connections: bool) -> aiohttp.ClientSession:
        pool = make_connector(
            KEEPALIVE_PROBE_AFTER_S,
            force_close=new_connections,
            keepalive_timeout_s=self.idle_timeout_s(service),
        )
        connector = use_strict_handler(
            pool,
            partial(self._count_connection, service),
            partial(self._count_unrequested, service),
            partial(self._count_malformed, service),
        )
        session = aiohttp.ClientSession(
            connector=connector,
            skip_auto_headers=_SKIPPED_AUTO_HEADERS,
            auto_decompress=False,
            cookie_jar=aiohttp.DummyCookieJar(),
            timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S),
            max_line_size=65536,
            max_field_size=65536,
        )
        # aiohttp resends a call when a reused connection closes, although the target may have run
        # it. There is no public parameter to turn that off.
        session._retry_connection = False
        return session

    def _count_connection(self, service: str) -> None:
        """Count a new connection; each one briefly delays its target."""
        self._counters[f"connections_made_{service}"] += 1

    def _count_unrequested(self, service: str) -> None:
        """Count a connection that was closed because bytes followed a response."""
        self._counters[f"unrequested_bytes_{service}"] += 1

    def _count_malformed(self, service: str) -> None:
        """Count a connection that was closed because of bytes that are no response."""
        self._counters[f"malformed_responses_{service}"] += 1

    def _apply_idle_timeout(self, service: str, idle_timeout_s: float) -> None:
        """Set the idle timeout of all open sessions of a service.

        Sessions opened before the first response have the default. With that, their connections
        would be closed and reopened between two bursts of calls.
        """
        for key, session in self._sessions.items():
            if key.new_connections or session.connector is None:
                continue
            if self._services[key] == service:
                # aiohttp has no setter, and a new pool would drop all connections in use.
                session.connector._keepalive_timeout = idle_timeout_s


def is_refusal(response: aiohttp.ClientResponse) -> bool:
    """Return whether a response, if it answers a request, says that the request has not run."""
    return response.status == MISDIRECTED_STATUS or NOT_EXECUTED in response.headers
