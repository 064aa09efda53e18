"""Open-loop load of streamed calls on the nodes of a fleet, with the outcome of each call."""

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
    """One call of a load; ``at_s`` is its send time in seconds from the start of the load."""

    at_s: float
    service: str
    method: str
    prompt: str
    max_tokens: int
    priority: int
    deadline_s: float


class LoadOutcome(NamedTuple):
    """The outcome of one call. Times are in seconds from its send; ``NO_ANSWER_S`` means never."""

    call: LoadCall
    first_line_s: float
    completed_s: float
    ran: str

    @property
    def completed(self) -> bool:
        """Whether the caller received the complete answer."""
        return self.completed_s >= 0.0

    @property
    def refused(self) -> bool:
        """Whether the error said that the call was not run."""
        return not self.completed and self.ran == Ran.NO.value


async def send_load(
    addresses: Sequence[str],
    calls: Sequence[LoadCall],
    rng: random.Random,
    on_time: Callable[[float], None] | None = None,
) -> Sequence[LoadOutcome]:
    """Send each call at its time to a random node; return all outcomes in order of ``calls``.

    ``on_time`` is called with the load's time before each call, to switch faults on and off.
    """
    loop = asyncio.get_running_loop()
    started_at_s = loop.time()
    tasks: list[asyncio.Task[LoadOutcome]] = []
    async with aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)) as session:
        for call in calls:
            delay_s = started_at_s + call.at_s - loop.time()
            if delay_s > 0.0:
                await asyncio.sleep(delay_s)
            if on_time is not None:
                on_time(call.at_s)
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
                    completed_s = loop.time() - started_at_s
                    return LoadOutcome(call, first_line_s, completed_s, Ran.YES.value)
    except (aiohttp.ClientError, TimeoutError, OSError, ValueError, KeyError):
        pass
    return LoadOutcome(call, first_line_s, NO_ANSWER_S, Ran.UNKNOWN.value)


def poisson_times(rate_per_s: Callable[[float], float], end_s: float, seed: int) -> Sequence[float]:
    """Return arrival times of a Poisson process whose rate may change over time.

    The rate is evaluated at each arrival, which is accurate enough while it changes little
    between two arrivals.
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
    """Return a percentile, in ms, of the time to the complete answer or to its first line.

    Only calls with a complete answer count.
    """
    answered = [outcome for outcome in outcomes if outcome.completed]
    values = [o.first_line_s if first else o.completed_s for o in answered]
    return 1000.0 * percentile(values, percent)
