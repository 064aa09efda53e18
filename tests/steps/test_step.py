"""A step at its owner: repeated pulls, copies, staleness, and trainers that start again."""

import itertools
from collections.abc import Callable

import pytest

from samphirecleat.requests import Span
from samphirecleat.steps import (
    Pull,
    Sample,
    Step,
    StepSpec,
    decode_positions,
    encode_positions,
    reply_from_json,
    reply_to_json,
)

SpecBuilder = Callable[..., StepSpec]
SampleBuilder = Callable[..., Sample]

NOTHING: frozenset[int] = frozenset()


def pull(number: int, version: int = 0, held: frozenset[int] = NOTHING, limit: int = 512) -> Pull:
    return Pull(number, version, held, 0.0, limit, "client")


def make(step: Step, make_sample: SampleBuilder, position: int, version: int, name: str) -> None:
    run = step.record_start(position, 0.0)
    step.record_sample(run, make_sample(position, version, name))


def names(step: Step, asked: Pull) -> dict[int, str]:
    return {sample.position: sample.run_id for sample in step.pull(asked, 0.0).samples}


def test_a_repeated_pull_gets_nothing_in_another_content(
    make_spec: SpecBuilder, make_sample: SampleBuilder
) -> None:
    """A trainer's pull is doubled on the way while its sample passes the bound and is made again.

    A user would train on one sample and keep another under its name.
    """
    step = Step(make_spec(), NOTHING, 0.0, "client")
    make(step, make_sample, 0, 0, "first")
    assert names(step, pull(1)) == {0: "first"}
    step.set_expected_version(2)
    make(step, make_sample, 0, 2, "again")
    assert names(step, pull(1)) == {0: "first"}
    assert names(step, pull(1, version=2)) == {}
    assert names(step, pull(2, version=2)) == {0: "again"}


def test_a_pull_that_was_overtaken_gets_nothing(
    make_spec: SpecBuilder, make_sample: SampleBuilder
) -> None:
    """An old pull arrives after a newer one.

    Its answer would count as fresh for a version that the trainer has left behind.
    """
    step = Step(make_spec(), NOTHING, 0.0, "client")
    make(step, make_sample, 0, 0, "first")
    assert names(step, pull(5, version=1)) == {0: "first"}
    assert names(step, pull(4)) == {}


@pytest.mark.parametrize(("version", "given"), [(0, True), (1, True), (2, False), (9, False)])
def test_the_version_of_the_pull_decides_delivery(
    make_spec: SpecBuilder, make_sample: SampleBuilder, version: int, given: bool
) -> None:
    """Weights move on while a sample waits.

    A user would train on drafts that ignore the latest corrections.
    """
    step = Step(make_spec(staleness_bound=1), NOTHING, 0.0, "client")
    make(step, make_sample, 0, 0, "old")
    assert bool(names(step, pull(1, version=version))) is given
    assert step.discarded_stale == (0 if given else 1)
    assert (step.missing == step.spec.size) is not given


def test_the_oldest_span_of_a_run_over_a_swap_counts(
    make_spec: SpecBuilder, make_sample: SampleBuilder
) -> None:
    """An engine swaps weights in the middle of a generation.

    Judged by its last token, the sample would be delivered with tokens that are past the bound.
    """
    step = Step(make_spec(staleness_bound=1), NOTHING, 0.0, "client")
    run = step.record_start(0, 0.0)
    sample = make_sample(0)._replace(spans=[Span(0, 3), Span(4, 7)])
    step.record_sample(run, sample)
    assert names(step, pull(1, version=2)) == {}


def test_a_run_past_the_bound_is_to_be_cancelled_and_its_position_made_again(
    make_spec: SpecBuilder,
) -> None:
    """A long generation began under weights that are too old by now.

    Left alone, it would end as a sample that is thrown away, and the step would wait for another.
    """
    step = Step(make_spec(staleness_bound=1), NOTHING, 0.0, "client")
    run = step.record_start(0, 0.0)
    run.record_span(Span(0, 1), 0.0)
    run.record_span(Span(3, 1), 0.0)
    assert step.set_expected_version(1) == []
    assert step.set_expected_version(2) == [run]
    step.record_cancellation(run)
    assert step.next_position(0.0) == 0
    assert step.wasted_tokens == 2


def test_a_ready_sample_about_to_pass_the_bound_is_replaced_early_and_kept_meanwhile(
    make_spec: SpecBuilder, make_sample: SampleBuilder
) -> None:
    """The trainer will be a version further when it pulls.

    Replaced only then, the sample would hold the whole step up.
    """
    step = Step(make_spec(groups=1, per_group=1, staleness_bound=0), NOTHING, 0.0, "client")
    make(step, make_sample, 0, 0, "old")
    assert step.next_position(0.0) is None
    step.set_expected_version(1)
    assert step.next_position(0.0) == 0
    assert names(step, pull(1, version=0)) == {0: "old"}
    make(step, make_sample, 0, 1, "new")
    assert names(step, pull(2, version=1)) == {0: "new"}


