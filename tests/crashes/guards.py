"""A crash guard with test doubles for the node's parts, shared by several test packages."""

from collections.abc import Awaitable, Callable, Sequence

from samphirecleat.crashes import (
    CrashGossip,
    CrashGuard,
    CrashLedger,
    EvidenceRecorder,
    NullEvidenceRecorder,
    RegistrationState,
    ServiceView,
    TargetStart,
    UrgentReports,
)
from samphirecleat.observe import Observer


async def nothing_listens(_address: str) -> bool:
    """Report that nothing listens at any address."""
    return False


def always_ready(_start: TargetStart) -> RegistrationState:
    """Report that every target is registered and ready."""
    return RegistrationState.READY


def no_siblings(_start: TargetStart) -> Sequence[TargetStart]:
    """Report that a target is the only one of its service."""
    return ()


def make_guard(
    ledger: CrashLedger,
    listens: Callable[[str], Awaitable[bool]] = nothing_listens,
    registration_state: Callable[[TargetStart], RegistrationState] = always_ready,
    siblings: Callable[[TargetStart], Sequence[TargetStart]] = no_siblings,
    *,
    gossip: CrashGossip | None = None,
    recorder: EvidenceRecorder | None = None,
    services: ServiceView | None = None,
    urgent: UrgentReports | None = None,
    node_id: str = "n1",
) -> CrashGuard:
    """Return the guard of a node; by default each cut means that the target crashed."""
    return CrashGuard(
        node_id,
        ledger,
        gossip or CrashGossip(ledger, lambda: 1),
        listens,
        registration_state,
        siblings,
        recorder or NullEvidenceRecorder(),
        Observer(node_id),
        services,
        urgent,
    )
