"""What trainers meet: submitting a step and pulling its samples."""

from collections.abc import Mapping
from typing import Any, Final

from aiohttp import web

from ..blackboard import Blackboard
from ..controllers import StepRunner
from ..errors import ErrorKind, RequestError
from ..steps import Pull, StepSpec, decode_positions, sample_to_json
from ._call_headers import read_body

MAX_STEP_SAMPLES: Final = 8192
MAX_WAIT_S: Final = 20.0


class TrainerEntry:
    """Takes trainers' steps and answers their pulls."""

    def __init__(self, board: Blackboard, runner: StepRunner) -> None:
        """Hand steps to ``runner``."""
        self._board = board
        self._runner = runner

    def add_routes(self, router: web.UrlDispatcher) -> None:
        """Add the trainers' routes."""
        router.add_post("/v1/trainers/{trainer}/steps/{step}", self.submit)
        router.add_post("/v1/trainers/{trainer}/steps/{step}/pull", self.pull)

    async def submit(self, request: web.Request) -> web.Response:
        """Take a step; submitting it again is safe."""
        if self._board.leaving:
            raise RequestError(ErrorKind.LEAVING, "submit the step to another node")
        body = await read_body(request)
        try:
            spec = self._read_spec(request, body)
            held = decode_positions(str(body.get("held", "0")))
        except (KeyError, TypeError, ValueError) as error:
            raise RequestError(
                ErrorKind.MALFORMED, f"the step is not understood: {error!r}"
            ) from error
        self._runner.submit(spec, held)
        return web.json_response({"node": self._board.identity.node_id, "size": spec.size})

    async def pull(self, request: web.Request) -> web.Response:
        """Return samples that the trainer lacks."""
        body = await read_body(request)
        try:
            pull = Pull(
                number=int(body["pull"]),
                version=int(body["version"]),
                held=decode_positions(str(body["held"])),
                wait_s=min(MAX_WAIT_S, float(body.get("wait_s", 0.0))),
                limit=int(body.get("limit", 512)),
            )
        except (KeyError, TypeError, ValueError) as error:
            raise RequestError(
                ErrorKind.MALFORMED, f"the pull is not understood: {error!r}"
            ) from error
        trainer, step_id = request.match_info["trainer"], request.match_info["step"]
        reply = await self._runner.pull(trainer, step_id, pull)
        spec = self._runner.steps[trainer, step_id].spec
        return web.json_response(
            {
                "pull": reply.number,
                "samples": [sample_to_json(sample, spec) for sample in reply.samples],
                "missing": reply.missing,
            }
        )

    def _read_spec(self, request: web.Request, body: Mapping[str, Any]) -> StepSpec:
        service_name = str(body["service"])
        service = self._board.service(service_name)
        if service is None:
            raise RequestError(ErrorKind.UNKNOWN_SERVICE, f'no service "{service_name}"')
        spec = StepSpec(
            trainer=request.match_info["trainer"],
            step_id=request.match_info["step"],
            service=service_name,
            prompts=tuple(str(prompt) for prompt in body["prompts"]),
            samples_per_group=int(body["samples_per_group"]),
            max_tokens=int(body["max_tokens"]),
            staleness_bound=int(body.get("staleness_bound", service.staleness_bound)),
            scoring=str(body.get("scoring", "")),
        )
        if not 0 < spec.size <= MAX_STEP_SAMPLES:
            raise ValueError(f"{spec.size} samples; 1 to {MAX_STEP_SAMPLES} are allowed")
        if spec.samples_per_group < 1 or spec.max_tokens < 1:
            raise ValueError("samples_per_group and max_tokens must be at least 1")
        return spec
