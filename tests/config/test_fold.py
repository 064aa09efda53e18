"""Tests of the fold of the configuration stream."""

from collections import Counter
from typing import NamedTuple

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from samphirecleat.config import (
    ANY_REVISION,
    NO_REVISION,
    ConfigState,
    LogRecord,
    Publication,
    Restatement,
    adopt_peer_state,
    fold_records,
    publication_payload,
    read_record,
    restatement_from_state,
    restatement_payload,
)
from samphirecleat.config._fold import MAX_PENDING_PUBLICATIONS

from .texts import INVALID_TEXTS, VALID_TEXTS, ReferenceFold, state_in_force, text_of

NODES = 3


class Publish(NamedTuple):
    """An operator publishes; ``lag`` is how many accepted revisions the base is behind."""

    lag: int
    text: str
    publication_id: str


class Read(NamedTuple):
    """A node reads at most ``limit`` records, starting ``overlap`` records back."""

    node: int
    limit: int
    overlap: int


class SendState(NamedTuple):
    """A node sends its state; the message may be delivered at any later time."""

    node: int


class AppendSent(NamedTuple):
    """A sent message is appended to the log, possibly late or repeatedly."""

    message: int


class AdoptSent(NamedTuple):
    """A sent message is delivered to a peer, possibly late or repeatedly."""

    node: int
    message: int


class Trim(NamedTuple):
    """The log trims its ``count`` oldest records."""

    count: int


class Restart(NamedTuple):
    """A node restarts with an empty state."""

    node: int


Step = Publish | Read | SendState | AppendSent | AdoptSent | Trim | Restart
_nodes = st.integers(0, NODES - 1)
_messages = st.integers(0, 30)
steps = st.one_of(
    st.builds(
        Publish,
        st.sampled_from([0, 0, 0, 0, 1, 2, ANY_REVISION]),
        st.sampled_from(VALID_TEXTS + INVALID_TEXTS),
        st.sampled_from("abc"),
    ),
    st.builds(Read, _nodes, st.integers(0, 4), st.sampled_from([0, 0, 0, 1, 3])),
    st.builds(Read, _nodes, st.just(60), st.just(0)),
    st.builds(SendState, _nodes),
    st.builds(AppendSent, _messages),
    st.builds(AdoptSent, _nodes, _messages),
    st.builds(Trim, st.integers(1, 4)),
    st.builds(Restart, _nodes),
)


class Simulation:
    """A log, its nodes, and the messages that were sent."""

    def __init__(self) -> None:
        self.records: list[LogRecord] = []
        self.first_kept = 0
        self.reference = ReferenceFold()
        self.accepted = [NO_REVISION]
        self.nodes = [ConfigState()] * NODES
        self.sent: list[Restatement] = []

    def apply(self, step: Step) -> None:
        """Apply one step and check the invariants of the affected node."""
        match step:
            case Publish(lag=lag, text=text, publication_id=publication_id):
                base = ANY_REVISION if lag == ANY_REVISION else self.accepted[-1 - lag :][0]
                self._append(Publication(publication_id, base, text, f"op-{len(self.records)}"))
            case Read(node=node, limit=limit, overlap=overlap):
                state = self.nodes[node]
                start = max(state.folded_to + 1 - overlap, self.first_kept)
                batch = self.records[start : start + limit]
                self._set_state(node, fold_records(state, batch, self.first_kept))
            case SendState(node=node):
                self.sent.append(restatement_from_state(self.nodes[node]))
            case AppendSent(message=message) if self.sent:
                self._append(self.sent[message % len(self.sent)])
            case AdoptSent(node=node, message=message) if self.sent:
                sent = self.sent[message % len(self.sent)]
                self._set_state(node, adopt_peer_state(self.nodes[node], sent))
            case Trim(count=count):
                self.first_kept = min(len(self.records), self.first_kept + count)
            case Restart(node=node):
                self.nodes[node] = ConfigState()

    def _append(self, record: Publication | Restatement) -> None:
        is_publication = isinstance(record, Publication)
        payload = publication_payload(record) if is_publication else restatement_payload(record)
        assert read_record(payload) == record
        self.records.append(LogRecord(len(self.records), payload))
        self.reference.append(record)
        revision = self.reference.at(len(self.records) - 1)[0]
        if revision != self.accepted[-1]:
            self.accepted.append(revision)

    def _set_state(self, node: int, state: ConfigState) -> None:
        assert state.revision >= self.nodes[node].revision
        assert state.folded_to >= self.nodes[node].folded_to
        assert state_in_force(state) == self.reference.at(state.revision)
        if state.certain:
            assert state_in_force(state) == self.reference.at(state.folded_to)
        self.nodes[node] = state


@settings(max_examples=800)
@given(st.lists(steps, min_size=25, max_size=60))
def test_every_certain_fold_agrees_with_the_fold_from_the_first_record(
    interleavings: Counter[str], plan: list[Step]
) -> None:
    """Nodes read in batches, miss trimmed records, restart, and get old messages twice.

    If their folds diverged, callers would see different configurations at different
    nodes, and an accepted text could appear to be reverted.
    """
    interleavings["the configuration fold"] += 1
    simulation = Simulation()
    for step in plan:
        simulation.apply(step)


