"""The composition root of a platform node."""

import asyncio
import random
import secrets
import time
from functools import partial
from typing import Final

import aiohttp

from .._boot_clock import boot_time_s
from .._supervisor import TaskSupervisor
from ..blackboard import Blackboard, Identity, Member
from ..connections import (
    ConnectionFactory,
    ConnectionLimits,
    GuardedServer,
    make_shared_limits,
)
from ..controllers.membership import Membership
from ..dispatch import (
    MAX_NODES_WITHOUT_OWNERS,
    OwnershipView,
)
from ..durable import (
    DutyDependencies,
    MemberRegistry,
    ProgressJournal,
    Scorer,
    StepAccess,
    StepLog,
    TopicFollower,
    reading_pause_s,
    stores_items_separately,
)
from ..observe import Observer
from ..peers import HeartbeatCodec
from ..serving import (
    ApiKeyAuthenticator,
    RouteTable,
    StreamRelay,
    TargetRegistry,
    TargetTable,
    discard_usage,
)
from ..targets import make_connector, use_strict_handler
from ..usage import (
    TrueClock,
    UsageCounter,
    clock_samples,
    write_interval_s,
)
from ._auxiliary_endpoints import AuxiliaryEndpoints
from ._boot_settings import BootSettings
from ._call_bytes import CallBytes
from ._call_stream import CallStream
from ._crash_parts import wire_crash_parts
from ._dispatch_parts import DispatchParts
from ._duty_api import DutyApi
from ._engine_orders import EngineOrders
from ._front import CallerHandler
from ._front_server import CallerServer, caller_connection_limits
from ._generation_stream import GenerationStream
from ._listeners import Listeners
from ._metadata_store import MetadataStore
from ._node_addresses import peer_control_addresses, ready_members, seed_peer_addresses
from ._node_duties import NodeDuties, PlatformView
from ._peer_texts import PeerTextClient
from ._shutdown import CLIENTS_TIMEOUT_S, LISTENERS_TIMEOUT_S, ShutdownSteps, drain_times
from ._target_sessions import TargetSessions
from ._watches import OperatorWatch, TargetWatch
from ._wire_names import TOPIC_OPERATOR, TOPIC_TARGETS

# Interval of the heartbeats between nodes, and the silence after which a member is suspected.
HEARTBEAT_INTERVAL_S: Final = 0.15
SUSPECT_AFTER_S: Final = 0.5
HOUSEKEEPING_INTERVAL_S: Final = 0.25
# The kernel probes a connection to the store that was idle for this long, and drops it if the
# probes remain unanswered.
STORE_KEEPALIVE_IDLE_S: Final = 1.0
# Targets are ordered only while the registrations were confirmed within this time, and not within
# the settle time after a store outage, when registrations of live targets may still be missing.
MAX_REGISTRATIONS_AGE_S: Final = 1.5
STORE_SETTLE_S: Final = 3.0
# Limits of the connections for readiness, control and metrics.
AUXILIARY_LIMITS: Final = ConnectionLimits(idle_timeout_s=60.0)
# Corrections of this node's clock above this are logged.
LOGGED_CLOCK_CORRECTION_S: Final = 0.1


