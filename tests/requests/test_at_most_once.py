"""Stateful test of retries over restarting nodes and a lossy, duplicating network."""

from collections import Counter
from dataclasses import dataclass, field

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from samphirecleat.client._retry_decision import (
    AnswerLost,
    ErrorAnswer,
    RetryNewKey,
    RetrySameKey,
    SendFailure,
    decide_retry,
    decide_without_nodes,
)
from samphirecleat.errors import ErrorKind, Ran, RequestError
from samphirecleat.requests import (
    AnswerLog,
    AnswerStore,
    ForwardTo,
    JoinHere,
    RequestKey,
    RequestKeyTable,
    StartHere,
)

NODES = ("a", "b")
EPOCH_S = 10.0
MAX_KEYS = 2
BODY = {"prompt": "one quote"}
INDEXES = st.integers(0, 30)
EVENT_COUNTS: Counter[str] = Counter()


@dataclass(eq=False)
class ModelCall:
    """A non-idempotent call of a caller, with every key used for it.

    ``tried_nodes`` are the nodes that the current key was sent to; ``duplicated`` is true
    once a copy of the current message may still be in transit.
    """

    keys: list[RequestKey] = field(default_factory=list)
    tried_nodes: list[str] = field(default_factory=list)
    duplicated: bool = False
    ended: bool = False


@dataclass(eq=False)
class Message:
    """A copy of a request in transit to a node, possibly forwarded by another node."""

    call: ModelCall
    key: RequestKey
    node: str
    forwarded: bool = False


@dataclass(eq=False)
class Run:
    """A request that an incarnation has started and that has not ended."""

    key: RequestKey
    answer: AnswerLog


@dataclass(eq=False)
class Waiter:
    """A node that waits for an answer to pass it on to a caller."""

    call: ModelCall
    key: RequestKey
    node: str
    answer: AnswerLog


