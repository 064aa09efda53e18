"""A guard with stand-ins for what a node gives it, for several test packages."""

from collections.abc import Awaitable, Callable, Sequence

from samphirecleat.crashes import (
    CrashGossip,
    CrashGuard,
    CrashLedger,
    EvidenceRecorder,
    NullEvidenceRecorder,
    RegistrationState,
    TargetStart,
)
from samphirecleat.observe import Observer


async def ended(_address: str) -> bool:
    """Say that nothing listens at any address."""
    return False


def ready(_start: TargetStart) -> RegistrationState:
    """Say that every target is registered for work."""
    return RegistrationState.READY


def no_others(_start: TargetStart) -> Sequence[TargetStart]:
    """Say that a target is the only one of its service."""
    return ()


def make_guard(
    ledger: CrashLedger,
    listens: Callable[[str], Awaitable[bool]] = ended,
    registered: Callable[[TargetStart], RegistrationState] = ready,
    others: Callable[[TargetStart], Sequence[TargetStart]] = no_others,
    *,
    news: CrashGossip | None = None,
    recorder: EvidenceRecorder | None = None,
) -> CrashGuard:
    """Return the guard of a node n1, whose targets end with every call that they cut off."""
    return CrashGuard(
        "n1",
        ledger,
        news or CrashGossip(ledger, lambda: 1),
        listens,
        registered,
        others,
        recorder or NullEvidenceRecorder(),
        Observer("n1"),
    )
