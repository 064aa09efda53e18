"""The HTTP client of every kind of target."""

import json
from collections.abc import AsyncIterator, Mapping
from typing import Any, Final

import aiohttp

from ..blackboard import TargetView
from ..config import Service, ServiceKind
from ..requests import AnswerLine, Call, Span
from ._errors import Failed, Lost, NotSent, Refused, TargetError
from ._orders import OrderFenced, OrderOutcome, OrderRefused, OrderTaken, OrderUnknown

HTTP_OK: Final = 200
HTTP_FENCED: Final = 409


class TargetClient:
    """Calls targets; one session is shared with the rest of the process."""

    def __init__(
        self,
        session: aiohttp.ClientSession,
        *,
        progress_timeout_s: float,
        connect_timeout_s: float,
        probe_timeout_s: float,
    ) -> None:
        """Take a target as silent after ``progress_timeout_s`` without a byte."""
        self._session = session
        self._progress_timeout_s = progress_timeout_s
        self._connect_timeout_s = connect_timeout_s
        self._probe_timeout_s = probe_timeout_s

    async def run(
        self, service: Service, target: TargetView, call: Call, now_s: float
    ) -> AsyncIterator[AnswerLine]:
        """Run a call on a target and yield the lines of its answer.

        :raises TargetError: with what is known of the run.
        """
        timeout = aiohttp.ClientTimeout(
            total=max(0.01, call.deadline_at_s - now_s),
            sock_connect=self._connect_timeout_s,
            sock_read=self._progress_timeout_s,
        )
        match service.kind:
            case ServiceKind.ENGINE:
                lines = self._generate(target, call, timeout)
            case ServiceKind.PLAIN | ServiceKind.SCORING:
                lines = self._call_plain(service, target, call, timeout)
        try:
            async for line in lines:
                yield line
        except aiohttp.ClientConnectorError as error:
            raise TargetError(NotSent(str(error))) from error
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            # The request may have left before the connection failed.
            raise TargetError(Lost(str(error) or type(error).__name__)) from error
        except (ValueError, KeyError) as error:
            raise TargetError(Lost(f"the answer is not understood: {error!r}")) from error

    async def _generate(
        self, target: TargetView, call: Call, timeout: aiohttp.ClientTimeout
    ) -> AsyncIterator[AnswerLine]:
        body = {
            "request_id": call.request_id,
            "prompt": str(call.body.get("prompt", "")),
            "max_tokens": int(call.body.get("max_tokens", 16)),
            "priority": call.priority,
        }
        url = f"http://{target.address}/v1/generate"
        headers = _trace_headers(call)
        async with self._session.post(url, json=body, timeout=timeout, headers=headers) as response:
            if response.status != 200:
                # An engine refuses before it starts: it answers 200 first otherwise.
                raise TargetError(Refused(f"HTTP {response.status}", not_run=True))
            run_id = ""
            tokens = 0
            async for raw in response.content:
                line = json.loads(raw)
                if "run_id" in line:
                    run_id = str(line["run_id"])
                elif "end" in line:
                    if int(line["tokens"]) != tokens:
                        raise TargetError(Lost("tokens are missing from the stream"))
                    yield {"end": str(line["end"]), "run_id": run_id, "target": target.address}
                    return
                else:
                    count = int(line["tokens"])
                    tokens += count
                    yield {"text": str(line["text"]), "spans": [Span(int(line["version"]), count)]}
            raise TargetError(Lost("the stream ended before its last line"))

    async def _call_plain(
        self, service: Service, target: TargetView, call: Call, timeout: aiohttp.ClientTimeout
    ) -> AsyncIterator[AnswerLine]:
        method = "score" if service.kind is ServiceKind.SCORING else call.method
        url = f"http://{target.address}/v1/call/{method}"
        headers = {"x-request-id": call.request_id, **_trace_headers(call)}
        async with self._session.post(
            url, json=dict(call.body), timeout=timeout, headers=headers
        ) as response:
            if response.status in (429, 503):
                raise TargetError(
                    Refused(f"HTTP {response.status}", not_run=service.refusal_is_not_run)
                )
            if response.status != 200:
                raise TargetError(Failed(f"HTTP {response.status}"))
            result = await response.json()
            yield {"result": result, "end": "stop", "target": target.address}

    async def cancel(self, target: TargetView, request_id: str) -> None:
        """Ask an engine to stop a run; its failure only costs tokens."""
        timeout = aiohttp.ClientTimeout(total=self._probe_timeout_s)
        url = f"http://{target.address}/v1/cancel"
        try:
            async with self._session.post(
                url, json={"request_id": request_id}, timeout=timeout
            ) as response:
                await response.read()
        except (aiohttp.ClientError, TimeoutError, OSError):
            return

    async def report(self, target: TargetView, now_s: float) -> TargetView:
        """Return the target as it reports itself, or as unreachable."""
        timeout = aiohttp.ClientTimeout(total=self._probe_timeout_s)
        try:
            async with self._session.get(
                f"http://{target.address}/v1/load", timeout=timeout
            ) as response:
                body = await response.json()
                return target._replace(
                    instance=str(body["instance"]),
                    version=int(body["version"]),
                    loading=bool(body["loading"]),
                    leaving=bool(body["leaving"]),
                    running=int(body["running"]),
                    waiting=int(body["waiting"]),
                    slots=int(body["slots"]),
                    reported_at_s=now_s - float(body["age_s"]),
                    reachable=True,
                )
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError, KeyError):
            return target._replace(reachable=False)

    async def order_version(self, target: TargetView, version: int, fencing: int) -> OrderOutcome:
        """Order an engine to load a version.

        Only a later :meth:`report` tells whether the version is live.
        """
        timeout = aiohttp.ClientTimeout(total=self._probe_timeout_s)
        body: Mapping[str, Any] = {"kind": "load_version", "version": version, "fencing": fencing}
        try:
            async with self._session.post(
                f"http://{target.address}/v1/orders", json=body, timeout=timeout
            ) as response:
                if response.status == HTTP_FENCED:
                    return OrderFenced()
                if response.status != HTTP_OK:
                    return OrderRefused(f"HTTP {response.status}")
                await response.read()
                return OrderTaken()
        except aiohttp.ClientConnectorError as error:
            return OrderRefused(str(error))
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return OrderUnknown(str(error) or type(error).__name__)


def _trace_headers(call: Call) -> Mapping[str, str]:
    return {"traceparent": call.traceparent} if call.traceparent else {}
