"""Stateful test of exactly-once delivery between a trainer and two nodes that run its step."""

import itertools

import pytest
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    precondition,
    rule,
    run_state_machine_as_test,
)

from samphirecleat.requests import Span, merge_spans
from samphirecleat.steps import DeliveryRecord, Pull, PullReply, Run, Sample, Step, StepSpec

SPEC = StepSpec("trainer-1", "step-1", "asesor", ("a", "b", "c"), 2, 4, 1, "")
OWNERS = (0, 1)
INTERLEAVINGS = 600
COUNTS = {"interleavings": 0, "actions": 0, "delivered": 0}

owners = st.sampled_from(OWNERS)
indexes = st.integers(min_value=0, max_value=10_000)


class ExactlyOnceMachine(RuleBasedStateMachine):
    """Messages are lost, duplicated and reordered; processes restart; versions rise."""

    def __init__(self) -> None:
        super().__init__()
        COUNTS["interleavings"] += 1
        self.version = 0
        self.id_counter = itertools.count()
        self.record = DeliveryRecord("client-0", SPEC.size, SPEC.staleness_bound)
        self.delivered: dict[int, Sample] = {}
        self.finished: dict[str, Sample] = {}
        self.pulled_versions: dict[tuple[str, int], int] = {}
        self.steps: list[Step | None] = [None, None]
        self.spans_by_run: dict[Run, list[Span]] = {}
        self.network: list[tuple[object, ...]] = []
        self.replied_runs: dict[tuple[int, str, int, int], str] = {}
        self.step_counter = itertools.count()
        self.step_ids = [0, 0]

    @rule(owner=owners)
    def trainer_submits(self, owner: int) -> None:
        self._count_action()
        record = self.record
        self.network.append(("submit", owner, record.client_id, frozenset(record.held)))

    @rule(owner=owners, limit=st.integers(min_value=1, max_value=4))
    def trainer_pulls(self, owner: int, limit: int) -> None:
        self._count_action()
        pull = self.record.next_pull(self.version, 0.0, limit)
        self.pulled_versions[pull.client_id, pull.number] = pull.version
        self.network.append(("pull", owner, pull))

    @precondition(lambda self: self.network)
    @rule(index=indexes, duplicated=st.booleans())
    def message_arrives(self, index: int, duplicated: bool) -> None:
        self._count_action()
        message_index = index % len(self.network)
        message = self.network[message_index]
        if not duplicated:
            del self.network[message_index]
        self._receive(message)

    @precondition(lambda self: self.network)
    @rule(index=indexes)
    def message_is_lost(self, index: int) -> None:
        self._count_action()
        del self.network[index % len(self.network)]

    @rule(owner=owners)
    def owner_starts_a_run(self, owner: int) -> None:
        self._count_action()
        step = self.steps[owner]
        position = step.next_position(1e9) if step is not None else None
        if step is not None and position is not None:
            self.spans_by_run[step.record_start(position, 0.0)] = []

    @rule(owner=owners, index=indexes)
    def owner_copies_a_run(self, owner: int, index: int) -> None:
        self._count_action()
        step = self.steps[owner]
        if step is not None and step.runs:
            run = step.runs[index % len(step.runs)]
            self.spans_by_run[step.record_start(run.position, 0.0, is_copy=True)] = []

    @rule(owner=owners, index=indexes, lag=st.integers(min_value=0, max_value=2))
    def run_makes_tokens(self, owner: int, index: int, lag: int) -> None:
        self._count_action()
        step = self.steps[owner]
        if step is not None and step.runs:
            run = step.runs[index % len(step.runs)]
            span = Span(max(0, self.version - lag), 2)
            run.record_span(span, 0.0)
            self.spans_by_run[run].append(span)

    @rule(owner=owners, index=indexes, cancels=st.booleans())
    def run_ends(self, owner: int, index: int, cancels: bool) -> None:
        """The other run of a position is cancelled, or may end before it is cancelled."""
        self._count_action()
        step = self.steps[owner]
        if step is None or not step.runs:
            return
        run = step.runs[index % len(step.runs)]
        if not self.spans_by_run[run]:
            step.record_failure(run, 0.0, 0.5)
            return
        for other in step.record_sample(run, self._make_sample(run)):
            if cancels:
                step.record_cancellation(other)

    @rule(owner=owners)
    def owner_expects_current_version(self, owner: int) -> None:
        self._count_action()
        step = self.steps[owner]
        if step is not None:
            for run in step.set_expected_version(self.version):
                step.record_cancellation(run)

    @rule(owner=owners)
    def owner_restarts(self, owner: int) -> None:
        self._count_action()
        self.steps[owner] = None

    @rule()
    def version_rises(self) -> None:
        self._count_action()
        self.version += 1

    @rule()
    def trainer_restarts_with_what_it_holds(self) -> None:
        self._count_action()
        client_id = f"client-{next(self.id_counter) + 1}"
        held = frozenset(self.delivered)
        self.record = DeliveryRecord(client_id, SPEC.size, SPEC.staleness_bound, held)

    def teardown(self) -> None:
        """Once no more faults occur, the step is completed."""
        for _round in range(4 * SPEC.size):
            if self.record.complete:
                break
            self._receive(("submit", 0, self.record.client_id, frozenset(self.record.held)))
            self._finish_runs()
            pull = self.record.next_pull(self.version, 0.0, 512)
            self.pulled_versions[pull.client_id, pull.number] = pull.version
            self._receive(("pull", 0, pull))
            self._receive(self.network.pop())
        assert sorted(self.delivered) == list(range(SPEC.size))

    def _count_action(self) -> None:
        COUNTS["actions"] += 1

    def _receive(self, message: tuple[object, ...]) -> None:
        match message:
            case ("submit", int(owner), str(client_id), held):
                step = self.steps[owner]
                if step is None:
                    self.step_ids[owner] = next(self.step_counter)
                    self.steps[owner] = Step(SPEC, held, 0.0, client_id)
                else:
                    step.update_held(client_id, held, 0.0)
            case ("pull", int(owner), Pull() as pull):
                step = self.steps[owner]
                if step is not None:
                    reply = step.pull(pull, 0.0)
                    self._check_reply(owner, pull, reply)
                    self.network.append(("reply", pull, reply))
            case ("reply", Pull() as pull, PullReply() as reply):
                # A reply to an earlier process of the trainer is lost.
                if pull.client_id == self.record.client_id:
                    self._accept(pull, reply)

    def _accept(self, pull: Pull, reply: PullReply) -> None:
        for sample in self.record.accept(reply, self.version):
            assert sample.position not in self.delivered, "delivered twice"
            assert sample == self.finished[sample.request_id], "differs from the sample of its run"
            assert pull.version - sample.oldest_version <= SPEC.staleness_bound
            self.delivered[sample.position] = sample
            COUNTS["delivered"] += 1

    def _check_reply(self, owner: int, pull: Pull, reply: PullReply) -> None:
        for sample in reply.samples:
            assert sample.position not in pull.held
            assert pull.version - sample.oldest_version <= SPEC.staleness_bound
            key = (self.step_ids[owner], pull.client_id, pull.number, sample.position)
            assert self.replied_runs.setdefault(key, sample.request_id) == sample.request_id

    def _make_sample(self, run: Run) -> Sample:
        name = f"run-{next(self.id_counter)}"
        spans = merge_spans(self.spans_by_run[run])
        sample = Sample(run.position, name, spans, None, "engine", name, name)
        self.finished[name] = sample
        return sample

    def _finish_runs(self) -> None:
        step = self.steps[0]
        assert step is not None
        for run in step.set_expected_version(self.version):
            step.record_cancellation(run)
        while (position := step.next_position(1e9)) is not None:
            self.spans_by_run[step.record_start(position, 0.0)] = []
        for run in list(step.runs):
            if run in step.runs:
                self.spans_by_run[run].append(Span(self.version, 2))
                for other in step.record_sample(run, self._make_sample(run)):
                    step.record_cancellation(other)


def test_every_position_is_delivered_exactly_once(
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Messages are lost, duplicated and delayed while nodes and the trainer restart.

    Two nodes run one step, and the weight version rises meanwhile. A failure means that a
    sample was delivered twice or not at all, exceeded the staleness bound, or was changed
    after its delivery.
    """
    run_state_machine_as_test(
        ExactlyOnceMachine,
        settings=settings(
            max_examples=INTERLEAVINGS,
            stateful_step_count=50,
            suppress_health_check=list(HealthCheck),
        ),
    )
    with capsys.disabled():
        print(
            f"\nexactly once: {COUNTS['interleavings']} interleavings,"
            f" {COUNTS['actions']} actions, {COUNTS['delivered']} samples delivered"
        )
    assert COUNTS["interleavings"] >= INTERLEAVINGS
