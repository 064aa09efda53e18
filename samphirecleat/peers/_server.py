"""The grpclib service that a node offers to other nodes."""

import hmac
import json
from collections.abc import AsyncGenerator, Callable, Mapping, Sequence
from contextlib import aclosing
from typing import Any

from grpclib.const import Status
from grpclib.exceptions import GRPCError
from grpclib.server import Stream

from ..config import ConfigState, restatement_from_state
from ..errors import RequestError
from ..platform import ListedHost
from ..requests import AnswerLine, RequestStatus
from ._client import SHARED_KEY_HEADER, peer_token
from .peers_grpc import PeersBase
from .peers_pb2 import (
    ConfigReply,
    ConfigRequest,
    ForwardChunk,
    ForwardRequest,
    ListedReply,
    ListedRequest,
    ListedRow,
    ReportReply,
    ReportRequest,
    StatusReply,
    StatusRequest,
)

ForwardHandler = Callable[[ForwardRequest], AsyncGenerator[AnswerLine, None]]


class PeerServer(PeersBase):
    """Serves other nodes; calls of peers without the shared key fail as UNAUTHENTICATED."""

    def __init__(
        self,
        shared_key: str,
        forward: ForwardHandler,
        status: Callable[[str], RequestStatus],
        config: Callable[[], ConfigState],
        report: Callable[[], Mapping[str, Any]],
        host_list: Callable[[], Sequence[ListedHost]],
    ) -> None:
        """Serve the results of the given callables."""
        self._token = peer_token(shared_key)
        self._forward = forward
        self._status = status
        self._config = config
        self._report = report
        self._host_list = host_list
        self._stopped = False

    def stop(self) -> None:
        """Fail all further calls, since closing the server keeps open connections open."""
        self._stopped = True

    async def Forward(self, stream: Stream[ForwardRequest, ForwardChunk]) -> None:  # noqa: N802
        """Run a forwarded call; this node owns its key."""
        self._authenticate(stream)
        request = await stream.recv_message()
        if request is None:
            raise GRPCError(Status.INVALID_ARGUMENT, "the request message is missing")
        try:
            async with aclosing(self._forward(request)) as lines:
                async for line in lines:
                    await stream.send_message(ForwardChunk(line=json.dumps(line).encode()))
        except RequestError as error:
            body = json.dumps(error.body()).encode()
            await stream.send_message(ForwardChunk(error=body, last=True))
            return
        await stream.send_message(ForwardChunk(last=True))

    async def RequestStatus(self, stream: Stream[StatusRequest, StatusReply]) -> None:  # noqa: N802
        """Return the progress of a key that this node owns."""
        self._authenticate(stream)
        request = await stream.recv_message()
        status = self._status(request.key if request is not None else "")
        await stream.send_message(StatusReply(state=status.state.value, progress=status.progress))

    async def FetchConfig(self, stream: Stream[ConfigRequest, ConfigReply]) -> None:  # noqa: N802
        """Return the configuration that is in force on this node."""
        self._authenticate(stream)
        await stream.recv_message()
        state = restatement_from_state(self._config())
        await stream.send_message(ConfigReply(**state._asdict()))

    async def FetchReport(self, stream: Stream[ReportRequest, ReportReply]) -> None:  # noqa: N802
        """Return this node's own part of the fleet report."""
        self._authenticate(stream)
        await stream.recv_message()
        await stream.send_message(ReportReply(report=json.dumps(self._report()).encode()))

    async def FetchListed(self, stream: Stream[ListedRequest, ListedReply]) -> None:  # noqa: N802
        """Return the host list as this node knows it."""
        self._authenticate(stream)
        await stream.recv_message()
        rows = [ListedRow(**row._asdict()) for row in self._host_list()]
        await stream.send_message(ListedReply(rows=rows))

    def _authenticate(self, stream: Stream[Any, Any]) -> None:
        if self._stopped:
            raise GRPCError(Status.UNAVAILABLE, "this node has stopped")
        assert stream.metadata is not None
        token = str(stream.metadata.get(SHARED_KEY_HEADER, ""))
        if not hmac.compare_digest(token, self._token):
            raise GRPCError(Status.UNAUTHENTICATED, "the shared key is missing or does not match")
