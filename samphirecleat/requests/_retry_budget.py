"""Lets retries be a bounded share of first attempts."""


class RetryBudget:
    """Lets retries be a bounded share of first attempts.

    Without it, a service whose targets all fail would get every request several
    times over just when it is weakest.
    """

    def __init__(self, ratio: float, cap: float) -> None:
        """Start with ``cap`` retries and earn ``ratio`` of one per first attempt."""
        self._ratio = ratio
        self._cap = cap
        self._tokens = cap

    def record_first_attempt(self) -> None:
        """Earn a share of a retry."""
        self._tokens = min(self._cap, self._tokens + self._ratio)

    def try_spend(self) -> bool:
        """Spend one retry; False when the budget is empty."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