class PlatformNode:
    """A node process: creates and connects its components, and starts, drains and stops them.

    Draining before the stop lets requests in flight finish within the grace period.
    """

    def __init__(
        self,
        settings: BootSettings,
        max_nodes_without_owners: int = MAX_NODES_WITHOUT_OWNERS,
    ) -> None:
        """Create the components that need no event loop; nothing is sent yet.

        Targets have owners while more than ``max_nodes_without_owners`` nodes are ready.
        """
        self.settings = settings
        self._rng = random.Random(secrets.randbits(64))
        self._started_at_ms = int(time.time() * 1000)
        self._sequence = 0
        peer_address = f"{settings.ip_address}:{settings.peer_ports[0]}"
        identity = Identity(
            settings.node_id,
            secrets.token_hex(4),
            settings.zone,
            settings.front_address,
            peer_address,
        )
        self.board = Blackboard(identity)
        self.observer = Observer(settings.node_id)
        self._logger = self.observer.log("node")
        self.routes = RouteTable()
        self.targets = TargetTable(settings.zone, settings.node_id)
        self.ownership = OwnershipView(settings.node_id, max_nodes_without_owners)
        self._listeners = Listeners(self.observer)
        self._supervisor = TaskSupervisor(self.observer)

    async def start(self) -> None:
        """Open the listeners and start the background tasks.

        :raises OSError: if a required address can't be bound.
        """
        settings = self.settings
        self._clock = TrueClock(asyncio.get_running_loop().time, boot_time_s, time.time)
        connector = use_strict_handler(make_connector(STORE_KEEPALIVE_IDLE_S))
        self._session = aiohttp.ClientSession(connector=connector)
        self._sessions = TargetSessions(self.observer, settings.answer_bytes_limit)
        self.targets.warm.keep_alive_s = self._sessions.idle_timeout_s
        self._store = MetadataStore(
            self._session,
            settings.store_address,
            lambda: peer_control_addresses(self.board, self.settings),
            self.observer,
            self._rng,
        )
        self._wire_followers()
        self._crashes = wire_crash_parts(
            self._store, self.board, self.targets, self.observer, self._rng
        )
        self._wire_serving()
        self._membership = Membership(
            self.board,
            HeartbeatCodec(settings.store_address),
            self.observer,
            self._own_member,
            seeds=seed_peer_addresses(self.settings),
            heartbeat_s=HEARTBEAT_INTERVAL_S,
            suspect_after_s=SUSPECT_AFTER_S,
            rng=self._rng,
            piggyback_sources=[self._crashes.gossip],
        )
        self._crashes.urgent.sender = self._membership
        await self._listen()
        # Requests are answered from the state that the needed tasks keep up to date.
        start = self._supervisor.start
        start("membership", self._membership.drive)
        start("configuration", self._operator_follower.run, needed=True)
        start("member_registry", self._member_registry.run)
        start("targets", self._target_follower.run, needed=True)
        start("crash_records", self._crashes.records.run, needed=True)
        start("step_log", self.step_log.run, needed=True)
        start("duties", self._duties.run)
        start("usage_counter", self._counter.run)
        start("housekeeping", self._run_housekeeping)
        self._logger.info(
            "started node=%s incarnation=%s zone=%s front=%s",
            settings.node_id,
            self.board.identity.incarnation,
            settings.zone,
            settings.front_address,
        )

    def reload(self, settings: BootSettings) -> None:
        """Apply changed settings while the node runs; listen addresses stay as they are."""
        changed = [
            name
            for name, old, new in zip(settings._fields, self.settings, settings, strict=True)
            if old != new
        ]
        self._logger.info("settings read again changed=%s", ",".join(changed))
        self.settings = settings.keeping_listeners_of(self.settings)
        self._store.set_address(settings.store_address)
        self._api.set_address(settings.api_address)
        self._call_bytes.budget.limit_bytes = settings.call_bytes_limit
        self._sessions.answers.budget.limit_bytes = settings.answer_bytes_limit
        self._shared_limits.budget.limit_bytes = settings.request_bytes_limit
        self._shared_limits.places.max_connections = settings.max_client_connections
        self._authenticator.set_revocation(
            fails_closed=settings.keys_fail_closed, revocation_s=settings.key_revocation_s
        )

    async def drain(self) -> None:
        """Hand over the duties, and keep serving while callers may still use this node's address.

        Returns once requests in flight and log writes are done as well, but in time to stop within
        the grace period.
        """
        times = drain_times(asyncio.get_running_loop().time(), self.settings.grace_s)
        duties = self._duties.held_duties()
        self._logger.info("draining in_flight=%d duties=%s", self.front.in_flight, duties)
        self.board.leaving = True
        steps = ShutdownSteps(self.observer)
        steps.run("drain_limit", partial(self.front.drain_limit.begin, times.ends_at_s))
        steps.run("announcement", self._membership.announce)
        steps.run("usage", self._counter.flush_now)
        await steps.drain(times, self._duties.hand_over, self._has_pending_work)

    async def stop(self) -> None:
        """Cancel every task and close every connection."""
        steps = ShutdownSteps(self.observer)
        steps.run("exit_announcement", self._membership.announce_exit)
        steps.run("tasks", self._supervisor.cancel)
        await steps.wait("listeners", self._listeners.close, LISTENERS_TIMEOUT_S)
        steps.run("store", self._store.close)
        await steps.wait_for_all(
            {
                "target_sessions": self._sessions.close,
                "node_client": self._dispatch.client.close,
                "session": self._session.close,
            },
            CLIENTS_TIMEOUT_S,
        )
        self._logger.info("stopped")

    def _has_pending_work(self) -> bool:
        unwritten = self.step_log.unlisted_count + self._counter.unwritten_calls
        in_flight = self.front.in_flight + self._dispatch.endpoint.in_flight
        return in_flight > 0 or unwritten > 0

    def _wire_followers(self) -> None:
        self.operator = OperatorWatch(self.routes, self.observer)
        self._operator_follower = TopicFollower(
            self._store, TOPIC_OPERATOR, self.operator.apply, self.observer, self._rng
        )
        registry = TargetRegistry(lambda: self._target_follower.unavailable_at_s)
        self._member_registry = MemberRegistry(self._store, self.board, self.observer, self._rng)
        self.target_watch = TargetWatch(registry, self.targets, self.observer)
        self._target_follower = TopicFollower(
            self._store, TOPIC_TARGETS, self.target_watch.apply, self.observer, self._rng
        )

    def _wire_serving(self) -> None:
        self._counter = UsageCounter(
            self._store,
            self._clock,
            self.settings.report_window_s,
            lambda: write_interval_s(len(self.board.members)),
            self.observer,
            self._rng,
        )
        meter = self._counter.record_start if self.settings.reports_usage else discard_usage
        self._shared_limits = make_shared_limits(
            self.settings.max_client_connections, self.settings.request_bytes_limit, self.observer
        )
        self._call_bytes = CallBytes(
            self.settings.call_bytes_limit, self.observer, lambda: self.board.leaving
        )
        self._dispatch = DispatchParts(
            self.board,
            self.routes,
            self.targets,
            self.ownership,
            self._sessions,
            self._call_bytes,
            meter,
            self._crashes.guard,
            self.observer,
            self._rng,
        )
        gateway, forwarder = self._dispatch.gateway, self._dispatch.forwarder
        self.step_log = StepLog(
            self._store,
            self.board.identity.incarnation,
            self.observer,
            self._rng,
            self._reading_pause_s,
            lambda: stores_items_separately(len(self.board.members)),
            PeerTextClient(
                self._session,
                self.board.live_members,
                self.settings.control_address.rpartition(":")[2],
            ),
        )
        relay = StreamRelay(forwarder, self.targets, CallStream(self._sessions))
        self._authenticator = ApiKeyAuthenticator(
            self.routes,
            lambda: self._operator_follower.age_s(),
            fails_closed=self.settings.keys_fail_closed,
            revocation_s=self.settings.key_revocation_s,
        )
        self.front = CallerHandler(
            self.routes,
            gateway,
            relay,
            StepAccess(self.step_log),
            self._authenticator,
            self.observer,
            self._call_bytes,
        )
        dependencies = DutyDependencies(
            self.step_log,
            self.routes,
            self.targets,
            GenerationStream(self._sessions, lambda: self.routes.config.requires_keys),
            EngineOrders(self._sessions),
            Scorer(self.routes, self.targets, gateway, self.observer),
            ProgressJournal(self._store, self.observer),
            self.observer,
            self.operator.newest_version,
            guard=self._crashes.guard,
        )
        self._api = DutyApi(
            self._session, self.settings.api_address, self.settings.api_calls_per_s, self.observer
        )
        view = PlatformView(
            self._store, self._clock, self._registrations_are_current, lambda: self._store.reachable
        )
        self._duties = NodeDuties(
            self.board, self.settings, dependencies, self._api, view, self._rng
        )

    def _reading_pause_s(self) -> float:
        return reading_pause_s(len(self.board.members), runs_work=self._duties.runs_any_service())

    async def _listen(self) -> None:
        settings = self.settings
        listeners = self._listeners
        endpoints = AuxiliaryEndpoints(
            self._store,
            self.observer,
            lambda: ready_members(self.board),
            self._is_ready,
            settings.entry_ttl_s,
            self.step_log.texts.cached,
        )
        shared = self._shared_limits
        for_callers = ConnectionFactory(shared, caller_connection_limits(self.routes))
        others = ConnectionFactory(shared, lambda: AUXILIARY_LIMITS)
        await listeners.open(
            settings.front_address, CallerServer(self.front.handle, self.routes, shared)
        )
        directory = GuardedServer(endpoints.directory, for_callers)
        await listeners.open(settings.directory_address, directory)
        await listeners.open(settings.ready_address, GuardedServer(endpoints.ready, others))
        await listeners.open(settings.control_address, GuardedServer(endpoints.control, others))
        if settings.metrics_port:
            address = f"{settings.ip_address}:{settings.metrics_port}"
            metrics = GuardedServer(endpoints.metrics, others)
            await listeners.open_optional(address, metrics, "metrics")
        peer_address = self.board.identity.peer_address
        # Without this listener, other nodes dispatch the calls of the targets that it owns.
        await listeners.open_optional(
            peer_address, self._dispatch.endpoint.server(shared), "calls of nodes"
        )
        peer_host, _, peer_port = peer_address.rpartition(":")
        await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: self._membership, local_addr=(peer_host, int(peer_port))
        )

    async def _run_housekeeping(self) -> None:
        """Refresh periodically what no event updates."""
        while True:
            await asyncio.sleep(HOUSEKEEPING_INTERVAL_S)
            self._call_bytes.publish()
            self.target_watch.refresh()
            services = self.routes.config.services
            self._dispatch.refresh(self.board.live_members(), self.targets.targets, services)
            self._crashes.guard.review([m.incarnation for m in self.board.live_members()])
            if self.settings.reports_usage:
                self._correct_clock()
            await self._sessions.close_stale(self.targets.targets)

    def _correct_clock(self) -> None:
        """Set the clock, which decides the usage window of a call, to the median of the fleet."""
        samples = clock_samples(self.board.members.values())
        correction_s = self._clock.synchronize(samples)
        if abs(correction_s) > LOGGED_CLOCK_CORRECTION_S:
            self._logger.warning("clock corrected by=%.3f s hosts=%d", correction_s, len(samples))

    def _registrations_are_current(self) -> bool:
        """Whether the registrations are recent and complete enough to order targets by."""
        follower = self._target_follower
        since_outage_s = boot_time_s() - follower.unavailable_at_s
        return follower.age_s() <= MAX_REGISTRATIONS_AGE_S and since_outage_s > STORE_SETTLE_S

    def _is_ready(self) -> bool:
        caught_up = self._target_follower.caught_up and self._crashes.records.caught_up
        follows_log = caught_up and self._supervisor.needed_tasks_run
        return self.routes.has_config and follows_log and not self.board.leaving

    def _own_member(self) -> Member:
        identity = self.board.identity
        self._sequence += 1
        return Member(
            node_id=identity.node_id,
            incarnation=identity.incarnation,
            started_at_ms=self._started_at_ms,
            zone=identity.zone,
            http_address=identity.http_address,
            peer_address=identity.peer_address,
            sequence=self._sequence,
            leaving=self.board.leaving,
            ready=self._is_ready(),
            config_revision=self.routes.config.revision,
            key_epoch=0,
            in_flight=self.front.in_flight,
            cores=self.settings.cores,
            time_of_day_ms=int(time.time() * 1000) if self.settings.reports_usage else 0,
        )
