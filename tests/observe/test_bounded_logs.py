"""Logs that stay bounded when a fault writes a line for every request."""

import io
import logging

from samphirecleat.observe import RateLimitedHandler


def test_a_flood_is_cut_and_counted_and_warnings_go_before() -> None:
    """Every call meets the same fault, and each writes a line.

    Unbounded, the writing slows every answer; cut without a word, an engineer would take
    the gap for calm.
    """
    now, stream = [0.0], io.StringIO()
    handler = RateLimitedHandler(stream, 8, lambda: now[0])
    logger = logging.Logger("flood")
    logger.addHandler(handler)
    for number in range(20):
        logger.info("line %d", number)
    assert stream.getvalue().count("line") == 6
    logger.warning("important")
    assert "important (lines dropped before: 14)" in stream.getvalue()
    for _ in range(9):
        logger.error("more")
    assert stream.getvalue().count("more") == 1
    now[0] += 1.0
    logger.info("calm")
    assert "calm (lines dropped before: 8)" in stream.getvalue()
