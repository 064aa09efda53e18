"""Publishing: one append, and an outcome that is true, whatever happens to the answer."""

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


def with_log(work: Callable[[StandInLog, HttpLog], Awaitable[T]]) -> T:
    async def run() -> T:
        stand_in = StandInLog()
        await stand_in.start()
        try:
            async with aiohttp.ClientSession() as session:
                return await work(stand_in, HttpLog(session, stand_in.url, timeout_s=0.5))
        finally:
            await stand_in.stop()

    return asyncio.run(run())


async def publish(log: HttpLog, service: str, base: int | None = None) -> PublishResult:
    return await Publisher(log, timeout_s=TIMEOUT_S).publish(text_of(service), service, base)


def test_the_first_publication_is_accepted_and_the_next_replaces_it() -> None:
    async def work(_stand_in: StandInLog, log: HttpLog) -> list[PublishResult]:
        return [await publish(log, "asesor"), await publish(log, "cotizador")]

    first, second = with_log(work)
    assert (first.outcome, first.revision) == (PublishOutcome.ACCEPTED, 0)
    assert (second.outcome, second.revision) == (PublishOutcome.ACCEPTED, 1)


def test_of_two_operators_at_once_the_loser_is_told_by_whose_revision() -> None:
    """Both made their text from the same revision; the second would undo the first unseen."""

    async def work(_stand_in: StandInLog, log: HttpLog) -> list[PublishResult]:
        return await asyncio.gather(publish(log, "ana", base=-1), publish(log, "bea", base=-1))

    results = with_log(work)
    by_outcome = {result.outcome: result for result in results}
    assert set(by_outcome) == {PublishOutcome.ACCEPTED, PublishOutcome.REJECTED}
    winner = ("ana", "bea")[results.index(by_outcome[PublishOutcome.ACCEPTED])]
    assert f"revision 0 by {winner}" in by_outcome[PublishOutcome.REJECTED].detail


def test_a_lost_answer_is_looked_up_and_never_appended_again() -> None:
    """The log takes the record and the connection breaks before its answer."""

    async def work(stand_in: StandInLog, log: HttpLog) -> tuple[PublishResult, int]:
        stand_in.lose_answers = 1
        return await publish(log, "asesor"), len(stand_in.appends)

    result, appends = with_log(work)
    assert result.outcome is PublishOutcome.ACCEPTED
    assert appends == 1


def test_a_log_that_goes_down_after_the_append_leaves_an_outcome_to_resume() -> None:
    """The answer is lost and the log stays out; later the same id tells what became of it."""

    async def work(stand_in: StandInLog, log: HttpLog) -> tuple[PublishResult, PublishResult, int]:
        stand_in.lose_answers = 1
        task = asyncio.ensure_future(publish(log, "asesor", base=-1))
        while not stand_in.appends:
            await asyncio.sleep(0)
        stand_in.down = True
        unknown = await task
        stand_in.down = False
        resumed = await Publisher(log, timeout_s=TIMEOUT_S).resume(unknown.publication_id)
        return unknown, resumed, len(stand_in.appends)

    unknown, resumed, appends = with_log(work)
    assert unknown.outcome is PublishOutcome.UNKNOWN
    assert resumed.outcome is PublishOutcome.ACCEPTED
    assert appends == 1


@pytest.mark.parametrize("fault", ["down", "over its rate"])
def test_what_the_log_refused_is_not_called_unknown(fault: str) -> None:
    """The log is out, or over its rate, before anything was appended."""

    async def work(stand_in: StandInLog, log: HttpLog) -> tuple[PublishResult, int]:
        stand_in.down = fault == "down"
        stand_in.appends_per_s = 0
        return await publish(log, "asesor"), len(stand_in.appends)

    result, appends = with_log(work)
    assert result.outcome is PublishOutcome.REJECTED
    assert "nothing was appended" in result.detail
    assert appends == 0


def test_a_text_with_faults_is_never_appended() -> None:
    async def work(stand_in: StandInLog, log: HttpLog) -> int:
        with pytest.raises(DocumentError):
            await Publisher(log, timeout_s=TIMEOUT_S).publish("{}", "ana", None)
        return len(stand_in.appends)

    assert with_log(work) == 0


async def _trimmed(stand_in: StandInLog, log: HttpLog) -> None:
    """Leave a log whose first records are gone, with revision 0 in force."""
    for number in range(2):
        made = Publication(f"p{number}", -1, text_of("asesor"), "ana")
        await log.append("config", publication_payload(made))
    stand_in.retention_s = 0.0
    await log.read("config", 0, 0.0)
    stand_in.retention_s = 3600.0


def test_a_trimmed_log_without_a_restatement_asks_for_the_base() -> None:
    """All nodes are gone for longer than the retention; the way out is named, not guessed."""

    async def work(stand_in: StandInLog, log: HttpLog) -> list[PublishResult]:
        await _trimmed(stand_in, log)
        return [await publish(log, "cotizador"), await publish(log, "cotizador", ANY_REVISION)]

    asked, forced = with_log(work)
    assert asked.outcome is PublishOutcome.REJECTED
    assert "--base" in asked.detail
    assert (forced.outcome, forced.revision) == (PublishOutcome.ACCEPTED, 2)


def test_a_trimmed_log_with_a_restatement_is_published_to_as_usual() -> None:
    async def work(stand_in: StandInLog, log: HttpLog) -> PublishResult:
        await _trimmed(stand_in, log)
        stated = Restatement(0, 1, text_of("asesor"), "ana")
        await log.append("config", restatement_payload(stated))
        return await publish(log, "cotizador")

    result = with_log(work)
    assert (result.outcome, result.revision) == (PublishOutcome.ACCEPTED, 3)
