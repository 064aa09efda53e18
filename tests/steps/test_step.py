"""State of a step on a node: repeated pulls, copies, staleness and trainer restarts."""

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

NONE_HELD: frozenset[int] = frozenset()


def pull(number: int, version: int = 0, held: frozenset[int] = NONE_HELD, limit: int = 512) -> Pull:
    return Pull(number, version, held, 0.0, limit, "client")


def finish_run(
    step: Step, make_sample: SampleBuilder, position: int, version: int, name: str
) -> None:
    run = step.record_start(position, 0.0)
    step.record_sample(run, make_sample(position, version, name))


def pull_run_ids(step: Step, request: Pull) -> dict[int, str]:
    return {sample.position: sample.run_id for sample in step.pull(request, 0.0).samples}


def test_repeated_pull_never_gets_a_different_sample_for_a_position(
    make_spec: SpecBuilder, make_sample: SampleBuilder
) -> None:
    """A pull is duplicated in transit; in between, its sample is replaced as stale.

    The trainer could train on one sample and record another for the same position.
    """
    step = Step(make_spec(), NONE_HELD, 0.0, "client")
    finish_run(step, make_sample, 0, 0, "first")
    assert pull_run_ids(step, pull(1)) == {0: "first"}
    step.set_expected_version(2)
    finish_run(step, make_sample, 0, 2, "again")
    assert pull_run_ids(step, pull(1)) == {0: "first"}
    assert pull_run_ids(step, pull(1, version=2)) == {}
    assert pull_run_ids(step, pull(2, version=2)) == {0: "again"}


def test_pull_that_arrives_after_a_later_one_gets_no_samples(
    make_spec: SpecBuilder, make_sample: SampleBuilder
) -> None:
    """An old pull arrives after a newer one.

    Its samples would be checked against a version that the trainer is past.
    """
    step = Step(make_spec(), NONE_HELD, 0.0, "client")
    finish_run(step, make_sample, 0, 0, "first")
    assert pull_run_ids(step, pull(5, version=1)) == {0: "first"}
    assert pull_run_ids(step, pull(4)) == {}


@pytest.mark.parametrize(("version", "delivered"), [(0, True), (1, True), (2, False), (9, False)])
def test_samples_beyond_the_bound_of_the_pulled_version_are_discarded(
    make_spec: SpecBuilder, make_sample: SampleBuilder, version: int, delivered: bool
) -> None:
    """The trainer's version rises while a sample waits for a pull.

    Without the check it would train on samples that exceed the staleness bound.
    """
    step = Step(make_spec(staleness_bound=1), NONE_HELD, 0.0, "client")
    finish_run(step, make_sample, 0, 0, "old")
    assert bool(pull_run_ids(step, pull(1, version=version))) is delivered
    assert step.discarded_stale == (0 if delivered else 1)
    assert (step.missing == step.spec.size) is not delivered


def test_oldest_span_decides_staleness_of_a_run_during_a_weight_swap(
    make_spec: SpecBuilder, make_sample: SampleBuilder
) -> None:
    """An engine swaps weights during a generation.

    Judged by its newest span, the sample would be delivered with tokens that exceed the bound.
    """
    step = Step(make_spec(staleness_bound=1), NONE_HELD, 0.0, "client")
    run = step.record_start(0, 0.0)
    sample = make_sample(0)._replace(spans=[Span(0, 3), Span(4, 7)])
    step.record_sample(run, sample)
    assert pull_run_ids(step, pull(1, version=2)) == {}


def test_run_beyond_the_staleness_bound_is_cancelled_and_its_position_restarted(
    make_spec: SpecBuilder,
) -> None:
    """A long generation began with weights that are too old by now.

    If it were not cancelled, its sample would be discarded and the step would wait for another.
    """
    step = Step(make_spec(staleness_bound=1), NONE_HELD, 0.0, "client")
    run = step.record_start(0, 0.0)
    run.record_span(Span(0, 1), 0.0)
    run.record_span(Span(3, 1), 0.0)
    assert step.set_expected_version(1) == []
    assert step.set_expected_version(2) == [run]
    step.record_cancellation(run)
    assert step.next_position(0.0) == 0
    assert step.wasted_tokens == 2


def test_sample_about_to_exceed_the_bound_is_kept_until_its_replacement_is_ready(
    make_spec: SpecBuilder, make_sample: SampleBuilder
) -> None:
    """The trainer is expected to be one version ahead when it pulls next.

    If the sample were replaced only then, the entire step would wait for it.
    """
    step = Step(make_spec(groups=1, per_group=1, staleness_bound=0), NONE_HELD, 0.0, "client")
    finish_run(step, make_sample, 0, 0, "old")
    assert step.next_position(0.0) is None
    step.set_expected_version(1)
    assert step.next_position(0.0) == 0
    assert pull_run_ids(step, pull(1, version=0)) == {0: "old"}
    finish_run(step, make_sample, 0, 1, "new")
    assert pull_run_ids(step, pull(2, version=1)) == {0: "new"}


