"""Idle timeouts of connections to targets."""

import asyncio

import pytest

from samphirecleat.observe import Observer
from samphirecleat.platform._target_sessions import (
    DEFAULT_IDLE_TIMEOUT_S,
    IDLE_TIMEOUT_MARGIN_S,
    TargetSessions,
)
from samphirecleat.serving import Target


def target(name: str, service: str = "svc") -> Target:
    return Target(name, service, "127.0.0.1:1", "z", 4, False)


@pytest.mark.parametrize(
    ("other", "service", "expected_s"),
    [("t1", "svc", 10.0 - IDLE_TIMEOUT_MARGIN_S), ("t2", "svc", 10.0 - IDLE_TIMEOUT_MARGIN_S),
     ("t3", "another", DEFAULT_IDLE_TIMEOUT_S)],
    ids=["the same target", "target of its service", "target of another service"],
)  # fmt: skip
def test_the_idle_timeout_of_one_target_applies_to_its_service(
    other: str, service: str, expected_s: float
) -> None:
    """Guards against connections that are closed and reopened between two bursts of calls.

    Calls go to all targets of a service before the first one responds. If its idle timeout
    applied to its own connections only, those of the others would be closed after the default.
    """

    async def body() -> None:
        sessions = TargetSessions(Observer("n1"))
        opened = sessions.get(target(other, service))
        sessions.get(target("t1"))
        sessions.update_idle_timeout(target("t1"), "timeout=10")
        assert opened.connector is not None
        assert opened.connector._keepalive_timeout == pytest.approx(expected_s)
        assert sessions.idle_timeout_s(service) == pytest.approx(expected_s)
        await sessions.close()

    asyncio.run(body())


def test_a_new_target_uses_the_idle_timeout_of_its_service() -> None:
    async def body() -> None:
        sessions = TargetSessions(Observer("n1"))
        sessions.update_idle_timeout(target("t1"), "max=5, timeout=10")
        opened = sessions.get(target("t9"))
        assert opened.connector is not None
        assert opened.connector._keepalive_timeout == pytest.approx(10.0 - IDLE_TIMEOUT_MARGIN_S)
        await sessions.close()

    asyncio.run(body())
