"""Messages between the node that received a call and the owner of a target.

A call describes itself completely, so that an owner with another configuration handles it as the
sender means it. All messages are msgpack arrays; fields are only ever appended, with defaults.
"""

from collections.abc import Sequence

import msgspec

from ..errors import ErrorBody, RequestError
from ..serving import Call, CallKind, Route, TargetAnswer, WeightedService


class HopHeader(msgspec.Struct, array_like=True, frozen=True):
    """Identifies one hop of a call.

    ``sender`` is the incarnation of the sending node, ``sender_address`` its address for messages
    between nodes, and ``number`` the hop's number there. ``sent_at_s`` is the sender's monotonic
    clock, comparable only with other messages of the same sender.
    """

    sender: str
    sender_address: str
    number: int
    sent_at_s: float


class CallRequest(msgspec.Struct, array_like=True, frozen=True):
    """A call that is sent to an owner.

    ``age_s`` is the time since the call arrived at the sender, ``left_s`` the time until the sender
    stops waiting. ``attempts`` is how many targets may run the call in all of this hop;
    ``granted_attempts`` of them are granted with the request, and the owner must ask for each other
    one. ``counts_usage`` is false if another owner counts the call for its workspace.
    """

    hop: HopHeader
    request_id: str
    method: str
    raw_path: str
    host: str
    headers: Sequence[tuple[str, str]]
    body: bytes
    age_s: float
    left_s: float
    workspace: str
    caller: str
    service: str
    route: str
    kind: CallKind
    objective_s: float
    timeout_s: float
    attempts: int
    granted_attempts: int
    priority: int
    for_trainer: bool
    counts_usage: bool = True

    def to_call(self, now_s: float, delay_s: float) -> Call:
        """Return the call on the owner's clock; the request took ``delay_s`` to arrive."""
        return Call(
            self.request_id,
            self.method,
            self.raw_path,
            self.host,
            self.headers,
            self.body,
            now_s - delay_s - self.age_s,
            now_s - delay_s + self.left_s,
            self.workspace,
            self.caller,
            self.for_trainer,
        )

    def to_route(self) -> Route:
        """Return the route of the call, with its one service."""
        return Route(
            self.route,
            "",
            "",
            self.kind,
            (WeightedService(self.service, 1.0),),
            self.timeout_s,
            self.objective_s,
            self.attempts,
            self.priority,
        )


class CallReply(msgspec.Struct, array_like=True, frozen=True):
    """The answer of a target, or the error if there is none.

    ``wait_s`` is how long a new call of the service would wait at the owner, infinite if the owner
    has no target. ``error_kind`` is empty for an answer.
    """

    wait_s: float
    status: int = 0
    headers: Sequence[tuple[str, str]] = ()
    body: bytes = b""
    signature: str = ""
    error_kind: str = ""
    ran: str = ""
    retry_after_s: float = 0.0
    detail: str = ""

    @classmethod
    def from_answer(cls, answer: TargetAnswer, wait_s: float) -> "CallReply":
        """Return the reply that carries a target's answer."""
        # Names may be of a subclass of str, which can't be encoded.
        headers = [(str(name), value) for name, value in answer.headers]
        return cls(wait_s, answer.status, headers, answer.body, answer.signature)

    @classmethod
    def from_error(cls, error: RequestError, wait_s: float) -> "CallReply":
        """Return the reply that carries an error."""
        return cls(
            wait_s,
            error_kind=error.kind.value,
            ran=error.ran.value,
            retry_after_s=error.retry_after_s,
            detail=error.detail,
        )

    def answer(self) -> TargetAnswer:
        """Return the answer.

        :raises RequestError: if the reply carries an error. An unknown kind of error, as from a
            newer node, becomes an unknown outcome.
        """
        if not self.error_kind:
            return TargetAnswer(self.status, self.headers, self.body, self.signature)
        raise RequestError.from_body(
            ErrorBody(
                kind=self.error_kind,
                ran=self.ran,
                retry_at="",
                retry_after_s=self.retry_after_s,
                detail=self.detail,
            )
        )


def call_request(
    call: Call,
    route: Route,
    service: str,
    hop: HopHeader,
    *,
    now_s: float,
    left_s: float,
    attempts: int,
    granted_attempts: int,
    counts_usage: bool,
) -> CallRequest:
    """Return the request that sends ``call`` to an owner."""
    return CallRequest(
        hop,
        call.request_id,
        call.method,
        call.raw_path,
        call.host,
        call.headers,
        call.body,
        now_s - call.received_at_s,
        left_s,
        call.workspace,
        call.caller,
        service,
        route.name,
        route.kind,
        route.objective_s,
        route.timeout_s,
        attempts,
        granted_attempts,
        route.priority,
        call.for_trainer,
        counts_usage,
    )