@settings(max_examples=150)
@given(st.lists(steps, min_size=25, max_size=60))
def test_state_of_a_certain_peer_makes_every_fold_certain(plan: list[Step]) -> None:
    """After any trims, a node that missed no record sends its state to the others."""
    simulation = Simulation()
    complete = ConfigState()
    for step in plan:
        simulation.apply(step)
        complete = fold_records(complete, simulation.records, 0)
    for node, state in enumerate(simulation.nodes):
        partial = fold_records(
            state, simulation.records[simulation.first_kept :], simulation.first_kept
        )
        final = adopt_peer_state(partial, restatement_from_state(complete))
        assert final.certain, node
        assert state_in_force(final) == state_in_force(complete)


def publication(offset: int, base: int, service: str, publication_id: str = "p") -> LogRecord:
    publication_record = Publication(publication_id, base, text_of(service), f"op-{offset}")
    return LogRecord(offset, publication_payload(publication_record))


def test_rejection_reason_names_the_revision_in_force() -> None:
    """Two operators publish concurrently from the same base revision."""
    records = [publication(0, -1, "asesor", "first"), publication(1, -1, "cotizador", "second")]
    state = fold_records(ConfigState(), records, 0)
    assert state.revision == 0
    assert state.outcomes["first"].accepted
    assert not state.outcomes["second"].accepted
    assert "revision 0 by op-0" in state.outcomes["second"].reason


def test_restatement_that_ends_inside_the_gap_leaves_the_fold_uncertain() -> None:
    """Records 1 to 5 were trimmed unread, and a peer's state covers them only up to 3.

    If its state made the fold certain, the next publication would be decided on a
    base that record 4 may have replaced, unlike at the nodes that read record 4.
    """
    state = fold_records(ConfigState(), [publication(0, -1, "asesor")], 0)
    state = fold_records(state, [publication(6, 0, "cotizador")], 6)
    behind = adopt_peer_state(state, Restatement(3, 3, text_of("cotizador"), "op-3"))
    assert behind.revision == 3
    assert not behind.certain
    final = adopt_peer_state(behind, Restatement(3, 5, text_of("cotizador"), "op-3"))
    assert final.certain
    assert final.revision == 3


def test_pending_publication_gets_its_outcome_from_a_restatement() -> None:
    """A peer's state covers a publication that was pending behind a gap."""
    state = fold_records(ConfigState(), [publication(6, 3, "asesor", "waited")], 6)
    final = adopt_peer_state(state, Restatement(6, 8, text_of("asesor"), "op-6"))
    assert final.outcomes["waited"].accepted


@pytest.mark.parametrize(
    "wrong", [Restatement(1, 1, text_of("x"), "o"), Restatement(9, 9, text_of("x"), "o")]
)
def test_restatement_from_a_faulty_node_is_ignored(wrong: Restatement) -> None:
    """A restatement contradicts the fold, or covers records after its own offset."""
    records = [publication(0, -1, "asesor"), publication(1, 7, "cotizador")]
    state = fold_records(ConfigState(), records, 0)
    after = fold_records(state, [LogRecord(2, restatement_payload(wrong))], 0)
    assert state_in_force(after) == state_in_force(state)
    assert after.folded_to == 2


def test_publication_on_any_base_replaces_a_lost_state() -> None:
    """All nodes were lost and the log trimmed the accepted text, so no fold is certain.

    Without ANY_REVISION, no publication could ever be accepted again.
    """
    lost = fold_records(ConfigState(), [publication(7, 3, "asesor")], 7)
    assert not lost.certain
    assert lost.revision == NO_REVISION
    forced = fold_records(lost, [publication(8, ANY_REVISION, "cotizador")], 7)
    assert forced.certain
    assert forced.revision == 8


def test_pending_publications_are_bounded() -> None:
    """Publications keep arriving while a node waits for a restatement of missed records."""
    waiting = [
        publication(offset, 3, "asesor") for offset in range(7, 7 + 3 * MAX_PENDING_PUBLICATIONS)
    ]
    state = fold_records(ConfigState(), waiting, 7)
    assert len(state.pending) <= MAX_PENDING_PUBLICATIONS
    last = state.folded_to
    inside = adopt_peer_state(state, Restatement(3, 6, text_of("asesor"), "op-3"))
    assert not inside.certain
    assert adopt_peer_state(inside, Restatement(3, last, text_of("asesor"), "op-3")).certain


@pytest.mark.parametrize(
    "payload",
    [
        {},
        {"type": "publication"},
        {"type": "publication", "id": "p", "base": "x", "text": text_of("a"), "operator": "o"},
        {"type": "publication", "id": "p", "base": -1, "text": 7, "operator": "o"},
        {"type": "publication", "id": "p", "base": -1, "text": "\ud800", "operator": "o"},
        {"type": "publication", "id": "p", "base": float("inf"), "text": "", "operator": "o"},
        {"type": "restatement", "revision": 0, "folded_to": 0},
        {"type": "restatement", "revision": 9, "folded_to": 9, "text": "", "operator": "o"},
        ["type", "publication"],
        "publication",
    ],
)
def test_malformed_record_advances_only_the_offset(payload: object) -> None:
    """The log may hold any payload; a fold that raised on one would fail at every node."""
    before = fold_records(ConfigState(), [publication(0, -1, "asesor")], 0)
    after = fold_records(before, [LogRecord(1, payload)], 0)  # type: ignore[arg-type]
    assert state_in_force(after) == state_in_force(before)
    assert after.folded_to == 1
    assert after.certain
