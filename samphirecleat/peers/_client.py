"""Calls to other nodes over grpclib; channels are kept per address."""

import asyncio
import hashlib
import json
from collections.abc import AsyncIterator, Mapping
from typing import Any, Final

from grpclib.client import Channel
from grpclib.exceptions import GRPCError, StreamTerminatedError

from ..blackboard import Member
from ..config import Restatement
from ..errors import ErrorKind, RequestError
from ..requests import AnswerLine, Call, Span
from .peers_grpc import PeersStub
from .peers_pb2 import ConfigRequest, ForwardRequest, ReportRequest

KEY_HEADER: Final = "x-shared-key-digest"
PEER_FAILURES: Final = (GRPCError, StreamTerminatedError, OSError, asyncio.TimeoutError)


def peer_token(shared_key: str) -> str:
    """Return what a node shows to another to prove that it has the shared key."""
    return hashlib.blake2b(shared_key.encode(), digest_size=16, person=b"peer").hexdigest()


class PeerUnavailableError(Exception):
    """Another node gave no answer."""


class PeerClient:
    """Asks other nodes; its failures are errors with a kind, never lost."""

    def __init__(self, shared_key: str) -> None:
        """Show the digest of ``shared_key`` with each call."""
        self._metadata = {KEY_HEADER: peer_token(shared_key)}
        self._channels: dict[str, Channel] = {}

    async def forward(self, member: Member, call: Call, now_s: float) -> AsyncIterator[AnswerLine]:
        """Run a call at the node that owns its key and yield the answer's lines.

        :raises samphirecleat.errors.RequestError: the owner's own error, or
            OUTCOME_UNKNOWN when the owner was lost after the call was sent.
        """
        left_s = max(0.01, call.deadline_at_s - now_s)
        request = ForwardRequest(
            service=call.service,
            method=call.method,
            body=json.dumps(call.body).encode(),
            deadline_in_s=left_s,
            priority=call.priority,
            idempotent=call.idempotent,
            key=call.request_id,
            traceparent=call.traceparent,
        )
        try:
            stub = self._stub(member)
            async with stub.Forward.open(timeout=left_s, metadata=self._metadata) as stream:
                await stream.send_message(request, end=True)
                async for chunk in stream:
                    if chunk.error:
                        raise RequestError.from_body(json.loads(chunk.error))
                    if chunk.last:
                        return
                    yield decode_line(chunk.line)
        except PEER_FAILURES as error:
            raise RequestError(
                ErrorKind.OUTCOME_UNKNOWN,
                f"node {member.node_id}, which owns the key, was lost: {error}",
            ) from error
        raise RequestError(ErrorKind.OUTCOME_UNKNOWN, "the owner's answer ended early")

    async def fetch_config(self, member: Member, timeout_s: float) -> Restatement:
        """Return what another node has in force.

        :raises PeerUnavailableError: when it gives no answer.
        """
        try:
            reply = await self._stub(member).FetchConfig(
                ConfigRequest(), timeout=timeout_s, metadata=self._metadata
            )
        except PEER_FAILURES as error:
            raise PeerUnavailableError(str(error)) from error
        return Restatement(reply.revision, reply.folded_to, reply.text, reply.operator)

    async def fetch_report(self, member: Member, timeout_s: float) -> Mapping[str, Any]:
        """Return another node's own part of the fleet report.

        :raises PeerUnavailableError: when it gives no answer.
        """
        try:
            reply = await self._stub(member).FetchReport(
                ReportRequest(), timeout=timeout_s, metadata=self._metadata
            )
        except PEER_FAILURES as error:
            raise PeerUnavailableError(str(error)) from error
        report: Mapping[str, Any] = json.loads(reply.report)
        return report

    def close(self) -> None:
        """Close every channel."""
        for channel in self._channels.values():
            channel.close()
        self._channels.clear()

    def _stub(self, member: Member) -> PeersStub:
        channel = self._channels.get(member.peer_address)
        if channel is None:
            host, port = member.peer_address.rsplit(":", 1)
            channel = Channel(host, int(port))
            self._channels[member.peer_address] = channel
        return PeersStub(channel)


def decode_line(raw: bytes) -> AnswerLine:
    """Return an answer's line from its JSON form."""
    line: AnswerLine = json.loads(raw)
    if "spans" in line:
        line["spans"] = [Span(int(version), int(tokens)) for version, tokens in line["spans"]]
    return line
