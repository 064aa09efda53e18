"""The table of all faults that a trial can inject, by name."""

from collections.abc import Awaitable, Callable, Mapping
from typing import Final, NamedTuple

from . import _caller_faults, _node_faults, _platform_faults, _target_faults
from ._fault_context import FaultContext


class Fault(NamedTuple):
    """One kind of fault; ``inject`` causes it once and then reverts it."""

    name: str
    inject: Callable[[FaultContext], Awaitable[None]]

    @property
    def description(self) -> str:
        """First docstring line of ``inject``."""
        return (self.inject.__doc__ or "").strip().split("\n")[0]


FAULTS: Final[Mapping[str, Fault]] = {
    fault.name: fault
    for fault in (
        Fault("node_kill", _node_faults.kill_node),
        Fault("node_drain", _node_faults.drain_node),
        Fault("node_freeze", _node_faults.freeze_node),
        Fault("all_nodes_replaced", _node_faults.replace_all_nodes),
        Fault("zone_loss", _node_faults.lose_zone),
        Fault("lease_pause", _node_faults.pause_lease_holder),
        Fault("engine_crash", _target_faults.crash_engine),
        Fault("engine_silent", _target_faults.silence_engine),
        Fault("engine_slow", _target_faults.slow_engine),
        Fault("swap_fail", _target_faults.fail_swaps),
        Fault("swap_pretend", _target_faults.pretend_swaps),
        Fault("answer_lost", _target_faults.lose_answers),
        Fault("plain_silent", _target_faults.silence_plain),
        Fault("request_ends_targets", _target_faults.crash_by_request),
        Fault("target_refuse", _target_faults.refuse_work),
        Fault("target_leaving", _target_faults.announce_leaving),
        Fault("host_list_wrong", _platform_faults.falsify_host_list),
        Fault("host_list_late", _platform_faults.delay_host_list),
        Fault("log_outage", _platform_faults.stop_log),
        Fault("log_slow", _platform_faults.slow_log),
        Fault("log_answer_lost", _platform_faults.lose_log_answers),
        Fault("log_trim", _platform_faults.trim_log),
        Fault("store_outage", _platform_faults.stop_store),
        Fault("operator_race", _platform_faults.race_operators),
        Fault("clients_leave", _caller_faults.disconnect_clients),
        Fault("bad_input", _caller_faults.send_bad_input),
    )
}


class UnknownFaultError(Exception):
    """Raised for a fault name that is not in the table."""


def select_faults(names: str) -> tuple[str, ...]:
    """Return the faults selected by ``none``, ``all`` or a comma-separated list.

    :raises UnknownFaultError: for a name that is not in the table.
    """
    if names == "none":
        return ()
    if names == "all":
        return tuple(FAULTS)
    chosen = tuple(name.strip() for name in names.split(",") if name.strip())
    unknown = [name for name in chosen if name not in FAULTS]
    if unknown:
        raise UnknownFaultError(
            f"unknown fault {', '.join(unknown)}; allowed: none, all, or any of {', '.join(FAULTS)}"
        )
    return chosen