class AtMostOnceMachine(RuleBasedStateMachine):
    """Messages are delayed, duplicated or lost; nodes restart; epochs pass."""

    def __init__(self) -> None:
        super().__init__()
        EVENT_COUNTS["interleavings"] += 1
        self.now_s = 0.0
        self.incarnations = Counter(dict.fromkeys(NODES, 0))
        self.tables = {node: self._new_table(node) for node in NODES}
        self.entry_list = dict.fromkeys(NODES, (0, 0))
        self.calls: list[ModelCall] = []
        self.network: list[Message] = []
        self.runs: list[Run] = []
        self.waiters: list[Waiter] = []
        self.run_counts: Counter[RequestKey] = Counter()
        self.reported_not_run: set[RequestKey] = set()

    def _ended_waiters(self) -> list[Waiter]:
        return [waiter for waiter in self.waiters if waiter.answer.closed]

    def _new_table(self, node: str) -> RequestKeyTable:
        return RequestKeyTable(
            node,
            f"{self.incarnations[node]:x}",
            AnswerStore(3_000),
            epoch_s=EPOCH_S,
            max_keys=MAX_KEYS,
            now_s=self.now_s,
        )

    def _send_new_key(self, call: ModelCall, node: str) -> None:
        incarnation, epoch = self.entry_list[node]
        unique = f"c{self.calls.index(call)}-{len(call.keys)}"
        key = RequestKey(node, f"{incarnation:x}", epoch, unique)
        call.keys.append(key)
        call.tried_nodes = [node]
        call.duplicated = False
        self.network.append(Message(call, key, node))

    @rule(node=st.sampled_from(NODES))
    def start_call(self, node: str) -> None:
        """A caller starts a call."""
        call = ModelCall()
        self.calls.append(call)
        self._send_new_key(call, node)

    @rule(node=st.sampled_from(NODES))
    def refresh_entry_list(self, node: str) -> None:
        """Callers learn the current incarnation and epoch of a node."""
        table = self.tables[node]
        self.entry_list[node] = (self.incarnations[node], table.epoch(self.now_s))

    @precondition(lambda self: self.network)
    @rule(index=INDEXES)
    def deliver_message(self, index: int) -> None:
        """A message arrives, in any order."""
        self._handle(self.network.pop(index % len(self.network)))

    @precondition(lambda self: self.network)
    @rule(index=INDEXES)
    def deliver_duplicate(self, index: int) -> None:
        """A message arrives and stays in transit, so that it may arrive again."""
        message = self.network[index % len(self.network)]
        message.call.duplicated = True
        self._handle(message)

    @precondition(lambda self: self.network)
    @rule(index=INDEXES)
    def time_out_message(self, index: int) -> None:
        """The caller considers a message lost although it may still arrive."""
        message = self.network[index % len(self.network)]
        message.call.duplicated = True
        self._react(message.call, message.key, AnswerLost())

    @precondition(lambda self: self.network)
    @rule(index=INDEXES)
    def refuse_message(self, index: int) -> None:
        """A node refuses a message, as for a malformed header or a passed deadline.

        A node without a configuration does the same.
        """
        message = self.network[index % len(self.network)]
        message.call.duplicated = True
        ran = self.tables[message.node].refuse(message.key, self.now_s)
        self._answer(message, RequestError(ErrorKind.NOT_READY, "", ran=ran))

    @precondition(lambda self: self.runs)
    @rule(index=INDEXES, end=st.sampled_from(["whole", "failed", "refused", "unknown"]))
    def end_run(self, index: int, end: str) -> None:
        """A run ends with one of the outcomes of the dispatcher."""
        run = self.runs.pop(index % len(self.runs))
        if end == "refused":
            run.answer.close(RequestError(ErrorKind.OVERLOADED, ""))
            return
        self.run_counts[run.key] += 1
        if end == "whole":
            run.answer.add({"text": "x" * 700, "end": "stop"})
            run.answer.close()
        else:
            kind = ErrorKind.TARGET_FAILED if end == "failed" else ErrorKind.OUTCOME_UNKNOWN
            run.answer.close(RequestError(kind, ""))

    @precondition(lambda self: self._ended_waiters())
    @rule(index=INDEXES, lost=st.booleans())
    def deliver_answer(self, index: int, lost: bool) -> None:
        """An answer reaches the caller or is lost in transit."""
        ended = self._ended_waiters()
        waiter = ended[index % len(ended)]
        self.waiters.remove(waiter)
        error = waiter.answer.error
        if lost:
            self._react(waiter.call, waiter.key, AnswerLost())
        elif error is not None:
            self._answer(Message(waiter.call, waiter.key, waiter.node), error)
        else:
            waiter.call.ended = True

    @rule(node=st.sampled_from(NODES), runs_first=st.booleans())
    def restart_node(self, node: str, runs_first: bool) -> None:
        """A node is replaced before or after its open runs were executed."""
        for run in [r for r in self.runs if r.key.node_id == node]:
            self.runs.remove(run)
            self.run_counts[run.key] += 1 if runs_first else 0
        lost = [w for w in self.waiters if node in (w.node, w.key.node_id)]
        self.waiters = [w for w in self.waiters if w not in lost]
        self.incarnations[node] += 1
        self.tables[node] = self._new_table(node)
        for waiter in lost:
            self._react(waiter.call, waiter.key, AnswerLost())

    @rule(seconds=st.sampled_from([1.0, EPOCH_S, 2.5 * EPOCH_S]))
    def advance_time(self, seconds: float) -> None:
        """Time advances on every node."""
        self.now_s += seconds

    def _handle(self, message: Message) -> None:
        EVENT_COUNTS["deliveries"] += 1
        table = self.tables[message.node]
        try:
            binding = table.bind(message.key, BODY, self.now_s)
        except RequestError as error:
            if error.ran is Ran.NO:
                error.ran = table.refuse(message.key, self.now_s)
            self._answer(message, error)
            return
        match binding:
            case StartHere(answer=answer):
                self.runs.append(Run(message.key, answer))
                self.waiters.append(Waiter(message.call, message.key, message.node, answer))
            case JoinHere(answer=answer):
                self.waiters.append(Waiter(message.call, message.key, message.node, answer))
            case ForwardTo(node_id=owner, incarnation=incarnation):
                if incarnation == f"{self.incarnations[owner]:x}" and not message.forwarded:
                    self.network.append(Message(message.call, message.key, owner, forwarded=True))
                else:
                    self._answer(message, RequestError(ErrorKind.KEY_OWNER_GONE, ""))

    def _answer(self, message: Message, error: RequestError) -> None:
        if error.ran is Ran.NO:
            self.reported_not_run.add(message.key)
        by_owner = message.node == message.key.node_id
        self._react(message.call, message.key, ErrorAnswer(error, by_owner))

    def _react(self, call: ModelCall, key: RequestKey, outcome: SendFailure) -> None:
        """Apply the client library's decision; a late answer to an earlier key is dropped."""
        if call.ended or key != call.keys[-1]:
            return
        resend = decide_retry(
            outcome,
            sent_before=call.duplicated or len(call.tried_nodes) > 1,
            idempotent=False,
            answer_started=False,
        )
        untried = [node for node in NODES if node not in call.tried_nodes]
        if isinstance(resend, RetrySameKey) and not untried:
            resend = decide_without_nodes(idempotent=False, answer_started=False)
        match resend:
            case RetrySameKey():
                call.tried_nodes.append(untried[0])
                self.network.append(Message(call, key, untried[0]))
            case RetryNewKey():
                self._send_new_key(call, NODES[len(call.keys) % len(NODES)])
            case _:
                call.ended = True

    @invariant()
    def no_call_runs_twice(self) -> None:
        """Over all keys of a call there is at most one run."""
        for call in self.calls:
            assert sum(self.run_counts[key] for key in call.keys) <= 1

    @invariant()
    def no_key_reported_as_not_run_ever_runs(self) -> None:
        """A key reported as "not run" has not run and never does."""
        EVENT_COUNTS["refusals checked"] += len(self.reported_not_run)
        assert not [key for key in self.reported_not_run if self.run_counts[key]]

    @invariant()
    def tables_stay_bounded(self) -> None:
        """No table holds more than ``MAX_KEYS`` keys."""
        assert all(len(table) <= MAX_KEYS for table in self.tables.values())


def test_call_runs_at_most_once(capsys: pytest.CaptureFixture[str]) -> None:
    """Answers are lost, copies of a request arrive late or twice, and nodes are replaced.

    A failure means that a retried non-idempotent request ran twice, or that a caller
    was told "not run" about a request that ran.
    """
    EVENT_COUNTS.clear()
    run_state_machine_as_test(
        AtMostOnceMachine, settings=settings(max_examples=300, stateful_step_count=50)
    )
    with capsys.disabled():
        print(f"\n  at most once: {dict(EVENT_COUNTS)}")
    assert EVENT_COUNTS["refusals checked"] > 0
