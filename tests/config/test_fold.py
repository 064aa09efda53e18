"""The fold of the configuration stream: all nodes agree, whatever they missed."""

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
from samphirecleat.config._fold import PENDING_KEPT

from .texts import INVALID_TEXTS, VALID_TEXTS, FoldByRule, in_force, text_of

NODES = 3


class Publish(NamedTuple):
    """An operator publishes; ``lag`` is how many accepted revisions its base is behind."""

    lag: int
    text: str
    publication_id: str


class Read(NamedTuple):
    """A node reads at most ``limit`` records, from ``back`` before where it is."""

    node: int
    limit: int
    back: int


class Tell(NamedTuple):
    """A node says what it has in force; the message is kept, to arrive at any time."""

    node: int


class AppendTold(NamedTuple):
    """One of the messages arrives in the log, late or for the second time."""

    message: int


class AdoptTold(NamedTuple):
    """One of the messages arrives at a peer, late or for the second time."""

    node: int
    message: int


class Trim(NamedTuple):
    """The log drops this many of its oldest records."""

    count: int


class Restart(NamedTuple):
    """A node's process is replaced by one that has read nothing."""

    node: int


Step = Publish | Read | Tell | AppendTold | AdoptTold | Trim | Restart
_node = st.integers(0, NODES - 1)
_message = st.integers(0, 30)
steps = st.one_of(
    st.builds(
        Publish,
        st.sampled_from([0, 0, 0, 0, 1, 2, ANY_REVISION]),
        st.sampled_from(VALID_TEXTS + INVALID_TEXTS),
        st.sampled_from("abc"),
    ),
    st.builds(Read, _node, st.integers(0, 4), st.sampled_from([0, 0, 0, 1, 3])),
    st.builds(Read, _node, st.just(60), st.just(0)),
    st.builds(Tell, _node),
    st.builds(AppendTold, _message),
    st.builds(AdoptTold, _node, _message),
    st.builds(Trim, st.integers(1, 4)),
    st.builds(Restart, _node),
)


class World:
    """A log, its nodes, and the messages under way."""

    def __init__(self) -> None:
        self.records: list[LogRecord] = []
        self.first_kept = 0
        self.rule = FoldByRule()
        self.accepted = [NO_REVISION]
        self.nodes = [ConfigState()] * NODES
        self.told: list[Restatement] = []

    def take(self, step: Step) -> None:
        """Carry out one step and check what every node may hold after it."""
        match step:
            case Publish(lag=lag, text=text, publication_id=publication_id):
                base = ANY_REVISION if lag == ANY_REVISION else self.accepted[-1 - lag :][0]
                self._append(Publication(publication_id, base, text, f"op-{len(self.records)}"))
            case Read(node=node, limit=limit, back=back):
                state = self.nodes[node]
                start = max(state.folded_to + 1 - back, self.first_kept)
                batch = self.records[start : start + limit]
                self._put(node, fold_records(state, batch, self.first_kept))
            case Tell(node=node):
                self.told.append(restatement_from_state(self.nodes[node]))
            case AppendTold(message=message) if self.told:
                self._append(self.told[message % len(self.told)])
            case AdoptTold(node=node, message=message) if self.told:
                told = self.told[message % len(self.told)]
                self._put(node, adopt_peer_state(self.nodes[node], told))
            case Trim(count=count):
                self.first_kept = min(len(self.records), self.first_kept + count)
            case Restart(node=node):
                self.nodes[node] = ConfigState()

    def _append(self, record: Publication | Restatement) -> None:
        is_publication = isinstance(record, Publication)
        payload = publication_payload(record) if is_publication else restatement_payload(record)
        assert read_record(payload) == record
        self.records.append(LogRecord(len(self.records), payload))
        self.rule.append(record)
        revision = self.rule.at(len(self.records) - 1)[0]
        if revision != self.accepted[-1]:
            self.accepted.append(revision)

    def _put(self, node: int, state: ConfigState) -> None:
        assert state.revision >= self.nodes[node].revision
        assert state.folded_to >= self.nodes[node].folded_to
        assert in_force(state) == self.rule.at(state.revision)
        if state.certain:
            assert in_force(state) == self.rule.at(state.folded_to)
        self.nodes[node] = state


@settings(max_examples=800)
@given(st.lists(steps, min_size=25, max_size=60))
def test_every_certain_fold_agrees_with_the_fold_from_the_first_record(
    interleavings: Counter[str], plan: list[Step]
) -> None:
    """Nodes read in pieces, miss trimmed records, restart, and hear old messages twice.

    If two of them disagreed, a caller would meet one configuration at one node
    and another at the next, and an accepted text would seem to be taken back.
    """
    interleavings["the configuration fold"] += 1
    world = World()
    for step in plan:
        world.take(step)


