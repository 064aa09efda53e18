"""The step runner on scripted targets: copies, staleness, back-off, scoring, memory."""

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
Behaviour = Callable[[Call, AnswerLog], Awaitable[None]]


class ScriptedTargets:
    """Stands where the dispatcher is: runs each call as the test's behaviour says."""

    def __init__(self, board: Blackboard) -> None:
        self.board = board
        self.behaviour: Behaviour = self.generate
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
                await self.behaviour(call, answer)
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


class FixedRoom:
    """Stands where the limiter is: ``room`` runs at a time."""

    def __init__(self, runner_calls: Callable[[], int], room: int) -> None:
        self.room = room
        self._running = runner_calls

    def free_trainer_slots(self, _service: str) -> int:
        return self.room - self._running()


class Rig:
    """A runner with two engines, a scoring service, and two trainers in the text."""

    def __init__(self, room: int = 64) -> None:
        self.board = Blackboard(Identity("n", "i", "z", "", ""))
        engine = Service("asesor", ServiceKind.ENGINE, (), (), {}, 8, True, True, 1, 0.5, 0.5, 0.7)
        services = {"asesor": engine, "scoring": engine._replace(name="scoring")}
        trainers = {"a": Trainer("a", "asesor", 3.0), "b": Trainer("b", "asesor", 1.0)}
        self.board.config = ConfigState()._replace(services=ServiceText(services, trainers))
        self.targets = ScriptedTargets(self.board)
        for name in ("engine-1", "engine-2"):
            self.set_version(name, 0)
        self.registry = StepRegistry(self.board, Observer("n"))
        self.runner = StepRunner(
            self.board,
            self.registry,
            self.targets,
            FixedRoom(lambda: self.runner.running, room),
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

    async def whole_step(self, spec: StepSpec, version: int = 0) -> dict[int, str]:
        """Pull until everything is held; each position must come once."""
        got: dict[int, str] = {}
        number = 0
        while len(got) < spec.size:
            number += 1
            assert number < 200
            reply = await self.pull(spec, number, version, frozenset(got))
            for sample in reply.samples:
                assert sample.position not in got
                got[sample.position] = sample.request_id
        return got

    async def until(self, condition: Callable[[], bool]) -> None:
        give_up_at_s = asyncio.get_running_loop().time() + 10.0
        while not condition():
            assert asyncio.get_running_loop().time() < give_up_at_s
            await asyncio.sleep(0.005)


def drive(body: Callable[[Rig], Awaitable[None]], room: int = 64) -> None:
    async def run() -> None:
        rig = Rig(room)
        task = asyncio.ensure_future(rig.runner.drive())
        try:
            await asyncio.wait_for(body(rig), 30.0)
        finally:
            task.cancel()
            await rig.runner.close()

    asyncio.run(run())


def test_a_straggler_gets_a_second_copy_elsewhere_and_the_loser_is_cancelled() -> None:
    """An engine goes silent with one sample of a step in hand.

    Without a copy the trainer waits for the whole timeout of that one call.
    """

    async def body(rig: Rig) -> None:
        spec = rig.spec(16)
        rig.registry.submit(spec, frozenset())

        async def hang_once(call: Call, answer: AnswerLog) -> None:
            if "/7/" in call.request_id and len(seen) < 1:
                seen.append(call)
                answer.add({"text": "t", "spans": [Span(0, 1)]})
                await asyncio.Event().wait()
            await rig.targets.generate(call, answer)

        seen: list[Call] = []
        rig.targets.behaviour = hang_once
        got = await rig.whole_step(spec)
        assert got[7] != seen[0].request_id
        await rig.until(lambda: rig.targets.cancelled == seen)
        copies = [call for call in rig.targets.generations if "/7/" in call.request_id]
        assert [sorted(call.excluded_targets) for call in copies] == [[], ["engine-1"]]
        assert rig.registry.steps["a", "s"].wasted_tokens == 1

    drive(body)


def test_runs_whose_oldest_span_passes_the_bound_are_cancelled_and_made_again() -> None:
    """Weights move on twice while a generation runs.

    Left alone it ends as a sample that is dropped at the pull, and the step stalls.
    """

    async def body(rig: Rig) -> None:
        spec = rig.spec(1)
        rig.registry.submit(spec, frozenset(), version=0)

        async def slow_under_old_weights(call: Call, answer: AnswerLog) -> None:
            if rig.board.targets[answer.target].version == 0:
                answer.add({"text": "t", "spans": [Span(0, 1)]})
                await asyncio.Event().wait()
            await rig.targets.generate(call, answer)

        rig.targets.behaviour = slow_under_old_weights
        await rig.until(lambda: len(rig.targets.generations) == 1)
        for name in rig.board.targets:
            rig.set_version(name, 2)
        rig.registry.submit(spec, frozenset(), version=2)
        await rig.whole_step(spec, version=2)
        assert len(rig.targets.cancelled) == 1

    drive(body)


def test_runs_are_not_started_on_engines_that_are_too_old() -> None:
    """One engine is behind, as after a failed swap; the other is up to date."""

    async def body(rig: Rig) -> None:
        rig.set_version("engine-2", 4)
        spec = rig.spec(8)
        rig.registry.submit(spec, frozenset(), version=4)
        await rig.whole_step(spec, version=4)
        assert all(call.excluded_targets == {"engine-1"} for call in rig.targets.generations)

    drive(body)


def test_a_service_without_room_is_left_alone_for_the_time_it_names() -> None:
    """The evening peak takes all slots.

    Asked again at once for each of hundreds of samples, it would only get slower.
    """

    async def body(rig: Rig) -> None:
        spec = rig.spec(40)
        started = []

        async def refuse_first(call: Call, answer: AnswerLog) -> None:
            started.append(asyncio.get_running_loop().time())
            if len(started) <= 4:
                raise RequestError(ErrorKind.OVERLOADED, "full", retry_after_s=0.4)
            await rig.targets.generate(call, answer)

        rig.targets.behaviour = refuse_first
        rig.registry.submit(spec, frozenset())
        await rig.whole_step(spec)
        assert started[4] - started[3] >= 0.2

    drive(body, room=4)


def test_a_score_that_fails_is_asked_for_again_with_the_same_text() -> None:
    """The scoring service is down for a moment.

    Generating anew for it would cost a whole sample, and the step its time.
    """

    async def body(rig: Rig) -> None:
        spec = rig.spec(1, scoring="scoring")
        failures = [ErrorKind.OVERLOADED, ErrorKind.TARGET_FAILED]
        score = rig.targets.score

        async def fail_first(call: Call, answer: AnswerLog) -> None:
            if failures:
                raise RequestError(failures.pop(), "down")
            await score(call, answer)

        rig.targets.score = fail_first
        rig.registry.submit(spec, frozenset())
        await rig.whole_step(spec)
        assert Counter(call.method for call in rig.targets.calls) == {"generate": 1, "score": 3}

    drive(body)


def test_trainers_share_a_service_by_their_shares() -> None:
    """Two trainers submit long steps at once; the one that comes first must not take all."""

    async def body(rig: Rig) -> None:
        for trainer in ("a", "b"):
            rig.registry.submit(rig.spec(60, trainer), frozenset())
        await rig.until(lambda: len(rig.targets.generations) >= 48)
        counts = Counter(call.request_id[0] for call in rig.targets.generations[:48])
        assert 2.0 <= counts["a"] / counts["b"] <= 4.0

    drive(body, room=4)


def test_a_leaving_node_starts_nothing_and_hands_out_what_still_ends() -> None:
    """A node drains in the middle of a step.

    Its runs in flight must reach the trainer, and the rest be made elsewhere.
    """

    async def body(rig: Rig) -> None:
        spec = rig.spec(6)
        rig.registry.submit(spec, frozenset())
        await rig.until(lambda: len(rig.targets.generations) == 2)
        rig.board.leaving = True
        got: set[int] = set()
        for number in range(1, 20):
            reply = await rig.pull(spec, number, held=frozenset(got))
            got |= {sample.position for sample in reply.samples}
            if reply.leaving:
                break
        assert reply.leaving
        assert len(got) == 2
        rig.runner.run_pass(asyncio.get_running_loop().time())
        await asyncio.sleep(0.01)
        assert len(rig.targets.generations) == 2

    drive(body, room=2)


def test_a_node_holds_no_more_steps_than_it_may(monkeypatch: pytest.MonkeyPatch) -> None:
    """Trainers submit step after step and never pull.

    Without a bound the node's memory would grow until it dies with all its steps.
    """
    monkeypatch.setattr(step_registry, "MAX_SAMPLES", 20)

    async def body(rig: Rig) -> None:
        rig.registry.submit(rig.spec(15), frozenset())
        rig.registry.submit(rig.spec(15), frozenset())
        with pytest.raises(RequestError) as refused:
            rig.registry.submit(rig.spec(6, step_id="s2"), frozenset())
        assert refused.value.kind is ErrorKind.OVERLOADED
        assert refused.value.retry_after_s > 0

    drive(body)


@pytest.mark.parametrize(
    ("changes", "kind"),
    [
        ({"max_tokens": 9}, ErrorKind.STEP_CONFLICT),
        ({"service": "gone", "step_id": "s2"}, ErrorKind.UNKNOWN_SERVICE),
    ],
)
def test_a_step_that_can_not_be_taken_is_refused_with_its_kind(
    changes: dict[str, object], kind: ErrorKind
) -> None:
    async def body(rig: Rig) -> None:
        rig.registry.submit(rig.spec(2), frozenset())
        with pytest.raises(RequestError) as refused:
            rig.registry.submit(rig.spec(2, **changes), frozenset())
        assert refused.value.kind is kind

    drive(body)


def test_a_step_that_is_held_whole_is_forgotten_and_the_next_pull_says_so(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(step_registry, "FORGET_DONE_AFTER_S", 0.05)

    async def body(rig: Rig) -> None:
        spec = rig.spec(2)
        rig.registry.submit(spec, frozenset())
        await rig.whole_step(spec)
        await rig.pull(spec, 100, held=frozenset({0, 1}))
        await rig.until(lambda: not rig.registry.steps)
        with pytest.raises(RequestError) as unknown:
            await rig.pull(spec, 101)
        assert unknown.value.kind is ErrorKind.UNKNOWN_STEP

    drive(body)


def test_a_trainers_idle_time_and_staleness_are_on_the_report() -> None:
    async def body(rig: Rig) -> None:
        spec = rig.spec(4)
        rig.registry.submit(spec, frozenset(), version=1)
        await rig.whole_step(spec, version=1)
        report = rig.registry.trainers_report(asyncio.get_running_loop().time())
        assert report["a"]["staleness_versions"] == {"1": 4}
        assert report["a"]["idle_s"] > 0
        assert report["a"]["samples_sent"] == 4

    drive(body)


def test_a_cancel_in_the_same_moment_as_an_event_is_not_lost() -> None:
    """A node stops just as a sample ends.

    Were the cancel lost, the node would never end, and its host could not be replaced.
    """

    async def body() -> None:
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

    asyncio.run(body())
