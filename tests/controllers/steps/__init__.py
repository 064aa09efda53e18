"""Tests of controllers.steps."""
