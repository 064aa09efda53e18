"""Tests of the step runner on a scripted dispatcher: copies, staleness, back-off and limits."""

import asyncio
import random
from collections import Counter
from collections.abc import Awaitable, Callable

import pytest

from samphirecleat.blackboard import Blackboard, Identity, TargetView
from samphirecleat.config import ConfigState, Service, ServiceKind, ServiceText, Trainer
from samphirecleat.controllers.steps import _step_registry as step_registry
from samphirecleat.controllers.steps._step_registry import StepRegistry
from samphirecleat.controllers.steps._step_runner import StepRunner
from samphirecleat.errors import ErrorKind, RequestError
from samphirecleat.observe import Observer
from samphirecleat.requests import AnswerLog, Call, Span
from samphirecleat.steps import Pull, PullReply, StepSpec

TOKENS = 5
CallHandler = Callable[[Call, AnswerLog], Awaitable[None]]


class ScriptedDispatcher:
    """Replaces the dispatcher; runs each call with the test's ``call_handler``."""

    def __init__(self, board: Blackboard) -> None:
        self.board = board
        self.call_handler: CallHandler = self.generate
        self.calls: list[Call] = []
        self.cancelled: list[Call] = []

    async def run(self, call: Call, answer: AnswerLog) -> None:
        self.calls.append(call)
        try:
            if call.method == "score":
                await self.score(call, answer)
            else:
                usable = [a for a in self.board.targets if a not in call.excluded_targets]
                answer.target = usable[0]
                await self.call_handler(call, answer)
            answer.close()
        except RequestError as error:
            answer.close(error)
        except asyncio.CancelledError:
            self.cancelled.append(call)
            raise

    async def generate(self, call: Call, answer: AnswerLog) -> None:
        version = self.board.targets[answer.target].version
        for _token in range(TOKENS):
            await asyncio.sleep(0.002)
            answer.add({"text": "t", "spans": [Span(version, 1)]})
        answer.add({"end": "stop", "run_id": call.request_id, "target": answer.target})

    async def score(self, _call: Call, answer: AnswerLog) -> None:
        answer.add({"result": {"score": 0.5}, "end": "stop"})

    @property
    def generations(self) -> list[Call]:
        return [call for call in self.calls if call.method == "generate"]


class FixedLimiter:
    """Replaces the limiter; allows ``free_slots`` runs at a time."""

    def __init__(self, running_count: Callable[[], int], free_slots: int) -> None:
        self.free_slots = free_slots
        self._running_count = running_count

    def free_trainer_slots(self, _service: str) -> int:
        return self.free_slots - self._running_count()


class RunnerFixture:
    """A runner with two engines, a scoring service and two configured trainers."""

    def __init__(self, free_slots: int = 64) -> None:
        self.board = Blackboard(Identity("n", "i", "z", "", ""))
        engine = Service("asesor", ServiceKind.ENGINE, (), (), {}, 8, True, True, 1, 0.5, 0.5, 0.7)
        services = {"asesor": engine, "scoring": engine._replace(name="scoring")}
        trainers = {"a": Trainer("a", "asesor", 3.0), "b": Trainer("b", "asesor", 1.0)}
        self.board.config = ConfigState()._replace(services=ServiceText(services, trainers))
        self.dispatcher = ScriptedDispatcher(self.board)
        for name in ("engine-1", "engine-2"):
            self.set_version(name, 0)
        self.registry = StepRegistry(self.board, Observer("n"))
        self.runner = StepRunner(
            self.board,
            self.registry,
            self.dispatcher,
            FixedLimiter(lambda: self.runner.running, free_slots),
            Observer("n"),
            random.Random(1),
        )

    def set_version(self, name: str, version: int) -> None:
        self.board.targets[name] = TargetView(
            name, "asesor", "z", name, version, slots=64, reachable=True
        )

    def spec(
        self, size: int, trainer: str = "a", step_id: str = "s", **changes: object
    ) -> StepSpec:
        prompts = tuple(f"p{number}" for number in range(size))
        return StepSpec(trainer, step_id, "asesor", prompts, 1, TOKENS, 1, "")._replace(**changes)

    async def pull(
        self, spec: StepSpec, number: int, version: int = 0, held: frozenset[int] = frozenset()
    ) -> PullReply:
        pull = Pull(number, version, held, 5.0, 512, "client")
        return await self.registry.pull(spec.trainer, spec.step_id, pull)

    async def pull_whole_step(self, spec: StepSpec, version: int = 0) -> dict[int, str]:
        """Pull until all samples are received; assert that each position comes once."""
        received: dict[int, str] = {}
        number = 0
        while len(received) < spec.size:
            number += 1
            assert number < 200
            reply = await self.pull(spec, number, version, frozenset(received))
            for sample in reply.samples:
                assert sample.position not in received
                received[sample.position] = sample.request_id
        return received

    async def wait_until(self, condition: Callable[[], bool]) -> None:
        timeout_at_s = asyncio.get_running_loop().time() + 10.0
        while not condition():
            assert asyncio.get_running_loop().time() < timeout_at_s
            await asyncio.sleep(0.005)


