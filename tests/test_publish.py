"""Tests of publishing: a single append and a correct outcome despite lost responses."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import TypeVar

import aiohttp
import pytest

from samphirecleat.config import (
    ANY_REVISION,
    DocumentError,
    Publication,
    Restatement,
    publication_payload,
    restatement_payload,
)
from samphirecleat.platform import HttpLog
from samphirecleat.publish import Publisher, PublishOutcome, PublishResult
from samphirecleat.standins import StandInLog

from .config.texts import text_of

T = TypeVar("T")
TIMEOUT_S = 2.0


def with_log(scenario: Callable[[StandInLog, HttpLog], Awaitable[T]]) -> T:
    async def run() -> T:
        stand_in = StandInLog()
        await stand_in.start()
        try:
            async with aiohttp.ClientSession() as session:
                return await scenario(stand_in, HttpLog(session, stand_in.url, timeout_s=0.5))
        finally:
            await stand_in.stop()

    return asyncio.run(run())


async def publish(log: HttpLog, service: str, base: int | None = None) -> PublishResult:
    return await Publisher(log, timeout_s=TIMEOUT_S).publish(text_of(service), service, base)


def test_first_publication_is_accepted_and_the_next_replaces_it() -> None:
    async def scenario(_stand_in: StandInLog, log: HttpLog) -> list[PublishResult]:
        return [await publish(log, "asesor"), await publish(log, "cotizador")]

    first, second = with_log(scenario)
    assert (first.outcome, first.revision) == (PublishOutcome.ACCEPTED, 0)
    assert (second.outcome, second.revision) == (PublishOutcome.ACCEPTED, 1)


def test_rejected_concurrent_publication_names_the_revision_in_force() -> None:
    """Both texts have the same base; accepting the second would silently undo the first."""

    async def scenario(_stand_in: StandInLog, log: HttpLog) -> list[PublishResult]:
        return await asyncio.gather(publish(log, "ana", base=-1), publish(log, "bea", base=-1))

    results = with_log(scenario)
    by_outcome = {result.outcome: result for result in results}
    assert set(by_outcome) == {PublishOutcome.ACCEPTED, PublishOutcome.REJECTED}
    winner = ("ana", "bea")[results.index(by_outcome[PublishOutcome.ACCEPTED])]
    assert f"revision 0 by {winner}" in by_outcome[PublishOutcome.REJECTED].detail


def test_lost_response_is_looked_up_and_never_appended_again() -> None:
    """The log appends the record, and the connection breaks before its response."""

    async def scenario(stand_in: StandInLog, log: HttpLog) -> tuple[PublishResult, int]:
        stand_in.lose_answers = 1
        return await publish(log, "asesor"), len(stand_in.appends)

    result, appends = with_log(scenario)
    assert result.outcome is PublishOutcome.ACCEPTED
    assert appends == 1


def test_outcome_is_resumed_after_the_log_fails_following_an_append() -> None:
    """The response is lost and the log stays down; the outcome is looked up by id later."""

    async def scenario(
        stand_in: StandInLog, log: HttpLog
    ) -> tuple[PublishResult, PublishResult, int]:
        stand_in.lose_answers = 1
        task = asyncio.ensure_future(publish(log, "asesor", base=-1))
        while not stand_in.appends:
            await asyncio.sleep(0)
        stand_in.down = True
        unknown = await task
        stand_in.down = False
        resumed = await Publisher(log, timeout_s=TIMEOUT_S).resume(unknown.publication_id)
        return unknown, resumed, len(stand_in.appends)

    unknown, resumed, appends = with_log(scenario)
    assert unknown.outcome is PublishOutcome.UNKNOWN
    assert resumed.outcome is PublishOutcome.ACCEPTED
    assert appends == 1


@pytest.mark.parametrize("fault", ["down", "over its rate"])
def test_append_refused_by_the_log_is_not_reported_as_unknown(fault: str) -> None:
    """The log is down, or over its rate limit, before anything was appended."""

    async def scenario(stand_in: StandInLog, log: HttpLog) -> tuple[PublishResult, int]:
        stand_in.down = fault == "down"
        stand_in.appends_per_s = 0
        return await publish(log, "asesor"), len(stand_in.appends)

    result, appends = with_log(scenario)
    assert result.outcome is PublishOutcome.REJECTED
    assert "nothing was appended" in result.detail
    assert appends == 0


def test_invalid_text_is_never_appended() -> None:
    async def scenario(stand_in: StandInLog, log: HttpLog) -> int:
        with pytest.raises(DocumentError):
            await Publisher(log, timeout_s=TIMEOUT_S).publish("{}", "ana", None)
        return len(stand_in.appends)

    assert with_log(scenario) == 0


async def _trim_log(stand_in: StandInLog, log: HttpLog) -> None:
    """Trim the first records of the log, with revision 0 in force."""
    for number in range(2):
        publication = Publication(f"p{number}", -1, text_of("asesor"), "ana")
        await log.append("config", publication_payload(publication))
    stand_in.retention_s = 0.0
    await log.read("config", 0, 0.0)
    stand_in.retention_s = 3600.0


def test_publish_to_a_trimmed_log_without_restatement_requires_a_base() -> None:
    """All nodes were down longer than the retention; the base must be passed explicitly."""

    async def scenario(stand_in: StandInLog, log: HttpLog) -> list[PublishResult]:
        await _trim_log(stand_in, log)
        return [await publish(log, "cotizador"), await publish(log, "cotizador", ANY_REVISION)]

    without_base, forced = with_log(scenario)
    assert without_base.outcome is PublishOutcome.REJECTED
    assert "--base" in without_base.detail
    assert (forced.outcome, forced.revision) == (PublishOutcome.ACCEPTED, 2)


def test_publish_to_a_trimmed_log_with_a_restatement_is_accepted() -> None:
    async def scenario(stand_in: StandInLog, log: HttpLog) -> PublishResult:
        await _trim_log(stand_in, log)
        restatement = Restatement(0, 1, text_of("asesor"), "ana")
        await log.append("config", restatement_payload(restatement))
        return await publish(log, "cotizador")

    result = with_log(scenario)
    assert (result.outcome, result.revision) == (PublishOutcome.ACCEPTED, 3)