@settings(max_examples=150)
@given(st.lists(steps, min_size=25, max_size=60))
def test_one_certain_peer_settles_every_fold_that_hears_it(plan: list[Step]) -> None:
    """After any trims, a node that never missed a record tells the others what it has."""
    world = World()
    witness = ConfigState()
    for step in plan:
        world.take(step)
        witness = fold_records(witness, world.records, 0)
    for node, state in enumerate(world.nodes):
        behind = fold_records(state, world.records[world.first_kept :], world.first_kept)
        settled = adopt_peer_state(behind, restatement_from_state(witness))
        assert settled.certain, node
        assert in_force(settled) == in_force(witness)


def publication(offset: int, base: int, service: str, publication_id: str = "p") -> LogRecord:
    made = Publication(publication_id, base, text_of(service), f"op-{offset}")
    return LogRecord(offset, publication_payload(made))


def test_the_loser_of_a_race_is_told_by_whose_revision() -> None:
    """Two operators publish from the same revision at nearly the same moment."""
    records = [publication(0, -1, "asesor", "first"), publication(1, -1, "cotizador", "second")]
    state = fold_records(ConfigState(), records, 0)
    assert state.revision == 0
    assert state.outcomes["first"].accepted
    assert not state.outcomes["second"].accepted
    assert "revision 0 by op-0" in state.outcomes["second"].reason


def test_a_restatement_that_ends_inside_the_gap_leaves_the_fold_uncertain() -> None:
    """Records 2 to 5 were trimmed unread; a peer that is behind knows only of record 3.

    Settling on its word would decide the next publication on a base that record
    4 may have replaced, unlike the nodes that read record 4.
    """
    state = fold_records(ConfigState(), [publication(0, -1, "asesor")], 0)
    state = fold_records(state, [publication(6, 0, "cotizador")], 6)
    behind = adopt_peer_state(state, Restatement(3, 3, text_of("cotizador"), "op-3"))
    assert behind.revision == 3
    assert not behind.certain
    settled = adopt_peer_state(behind, Restatement(3, 5, text_of("cotizador"), "op-3"))
    assert settled.certain
    assert settled.revision == 3


def test_a_fold_that_settles_late_still_knows_what_was_accepted() -> None:
    """A publication waited behind a gap; a peer that decided it says what is in force."""
    state = fold_records(ConfigState(), [publication(6, 3, "asesor", "waited")], 6)
    settled = adopt_peer_state(state, Restatement(6, 8, text_of("asesor"), "op-6"))
    assert settled.outcomes["waited"].accepted


@pytest.mark.parametrize(
    "wrong", [Restatement(1, 1, text_of("x"), "o"), Restatement(9, 9, text_of("x"), "o")]
)
def test_a_restatement_by_a_node_with_a_fault_is_passed_over(wrong: Restatement) -> None:
    """A restatement contradicts what was folded, or speaks of records after its own."""
    records = [publication(0, -1, "asesor"), publication(1, 7, "cotizador")]
    state = fold_records(ConfigState(), records, 0)
    after = fold_records(state, [LogRecord(2, restatement_payload(wrong))], 0)
    assert in_force(after) == in_force(state)
    assert after.folded_to == 2


def test_a_publication_on_any_base_puts_an_end_to_a_lost_state() -> None:
    """Every node was lost while the log trimmed the accepted text: nobody can settle.

    Without a way out, no publication could ever be accepted again.
    """
    lost = fold_records(ConfigState(), [publication(7, 3, "asesor")], 7)
    assert not lost.certain
    assert lost.revision == NO_REVISION
    forced = fold_records(lost, [publication(8, ANY_REVISION, "cotizador")], 7)
    assert forced.certain
    assert forced.revision == 8


def test_what_waits_behind_a_gap_is_bounded() -> None:
    """Someone publishes without end while a node waits to be told what it missed."""
    waiting = [publication(offset, 3, "asesor") for offset in range(7, 7 + 3 * PENDING_KEPT)]
    state = fold_records(ConfigState(), waiting, 7)
    assert len(state.pending) <= PENDING_KEPT
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
def test_a_malformed_record_changes_nothing_but_the_place_in_the_stream(payload: object) -> None:
    """Anything may stand in the log; a fold that failed on it would fail at every node."""
    before = fold_records(ConfigState(), [publication(0, -1, "asesor")], 0)
    after = fold_records(before, [LogRecord(1, payload)], 0)  # type: ignore[arg-type]
    assert in_force(after) == in_force(before)
    assert after.folded_to == 1
    assert after.certain