def run_scenario(
    scenario: Callable[[RunnerFixture], Awaitable[None]], free_slots: int = 64
) -> None:
    async def run() -> None:
        fixture = RunnerFixture(free_slots)
        task = asyncio.ensure_future(fixture.runner.drive())
        try:
            await asyncio.wait_for(scenario(fixture), 30.0)
        finally:
            task.cancel()
            await fixture.runner.close()

    asyncio.run(run())


def test_straggler_gets_copy_on_another_target_and_slower_run_is_cancelled() -> None:
    """Guards against a step that waits for an engine which hangs with one sample.

    Without a copy the trainer would wait for the whole timeout of that call.
    """

    async def scenario(fixture: RunnerFixture) -> None:
        spec = fixture.spec(16)
        fixture.registry.submit(spec, frozenset())

        async def hang_once(call: Call, answer: AnswerLog) -> None:
            if "/7/" in call.request_id and len(hung_calls) < 1:
                hung_calls.append(call)
                answer.add({"text": "t", "spans": [Span(0, 1)]})
                await asyncio.Event().wait()
            await fixture.dispatcher.generate(call, answer)

        hung_calls: list[Call] = []
        fixture.dispatcher.call_handler = hang_once
        received = await fixture.pull_whole_step(spec)
        assert received[7] != hung_calls[0].request_id
        await fixture.wait_until(lambda: fixture.dispatcher.cancelled == hung_calls)
        copies = [call for call in fixture.dispatcher.generations if "/7/" in call.request_id]
        assert [sorted(call.excluded_targets) for call in copies] == [[], ["engine-1"]]
        assert fixture.registry.steps["a", "s"].wasted_tokens == 1

    run_scenario(scenario)


def test_runs_past_staleness_bound_are_cancelled_and_restarted() -> None:
    """Guards against a step that stalls when weights change twice during a generation.

    If it were not cancelled, the run would end in a sample that is dropped at the pull.
    """

    async def scenario(fixture: RunnerFixture) -> None:
        spec = fixture.spec(1)
        fixture.registry.submit(spec, frozenset(), version=0)

        async def slow_under_old_weights(call: Call, answer: AnswerLog) -> None:
            if fixture.board.targets[answer.target].version == 0:
                answer.add({"text": "t", "spans": [Span(0, 1)]})
                await asyncio.Event().wait()
            await fixture.dispatcher.generate(call, answer)

        fixture.dispatcher.call_handler = slow_under_old_weights
        await fixture.wait_until(lambda: len(fixture.dispatcher.generations) == 1)
        for name in fixture.board.targets:
            fixture.set_version(name, 2)
        fixture.registry.submit(spec, frozenset(), version=2)
        await fixture.pull_whole_step(spec, version=2)
        assert len(fixture.dispatcher.cancelled) == 1

    run_scenario(scenario)


def test_runs_are_not_started_on_stale_engines() -> None:
    """Guards against runs on an engine that kept old weights, as after a failed swap."""

    async def scenario(fixture: RunnerFixture) -> None:
        fixture.set_version("engine-2", 4)
        spec = fixture.spec(8)
        fixture.registry.submit(spec, frozenset(), version=4)
        await fixture.pull_whole_step(spec, version=4)
        assert all(call.excluded_targets == {"engine-1"} for call in fixture.dispatcher.generations)

    run_scenario(scenario)


def test_runs_pause_for_retry_after_of_overloaded_service() -> None:
    """Guards against immediate retries for hundreds of samples at peak load.

    Callers hold all slots, and the retries would slow the service further.
    """

    async def scenario(fixture: RunnerFixture) -> None:
        spec = fixture.spec(40)
        started_at_s = []

        async def refuse_first(call: Call, answer: AnswerLog) -> None:
            started_at_s.append(asyncio.get_running_loop().time())
            if len(started_at_s) <= 4:
                raise RequestError(ErrorKind.OVERLOADED, "full", retry_after_s=0.4)
            await fixture.dispatcher.generate(call, answer)

        fixture.dispatcher.call_handler = refuse_first
        fixture.registry.submit(spec, frozenset())
        await fixture.pull_whole_step(spec)
        assert started_at_s[4] - started_at_s[3] >= 0.2

    run_scenario(scenario, free_slots=4)


def test_failed_score_is_retried_with_same_text() -> None:
    """Guards against a new generation when the scoring service fails briefly.

    That would cost a whole sample and delay the step.
    """

    async def scenario(fixture: RunnerFixture) -> None:
        spec = fixture.spec(1, scoring="scoring")
        failures = [ErrorKind.OVERLOADED, ErrorKind.TARGET_FAILED]
        score = fixture.dispatcher.score

        async def fail_first(call: Call, answer: AnswerLog) -> None:
            if failures:
                raise RequestError(failures.pop(), "down")
            await score(call, answer)

        fixture.dispatcher.score = fail_first
        fixture.registry.submit(spec, frozenset())
        await fixture.pull_whole_step(spec)
        assert Counter(call.method for call in fixture.dispatcher.calls) == {
            "generate": 1,
            "score": 3,
        }

    run_scenario(scenario)