def test_first_finished_copy_is_kept_and_the_other_counts_as_waste(
    make_spec: SpecBuilder, make_sample: SampleBuilder
) -> None:
    """A straggler ends just after its copy.

    If it replaced the copy's sample, a trainer could get two samples for one position, or a group
    reported as complete whose sample then changes.
    """
    step = Step(make_spec(), NONE_HELD, 0.0, "client")
    slow = step.record_start(0, 0.0)
    copy = step.record_start(0, 0.0, is_copy=True)
    slow.record_span(Span(0, 7), 0.0)
    assert step.record_sample(copy, make_sample(0, 0, "copy")) == [slow]
    assert step.record_sample(slow, make_sample(0, 0, "slow")) == []
    assert pull_run_ids(step, pull(1)) == {0: "copy"}
    assert step.wasted_tokens == 7


def test_failed_position_is_retried_with_backoff_and_delays_no_other(
    make_spec: SpecBuilder,
) -> None:
    """One prompt makes every engine fail.

    If it were retried at once each time, it would take the capacity of all others.
    """
    step = Step(make_spec(groups=1, per_group=2), NONE_HELD, 0.0, "client")
    now_s = 0.0
    delays_s = []
    for _attempt in range(4):
        failed_at_s = now_s
        step.record_failure(step.record_start(0, now_s), now_s, 0.5)
        while step.next_position(now_s) != 0:
            assert step.next_position(now_s) == 1
            now_s += 0.01
        delays_s.append(now_s - failed_at_s)
    assert all(later > 1.5 * earlier for earlier, later in itertools.pairwise(delays_s))


def test_longest_expected_samples_start_first(make_spec: SpecBuilder) -> None:
    spec = make_spec(groups=3, per_group=1, max_tokens=100, group_length_hints=(5, 90, 20))
    step = Step(spec, NONE_HELD, 0.0, "client")
    order = []
    while (position := step.next_position(0.0)) is not None:
        step.record_start(position, 0.0)
        order.append(position)
    assert order == [1, 2, 0]


def test_whole_groups_count_held_samples_and_those_in_the_reply(
    make_spec: SpecBuilder, make_sample: SampleBuilder
) -> None:
    step = Step(make_spec(groups=3, per_group=2), frozenset({0}), 0.0, "client")
    for position in (1, 2, 3, 4):
        finish_run(step, make_sample, position, 0, f"run-{position}")
    reply = step.pull(pull(1, held=frozenset({0})), 0.0)
    assert reply.whole_groups == [0, 1]
    assert reply_from_json(reply_to_json(reply, step.spec)) == reply


def test_trainer_that_lost_its_record_gets_every_sample_again(
    make_spec: SpecBuilder, make_sample: SampleBuilder
) -> None:
    """The trainer's process crashes and resubmits the step with no position held.

    If the node still regarded all positions as held, the trainer would wait forever.
    """
    step = Step(make_spec(groups=1, per_group=2), NONE_HELD, 0.0, "client")
    finish_run(step, make_sample, 0, 0, "first")
    step.pull(pull(7, held=frozenset({0, 1})), 0.0)
    assert step.done
    step.update_held("another client", NONE_HELD, 0.0)
    assert [step.next_position(0.0), step.missing] == [0, 2]


def test_old_message_of_the_same_record_does_not_undo_a_newer_one(make_spec: SpecBuilder) -> None:
    step = Step(make_spec(), NONE_HELD, 0.0, "client")
    step.update_held("client", frozenset({0, 1}), 0.0)
    step.update_held("client", frozenset({0}), 0.0)
    assert step.held == {0, 1}


def test_run_of_a_position_that_was_delivered_by_another_node_is_cancelled(
    make_spec: SpecBuilder,
) -> None:
    """Another node that executes the step has delivered the position.

    If the run continued, its tokens would be wasted.
    """
    step = Step(make_spec(), NONE_HELD, 0.0, "client")
    run = step.record_start(1, 0.0)
    step.update_held("client", frozenset({0, 1}), 0.0)
    assert step.set_expected_version(0) == [run]
    assert step.next_position(0.0) == 2


@pytest.mark.parametrize("positions", [frozenset(), frozenset({0}), frozenset({0, 7, 8, 511})])
def test_positions_round_trip_through_their_bitmap(positions: frozenset[int]) -> None:
    assert decode_positions(encode_positions(positions), 512) == positions


@pytest.mark.parametrize("text", ["x", "-1", "1" + "0" * 128, "f" * 100_000])
def test_invalid_or_too_long_bitmap_is_an_error(text: str) -> None:
    """A trainer sends a malformed bitmap or positions that its step does not have.

    If they were regarded as held, they would grow the node's memory or end the step early.
    """
    with pytest.raises(ValueError, match=r"bits|invalid literal"):
        decode_positions(text, 512)
