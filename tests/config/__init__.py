"""Tests of the service text and the configuration fold."""
