"""The composition root: builds the components of one node and connects them."""

import asyncio
import random
import secrets
import time
from collections.abc import Callable, Mapping, Sequence
from functools import partial
from typing import Any, Final

import aiohttp
from aiohttp import web
from grpclib.server import Server

from ._supervisor import TaskFunction, TaskSupervisor
from .blackboard import Blackboard, Identity, Member
from .connections import (
    ConnectionFactory,
    ConnectionLimits,
    PlacedProtocol,
    Places,
    RefusalLog,
    bind_listener,
    make_shared_limits,
)
from .controllers.admission import (
    BoardServiceView,
    Dispatcher,
    Limiter,
    registration_state,
    sibling_targets,
)
from .controllers.configuration import ConfigFollower, ConfigReader
from .controllers.membership import Discovery, Drain, Membership
from .controllers.policies import Policies
from .controllers.steps import StepRegistry, StepRunner
from .controllers.targets import TargetWatch
from .controllers.weights import LeaseManager, WeightCoordinator
from .crashes import (
    CrashGossip,
    CrashGuard,
    CrashLedger,
    NullEvidenceRecorder,
    UrgentReports,
)
from .entry import CallerHandlers, OperatorHandlers, TrainerHandlers, build_app, build_node_report
from .observe import Observer
from .peers import HeartbeatCodec, PeerClient, PeerServer
from .platform import HttpHostList, HttpLog, HttpWeightStore
from .requests import AnswerStore, RequestKeyTable
from .settings import Settings
from .targets import TargetClient, is_listening, make_connector, use_strict_handler

CRASH_REVIEW_PERIOD_S: Final = 0.25
# Connections of other nodes; each node opens one.
MAX_PEER_CONNECTIONS: Final = 1000


