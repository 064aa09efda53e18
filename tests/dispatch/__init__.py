"""Tests of the dispatch of calls under load."""
