"""Tests of controllers.configuration."""
