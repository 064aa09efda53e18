"""Compares what was received with the ledgers of the stand-ins, promise by promise."""

from collections import Counter, defaultdict
from collections.abc import Callable, Mapping, Sequence
from typing import NamedTuple, TypeVar

from ..errors import Ran
from ..standins import EngineRun, digest_prompt
from ._fleet import Fleet
from ._records import CallReceipt, Receipts, SampleReceipt

T = TypeVar("T")


class Verdict(NamedTuple):
    """How often a promise was broken, over how many checked items."""

    broken: int
    checked: int


def check_promises(fleet: Fleet, receipts: Receipts) -> Mapping[str, Verdict]:
    """Return the verdict on each promise that receipts and ledgers can tell of."""
    runs = {run.run_id: run for engine in fleet.engines for run in engine.runs}
    return {
        "samples_wrong_version": _check(receipts.samples, lambda r: _wrong_version(r, runs)),
        "samples_over_staleness": _check(receipts.samples, _over_staleness),
        "samples_missing": _check_missing(receipts),
        "samples_doubled": _check_doubled(receipts),
        "answers_partial": _check(_generated(fleet, receipts), lambda r: _partial(r, runs)),
        "answers_crossed": _check(_answered(receipts), _crossed),
        "answers_doubled": _check_answers_doubled(receipts),
        "not_run_but_ran": _check_not_run(fleet, receipts),
        "non_idempotent_run_twice": _check_run_twice(fleet),
    }


def _check(items: Sequence[T], is_broken: Callable[[T], bool]) -> Verdict:
    return Verdict(sum(1 for item in items if is_broken(item)), len(items))


def _wrong_version(receipt: SampleReceipt, runs: Mapping[str, EngineRun]) -> bool:
    run = runs.get(receipt.sample.run_id)
    if run is None or not run.ended:
        return True
    said = [tuple(span) for span in receipt.sample.spans]
    return said != [tuple(span) for span in run.spans]


def _over_staleness(receipt: SampleReceipt) -> bool:
    return receipt.trainer_version - receipt.sample.oldest_version > receipt.staleness_bound


def _check_missing(receipts: Receipts) -> Verdict:
    received: dict[str, set[int]] = defaultdict(set)
    for receipt in receipts.samples:
        received[receipt.step_id].add(receipt.sample.position)
    missing = sum(step.size - len(received[step.step_id]) for step in receipts.steps)
    return Verdict(missing, sum(step.size for step in receipts.steps))


def _check_doubled(receipts: Receipts) -> Verdict:
    counts = Counter((r.step_id, r.sample.position) for r in receipts.samples)
    return Verdict(sum(count - 1 for count in counts.values()), len(counts))


def _answered(receipts: Receipts) -> Sequence[CallReceipt]:
    return [call for call in receipts.calls if call.answer is not None]


def _generated(fleet: Fleet, receipts: Receipts) -> Sequence[CallReceipt]:
    engine_service = fleet.shape.engine_service
    return [call for call in _answered(receipts) if call.service == engine_service]


def _partial(receipt: CallReceipt, runs: Mapping[str, EngineRun]) -> bool:
    assert receipt.answer is not None
    run = runs.get(str(receipt.answer.body["run_id"]))
    spans = receipt.answer.body["spans"]
    return run is None or not run.ended or spans != [list(span) for span in run.spans]


def _crossed(receipt: CallReceipt) -> bool:
    assert receipt.answer is not None
    body = receipt.answer.body
    if "text" in body:
        return digest_prompt(receipt.prompt) not in str(body["text"])
    echoed: object = body["result"]["echo"]["prompt"]
    return echoed != receipt.prompt


def _check_answers_doubled(receipts: Receipts) -> Verdict:
    keys = Counter(call.answer.key for call in receipts.calls if call.answer is not None)
    return Verdict(sum(count - 1 for count in keys.values()), len(keys))


def _check_not_run(fleet: Fleet, receipts: Receipts) -> Verdict:
    """Count calls that were answered "not run" although a target ran their prompt."""
    ran_prompts = {run.prompt_digest for engine in fleet.engines for run in engine.runs}
    ran_numbers = {run.prompt for server in fleet.plain for run in server.runs}
    refused = [c for c in receipts.calls if c.error is not None and c.error.ran is Ran.NO]
    broken = 0
    for call in refused:
        ran = digest_prompt(call.prompt) in ran_prompts or call.prompt in ran_numbers
        broken += 1 if ran else 0
    return Verdict(broken, len(refused))


def _check_run_twice(fleet: Fleet) -> Verdict:
    """Count plain calls that ran more than once for one caller's request."""
    counts: Counter[str] = Counter()
    for server in fleet.plain:
        counts.update(run.prompt for run in server.runs if run.method == fleet.shape.plain_once)
    return Verdict(sum(count - 1 for count in counts.values()), len(counts))
