"""Retry budget."""


class RetryBudget:
    """Token bucket that limits retries to a share of first attempts.

    Without it, a service whose targets all fail would receive every request
    several times while it is least able to serve them.
    """

    def __init__(self, ratio: float, capacity: float) -> None:
        """Start with ``capacity`` retries and earn ``ratio`` of one per first attempt."""
        self._ratio = ratio
        self._capacity = capacity
        self._tokens = capacity

    def record_first_attempt(self) -> None:
        """Credit the budget for a first attempt."""
        self._tokens = min(self._capacity, self._tokens + self._ratio)

    def try_spend(self) -> bool:
        """Spend one retry and return True, or return False if the budget is exhausted."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