class Node:
    """The node that runs on one entry host.

    :meth:`start` returns once the node listens. :meth:`drain` returns once nothing is in
    flight and every cached entry list that contains the node has expired.
    """

    def __init__(self, settings: Settings, policies: Policies | None = None) -> None:
        """Create a node without starting it; benches pass other ``policies``."""
        self._policies = policies if policies is not None else Policies()
        self.settings = settings
        self.observer = Observer(settings.node_id)
        self.board = Blackboard(
            Identity(
                settings.node_id,
                secrets.token_hex(6),
                settings.zone,
                settings.http_address,
                settings.peer_address,
            )
        )
        self._started_at_ms = time.time_ns() // 1_000_000
        self._rng = random.Random(settings.seed or None)
        self._supervisor = TaskSupervisor(self.observer)
        self._runner: web.AppRunner | None = None

    async def start(self) -> None:
        """Build the components, open the listeners and start the controllers."""
        self._build_components()
        await self._listen()
        self._start_controllers()
        self.observer.log("node").info("Node %s is listening.", self.settings.node_id)

    async def drain(self) -> None:
        """Leave the entry list, keep serving requests, and return once all are complete."""
        timings = self.settings.timings
        drain = Drain(
            self.board,
            self.observer,
            announce=self.membership.announce,
            in_flight=lambda: self.callers.in_flight + self.limiter.in_flight,
            undelivered=lambda: self.steps.has_undelivered_samples(
                asyncio.get_running_loop().time()
            ),
            entry_ttl_s=timings.entry_ttl_s,
            heartbeat_s=timings.heartbeat_s,
            max_deadline_s=timings.max_deadline_s,
        )
        await drain.run()

    async def stop(self) -> None:
        """Stop immediately; call :meth:`drain` first to let requests in flight complete."""
        self.membership.announce_exit()
        self._peer_server.stop()
        await self._supervisor.close()
        await self.callers.close()
        await self.step_runner.close()
        await self.dispatcher.close()
        self._udp_transport.close()
        self._grpc_server.close()
        await self._grpc_server.wait_closed()
        if self._runner is not None:
            self._http_server.close()
            await self._runner.cleanup()
        self.peers.close()
        await self._session.close()
        await self._fresh_session.close()

    def own_report(self) -> Mapping[str, Any]:
        """Return the entry of this node in the fleet report."""
        return build_node_report(
            self.board,
            self.observer,
            self.steps,
            self.weights,
            self.target_watch,
            asyncio.get_running_loop().time(),
        )

    def _build_components(self) -> None:
        settings, timings, board = self.settings, self.settings.timings, self.board
        now_s = asyncio.get_running_loop().time()
        probe_after_s = timings.progress_timeout_s
        self._session = aiohttp.ClientSession(
            connector=use_strict_handler(make_connector(probe_after_s))
        )
        self._fresh_session = aiohttp.ClientSession(
            connector=use_strict_handler(make_connector(probe_after_s, force_close=True))
        )
        log = HttpLog(self._session, settings.log_url)
        store = AnswerStore(settings.bounds.answer_store_bytes)
        self.request_keys = RequestKeyTable(
            settings.node_id,
            board.identity.incarnation,
            store,
            epoch_s=timings.key_epoch_s,
            max_keys=settings.bounds.keys,
            now_s=now_s,
        )
        client = TargetClient(
            self._session,
            self._fresh_session,
            progress_timeout_s=timings.progress_timeout_s,
            connect_timeout_s=timings.connect_timeout_s,
            probe_timeout_s=timings.probe_timeout_s,
        )
        self.peers = PeerClient(settings.shared_key, timings.progress_timeout_s)
        self.limiter = Limiter(board, self._policies.limits)
        self._build_crash_guard()
        self.dispatcher = Dispatcher(
            board,
            self.limiter,
            client,
            self.observer,
            self._rng,
            self._policies,
            self.crash_guard,
        )
        self.steps = StepRegistry(board, self.observer)
        self.step_runner = StepRunner(
            board,
            self.steps,
            self.dispatcher,
            self.limiter,
            self.observer,
            self._rng,
            self._policies.copies,
        )
        self.config_reader = ConfigReader(
            board,
            log,
            self.observer,
            self._rng,
            wait_s=timings.log_wait_s,
            retention_s=timings.log_retention_s,
        )
        self.config_follower = ConfigFollower(board, self.peers, self.config_reader, self._rng)
        self.leases = LeaseManager(
            board,
            log,
            self.observer,
            self._rng,
            lease_s=timings.lease_s,
            grace_s=timings.longest_order_s,
            log_wait_s=timings.log_wait_s,
        )
        self.discovery = Discovery(
            board,
            HttpHostList(self._session, settings.host_list_url),
            self.observer,
            timings.host_list_s,
            self._rng,
            self.peers,
        )
        self.target_watch = TargetWatch(board, client, timings.watch_s, self._rng)
        self.dispatcher.on_connection_refused = self.target_watch.record_refusal
        self.target_watch.on_pause = self.discovery.request_refresh
        self.membership = Membership(
            board,
            HeartbeatCodec(settings.shared_key),
            self.observer,
            self._own_row,
            seeds=settings.seeds,
            heartbeat_s=timings.heartbeat_s,
            suspect_after_s=timings.suspect_after_s,
            rng=self._rng,
            piggyback_sources=[self.target_watch, self.discovery, self._crash_gossip],
        )
        self._urgent_reports.sender = self.membership
        self.weights = WeightCoordinator(
            board,
            self.leases,
            HttpWeightStore(self._session, settings.weight_store_url),
            client,
            self.observer,
            self._rng,
            self._policies.swaps,
        )
        self.callers = CallerHandlers(
            board, self.request_keys, store, self.dispatcher, self.peers, self.observer, timings
        )

    def _build_crash_guard(self) -> None:
        board = self.board
        ledger = CrashLedger()
        self._crash_gossip = CrashGossip(ledger, lambda: len(board.members))
        self._urgent_reports = UrgentReports(self._crash_gossip)
        self.crash_guard = CrashGuard(
            self.settings.node_id,
            ledger,
            self._crash_gossip,
            is_listening,
            lambda start: registration_state(board, start),
            lambda start: sibling_targets(board, start),
            NullEvidenceRecorder(),
            self.observer,
            BoardServiceView(board),
            self._urgent_reports,
        )

    async def _review_crashes(self) -> None:
        while True:
            await asyncio.sleep(CRASH_REVIEW_PERIOD_S)
            self.crash_guard.review([member.incarnation for member in self.board.live_members()])

    async def _listen(self) -> None:
        settings = self.settings
        app = build_app(
            self.callers,
            TrainerHandlers(self.board, self.steps),
            OperatorHandlers(self.board, self.peers, self.observer, self.own_report),
            self.board,
            self.observer,
            max_body_bytes=settings.bounds.body_bytes,
        )
        self._runner = web.AppRunner(
            app, access_log=None, shutdown_timeout=0.1, handler_cancellation=True
        )
        await self._runner.setup()
        host, port = _split_address(settings.http_address)
        self._http_server = await asyncio.get_running_loop().create_server(
            self._connection_factory(self._runner), sock=bind_listener(host, port)
        )
        self._peer_server = PeerServer(
            settings.shared_key,
            self.callers.serve_forwarded,
            self.callers.status_of,
            lambda: self.board.config,
            self.own_report,
            self.discovery.table.present_rows,
        )
        peer_places = Places(MAX_PEER_CONNECTIONS, RefusalLog(self.observer), self.observer)
        self._grpc_server = _PeerListener([self._peer_server], peer_places)
        peer_host, peer_port = _split_address(settings.peer_address)
        await self._grpc_server.start(peer_host, peer_port, reuse_address=True)
        loop = asyncio.get_running_loop()
        self._udp_transport, _protocol = await loop.create_datagram_endpoint(
            lambda: self.membership, local_addr=(peer_host, peer_port)
        )

    def _connection_factory(self, runner: web.AppRunner) -> Callable[[], asyncio.BaseProtocol]:
        """Return what makes the protocol of each new HTTP connection."""
        bounds, timings = self.settings.bounds, self.settings.timings
        limits = ConnectionLimits(bounds.head_bytes, timings.head_timeout_s, timings.idle_timeout_s)
        self.shared_limits = make_shared_limits(
            bounds.connections, bounds.request_bytes, self.observer
        )
        connections = ConnectionFactory(self.shared_limits, lambda: limits)
        server = runner.server
        assert server is not None
        return partial(connections.make, server)

    def _start_controllers(self) -> None:
        for name, controller in self._controllers().items():
            self._supervisor.start(name, controller)

    def _controllers(self) -> Mapping[str, TaskFunction]:
        return {
            "configuration": self.config_reader.drive,
            "configuration_restatement": self.config_reader.drive_restatement,
            "configuration_from_peers": self.config_follower.drive,
            "leases": self.leases.drive_reading,
            "membership": self.membership.drive,
            "discovery": self.discovery.drive,
            "targets": self.target_watch.drive,
            "weights": self.weights.drive,
            "limits": self.limiter.drive,
            "steps": self.step_runner.drive,
            "crashes": self._review_crashes,
        }

    def _own_row(self) -> Member:
        identity = self.board.identity
        now_s = asyncio.get_running_loop().time()
        return Member(
            node_id=identity.node_id,
            incarnation=identity.incarnation,
            started_at_ms=self._started_at_ms,
            zone=identity.zone,
            http_address=identity.http_address,
            peer_address=identity.peer_address,
            sequence=0,  # set by the gossip protocol when it sends the row
            leaving=self.board.leaving,
            ready=self.board.ready,
            config_revision=self.board.config.revision,
            key_epoch=self.request_keys.epoch(now_s),
            in_flight=self.limiter.in_flight,
            reads_log=self.config_reader.reads_log,
            key_epoch_age_ms=int(self.request_keys.epoch_age_s(now_s) * 1000.0),
        )


class _PeerListener(Server):
    """The server for other nodes, whose connections need a place."""

    def __init__(self, handlers: Sequence[PeerServer], places: Places) -> None:
        super().__init__(handlers)
        self._places = places

    def _protocol_factory(self) -> PlacedProtocol:  # type: ignore[override]
        return PlacedProtocol(super()._protocol_factory(), self._places)


def _split_address(address: str) -> tuple[str, int]:
    host, port = address.rsplit(":", 1)
    return host, int(port)
