"""The trainer's record of delivered samples."""

from collections.abc import Callable

import pytest

from samphirecleat.steps import DeliveryRecord, PullReply, Sample

SampleBuilder = Callable[..., Sample]


def test_reply_to_an_earlier_pull_is_dropped(make_sample: SampleBuilder) -> None:
    """A reply is delayed and the trainer pulls again before it arrives.

    If it were accepted, it could deliver a different sample for a position that another
    node has delivered.
    """
    record = DeliveryRecord("client", 2, 1)
    record.next_pull(0, 0.0, 9)
    second = record.next_pull(0, 0.0, 9)
    assert record.accept(PullReply(1, [make_sample(0)], 1), 0) == ()
    assert len(record.accept(PullReply(second.number, [make_sample(0)], 1), 0)) == 1


def test_duplicated_reply_delivers_once(make_sample: SampleBuilder) -> None:
    record = DeliveryRecord("client", 2, 1)
    reply = PullReply(record.next_pull(0, 0.0, 9).number, [make_sample(0)], 1)
    assert len(record.accept(reply, 0)) == 1
    assert record.accept(reply, 0) == ()


@pytest.mark.parametrize(
    ("oldest", "at_pull", "at_reply", "accepted"),
    [(3, 4, 4, True), (3, 4, 5, False), (3, 5, 5, False), (3, 5, 4, False), (9, 4, 4, True)],
)
def test_sample_beyond_the_staleness_bound_is_never_accepted(
    make_sample: SampleBuilder, oldest: int, at_pull: int, at_reply: int, accepted: bool
) -> None:
    """The trainer's version rises while its pull waits, or a node does not check the bound."""
    record = DeliveryRecord("client", 1, 1)
    number = record.next_pull(at_pull, 0.0, 9).number
    delivered = record.accept(PullReply(number, [make_sample(0, oldest)], 0), at_reply)
    assert bool(delivered) is accepted
    assert record.complete is accepted


def test_position_outside_the_step_is_dropped(make_sample: SampleBuilder) -> None:
    record = DeliveryRecord("client", 1, 1)
    number = record.next_pull(0, 0.0, 9).number
    assert record.accept(PullReply(number, [make_sample(1)], 0), 0) == []


def test_duplicated_and_already_held_positions_in_a_reply_are_dropped(
    make_sample: SampleBuilder,
) -> None:
    """A node replies with samples that the pull did not request, as another release might."""
    record = DeliveryRecord("client", 2, 1, frozenset({0}))
    number = record.next_pull(0, 0.0, 9).number
    reply = PullReply(number, [make_sample(0), make_sample(1), make_sample(1, 0, "other")], 0)
    assert [sample.run_id for sample in record.accept(reply, 0)] == ["run"]
