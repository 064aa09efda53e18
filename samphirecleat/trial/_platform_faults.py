"""Faults of the platform services, and concurrent publications by operators."""

import asyncio
import time
from typing import Final

from ..standins import HostRow, StandInLog
from ._fault_context import FaultContext
from ._records import Interval

TRIM_OLDER_THAN_S: Final = 2.0
POLL_PERIOD_S: Final = 0.02
DEAD_ADDRESS: Final = "127.0.0.1:9"


async def falsify_host_list(context: FaultContext) -> None:
    """The host list omits a live target or reports it as leaving, and lists a dead one."""
    host_list = context.fleet.host_list
    target = context.rng.choice(context.fleet.engines[:-1])
    row = HostRow(target.address, target.service, target.zone)
    dead_row = HostRow(DEAD_ADDRESS, target.service, target.zone)
    if context.rng.random() < 0.5:
        host_list.remove(target.address)
        context.record(f"the host list omits {target.address} and lists {DEAD_ADDRESS}")
    else:
        host_list.put(row._replace(state="leaving"), at_once=True)
        context.record(
            f"the host list reports {target.address} as leaving and lists {DEAD_ADDRESS}"
        )
    host_list.put(dead_row, at_once=True)
    await context.wait_random(1.0, 4.0)
    host_list.put(row, at_once=True)
    host_list.remove(dead_row.address)


async def delay_host_list(context: FaultContext) -> None:
    """The host list is down for some time, and changes are delayed by 4 s."""
    host_list, outages = context.fleet.host_list, context.fleet.host_list_outages
    usual_s = host_list.lag_s
    started_at_s = time.monotonic()
    outages.append(Interval(started_at_s, float("inf")))
    host_list.lag_s = 4.0
    host_list.down = True
    context.record("the host list is down and lags by 4 s")
    await context.wait_random(1.0, 4.0)
    host_list.lag_s = usual_s
    host_list.down = False
    outages[-1] = Interval(started_at_s, time.monotonic())


async def stop_log(context: FaultContext) -> None:
    """The log answers only errors for some time."""
    log, outages = context.fleet.log, context.fleet.log_outages
    if log.down:
        return
    index = len(outages)
    started_at_s = time.monotonic()
    outages.append(Interval(started_at_s, float("inf")))
    log.down = True
    context.record("the log is down")
    try:
        await context.wait_random(1.0, 6.0)
    finally:
        log.down = False
        outages[index] = Interval(started_at_s, time.monotonic())
        context.record("the log is up")


async def slow_log(context: FaultContext) -> None:
    """The log delays every response."""
    log = context.fleet.log
    log.slow_s = context.rng.uniform(0.2, 0.8)
    context.record(f"the log delays responses by {log.slow_s:.2f} s")
    try:
        await context.wait_random(1.0, 5.0)
    finally:
        log.slow_s = 0.0


async def lose_log_answers(context: FaultContext) -> None:
    """Appends succeed but their responses are lost, including one of an operator."""
    log = context.fleet.log
    log.lose_answers += context.rng.randint(1, 3)
    context.record(f"the log loses {log.lose_answers} responses")
    appended = await context.operator.publish("operator-2")
    context.record(f"published changed text: {appended.outcome.value}")


async def trim_log(context: FaultContext) -> None:
    """The log drops all but the newest records, including the accepted text."""
    log = context.fleet.log
    # The real log retains records for longer than any connected reader needs, so records that
    # nobody could read yet must not be dropped.
    await _wait_readable(log, TRIM_OLDER_THAN_S)
    log.trim(TRIM_OLDER_THAN_S)
    context.record(f"the log dropped records older than {TRIM_OLDER_THAN_S:.0f} s")


async def _wait_readable(log: StandInLog, for_s: float) -> None:
    """Wait until the log has been up for ``for_s`` seconds without interruption.

    Checking only once after that time is not enough: a record appended between two outages
    could be dropped before any reader had a chance to read it.
    """
    readable_since_s = time.monotonic()
    while time.monotonic() - readable_since_s < for_s:
        await asyncio.sleep(POLL_PERIOD_S)
        if log.down:
            readable_since_s = time.monotonic()


async def stop_store(context: FaultContext) -> None:
    """The weight store is down or slow for some time."""
    store = context.fleet.store
    usual_s = store.load_s
    if context.rng.random() < 0.5:
        store.down = True
        context.record("the weight store is down")
    else:
        store.load_s = usual_s * 6.0
        context.record("the weight store is slow")
    try:
        await context.wait_random(1.0, 5.0)
    finally:
        store.down = False
        store.load_s = usual_s


async def race_operators(context: FaultContext) -> None:
    """Two operators publish different texts on the same base at nearly the same time."""
    base = context.operator.revision_in_force()
    publishing = [context.operator.publish(name, base) for name in ("operator-2", "operator-3")]
    appended = await asyncio.gather(*publishing)
    context.record(
        f"published two texts on base {base} at offsets {[one.offset for one in appended]}"
    )
