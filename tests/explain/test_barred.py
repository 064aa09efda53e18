"""Finding requests in node logs that were refused because targets crashed on them."""

import asyncio
import io
import logging
from collections.abc import Sequence

import pytest

from samphirecleat.crashes import CrashLedger, TargetStart
from samphirecleat.explain import LogLine, read_lines, trace_barred
from samphirecleat.explain._command import render
from samphirecleat.observe import JsonFormatter

from ..crashes.guards import make_guard

CALL = b"\x09" * 12


@pytest.fixture(scope="module")
def log() -> Sequence[str]:
    """Return the log of a node while a request crashes its targets and is refused."""
    stream = io.StringIO()
    handler = logging.StreamHandler(stream)
    handler.setFormatter(JsonFormatter())
    logger = logging.getLogger("samphirecleat.n1")
    logger.addHandler(handler)
    logger.setLevel(logging.INFO)
    try:
        asyncio.run(_crash_three_targets())
    finally:
        logger.removeHandler(handler)
    return stream.getvalue().splitlines()


async def _crash_three_targets() -> None:
    guard = make_guard(CrashLedger())
    loop = asyncio.get_running_loop()
    for name in ("a", "b", "c"):
        await guard.record_cut(f"r-{name}", CALL, TargetStart(name, "h:1", 5), loop.time(), "reset")
        await asyncio.sleep(0.002)
    guard.verdict("r-held", CALL)
    await asyncio.sleep(1.05)
    guard.review([])
    guard.verdict("r-again", CALL)


def test_refused_request_lists_observing_nodes_and_evidence_age(
    log: Sequence[str],
) -> None:
    """On-call engineers have only the request id of a caller and the logs."""
    (call,) = trace_barred(read_lines([("n1.log", log)]).lines)
    assert call.call == CALL.hex()
    assert [(end.target, end.node) for end in call.ends] == [(f"{t}@5", "n1") for t in "abc"]
    assert (call.held, call.refused, call.last_request_id) == (1, 1, "r-again")
    assert call.barred_s is not None
    assert call.oldest_evidence_s >= 1.0
    table = render(read_lines([("n1.log", log)]))
    assert all(word in table for word in (CALL.hex(), "a@5 by n1", "r-again"))


def test_answer_that_cleared_request_is_reported() -> None:
    lines = [
        LogLine(0.0, "n1", f"[crashes] request=r call={CALL.hex()} held evidence=a@5/n2/0.4s"),
        LogLine(2.0, "n1", f"[crashes] request=s call={CALL.hex()} answered cleared_ends=3"),
    ]
    (call,) = trace_barred(lines)
    assert (call.held, call.cleared_s, call.oldest_evidence_s) == (1, 2.0, 0.4)


def test_logs_without_barred_requests_give_no_entries() -> None:
    assert trace_barred([LogLine(0.0, "n1", "[front] request=r status=502")]) == []
