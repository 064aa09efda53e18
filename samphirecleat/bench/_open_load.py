"""An open load of streamed calls on the nodes of a fleet, and what their callers saw."""

import asyncio
import json
import random
from collections.abc import Callable, Sequence
from typing import Any, Final, NamedTuple

import aiohttp

from ..errors import Ran, RequestError
from ..trial import percentile

NO_ANSWER_S: Final = -1.0


class LoadCall(NamedTuple):
    """One call that a load sends; ``at_s`` counts from the start of the load."""

    at_s: float
    service: str
    method: str
    prompt: str
    max_tokens: int
    priority: int
    deadline_s: float


class LoadOutcome(NamedTuple):
    """How one call ended. Times count from its sending; -1 stands for never."""

    call: LoadCall
    first_line_s: float
    whole_s: float
    ran: str

    @property
    def whole(self) -> bool:
        """Whether the caller got its whole answer."""
        return self.whole_s >= 0.0

    @property
    def refused(self) -> bool:
        """Whether it was answered as not run."""
        return not self.whole and self.ran == Ran.NO.value


async def send_load(
    addresses: Sequence[str],
    calls: Sequence[LoadCall],
    rng: random.Random,
    at_time: Callable[[float], None] | None = None,
) -> Sequence[LoadOutcome]:
    """Send each call at its time to a node drawn at random; return all outcomes.

    ``at_time`` is told the load's time before each call, to switch faults by it.
    """
    loop = asyncio.get_running_loop()
    started_at_s = loop.time()
    tasks: list[asyncio.Task[LoadOutcome]] = []
    async with aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)) as session:
        for call in calls:
            delay_s = started_at_s + call.at_s - loop.time()
            if delay_s > 0.0:
                await asyncio.sleep(delay_s)
            if at_time is not None:
                at_time(call.at_s)
            tasks.append(loop.create_task(_send(session, rng.choice(addresses), call)))
        return await asyncio.gather(*tasks)


async def _send(session: aiohttp.ClientSession, address: str, call: LoadCall) -> LoadOutcome:
    loop = asyncio.get_running_loop()
    started_at_s = loop.time()
    url = f"http://{address}/v1/services/{call.service}/{call.method}"
    headers = {
        "x-deadline-ms": f"{call.deadline_s * 1000:.0f}",
        "x-priority": str(call.priority),
    }
    body = {"prompt": call.prompt, "max_tokens": call.max_tokens, "stream": True}
    timeout = aiohttp.ClientTimeout(total=call.deadline_s + 1.0)
    first_line_s = NO_ANSWER_S
    try:
        async with session.post(url, json=body, headers=headers, timeout=timeout) as response:
            if response.status != 200:
                error = RequestError.from_body((await response.json())["error"])
                return LoadOutcome(call, NO_ANSWER_S, NO_ANSWER_S, error.ran.value)
            async for raw in response.content:
                if first_line_s < 0.0:
                    first_line_s = loop.time() - started_at_s
                line: dict[str, Any] = json.loads(raw)
                if "end" in line:
                    whole_s = loop.time() - started_at_s
                    return LoadOutcome(call, first_line_s, whole_s, Ran.YES.value)
    except (aiohttp.ClientError, TimeoutError, OSError, ValueError, KeyError):
        pass
    return LoadOutcome(call, first_line_s, NO_ANSWER_S, Ran.UNKNOWN.value)


def poisson_times(rate_per_s: Callable[[float], float], end_s: float, seed: int) -> Sequence[float]:
    """Return arrival times of a Poisson process whose rate may change over time.

    The rate is taken at each arrival, which is near enough while it changes little
    between two of them.
    """
    rng = random.Random(seed)
    times: list[float] = []
    now_s = 0.0
    while True:
        now_s += rng.expovariate(max(1e-6, rate_per_s(now_s)))
        if now_s >= end_s:
            return times
        times.append(now_s)


def milliseconds(outcomes: Sequence[LoadOutcome], percent: float, *, first: bool = False) -> float:
    """Return a percentile of the time to the whole answer, or to its first line."""
    answered = [outcome for outcome in outcomes if outcome.whole]
    values = [o.first_line_s if first else o.whole_s for o in answered]
    return 1000.0 * percentile(values, percent)
