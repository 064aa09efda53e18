"""Calls to other nodes over grpclib; one channel is kept open per address."""

import asyncio
import hashlib
import json
from collections.abc import AsyncGenerator, Mapping, Sequence
from contextlib import aclosing
from typing import Any, Final

from grpclib.client import Channel, Stream
from grpclib.exceptions import GRPCError, StreamTerminatedError

from .._decoding import MALFORMED_INPUT_ERRORS
from ..blackboard import Member
from ..config import Restatement
from ..errors import ErrorKind, RequestError
from ..platform import ListedHost
from ..requests import (
    AnswerLine,
    Call,
    ProbeResult,
    RequestStatus,
    RunState,
    SilenceDetector,
    SilentConnectionError,
    Span,
    Unreachable,
)
from .peers_grpc import PeersStub
from .peers_pb2 import (
    ConfigRequest,
    ForwardChunk,
    ForwardRequest,
    ListedRequest,
    ReportRequest,
    StatusRequest,
)

DEADLINE_SLACK_S: Final = 0.5
RETIRED_CHANNEL_TTL_S: Final = 120.0
SHARED_KEY_HEADER: Final = "x-shared-key-digest"
PEER_ERRORS: Final = (GRPCError, StreamTerminatedError, OSError, asyncio.TimeoutError)


def peer_token(shared_key: str) -> str:
    """Return the token with which a node proves to another that it has the shared key."""
    return hashlib.blake2b(shared_key.encode(), digest_size=16, person=b"peer").hexdigest()


class PeerUnavailableError(Exception):
    """The call to another node failed."""


