"""Checks each promise by comparing what clients received with the stand-ins' records."""

from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Final, TypeVar

from ..errors import Ran
from ..standins import EngineRun, digest_prompt, score_text
from ._config_checks import check_late, check_reverted
from ._fleet import Fleet
from ._fleet_monitor import FleetMonitor
from ._records import CallReceipt, ExchangeReceipt, NodeLifetime, Receipts, SampleReceipt
from ._verdict import Verdict, make_verdict

T = TypeVar("T")
LEAVING_GRACE_S: Final = 3.0
DRAIN_END_MARGIN_S: Final = 0.5
# A request that crashed three targets may run three more times once every node can know of it.
CRASHES_BEFORE_LIMIT: Final = 3
MAX_RUNS_AFTER_LIMIT: Final = 3
EVIDENCE_SPREAD_S: Final = 3.0


def check_promises(
    fleet: Fleet, receipts: Receipts, monitor: FleetMonitor
) -> Mapping[str, Verdict]:
    """Return the verdict on each promise by its name."""
    runs = {run.run_id: run for engine in fleet.engines for run in engine.runs}
    appends = [a for a in fleet.log.appends if a.stream == "config"]
    return {
        "samples_wrong_version": _check(receipts.samples, lambda r: _has_wrong_version(r, runs)),
        "samples_over_staleness": _check(receipts.samples, _is_over_staleness),
        "samples_missing": _check_missing(receipts),
        "samples_doubled": _check_samples_doubled(receipts),
        "answers_partial": _check(_answered_calls(receipts), lambda r: _is_partial(r, runs)),
        "answers_crossed": _check(_answered_calls(receipts), _is_crossed),
        "answers_doubled": _check_answers_doubled(receipts),
        "not_run_but_ran": _check_not_run(fleet, receipts),
        "non_idempotent_run_twice": _check_run_twice(fleet),
        "sent_on_after_three_ends": _check_crashes(fleet),
        "work_to_leaving_after_3s": _check_leaving(fleet),
        "in_flight_cut_by_drain": _check_drains(fleet, receipts),
        "config_reverted": check_reverted(appends, monitor.config_observations),
        "config_late": check_late(
            appends,
            monitor.config_observations,
            fleet.node_lifetimes,
            fleet.log_outages,
            monitor.observed_until_s,
        ),
    }


def _check(items: Sequence[T], is_broken: Callable[[T], bool]) -> Verdict:
    return make_verdict([item for item in items if is_broken(item)], len(items))


def _has_wrong_version(receipt: SampleReceipt, runs: Mapping[str, EngineRun]) -> bool:
    """Whether a sample differs from the engine's record of its run."""
    sample = receipt.sample
    run = runs.get(sample.run_id)
    if run is None or not run.ended:
        return True
    reported_spans = [list(span) for span in sample.spans]
    text = _expected_text(receipt.prompt, receipt.max_tokens)
    return reported_spans != run.spans or sample.text != text or sample.score != score_text(text)


def _is_over_staleness(receipt: SampleReceipt) -> bool:
    return receipt.pull_version - receipt.sample.oldest_version > receipt.staleness_bound


def _check_missing(receipts: Receipts) -> Verdict:
    received: dict[str, set[int]] = defaultdict(set)
    for receipt in receipts.samples:
        received[receipt.step_id].add(receipt.sample.position)
    missing = {
        step.step_id: step.size - len(received[step.step_id])
        for step in receipts.steps
        if step.size != len(received[step.step_id])
    }
    checked = sum(step.size for step in receipts.steps)
    return make_verdict(list(missing.items()), checked, sum(missing.values()))


def _check_samples_doubled(receipts: Receipts) -> Verdict:
    """Count positions received more than once and runs used for more than one position."""
    positions = _find_doubled((r.step_id, r.sample.position) for r in receipts.samples)
    runs = _find_doubled(r.sample.run_id for r in receipts.samples)
    return make_verdict([*positions, *runs], len(receipts.samples))


def _find_doubled(items: Iterable[T]) -> Sequence[T]:
    """Return each repeated item once per repetition."""
    counts = Counter(items)
    return list((counts - Counter(set(counts))).elements())


def _answered_calls(receipts: Receipts) -> Sequence[CallReceipt]:
    return [call for call in receipts.calls if call.answer is not None]


def _is_partial(receipt: CallReceipt, runs: Mapping[str, EngineRun]) -> bool:
    """Whether an answer lacks part of what the target produced for the call."""
    assert receipt.answer is not None
    body = receipt.answer.body
    if "text" not in body:
        return bool(body.get("result", {}).get("echo") != dict(receipt.body))
    run = runs.get(str(body["run_id"]))
    if run is None or not run.ended or body["spans"] != run.spans:
        return True
    tokens = int(receipt.body["max_tokens"])
    return len(str(body["text"]).split()) != tokens or run.tokens != tokens


