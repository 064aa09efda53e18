"""Factories of steps, items and results for tests."""

from samphirecleat.durable import (
    FinishedItem,
    ItemListed,
    ItemSpec,
    ResultsListed,
    RewardSpec,
    StepAccepted,
    StepRequest,
    TextRef,
)
from samphirecleat.durable._records import accepted_record


def item(item_id: str, group: str = "g0", hint: int = 640, *, reward: bool = False) -> ItemSpec:
    scored = RewardSpec(f"r-{item_id}", "host.example", "/score/x", b"score") if reward else None
    headers = [("X-Any", "1")]
    return ItemSpec(item_id, "/run/1", headers, b"body", 255, 10944, hint, group, scored)


def step(
    step_id: str = "s1",
    items: int = 4,
    *,
    number: int = 0,
    min_version: int = 1,
    reward: bool = False,
) -> StepRequest:
    rows = [item(f"{step_id}-{n}", f"g{n // 2}", reward=reward) for n in range(items)]
    groups = max(1, items // 2)
    return StepRequest(
        step_id, "host.example", "/run/", number, "m", min_version, groups, 1000, rows
    )


def accepted(request: StepRequest) -> StepAccepted:
    """Return the record of a step whose items are stored separately."""
    return accepted_record(request, TextRef(0, 0, 1, "items", 4, 4))


def listed(step_id: str, item_id: str, text_key: str = "text") -> ResultsListed:
    """Return the record of one result whose text is stored under ``text_key``."""
    ref = TextRef(0, 7, 1, text_key, 4, 4)
    return ResultsListed(step_id, [ItemListed(item_id, [1], "sig", ref)])


def finished(step_id: str, item_id: str, text: str = "text") -> FinishedItem:
    return FinishedItem(step_id, item_id, text, [1], "sig")
