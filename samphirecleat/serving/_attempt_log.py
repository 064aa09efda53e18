"""Records which targets a call was sent to and each outcome, for one-line failure messages."""

from dataclasses import dataclass
from typing import Final

NO_TARGET: Final = "no target serves this route"


@dataclass
class _Attempt:
    instance: str
    sent_at_s: float
    outcome: str = ""
    took_s: float = 0.0


class AttemptLog:
    """The attempts of one call, in sending order."""

    def __init__(self) -> None:
        """Start without attempts."""
        self._attempts: list[_Attempt] = []

    def record_sent(self, instance: str, now_s: float) -> None:
        """Record that the call is sent to a target."""
        self._attempts.append(_Attempt(instance, now_s))

    def record_outcome(self, instance: str, outcome: str, now_s: float) -> None:
        """Record the outcome of the latest unfinished attempt at a target."""
        for attempt in reversed(self._attempts):
            if attempt.instance == instance and not attempt.outcome:
                attempt.outcome = outcome
                attempt.took_s = now_s - attempt.sent_at_s
                return

    def summary(self, now_s: float) -> str:
        """Return each attempted target with its outcome and duration."""
        if not self._attempts:
            return NO_TARGET
        return "; ".join(
            f"{a.instance}: {a.outcome} after {a.took_s:.3f} s"
            if a.outcome
            else f"{a.instance}: silent for {now_s - a.sent_at_s:.3f} s"
            for a in self._attempts
        )
