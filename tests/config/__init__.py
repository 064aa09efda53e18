"""Tests of the service text and its fold."""
