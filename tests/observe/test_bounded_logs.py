"""Tests of the rate limit on log lines."""

import io
import logging

from samphirecleat.observe import RateLimitedHandler


def test_excess_lines_are_dropped_and_counted_with_a_reserve_for_warnings() -> None:
    """Every call fails with the same error and logs a line.

    Without a limit, logging slows down every response. If the drops were not reported, the
    gap would look like an absence of errors.
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
