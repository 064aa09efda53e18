"""The composition root of a node on the users' platform."""

import asyncio
import random
import secrets
import time
from collections.abc import Sequence
from typing import Final

import aiohttp
from aiohttp import web

from .._boot_clock import boot_time_s
from ..blackboard import Blackboard, Identity, Member
from ..controllers.membership import Membership
from ..durable import (
    DutyDependencies,
    MemberRegistry,
    ProgressJournal,
    Scorer,
    StepAccess,
    StepLog,
    TopicFollower,
    keeps_items_apart,
    reading_pause_s,
)
from ..observe import Observer
from ..peers import HeartbeatCodec
from ..serving import (
    ApiKeyAuthenticator,
    Forwarder,
    RouteTable,
    StreamRelay,
    TargetRegistry,
    TargetTable,
    discard_usage,
)
from ..targets import make_connector
from ..usage import (
    ClockSample,
    TrueClock,
    UsageCounter,
    write_interval_s,
)
from ._boot_settings import BootSettings
from ._call_exchange import CallExchange
from ._call_stream import CallStream
from ._crash_parts import wire_crash_parts
from ._duty_api import DutyApi
from ._engine_orders import EngineOrders
from ._front import Front
from ._front_server import FrontServer
from ._generation_stream import GenerationStream
from ._listeners import Listeners
from ._metadata_store import MetadataStore
from ._node_duties import NodeDuties, PlatformView
from ._peer_texts import PeerTextClient
from ._side_doors import SideDoors
from ._target_sessions import TargetSessions
from ._watches import OperatorWatch, TargetWatch
from ._wire_names import TOPIC_OPERATOR, TOPIC_TARGETS

# Between nodes: probes of members, and how long a member may leave them unanswered.
HEARTBEAT_S: Final = 0.15
SUSPECT_AFTER_S: Final = 0.5
HOUSEKEEPING_S: Final = 0.25
# The store's connection is given up by the kernel after this long without a sign.
STORE_SILENT_S: Final = 1.0
# Nothing is ordered by registrations that were confirmed longer ago than this, or so soon after
# the store was away, when those of live targets may still be missing.
REGISTRATIONS_FRESH_S: Final = 1.5
REGISTRATIONS_BACK_S: Final = 3.0
# A correction of this node's clock that is worth a line in the log.
CLOCK_MOVED_S: Final = 0.1
# A leaving node serves this long on, for callers that kept its address: three times the
# time to live of a directory answer, and the second that it takes to be heard of.
SERVE_ON_S: Final = 4.2
END_MARGIN_S: Final = 0.6


