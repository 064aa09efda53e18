"""A dispatcher over real stand-in targets, and checks of its answers."""

import asyncio
import random
from collections.abc import AsyncIterator, Mapping, Sequence
from contextlib import asynccontextmanager
from typing import Any, NamedTuple

import aiohttp

from samphirecleat.blackboard import Blackboard, Identity, TargetView
from samphirecleat.config import ConfigState, Method, Service, ServiceKind, ServiceText
from samphirecleat.controllers.admission import Dispatcher, Limiter
from samphirecleat.controllers.policies import Policies
from samphirecleat.errors import ErrorKind, Ran, RequestError
from samphirecleat.observe import Observer
from samphirecleat.requests import AnswerLine, AnswerLog, Call, Span, WorkClass
from samphirecleat.standins import StandInEngine, StandInPlainService, StandInTarget
from samphirecleat.targets import TargetClient

PERIOD_S = 0.1
TOKENS = 8
ENGINE_SERVICE, PLAIN_SERVICE = "asesor", "cotizador"


class DispatcherSetup(NamedTuple):
    """A dispatcher with targets that share one list of injected faults."""

    dispatcher: Dispatcher
    board: Blackboard
    targets: Sequence[StandInTarget]

    def runs(self) -> int:
        """Return how many calls ran, counted by the targets themselves."""
        return sum(len(target.runs) for target in self.targets)  # type: ignore[attr-defined]


def make_service(name: str, kind: ServiceKind, refusal_is_not_run: bool) -> Service:
    methods = {name: Method(name, idempotent=True, max_s=30.0) for name in ("generate", "card")}
    return Service(
        name=name,
        kind=kind,
        depends_on=(),
        targets=(),
        methods=methods,
        capacity_per_target=8,
        checks_fencing=True,
        refusal_is_not_run=refusal_is_not_run,
        staleness_bound=2,
        staleness_weight=0.5,
        max_swapping_share=0.5,
        caller_share=0.5,
    )


@asynccontextmanager
async def make_setup(
    targets: Sequence[StandInTarget], kind: ServiceKind, *, refusal_is_not_run: bool = True
) -> AsyncIterator[DispatcherSetup]:
    service = make_service(targets[0].service, kind, refusal_is_not_run)
    board = Blackboard(Identity("n1", "aa", "z", "127.0.0.1:1", "127.0.0.1:2"))
    text = ServiceText({service.name: service}, {})
    board.config = ConfigState(revision=0, services=text)
    faults: list[str] = []
    for target in targets:
        target.next_faults = faults
        await target.start()
        board.targets[target.address] = TargetView(
            target.address, service.name, "z", reachable=True, slots=8
        )
    connector = aiohttp.TCPConnector(force_close=True)
    async with (
        aiohttp.ClientSession() as session,
        aiohttp.ClientSession(connector=connector) as fresh_session,
    ):
        client = TargetClient(
            session,
            fresh_session,
            progress_timeout_s=PERIOD_S,
            connect_timeout_s=0.5,
            probe_timeout_s=1.0,
        )
        policies = Policies()
        limiter = Limiter(board, policies.limits)
        dispatcher = Dispatcher(board, limiter, client, Observer("n1"), random.Random(1), policies)
        yield DispatcherSetup(dispatcher, board, targets)
        await dispatcher.close()
    for target in targets:
        await target.stop()


def engines() -> Sequence[StandInEngine]:
    return [
        StandInEngine(ENGINE_SERVICE, "z", "http://127.0.0.1:1", token_s=0.002, prefill_s=0.005)
        for _ in range(2)
    ]


def plain_services(*, tells_status: bool = False) -> Sequence[StandInPlainService]:
    services = [StandInPlainService(PLAIN_SERVICE, "z", call_s=0.005) for _ in range(2)]
    for service in services:
        service.tells_status = tells_status
    return services


def make_call(
    service: str, *, idempotent: bool, streamed: bool = False, deadline_in_s: float = 3.0
) -> Call:
    body: Mapping[str, Any] = {"prompt": "a quote", "max_tokens": TOKENS, "stream": streamed}
    return Call(
        service=service,
        method="card",
        body=body,
        deadline_at_s=asyncio.get_running_loop().time() + deadline_in_s,
        priority=5,
        idempotent=idempotent,
        request_id="n1.aa.0.k",
        work_class=WorkClass.CALLER,
    )


async def run(setup: DispatcherSetup, call: Call) -> Sequence[AnswerLine] | RequestError:
    answer = AnswerLog()
    await setup.dispatcher.run(call, answer)
    try:
        return [line async for line in answer.read()]
    except RequestError as error:
        return error


def check_error(outcome: object, kind: ErrorKind, ran: Ran) -> None:
    assert isinstance(outcome, RequestError), outcome
    assert (outcome.kind, outcome.ran) == (kind, ran)


def check_generation(outcome: Sequence[AnswerLine] | RequestError) -> None:
    assert not isinstance(outcome, RequestError), outcome
    spans = [span for line in outcome for span in line.get("spans", ())]
    assert sum(span.tokens for span in spans) == TOKENS
    assert spans[0] == Span(0, TOKENS) or all(span.version == 0 for span in spans)
    assert outcome[-1]["end"] == "stop"


UNKNOWN, FAILED = ErrorKind.OUTCOME_UNKNOWN, ErrorKind.TARGET_FAILED
