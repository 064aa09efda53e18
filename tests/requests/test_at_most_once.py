"""Callers that retry through nodes which restart, over a network that loses and doubles."""

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

from samphirecleat.client._resend import (
    Answered,
    AnswerLost,
    AskElsewhere,
    NewKey,
    SendOutcome,
    decide_resend,
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
PICK = st.integers(0, 30)
STEPS_TAKEN: Counter[str] = Counter()


@dataclass(eq=False)
class ModelCall:
    """One non-idempotent call of a caller, with every key it has used."""

    keys: list[RequestKey] = field(default_factory=list)
    asked: list[str] = field(default_factory=list)
    doubled: bool = False
    over: bool = False


@dataclass(eq=False)
class Message:
    """A copy of a request on its way to a node; ``forwarded`` by another one."""

    call: ModelCall
    key: RequestKey
    node: str
    forwarded: bool = False


@dataclass(eq=False)
class Run:
    """A key that was bound at an incarnation and has not ended yet."""

    key: RequestKey
    answer: AnswerLog


@dataclass(eq=False)
class Waiter:
    """A node that owes a caller the answer to a key."""

    call: ModelCall
    key: RequestKey
    node: str
    answer: AnswerLog


class AtMostOnce(RuleBasedStateMachine):
    """Messages come late, twice or never; nodes restart; epochs pass."""

    def __init__(self) -> None:
        super().__init__()
        STEPS_TAKEN["interleavings"] += 1
        self.now_s = 0.0
        self.incarnations = Counter(dict.fromkeys(NODES, 0))
        self.books = {node: self._new_book(node) for node in NODES}
        self.entry_list = dict.fromkeys(NODES, (0, 0))
        self.calls: list[ModelCall] = []
        self.network: list[Message] = []
        self.runs: list[Run] = []
        self.waiters: list[Waiter] = []
        self.ran: Counter[RequestKey] = Counter()
        self.told_not_run: set[RequestKey] = set()

    def _ended_waiters(self) -> list[Waiter]:
        return [waiter for waiter in self.waiters if waiter.answer.closed]

    def _new_book(self, node: str) -> RequestKeyTable:
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
        call.asked = [node]
        call.doubled = False
        self.network.append(Message(call, key, node))

    @rule(node=st.sampled_from(NODES))
    def call_a_node(self, node: str) -> None:
        """A caller starts a call."""
        call = ModelCall()
        self.calls.append(call)
        self._send_new_key(call, node)

    @rule(node=st.sampled_from(NODES))
    def fetch_the_entry_list(self, node: str) -> None:
        """Callers learn a node's incarnation and epoch."""
        book = self.books[node]
        self.entry_list[node] = (self.incarnations[node], book.epoch(self.now_s))

    @precondition(lambda self: self.network)
    @rule(pick=PICK)
    def deliver_a_message(self, pick: int) -> None:
        """A message arrives, in any order."""
        self._handle(self.network.pop(pick % len(self.network)))

    @precondition(lambda self: self.network)
    @rule(pick=PICK)
    def deliver_a_copy(self, pick: int) -> None:
        """A message arrives that will arrive again."""
        message = self.network[pick % len(self.network)]
        message.call.doubled = True
        self._handle(message)

    @precondition(lambda self: self.network)
    @rule(pick=PICK)
    def take_a_message_for_lost(self, pick: int) -> None:
        """The caller gives up on it, and it may still arrive."""
        message = self.network[pick % len(self.network)]
        message.call.doubled = True
        self._react(message.call, message.key, AnswerLost())

    @precondition(lambda self: self.network)
    @rule(pick=PICK)
    def refuse_a_message(self, pick: int) -> None:
        """As for a malformed header, a passed deadline, or a node without a text."""
        message = self.network[pick % len(self.network)]
        message.call.doubled = True
        ran = self.books[message.node].refuse(message.key, self.now_s)
        self._answer(message, RequestError(ErrorKind.NOT_READY, "", ran=ran))

    @precondition(lambda self: self.runs)
    @rule(pick=PICK, end=st.sampled_from(["whole", "failed", "refused", "unknown"]))
    def end_a_run(self, pick: int, end: str) -> None:
        """A run ends in one of the ways that a dispatcher knows."""
        run = self.runs.pop(pick % len(self.runs))
        if end == "refused":
            run.answer.close(RequestError(ErrorKind.OVERLOADED, ""))
            return
        self.ran[run.key] += 1
        if end == "whole":
            run.answer.add({"text": "x" * 700, "end": "stop"})
            run.answer.close()
        else:
            kind = ErrorKind.TARGET_FAILED if end == "failed" else ErrorKind.OUTCOME_UNKNOWN
            run.answer.close(RequestError(kind, ""))

    @precondition(lambda self: self._ended_waiters())
    @rule(pick=PICK, lost=st.booleans())
    def bring_an_answer(self, pick: int, lost: bool) -> None:
        """An answer comes back, or is lost on its way."""
        ended = self._ended_waiters()
        waiter = ended[pick % len(ended)]
        self.waiters.remove(waiter)
        error = waiter.answer.error
        if lost:
            self._react(waiter.call, waiter.key, AnswerLost())
        elif error is not None:
            self._answer(Message(waiter.call, waiter.key, waiter.node), error)
        else:
            waiter.call.over = True

    @rule(node=st.sampled_from(NODES), runs_first=st.booleans())
    def restart_a_node(self, node: str, runs_first: bool) -> None:
        """A node is replaced while its runs may or may not have run."""
        for run in [r for r in self.runs if r.key.node_id == node]:
            self.runs.remove(run)
            self.ran[run.key] += 1 if runs_first else 0
        cut = [w for w in self.waiters if node in (w.node, w.key.node_id)]
        self.waiters = [w for w in self.waiters if w not in cut]
        self.incarnations[node] += 1
        self.books[node] = self._new_book(node)
        for waiter in cut:
            self._react(waiter.call, waiter.key, AnswerLost())

    @rule(seconds=st.sampled_from([1.0, EPOCH_S, 2.5 * EPOCH_S]))
    def let_time_pass(self, seconds: float) -> None:
        """Time passes at every node."""
        self.now_s += seconds

    def _handle(self, message: Message) -> None:
        STEPS_TAKEN["deliveries"] += 1
        book = self.books[message.node]
        try:
            binding = book.bind(message.key, BODY, self.now_s)
        except RequestError as error:
            if error.ran is Ran.NO:
                error.ran = book.refuse(message.key, self.now_s)
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
            self.told_not_run.add(message.key)
        by_owner = message.node == message.key.node_id
        self._react(message.call, message.key, Answered(error, by_owner))

    def _react(self, call: ModelCall, key: RequestKey, outcome: SendOutcome) -> None:
        """Do what the client library does; a late answer to an earlier key is dropped."""
        if call.over or key != call.keys[-1]:
            return
        resend = decide_resend(
            outcome,
            sent_before=call.doubled or len(call.asked) > 1,
            idempotent=False,
            answer_started=False,
        )
        left = [node for node in NODES if node not in call.asked]
        if isinstance(resend, AskElsewhere) and not left:
            resend = decide_without_nodes(idempotent=False, answer_started=False)
        match resend:
            case AskElsewhere():
                call.asked.append(left[0])
                self.network.append(Message(call, key, left[0]))
            case NewKey():
                self._send_new_key(call, NODES[len(call.keys) % len(NODES)])
            case _:
                call.over = True

    @invariant()
    def no_call_runs_twice(self) -> None:
        """Over all keys of a call, one run at most."""
        for call in self.calls:
            assert sum(self.ran[key] for key in call.keys) <= 1

    @invariant()
    def what_was_called_not_run_never_ran(self) -> None:
        """Holds of every key, then and ever after."""
        STEPS_TAKEN["refusals checked"] += len(self.told_not_run)
        assert not [key for key in self.told_not_run if self.ran[key]]

    @invariant()
    def memory_stays_bounded(self) -> None:
        """No book holds more keys than it may."""
        assert all(len(book) <= MAX_KEYS for book in self.books.values())


def test_a_call_runs_at_most_once_whatever_happens(capsys: pytest.CaptureFixture[str]) -> None:
    """Answers are lost, copies of a request arrive late or twice, nodes are replaced.

    A caller who retries a quote that may not be repeated would get two quotes, or
    would hold a refusal of a quote that was made after all.
    """
    STEPS_TAKEN.clear()
    run_state_machine_as_test(
        AtMostOnce, settings=settings(max_examples=300, stateful_step_count=50)
    )
    with capsys.disabled():
        print(f"\n  at most once: {dict(STEPS_TAKEN)}")
    assert STEPS_TAKEN["refusals checked"] > 0
