"""Lets retries be a bounded share of first attempts."""

from typing import Final

BUDGET_CAP: Final = 20.0


class RetryBudget:
    """Lets retries be a bounded share of first attempts.

    Without it, a service whose targets all fail would get every request several
    times over just when it is weakest.
    """

    def __init__(self, ratio: float) -> None:
        """Start with a full budget and earn ``ratio`` of a retry per first attempt."""
        self._ratio = ratio
        self._tokens = BUDGET_CAP

    def note_first_attempt(self) -> None:
        """Earn a share of a retry."""
        self._tokens = min(BUDGET_CAP, self._tokens + self._ratio)

    def take(self) -> bool:
        """Spend one retry; False when the budget is empty."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