class PeerClient:
    """Calls other nodes.

    Transport failures are raised as :class:`samphirecleat.errors.RequestError` or
    :class:`PeerUnavailableError`, or returned as a probe result.
    """

    def __init__(self, shared_key: str, progress_timeout_s: float) -> None:
        """Authenticate with ``shared_key``.

        A forwarded call is probed after each ``progress_timeout_s`` without progress.
        """
        self._progress_timeout_s = progress_timeout_s
        self._metadata = {SHARED_KEY_HEADER: peer_token(shared_key)}
        self._channels: dict[str, Channel] = {}

    async def forward(
        self, member: Member, call: Call, now_s: float
    ) -> AsyncGenerator[AnswerLine, None]:
        """Run a call on the node that owns its key and yield the lines of the answer.

        Only an error from the owner itself can say "not run". Even if no byte of this
        request reached the owner, an earlier copy of it may have, so every transport
        failure is OUTCOME_UNKNOWN. The request is never resent.

        :raises samphirecleat.errors.RequestError: the owner's own error,
            OUTCOME_UNKNOWN if the connection to the owner failed, or DEADLINE_EXCEEDED.
        """
        remaining_s = max(0.01, call.deadline_at_s - now_s)
        # The owner ends the call at the same deadline. The slack lets its own error arrive,
        # which may say more about the run than an error of this node.
        timeout_s = remaining_s + DEADLINE_SLACK_S
        channel = self._channel(member)
        try:
            stream_context = PeersStub(channel).Forward.open(
                timeout=timeout_s, metadata=self._metadata
            )
            async with stream_context as stream:
                await stream.send_message(_forward_request(call, remaining_s), end=True)
                async with aclosing(self._read_answer(member, call, stream)) as lines:
                    async for line in lines:
                        yield line
        except SilentConnectionError as error:
            self._retire_channel(member, channel)
            raise _owner_lost_error(member, f"silent connection: {error}") from error
        except TimeoutError as error:
            raise RequestError(
                ErrorKind.DEADLINE_EXCEEDED, "the node that owns the key did not respond in time"
            ) from error
        except PEER_ERRORS as error:
            raise _owner_lost_error(member, str(error)) from error

    async def _read_answer(
        self, member: Member, call: Call, stream: Stream[ForwardRequest, ForwardChunk]
    ) -> AsyncGenerator[AnswerLine, None]:
        watch = SilenceDetector(
            lambda: self.probe(member, call.request_id),
            period_s=self._progress_timeout_s,
            counts_progress=bool(call.body.get("stream", False)),
        )
        async with watch:
            while True:
                chunk = await watch.wait(stream.recv_message())
                if chunk is None:
                    raise _owner_lost_error(member, "the answer ended early")
                if chunk.error:
                    raise RequestError.from_body(json.loads(chunk.error))
                if chunk.last:
                    return
                watch.record_progress(1)
                yield decode_line(chunk.line)

    async def probe(self, member: Member, key: str) -> ProbeResult:
        """Ask a node, on a new connection, for the progress of a key that it owns."""
        channel = _open_channel(member.peer_address)
        try:
            reply = await PeersStub(channel).RequestStatus(
                StatusRequest(key=key), timeout=self._progress_timeout_s, metadata=self._metadata
            )
            return RequestStatus(RunState(reply.state), reply.progress)
        except (*PEER_ERRORS, *MALFORMED_INPUT_ERRORS):
            return Unreachable()
        finally:
            channel.close()

    async def fetch_config(self, member: Member, timeout_s: float) -> Restatement:
        """Return the configuration that is in force on another node.

        :raises PeerUnavailableError: if the call fails.
        """
        try:
            reply = await self._stub(member).FetchConfig(
                ConfigRequest(), timeout=timeout_s, metadata=self._metadata
            )
        except PEER_ERRORS as error:
            raise PeerUnavailableError(str(error)) from error
        return Restatement(reply.revision, reply.folded_to, reply.text, reply.operator)

    async def fetch_report(self, member: Member, timeout_s: float) -> Mapping[str, Any]:
        """Return another node's own part of the fleet report.

        :raises PeerUnavailableError: if the call fails.
        """
        try:
            reply = await self._stub(member).FetchReport(
                ReportRequest(), timeout=timeout_s, metadata=self._metadata
            )
        except PEER_ERRORS as error:
            raise PeerUnavailableError(str(error)) from error
        try:
            report: Mapping[str, Any] = json.loads(reply.report)
        except MALFORMED_INPUT_ERRORS as error:
            raise PeerUnavailableError(f"malformed report: {error!r}") from error
        return report

    async def fetch_host_list(self, member: Member, timeout_s: float) -> Sequence[ListedHost]:
        """Return the host list as another node knows it.

        :raises PeerUnavailableError: if the call fails.
        """
        try:
            reply = await self._stub(member).FetchListed(
                ListedRequest(), timeout=timeout_s, metadata=self._metadata
            )
        except PEER_ERRORS as error:
            raise PeerUnavailableError(str(error)) from error
        return [ListedHost(r.address, r.service, r.zone, r.leaving) for r in reply.rows]

    def close(self) -> None:
        """Close every channel."""
        for channel in self._channels.values():
            channel.close()
        self._channels.clear()

    def _stub(self, member: Member) -> PeersStub:
        return PeersStub(self._channel(member))

    def _channel(self, member: Member) -> Channel:
        channel = self._channels.get(member.peer_address)
        if channel is None:
            channel = _open_channel(member.peer_address)
            self._channels[member.peer_address] = channel
        return channel

    def _retire_channel(self, member: Member, channel: Channel) -> None:
        """Use a new channel from now on, and let pending calls finish on the old one."""
        if self._channels.get(member.peer_address) is channel:
            del self._channels[member.peer_address]
            asyncio.get_running_loop().call_later(RETIRED_CHANNEL_TTL_S, channel.close)


def _open_channel(address: str) -> Channel:
    host, port = address.rsplit(":", 1)
    return Channel(host, int(port))


def _forward_request(call: Call, remaining_s: float) -> ForwardRequest:
    return ForwardRequest(
        service=call.service,
        method=call.method,
        body=json.dumps(call.body).encode(),
        deadline_in_s=remaining_s,
        priority=call.priority,
        idempotent=call.idempotent,
        key=call.request_id,
        traceparent=call.traceparent,
    )


def _owner_lost_error(member: Member, detail: str) -> RequestError:
    return RequestError(
        ErrorKind.OUTCOME_UNKNOWN,
        f"lost contact with node {member.node_id}, which owns the key: {detail}",
    )


def decode_line(raw: bytes) -> AnswerLine:
    """Decode a line of an answer from JSON."""
    line: AnswerLine = json.loads(raw)
    if "spans" in line:
        line["spans"] = [Span(int(version), int(tokens)) for version, tokens in line["spans"]]
    return line
