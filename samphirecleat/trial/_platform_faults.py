"""Faults of the platform's services, and operators who race each other."""

import asyncio
import time
from typing import Final

from ..standins import HostRow, StandInLog
from ._records import Interval
from ._stage import Stage

TRIM_OLDER_THAN_S: Final = 2.0
LOOK_S: Final = 0.02
DEAD_ADDRESS: Final = "127.0.0.1:9"


async def falsify_host_list(stage: Stage) -> None:
    """The host list drops live targets, says others leave, and shows dead ones."""
    host_list = stage.fleet.host_list
    target = stage.rng.choice(stage.fleet.engines[:-1])
    row = HostRow(target.address, target.service, target.zone)
    ghost = HostRow(DEAD_ADDRESS, target.service, target.zone)
    if stage.rng.random() < 0.5:
        host_list.remove(target.address)
        stage.note(f"the host list drops {target.address} and shows {DEAD_ADDRESS}")
    else:
        host_list.put(row._replace(state="leaving"), at_once=True)
        stage.note(f"the host list says that {target.address} leaves; shows {DEAD_ADDRESS}")
    host_list.put(ghost, at_once=True)
    await stage.hold(1.0, 4.0)
    host_list.put(row, at_once=True)
    host_list.remove(ghost.address)


async def delay_host_list(stage: Stage) -> None:
    """The host list lags more than usual, and is down for a while."""
    host_list, outages = stage.fleet.host_list, stage.fleet.host_list_outages
    usual_s = host_list.lag_s
    started_at_s = time.monotonic()
    outages.append(Interval(started_at_s, float("inf")))
    host_list.lag_s = 4.0
    host_list.down = True
    stage.note("the host list is down and lags by 4 s")
    await stage.hold(1.0, 4.0)
    host_list.lag_s = usual_s
    host_list.down = False
    outages[-1] = Interval(started_at_s, time.monotonic())


async def stop_log(stage: Stage) -> None:
    """The log answers nothing but errors for a while."""
    log, outages = stage.fleet.log, stage.fleet.log_outages
    if log.down:
        return
    index = len(outages)
    started_at_s = time.monotonic()
    outages.append(Interval(started_at_s, float("inf")))
    log.down = True
    stage.note("the log is down")
    try:
        await stage.hold(1.0, 6.0)
    finally:
        log.down = False
        outages[index] = Interval(started_at_s, time.monotonic())
        stage.note("the log is up")


async def slow_log(stage: Stage) -> None:
    """The log takes long for every answer."""
    log = stage.fleet.log
    log.slow_s = stage.rng.uniform(0.2, 0.8)
    stage.note(f"the log answers {log.slow_s:.2f} s late")
    try:
        await stage.hold(1.0, 5.0)
    finally:
        log.slow_s = 0.0


async def lose_log_answers(stage: Stage) -> None:
    """Appends take effect and their answers are lost, an operator's among them."""
    log = stage.fleet.log
    log.lose_answers += stage.rng.randint(1, 3)
    stage.note(f"the log loses {log.lose_answers} answers")
    appended = await stage.operator.publish("operator-2")
    stage.note(f"changed text: {appended.outcome.value}")


async def trim_log(stage: Stage) -> None:
    """The log drops all records but the newest, the accepted text among them."""
    log = stage.fleet.log
    # What nobody could read yet is not dropped: the log keeps records for long
    # enough that a reader which is there gets them.
    await _wait_readable(log, TRIM_OLDER_THAN_S)
    log.trim(TRIM_OLDER_THAN_S)
    stage.note(f"the log dropped records older than {TRIM_OLDER_THAN_S:.0f} s")


async def _wait_readable(log: StandInLog, for_s: float) -> None:
    """Return once the log has answered for so long without a break.

    A look at the end of that time is not enough: a record that is taken between two outages
    could be dropped after a moment in which no reader came by, and nobody could know of it.
    """
    readable_since_s = time.monotonic()
    while time.monotonic() - readable_since_s < for_s:
        await asyncio.sleep(LOOK_S)
        if log.down:
            readable_since_s = time.monotonic()


async def stop_store(stage: Stage) -> None:
    """The weight store is down for a while, or slow."""
    store = stage.fleet.store
    usual_s = store.load_s
    if stage.rng.random() < 0.5:
        store.down = True
        stage.note("the weight store is down")
    else:
        store.load_s = usual_s * 6.0
        stage.note("the weight store is slow")
    try:
        await stage.hold(1.0, 5.0)
    finally:
        store.down = False
        store.load_s = usual_s


async def race_operators(stage: Stage) -> None:
    """Two operators publish different texts on the same base at nearly the same moment."""
    base = stage.operator.revision_in_force()
    publishing = [stage.operator.publish(name, base) for name in ("operator-2", "operator-3")]
    appended = await asyncio.gather(*publishing)
    stage.note(f"two texts on base {base} at {[one.offset for one in appended]}")
