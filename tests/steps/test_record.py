"""The trainer's own record of what was delivered."""

from collections.abc import Callable

import pytest

from samphirecleat.steps import DeliveryRecord, PullReply, Sample

SampleBuilder = Callable[..., Sample]


def test_an_answer_to_an_earlier_pull_is_dropped(make_sample: SampleBuilder) -> None:
    """An answer is held up on the way, and the trainer pulls again meanwhile.

    Taken late, it could bring a sample that another node delivered in another content.
    """
    record = DeliveryRecord("client", 2, 1)
    record.next_pull(0, 0.0, 9)
    second = record.next_pull(0, 0.0, 9)
    assert record.accept(PullReply(1, [make_sample(0)], 1), 0) == ()
    assert len(record.accept(PullReply(second.number, [make_sample(0)], 1), 0)) == 1


def test_an_answer_that_comes_twice_delivers_once(make_sample: SampleBuilder) -> None:
    record = DeliveryRecord("client", 2, 1)
    reply = PullReply(record.next_pull(0, 0.0, 9).number, [make_sample(0)], 1)
    assert len(record.accept(reply, 0)) == 1
    assert record.accept(reply, 0) == ()


@pytest.mark.parametrize(
    ("oldest", "at_pull", "at_answer", "taken"),
    [(3, 4, 4, True), (3, 4, 5, False), (3, 5, 5, False), (3, 5, 4, False), (9, 4, 4, True)],
)
def test_a_sample_past_the_bound_is_never_held(
    make_sample: SampleBuilder, oldest: int, at_pull: int, at_answer: int, taken: bool
) -> None:
    """The trainer moves on while its pull waits, or a node does not check the bound."""
    record = DeliveryRecord("client", 1, 1)
    number = record.next_pull(at_pull, 0.0, 9).number
    delivered = record.accept(PullReply(number, [make_sample(0, oldest)], 0), at_answer)
    assert bool(delivered) is taken
    assert record.complete is taken


def test_a_position_that_the_step_does_not_have_is_dropped(make_sample: SampleBuilder) -> None:
    record = DeliveryRecord("client", 1, 1)
    number = record.next_pull(0, 0.0, 9).number
    assert record.accept(PullReply(number, [make_sample(1)], 0), 0) == []


def test_a_reply_with_a_position_twice_or_one_already_held_delivers_each_once(
    make_sample: SampleBuilder,
) -> None:
    """A node answers with what the pull did not ask for, as one of another release might."""
    record = DeliveryRecord("client", 2, 1, frozenset({0}))
    number = record.next_pull(0, 0.0, 9).number
    reply = PullReply(number, [make_sample(0), make_sample(1), make_sample(1, 0, "other")], 0)
    assert [sample.run_id for sample in record.accept(reply, 0)] == ["run"]