class PlatformNode:
    """One node: wired here, started, and stopped without cutting anything off."""

    def __init__(self, settings: BootSettings) -> None:
        """Wire the parts; nothing is sent yet."""
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
        self._words = self.observer.log("node")
        self.routes = RouteTable()
        self.targets = TargetTable(settings.zone, settings.node_id)
        self._listeners = Listeners(self.observer)
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Listen and start following the platform."""
        settings = self.settings
        self._clock = TrueClock(asyncio.get_running_loop().time, boot_time_s, time.time)
        self._session = aiohttp.ClientSession(connector=make_connector(STORE_SILENT_S))
        self._sessions = TargetSessions(self.observer)
        self.targets.warm.keep_alive_s = self._sessions.idle_timeout_s
        self._store = MetadataStore(
            self._session, settings.store_address, self._peer_controls, self.observer, self._rng
        )
        self._wire_watches()
        self._crashes = wire_crash_parts(
            self._store, self.board, self.targets, self.observer, self._rng
        )
        self._wire_steps()
        self._membership = Membership(
            self.board,
            HeartbeatCodec(settings.store_address),
            self.observer,
            self._own_row,
            seeds=self._seeds(),
            heartbeat_s=HEARTBEAT_S,
            suspect_after_s=SUSPECT_AFTER_S,
            rng=self._rng,
            piggyback_sources=[self._crashes.news],
        )
        await self._listen()
        for work in (
            self._membership.drive(),
            self._operator_follower.run(),
            self._member_registry.run(),
            self._target_follower.run(),
            self._crashes.records.run(),
            self.step_log.run(),
            self._duties.run(),
            self._counter.run(),
            self._keep_house(),
        ):
            task = asyncio.ensure_future(work)
            task.add_done_callback(self._note_end)
            self._tasks.append(task)
        self._words.info(
            "started node=%s incarnation=%s zone=%s front=%s",
            settings.node_id,
            self.board.identity.incarnation,
            settings.zone,
            settings.front_address,
        )

    def reload(self, settings: BootSettings) -> None:
        """Take settings that changed while the node runs; addresses to listen at stay."""
        changed = [
            name
            for name, old, new in zip(settings._fields, self.settings, settings, strict=True)
            if old != new
        ]
        self._words.info("settings read again changed=%s", ",".join(changed))
        self.settings = settings._replace(
            front_address=self.settings.front_address,
            ready_address=self.settings.ready_address,
            control_address=self.settings.control_address,
            directory_address=self.settings.directory_address,
            peer_ports=self.settings.peer_ports,
            metrics_port=self.settings.metrics_port,
        )
        self._store.set_address(settings.store_address)
        self._api.move(settings.api_address)
        self._authenticator.rebind(
            fails_closed=settings.keys_fail_closed, revocation_s=settings.key_revocation_s
        )

    async def drain(self) -> None:
        """Hand over the work, serve on while callers may still come, and end what is open."""
        began_s = asyncio.get_running_loop().time()
        posts = self._duties.posts()
        self._words.info("leaving in_flight=%d posts=%s", self.front.in_flight, posts)
        self.board.leaving = True
        self.front.leaving = True
        self._membership.announce()
        self._counter.flush_now()
        await self._duties.hand_over()
        serve_until_s = began_s + min(SERVE_ON_S, self.settings.grace_s * 0.6)
        end_by_s = began_s + self.settings.grace_s - END_MARGIN_S
        loop = asyncio.get_running_loop()
        while loop.time() < end_by_s:
            if loop.time() >= serve_until_s and not self._busy():
                break
            await asyncio.sleep(0.05)

    async def stop(self) -> None:
        """End every task and connection."""
        self._membership.announce_exit()
        for task in self._tasks:
            task.cancel()
        await self._listeners.close()
        self._store.close()
        await self._sessions.close()
        await self._session.close()
        self._words.info("stopped")

    def _busy(self) -> bool:
        unwritten = self.step_log.unlisted + self._counter.unwritten_calls
        return self.front.in_flight > 0 or unwritten > 0

    def _wire_watches(self) -> None:
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

    def _wire_steps(self) -> None:
        exchange = CallExchange(self._sessions)
        self._counter = UsageCounter(
            self._store,
            self._clock,
            self.settings.report_window_s,
            lambda: write_interval_s(len(self.board.members)),
            self.observer,
            self._rng,
        )
        meter = self._counter.record_start if self.settings.reports_usage else discard_usage
        forwarder = Forwarder(
            self.routes, self.targets, exchange, self._rng, meter, self._crashes.guard
        )
        self.step_log = StepLog(
            self._store,
            self.board.identity.incarnation,
            self.observer,
            self._rng,
            self._reading_pause_s,
            lambda: keeps_items_apart(len(self.board.members)),
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
        self.front = Front(
            self.routes,
            forwarder,
            relay,
            StepAccess(self.step_log),
            self._authenticator,
            self.observer,
        )
        parts = DutyDependencies(
            self.step_log,
            self.routes,
            self.targets,
            GenerationStream(self._sessions),
            EngineOrders(self._sessions),
            Scorer(self.routes, self.targets, forwarder, self.observer),
            ProgressJournal(self._store, self.observer),
            self.observer,
            self.operator.newest_version,
            guard=self._crashes.guard,
        )
        self._api = DutyApi(
            self._session, self.settings.api_address, self.settings.api_calls_per_s, self.observer
        )
        view = PlatformView(
            self._store, self._clock, self._sees_targets, lambda: self._store.reachable
        )
        self._duties = NodeDuties(self.board, self.settings, parts, self._api, view, self._rng)

    def _reading_pause_s(self) -> float:
        return reading_pause_s(len(self.board.members), runs_work=self._duties.runs_services())

    async def _listen(self) -> None:
        settings = self.settings
        listeners = self._listeners
        doors = SideDoors(
            self._store,
            self.observer,
            self._ready_members,
            self._is_ready,
            settings.entry_ttl_s,
            self.step_log.texts.cached,
        )
        await listeners.open(settings.front_address, FrontServer(self.front.handle, self.routes))
        await listeners.open(settings.ready_address, web.Server(doors.ready, access_log=None))
        directory = web.Server(doors.directory, access_log=None)
        await listeners.open(settings.directory_address, directory)
        await listeners.open(settings.control_address, web.Server(doors.control, access_log=None))
        if settings.metrics_port:
            address = f"{settings.ip_address}:{settings.metrics_port}"
            await listeners.open_if_free(address, web.Server(doors.metrics, access_log=None))
        peer_host, _, peer_port = self.board.identity.peer_address.rpartition(":")
        await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: self._membership, local_addr=(peer_host, int(peer_port))
        )

    async def _keep_house(self) -> None:
        """Bring slow-moving state up to date."""
        while True:
            await asyncio.sleep(HOUSEKEEPING_S)
            self.target_watch.refresh()
            self._crashes.guard.review([m.incarnation for m in self.board.live_members()])
            if self.settings.reports_usage:
                self._agree_on_time()
            await self._sessions.close_stale(self.targets.targets)

    def _agree_on_time(self) -> None:
        """Take the time of day that most hosts have; windows of usage are told apart by it."""
        samples = [
            ClockSample(view.member.time_of_day_ms / 1000.0, view.heard_at_s)
            for view in self.board.members.values()
            if view.alive and view.member.time_of_day_ms
        ]
        moved_s = self._clock.synchronize(samples)
        if abs(moved_s) > CLOCK_MOVED_S:
            self._words.warning("clock corrected by=%.3f s hosts=%d", moved_s, len(samples))

    def _sees_targets(self) -> bool:
        """Whether registrations are known as they are now, and none may only have lapsed."""
        follower = self._target_follower
        away_ago_s = boot_time_s() - follower.unavailable_at_s
        return follower.age_s() <= REGISTRATIONS_FRESH_S and away_ago_s > REGISTRATIONS_BACK_S

    def _is_ready(self) -> bool:
        caught_up = self._target_follower.caught_up and self._crashes.records.caught_up
        return self.routes.has_config and caught_up and not self.board.leaving

    def _own_row(self) -> Member:
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

    def _ready_members(self) -> Sequence[Member]:
        return [m for m in self.board.live_members() if m.ready and not m.leaving]

    def _peer_controls(self) -> Sequence[str]:
        """Return the control addresses of the other live nodes; ports are the same for all."""
        port = self.settings.control_address.rpartition(":")[2]
        own = self.board.identity.incarnation
        return [
            f"{member.peer_address.rpartition(':')[0]}:{port}"
            for member in self.board.live_members()
            if member.incarnation != own and not member.leaving
        ]

    def _seeds(self) -> Sequence[str]:
        """Return peer addresses on the seeds' hosts."""
        port = self.settings.peer_ports[0]
        hosts = {seed.rpartition(":")[0] for seed in self.settings.seed_addresses}
        return [f"{host}:{port}" for host in sorted(hosts - {self.settings.ip_address})]

    def _note_end(self, task: asyncio.Task[None]) -> None:
        if not task.cancelled() and task.exception() is not None:
            self._words.error("a part of the node failed", exc_info=task.exception())
