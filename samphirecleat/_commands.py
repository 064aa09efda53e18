"""Implements the commands ``publish`` and ``report`` of the command line."""

import getpass
import json
import sys
from collections.abc import Mapping
from typing import Any, Final

import aiohttp

from ._decoding import MALFORMED_INPUT_ERRORS
from ._report_tables import report_tables
from .config import DocumentError
from .platform import HttpLog
from .publish import Publisher, PublishOutcome, PublishResult

EXIT_OK: Final = 0
EXIT_FAILED: Final = 1
EXIT_BAD_INPUT: Final = 2
REPORT_TIMEOUT_S: Final = 30.0


async def publish(
    text: str, log_url: str, operator: str, base: int | None, resume: str, timeout_s: float
) -> int:
    """Publish a service text, print the outcome, and return the exit code.

    0: accepted. 1: rejected, or nothing was appended. 2: the text is invalid.
    3: unknown; run the command again with ``--resume``.
    """
    async with aiohttp.ClientSession() as session:
        publisher = Publisher(HttpLog(session, log_url.rstrip("/")), timeout_s=timeout_s)
        try:
            if resume:
                result = await publisher.resume(resume)
            else:
                result = await publisher.publish(text, operator or getpass.getuser(), base)
        except DocumentError as error:
            print(error, file=sys.stderr)
            return EXIT_BAD_INPUT
    _print_result(result)
    return result.outcome.value


async def report(node: str, *, as_json: bool) -> int:
    """Print the fleet report, fetched from ``node``, and return the exit code."""
    url = node if node.startswith("http") else f"http://{node}"
    timeout = aiohttp.ClientTimeout(total=REPORT_TIMEOUT_S)
    try:
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.get(f"{url}/v1/report") as response,
        ):
            response.raise_for_status()
            body: Mapping[str, Any] = await response.json()
    except (aiohttp.ClientError, TimeoutError, *MALFORMED_INPUT_ERRORS) as error:
        print(f"{node} gave no report: {error or type(error).__name__}", file=sys.stderr)
        return EXIT_FAILED
    print(json.dumps(body, indent=2) if as_json else report_tables(body))
    return EXIT_OK


def _print_result(result: PublishResult) -> None:
    name = result.outcome.name.lower()
    print(f"{name}: {result.detail} (id {result.publication_id})")
    if result.outcome is PublishOutcome.UNKNOWN:
        print(f"Check the outcome with --resume {result.publication_id} before publishing again.")
