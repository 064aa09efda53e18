"""Contract tests of the platform clients."""