def test_the_first_of_two_copies_is_kept_and_the_other_is_waste(
    make_spec: SpecBuilder, make_sample: SampleBuilder
) -> None:
    """A straggler ends just after its second copy.

    A user would see one sample in two contents, or the group marked whole with a sample that then
    changes.
    """
    step = Step(make_spec(), NOTHING, 0.0, "client")
    slow = step.record_start(0, 0.0)
    copy = step.record_start(0, 0.0, is_copy=True)
    slow.record_span(Span(0, 7), 0.0)
    assert step.record_sample(copy, make_sample(0, 0, "copy")) == [slow]
    assert step.record_sample(slow, make_sample(0, 0, "slow")) == []
    assert names(step, pull(1)) == {0: "copy"}
    assert step.wasted_tokens == 7


def test_a_failed_run_waits_longer_each_time_and_holds_up_no_other(
    make_spec: SpecBuilder,
) -> None:
    """One prompt makes every engine fail.

    Started again at once each time, it would take the room of all others.
    """
    step = Step(make_spec(groups=1, per_group=2), NOTHING, 0.0, "client")
    now_s = 0.0
    waits = []
    for _attempt in range(4):
        failed_at_s = now_s
        step.record_failure(step.record_start(0, now_s), now_s, 0.5)
        while step.next_position(now_s) != 0:
            assert step.next_position(now_s) == 1
            now_s += 0.01
        waits.append(now_s - failed_at_s)
    assert all(later > 1.5 * earlier for earlier, later in itertools.pairwise(waits))


def test_longest_first_where_lengths_are_known(make_spec: SpecBuilder) -> None:
    spec = make_spec(groups=3, per_group=1, max_tokens=100, group_length_hints=(5, 90, 20))
    step = Step(spec, NOTHING, 0.0, "client")
    order = []
    while (position := step.next_position(0.0)) is not None:
        step.record_start(position, 0.0)
        order.append(position)
    assert order == [1, 2, 0]


def test_whole_groups_count_what_is_held_and_what_the_reply_brings(
    make_spec: SpecBuilder, make_sample: SampleBuilder
) -> None:
    step = Step(make_spec(groups=3, per_group=2), frozenset({0}), 0.0, "client")
    for position in (1, 2, 3, 4):
        make(step, make_sample, position, 0, f"run-{position}")
    reply = step.pull(pull(1, held=frozenset({0})), 0.0)
    assert reply.whole_groups == [0, 1]
    assert reply_from_json(reply_to_json(reply, step.spec)) == reply


def test_a_trainer_that_lost_its_record_gets_every_sample_again(
    make_spec: SpecBuilder, make_sample: SampleBuilder
) -> None:
    """The trainer's process dies and starts the step anew with nothing held.

    Its owner remembers all as held; the trainer would wait for ever.
    """
    step = Step(make_spec(groups=1, per_group=2), NOTHING, 0.0, "client")
    make(step, make_sample, 0, 0, "first")
    step.pull(pull(7, held=frozenset({0, 1})), 0.0)
    assert step.done
    step.update_held("another client", NOTHING, 0.0)
    assert [step.next_position(0.0), step.missing] == [0, 2]


def test_an_old_message_of_the_same_record_takes_nothing_back(make_spec: SpecBuilder) -> None:
    step = Step(make_spec(), NOTHING, 0.0, "client")
    step.update_held("client", frozenset({0, 1}), 0.0)
    step.update_held("client", frozenset({0}), 0.0)
    assert step.held == {0, 1}


def test_a_position_that_the_trainer_got_elsewhere_is_worked_on_no_more(
    make_spec: SpecBuilder,
) -> None:
    """The trainer got it from another owner of the step.

    Going on would cost tokens that nobody takes.
    """
    step = Step(make_spec(), NOTHING, 0.0, "client")
    run = step.record_start(1, 0.0)
    step.update_held("client", frozenset({0, 1}), 0.0)
    assert step.set_expected_version(0) == [run]
    assert step.next_position(0.0) == 2


@pytest.mark.parametrize("positions", [frozenset(), frozenset({0}), frozenset({0, 7, 8, 511})])
def test_positions_survive_their_bitmap(positions: frozenset[int]) -> None:
    assert decode_positions(encode_positions(positions), 512) == positions


@pytest.mark.parametrize("text", ["x", "-1", "1" + "0" * 128, "f" * 100_000])
def test_a_bitmap_that_is_none_or_too_long_is_an_error(text: str) -> None:
    """A trainer names positions that its step does not have.

    Taken as held, they would grow the node's memory or end the step early.
    """
    with pytest.raises(ValueError, match=r"bits|invalid literal"):
        decode_positions(text, 512)