def _is_crossed(receipt: CallReceipt) -> bool:
    """Whether any part of an answer belongs to another prompt."""
    assert receipt.answer is not None
    body = receipt.answer.body
    if "text" in body:
        digest = digest_prompt(receipt.prompt)
        return any(token.split(".")[0] != digest for token in str(body["text"]).split())
    echoed: object = body["result"]["echo"]["prompt"]
    return echoed != receipt.prompt


def _expected_text(prompt: str, tokens: int) -> str:
    digest = digest_prompt(prompt)
    return "".join(f"{digest}.{index} " for index in range(tokens))


def _check_answers_doubled(receipts: Receipts) -> Verdict:
    """Count runs whose answer was returned to more than one call."""
    answered = _answered_calls(receipts)
    doubled = _find_doubled(_run_id_of(call) for call in answered)
    return make_verdict(doubled, len(answered))


def _run_id_of(receipt: CallReceipt) -> str:
    assert receipt.answer is not None
    return str(receipt.answer.body.get("run_id") or receipt.answer.key)


def _check_not_run(fleet: Fleet, receipts: Receipts) -> Verdict:
    """Count calls reported as not run although a target ran their prompt."""
    ran_digests = {run.prompt_digest for engine in fleet.engines for run in engine.runs}
    ran_prompts = {run.prompt for server in fleet.plain for run in server.runs}
    refused = [c for c in receipts.calls if c.error is not None and c.error.ran is Ran.NO]
    broken = [
        call
        for call in refused
        if digest_prompt(call.prompt) in ran_digests or call.prompt in ran_prompts
    ]
    return make_verdict(broken, len(refused))


def _check_run_twice(fleet: Fleet) -> Verdict:
    """Count non-idempotent calls that ran more than once."""
    once = fleet.shape.plain_once
    prompts = [run.prompt for s in fleet.plain for run in s.runs if run.method == once]
    return make_verdict(_find_doubled(prompts), len(set(prompts)))


def _check_crashes(fleet: Fleet) -> Verdict:
    """Count requests that ran too often after crashing ``CRASHES_BEFORE_LIMIT`` targets."""
    runs: dict[str, list[float]] = defaultdict(list)
    ends: dict[str, list[float]] = defaultdict(list)
    for server in fleet.plain:
        for run in server.runs:
            runs[run.prompt].append(run.started_at_s)
        for run in server.ends:
            ends[run.prompt].append(run.started_at_s)
    broken: list[str] = []
    for prompt, crashed_s in ends.items():
        if len(crashed_s) < CRASHES_BEFORE_LIMIT:
            continue
        limit_from_s = sorted(crashed_s)[CRASHES_BEFORE_LIMIT - 1] + EVIDENCE_SPREAD_S
        further_runs = sum(at_s > limit_from_s for at_s in runs[prompt])
        if further_runs > MAX_RUNS_AFTER_LIMIT:
            broken.append(
                f"{prompt!r} ran {further_runs} more times, crashed {len(crashed_s)} targets"
            )
    return make_verdict(broken, len(runs))


def _check_leaving(fleet: Fleet) -> Verdict:
    """Count requests that reached a target too long after it was reported as leaving.

    All later requests to the services of leaving targets count as checked, since
    each of them could have been routed to the leaving target.
    """
    broken: list[str] = []
    checked = 0
    for leaving in fleet.targets:
        since_s = fleet.leaving_since_s(leaving)
        if since_s is None:
            continue
        late_from_s = since_s + LEAVING_GRACE_S
        for target in fleet.targets:
            if target.service == leaving.service:
                late = [arrival for arrival in target.arrivals if arrival.at_s > late_from_s]
                checked += len(late)
                if target is leaving:
                    broken += [f"{a} {a.at_s - since_s:.2f} s after leaving" for a in late]
    return make_verdict(broken, checked)


def _check_drains(fleet: Fleet, receipts: Receipts) -> Verdict:
    """Count exchanges with a draining node whose connection closed without a response."""
    drains = [t for t in fleet.node_lifetimes if t.drain_started_at_s < t.ended_at_s]
    checked = [e for e in receipts.exchanges if any(_was_in_flight(e, t) for t in drains)]
    return make_verdict([exchange for exchange in checked if exchange.cut], len(checked))


def _was_in_flight(exchange: ExchangeReceipt, lifetime: NodeLifetime) -> bool:
    return (
        exchange.address == lifetime.http_address
        and lifetime.started_at_s <= exchange.started_at_s <= lifetime.ended_at_s
        and lifetime.drain_started_at_s
        <= exchange.ended_at_s
        <= lifetime.ended_at_s + DRAIN_END_MARGIN_S
    )
