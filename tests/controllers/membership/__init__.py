"""Tests of controllers.membership."""