def test_trainers_use_a_service_in_proportion_to_their_shares() -> None:
    """Guards against the first of two trainers with long steps taking all slots."""

    async def scenario(fixture: RunnerFixture) -> None:
        for trainer in ("a", "b"):
            fixture.registry.submit(fixture.spec(60, trainer), frozenset())
        await fixture.wait_until(lambda: len(fixture.dispatcher.generations) >= 48)
        counts = Counter(call.request_id[0] for call in fixture.dispatcher.generations[:48])
        assert 2.0 <= counts["a"] / counts["b"] <= 4.0

    run_scenario(scenario, free_slots=4)


def test_leaving_node_starts_no_runs_and_delivers_those_in_flight() -> None:
    """Guards against lost samples when a node drains in the middle of a step.

    Its runs in flight must reach the trainer; the other samples are produced on another
    node.
    """

    async def scenario(fixture: RunnerFixture) -> None:
        spec = fixture.spec(6)
        fixture.registry.submit(spec, frozenset())
        await fixture.wait_until(lambda: len(fixture.dispatcher.generations) == 2)
        fixture.board.leaving = True
        received: set[int] = set()
        for number in range(1, 20):
            reply = await fixture.pull(spec, number, held=frozenset(received))
            received |= {sample.position for sample in reply.samples}
            if reply.leaving:
                break
        assert reply.leaving
        assert len(received) == 2
        fixture.runner.run_pass(asyncio.get_running_loop().time())
        await asyncio.sleep(0.01)
        assert len(fixture.dispatcher.generations) == 2

    run_scenario(scenario, free_slots=2)


def test_submission_beyond_sample_limit_is_refused(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against unbounded memory use when trainers submit steps and never pull.

    The node would run out of memory and lose all its steps.
    """
    monkeypatch.setattr(step_registry, "MAX_SAMPLES", 20)

    async def scenario(fixture: RunnerFixture) -> None:
        fixture.registry.submit(fixture.spec(15), frozenset())
        fixture.registry.submit(fixture.spec(15), frozenset())
        with pytest.raises(RequestError) as refused:
            fixture.registry.submit(fixture.spec(6, step_id="s2"), frozenset())
        assert refused.value.kind is ErrorKind.OVERLOADED
        assert refused.value.retry_after_s > 0

    run_scenario(scenario)


@pytest.mark.parametrize(
    ("changes", "kind"),
    [
        ({"max_tokens": 9}, ErrorKind.STEP_CONFLICT),
        ({"service": "gone", "step_id": "s2"}, ErrorKind.UNKNOWN_SERVICE),
    ],
)
def test_invalid_submission_is_refused_with_its_error_kind(
    changes: dict[str, object], kind: ErrorKind
) -> None:
    async def scenario(fixture: RunnerFixture) -> None:
        fixture.registry.submit(fixture.spec(2), frozenset())
        with pytest.raises(RequestError) as refused:
            fixture.registry.submit(fixture.spec(2, **changes), frozenset())
        assert refused.value.kind is kind

    run_scenario(scenario)


def test_completed_step_is_evicted_and_next_pull_reports_unknown_step(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(step_registry, "EVICT_DONE_AFTER_S", 0.05)

    async def scenario(fixture: RunnerFixture) -> None:
        spec = fixture.spec(2)
        fixture.registry.submit(spec, frozenset())
        await fixture.pull_whole_step(spec)
        await fixture.pull(spec, 100, held=frozenset({0, 1}))
        await fixture.wait_until(lambda: not fixture.registry.steps)
        with pytest.raises(RequestError) as unknown:
            await fixture.pull(spec, 101)
        assert unknown.value.kind is ErrorKind.UNKNOWN_STEP

    run_scenario(scenario)


def test_report_holds_idle_time_and_staleness_of_trainers() -> None:
    async def scenario(fixture: RunnerFixture) -> None:
        spec = fixture.spec(4)
        fixture.registry.submit(spec, frozenset(), version=1)
        await fixture.pull_whole_step(spec, version=1)
        report = fixture.registry.trainers_report(asyncio.get_running_loop().time())
        assert report["a"]["staleness_versions"] == {"1": 4}
        assert report["a"]["idle_s"] > 0
        assert report["a"]["samples_sent"] == 4

    run_scenario(scenario)


def test_cancellation_concurrent_with_event_is_not_lost() -> None:
    """Guards against a node that never stops because a sample ended at the same moment.

    Its host could then not be replaced.
    """

    async def scenario() -> None:
        event = asyncio.Event()

        async def loop_for_ever() -> None:
            while True:
                await step_registry.wait_for_event(event, 5.0)
                event.clear()

        task = asyncio.ensure_future(loop_for_ever())
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        event.set()
        await asyncio.sleep(0)
        task.cancel()
        done, _pending = await asyncio.wait({task}, timeout=2.0)
        assert done == {task}

    asyncio.run(scenario())
