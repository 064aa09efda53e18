"""Usage: counts, clock, ledger and reports."""
