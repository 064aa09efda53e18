"""Computes the measures of a trial from client receipts and fleet observations."""

import math
from collections.abc import Mapping, Sequence

from ..errors import Ran
from ._config_checks import slowest_in_force_s
from ._fleet import Fleet
from ._fleet_monitor import FleetMonitor
from ._records import CallReceipt, Receipts


def measure(fleet: Fleet, receipts: Receipts, monitor: FleetMonitor) -> Mapping[str, float]:
    """Return all measures by name; each name ends with its unit where it has one."""
    answered_ms = [call.took_s * 1000.0 for call in receipts.calls if call.answer is not None]
    staleness = [float(r.pull_version - r.sample.oldest_version) for r in receipts.samples]
    ages_s = [receipt.age_s for receipt in receipts.samples]
    total_s = receipts.waited_s + receipts.trained_s
    appends = [append for append in fleet.log.appends if append.stream == "config"]
    return {
        "trainer_idle_ratio": receipts.waited_s / total_s if total_s else 0.0,
        "staleness_versions_p50": percentile(staleness, 50),
        "staleness_versions_p99": percentile(staleness, 99),
        "staleness_s_p50": percentile(ages_s, 50),
        "staleness_s_p99": percentile(ages_s, 99),
        "steps_completed": sum(1 for step in receipts.steps if step.whole),
        "samples_delivered": len(receipts.samples),
        "answers_whole": len(answered_ms),
        "answers_refused": sum(1 for call in receipts.calls if _ran_state(call) is Ran.NO),
        "answers_unknown": sum(
            1 for call in receipts.calls if _ran_state(call) not in (None, Ran.NO)
        ),
        "request_ms_p50": percentile(answered_ms, 50),
        "request_ms_p99": percentile(answered_ms, 99),
        "weights_everywhere_s": percentile(_weights_everywhere_s(fleet, monitor), 50),
        "config_in_force_s": slowest_in_force_s(
            appends, monitor.config_observations, fleet.node_lifetimes
        ),
    }


def percentile(values: Sequence[float], percent: float) -> float:
    """Return the nearest-rank percentile, 0.0 if ``values`` is empty."""
    if not values:
        return 0.0
    ranked = sorted(values)
    return ranked[max(0, math.ceil(len(ranked) * percent / 100.0) - 1)]


def _ran_state(call: CallReceipt) -> Ran | None:
    return call.error.ran if call.error is not None else None


def _weights_everywhere_s(fleet: Fleet, monitor: FleetMonitor) -> Sequence[float]:
    """Return the time from publication until all engines had a version or a newer one.

    One value for each version that reached all engines.
    """
    service = fleet.shape.engine_service
    return [
        at_s - fleet.store.published_at_s[service, version]
        for version, at_s in monitor.fully_deployed_at_s.items()
        if (service, version) in fleet.store.published_at_s
    ]
