"""Arbitrary interleavings between one trainer and two owners of its step."""

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
picks = st.integers(min_value=0, max_value=10_000)


class TrainerAndTwoOwners(RuleBasedStateMachine):
    """Messages are lost, doubled and reordered; processes restart; versions rise."""

    def __init__(self) -> None:
        super().__init__()
        COUNTS["interleavings"] += 1
        self.version = 0
        self.names = itertools.count()
        self.record = DeliveryRecord("client-0", SPEC.size, SPEC.staleness_bound)
        self.delivered: dict[int, Sample] = {}
        self.made: dict[str, Sample] = {}
        self.pull_versions: dict[tuple[str, int], int] = {}
        self.steps: list[Step | None] = [None, None]
        self.spans: dict[Run, list[Span]] = {}
        self.network: list[tuple[object, ...]] = []
        self.replied: dict[tuple[int, str, int, int], str] = {}
        self.generation = itertools.count()
        self.born = [0, 0]

    @rule(owner=owners)
    def trainer_submits(self, owner: int) -> None:
        self._act()
        record = self.record
        self.network.append(("submit", owner, record.client_id, frozenset(record.held)))

    @rule(owner=owners, limit=st.integers(min_value=1, max_value=4))
    def trainer_pulls(self, owner: int, limit: int) -> None:
        self._act()
        pull = self.record.next_pull(self.version, 0.0, limit)
        self.pull_versions[pull.client_id, pull.number] = pull.version
        self.network.append(("pull", owner, pull))

    @precondition(lambda self: self.network)
    @rule(pick=picks, doubled=st.booleans())
    def message_arrives(self, pick: int, doubled: bool) -> None:
        self._act()
        index = pick % len(self.network)
        message = self.network[index]
        if not doubled:
            del self.network[index]
        self._receive(message)

    @precondition(lambda self: self.network)
    @rule(pick=picks)
    def message_is_lost(self, pick: int) -> None:
        self._act()
        del self.network[pick % len(self.network)]

    @rule(owner=owners)
    def owner_starts_a_run(self, owner: int) -> None:
        self._act()
        step = self.steps[owner]
        position = step.next_position(1e9) if step is not None else None
        if step is not None and position is not None:
            self.spans[step.record_start(position, 0.0)] = []

    @rule(owner=owners, pick=picks)
    def owner_copies_a_run(self, owner: int, pick: int) -> None:
        self._act()
        step = self.steps[owner]
        if step is not None and step.runs:
            run = step.runs[pick % len(step.runs)]
            self.spans[step.record_start(run.position, 0.0, is_copy=True)] = []

    @rule(owner=owners, pick=picks, lag=st.integers(min_value=0, max_value=2))
    def run_makes_tokens(self, owner: int, pick: int, lag: int) -> None:
        self._act()
        step = self.steps[owner]
        if step is not None and step.runs:
            run = step.runs[pick % len(step.runs)]
            span = Span(max(0, self.version - lag), 2)
            run.record_span(span, 0.0)
            self.spans[run].append(span)

    @rule(owner=owners, pick=picks, cancels=st.booleans())
    def run_ends(self, owner: int, pick: int, cancels: bool) -> None:
        """The loser of two copies may be cancelled, or end before it hears of it."""
        self._act()
        step = self.steps[owner]
        if step is None or not step.runs:
            return
        run = step.runs[pick % len(step.runs)]
        if not self.spans[run]:
            step.record_failure(run, 0.0, 0.5)
            return
        for loser in step.record_sample(run, self._make_sample(run)):
            if cancels:
                step.record_cancellation(loser)

    @rule(owner=owners)
    def owner_looks_ahead(self, owner: int) -> None:
        self._act()
        step = self.steps[owner]
        if step is not None:
            for run in step.set_expected_version(self.version):
                step.record_cancellation(run)

    @rule(owner=owners)
    def owner_restarts(self, owner: int) -> None:
        self._act()
        self.steps[owner] = None

    @rule()
    def version_rises(self) -> None:
        self._act()
        self.version += 1

    @rule()
    def trainer_restarts_with_what_it_holds(self) -> None:
        self._act()
        client_id = f"client-{next(self.names) + 1}"
        held = frozenset(self.delivered)
        self.record = DeliveryRecord(client_id, SPEC.size, SPEC.staleness_bound, held)

    def teardown(self) -> None:
        """Once nothing fails any more, the step becomes whole."""
        for _round in range(4 * SPEC.size):
            if self.record.complete:
                break
            self._receive(("submit", 0, self.record.client_id, frozenset(self.record.held)))
            self._finish_runs()
            pull = self.record.next_pull(self.version, 0.0, 512)
            self.pull_versions[pull.client_id, pull.number] = pull.version
            self._receive(("pull", 0, pull))
            self._receive(self.network.pop())
        assert sorted(self.delivered) == list(range(SPEC.size))

    def _act(self) -> None:
        COUNTS["actions"] += 1

    def _receive(self, message: tuple[object, ...]) -> None:
        match message:
            case ("submit", int(owner), str(client_id), held):
                step = self.steps[owner]
                if step is None:
                    self.born[owner] = next(self.generation)
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
                # An answer of an earlier process of the trainer has no one to receive it.
                if pull.client_id == self.record.client_id:
                    self._accept(pull, reply)

    def _accept(self, pull: Pull, reply: PullReply) -> None:
        for sample in self.record.accept(reply, self.version):
            assert sample.position not in self.delivered, "delivered twice"
            assert sample == self.made[sample.request_id], "not what a run made"
            assert pull.version - sample.oldest_version <= SPEC.staleness_bound
            self.delivered[sample.position] = sample
            COUNTS["delivered"] += 1

    def _check_reply(self, owner: int, pull: Pull, reply: PullReply) -> None:
        for sample in reply.samples:
            assert sample.position not in pull.held
            assert pull.version - sample.oldest_version <= SPEC.staleness_bound
            key = (self.born[owner], pull.client_id, pull.number, sample.position)
            assert self.replied.setdefault(key, sample.request_id) == sample.request_id

    def _make_sample(self, run: Run) -> Sample:
        name = f"run-{next(self.names)}"
        spans = merge_spans(self.spans[run])
        sample = Sample(run.position, name, spans, None, "engine", name, name)
        self.made[name] = sample
        return sample

    def _finish_runs(self) -> None:
        step = self.steps[0]
        assert step is not None
        for run in step.set_expected_version(self.version):
            step.record_cancellation(run)
        while (position := step.next_position(1e9)) is not None:
            self.spans[step.record_start(position, 0.0)] = []
        for run in list(step.runs):
            if run in step.runs:
                self.spans[run].append(Span(self.version, 2))
                for loser in step.record_sample(run, self._make_sample(run)):
                    step.record_cancellation(loser)


def test_every_position_is_delivered_once_whatever_is_lost_doubled_or_late(
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Messages are lost, doubled and late while nodes and the trainer restart.

    Two nodes work on one step, and weights change meanwhile. A user would notice a rollout
    that is there twice or missing, older than agreed, or changed after it was delivered.
    """
    run_state_machine_as_test(
        TrainerAndTwoOwners,
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
