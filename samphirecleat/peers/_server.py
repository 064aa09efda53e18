"""What a node answers to other nodes over grpclib."""

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
from ._client import KEY_HEADER, peer_token
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
    """Serves other nodes; a peer without the shared key is turned away."""

    def __init__(
        self,
        shared_key: str,
        forward: ForwardHandler,
        status: Callable[[str], RequestStatus],
        config: Callable[[], ConfigState],
        report: Callable[[], Mapping[str, Any]],
        listed: Callable[[], Sequence[ListedHost]],
    ) -> None:
        """Answer from the given callables."""
        self._token = peer_token(shared_key)
        self._forward = forward
        self._status = status
        self._config = config
        self._report = report
        self._listed = listed
        self._stopped = False

    def stop(self) -> None:
        """Answer nothing more: closing the server leaves its open connections open."""
        self._stopped = True

    async def Forward(self, stream: Stream[ForwardRequest, ForwardChunk]) -> None:  # noqa: N802
        """Run a forwarded call as the owner of its key."""
        self._check_key(stream)
        request = await stream.recv_message()
        if request is None:
            raise GRPCError(Status.INVALID_ARGUMENT, "a request is expected")
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
        """Tell how far a key of this node is."""
        self._check_key(stream)
        request = await stream.recv_message()
        status = self._status(request.key if request is not None else "")
        await stream.send_message(StatusReply(state=status.state.value, progress=status.progress))

    async def FetchConfig(self, stream: Stream[ConfigRequest, ConfigReply]) -> None:  # noqa: N802
        """Tell what this node has in force."""
        self._check_key(stream)
        await stream.recv_message()
        told = restatement_from_state(self._config())
        await stream.send_message(ConfigReply(**told._asdict()))

    async def FetchReport(self, stream: Stream[ReportRequest, ReportReply]) -> None:  # noqa: N802
        """Tell this node's own part of the fleet report."""
        self._check_key(stream)
        await stream.recv_message()
        await stream.send_message(ReportReply(report=json.dumps(self._report()).encode()))

    async def FetchListed(self, stream: Stream[ListedRequest, ListedReply]) -> None:  # noqa: N802
        """Tell the host list as this node knows it."""
        self._check_key(stream)
        await stream.recv_message()
        rows = [ListedRow(**row._asdict()) for row in self._listed()]
        await stream.send_message(ListedReply(rows=rows))

    def _check_key(self, stream: Stream[Any, Any]) -> None:
        if self._stopped:
            raise GRPCError(Status.UNAVAILABLE, "this node has stopped")
        assert stream.metadata is not None
        shown = str(stream.metadata.get(KEY_HEADER, ""))
        if not hmac.compare_digest(shown, self._token):
            raise GRPCError(Status.UNAUTHENTICATED, "the shared key is missing or differs")
