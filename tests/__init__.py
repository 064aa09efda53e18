"""The tests of samphirecleat."""
