"""How long connections to targets are kept idle."""

import asyncio

import pytest

from samphirecleat.observe import Observer
from samphirecleat.platform._target_sessions import FIRST_IDLE_S, IDLE_MARGIN_S, TargetSessions
from samphirecleat.serving import Target


def target(name: str, service: str = "svc") -> Target:
    return Target(name, service, "127.0.0.1:1", "z", 4, False)


@pytest.mark.parametrize(
    ("other", "service", "want_s"),
    [("t1", "svc", 10.0 - IDLE_MARGIN_S), ("t2", "svc", 10.0 - IDLE_MARGIN_S),
     ("t3", "another", FIRST_IDLE_S)],
    ids=["the same target", "one of its service", "one of another service"],
)  # fmt: skip
def test_what_one_target_says_of_idle_connections_holds_for_its_service(
    other: str, service: str, want_s: float
) -> None:
    """Calls go to all targets of a service before the first one answers.

    Only that one's connections would be kept as long as the service allows. Those of the others
    are closed after the first guess, between two bursts of calls, and opened again for each.
    """

    async def body() -> None:
        sessions = TargetSessions(Observer("n1"))
        opened = sessions.get(target(other, service))
        sessions.get(target("t1"))
        sessions.learn_idle(target("t1"), "timeout=10")
        assert opened.connector is not None
        assert opened.connector._keepalive_timeout == pytest.approx(want_s)
        assert sessions.idle_timeout_s(service) == pytest.approx(want_s)
        await sessions.close()

    asyncio.run(body())


def test_a_target_seen_later_keeps_what_was_learned() -> None:
    async def body() -> None:
        sessions = TargetSessions(Observer("n1"))
        sessions.learn_idle(target("t1"), "max=5, timeout=10")
        opened = sessions.get(target("t9"))
        assert opened.connector is not None
        assert opened.connector._keepalive_timeout == pytest.approx(10.0 - IDLE_MARGIN_S)
        await sessions.close()

    asyncio.run(body())
