"""Tests of the choice of groups that a trainer does not need."""

import pytest

from samphirecleat.durable import PendingItem
from samphirecleat.durable._needed_groups import (
    GroupNeed,
    UnfinishedItem,
    longest_groups,
    optional_groups,
)


def item(group: str, tokens: int, *, carried: bool = False) -> UnfinishedItem:
    return UnfinishedItem("s1", group, tokens, carried)


@pytest.mark.parametrize(
    ("items", "need", "long_queue", "want"),
    [
        # Six of nine needed groups are complete: the group expected last is not needed.
        ([item("a", 500), item("b", 9000), item("c", 3000)], GroupNeed(9, 8), False, {"b"}),
        # The longest of all waits until the others are complete, also if it is the last one.
        ([item("b", 9000)], GroupNeed(9, 8), False, {"b"}),
        # A group takes as long as its longest item.
        ([item("a", 1), item("a", 9000), item("b", 8000)], GroupNeed(9, 8), False, {"a"}),
        # At a step's start hints decide only if the queue is long.
        ([item("a", 1), item("b", 9000)], GroupNeed(2, 1), False, set()),
        ([item("a", 1), item("b", 9000)], GroupNeed(2, 1), True, {"b"}),
        # A carried-over group is never optional.
        ([item("a", 1), item("b", 9000, carried=True)], GroupNeed(9, 8), False, {"a"}),
        ([item("a", 500), item("b", 9000)], GroupNeed(9, 9), False, set()),
    ],
)
def test_optional_groups(
    items: list[UnfinishedItem], need: GroupNeed, long_queue: bool, want: set[str]
) -> None:
    """Guards against a step whose last needed group waits for one that nobody needs."""
    optional = optional_groups(items, {"s1": need}, long_queue=long_queue)
    assert {group for _step, group in optional} == want


def pending(group: str, tokens: int, *, carried: bool = False) -> PendingItem:
    return PendingItem("s1", f"{group}{tokens}", group, 5.0, carried, tokens, 10, 1, "m")


@pytest.mark.parametrize(
    ("items", "need", "want"),
    [
        # A quarter of the groups is not waited for: the longest, by its longest item.
        (
            [
                pending("a", 1),
                pending("a", 9000),
                pending("b", 8000),
                pending("c", 5),
                pending("d", 6),
            ],
            GroupNeed(4, 3),
            {"a"},
        ),
        ([pending("a", 1), pending("b", 9000, carried=True)], GroupNeed(2, 1), set()),
        ([pending("a", 1), pending("b", 9000)], GroupNeed(2, 2), set()),
    ],
)
def test_longest_groups(items: list[PendingItem], need: GroupNeed, want: set[str]) -> None:
    """Guards against a change of the order of items on engines of the same speed."""
    optional = longest_groups(items, {"s1": need})
    assert {group for _step, group in optional} == want
