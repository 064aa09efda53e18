"""HTTP handlers for trainers: submitting a step and pulling its samples."""

from collections.abc import Mapping, Sequence
from typing import Any, Final

from aiohttp import web

from .._decoding import MALFORMED_INPUT_ERRORS
from ..blackboard import Blackboard
from ..controllers.steps import StepRegistry
from ..errors import ErrorKind, RequestError
from ..steps import NO_VERSION, Pull, StepSpec, decode_positions, reply_to_json
from ._call_headers import read_body

MAX_SAMPLES_PER_STEP: Final = 8192
MAX_PULL_WAIT_S: Final = 20.0
MAX_SAMPLES_PER_PULL: Final = 512


class TrainerHandlers:
    """Accepts trainers' steps and serves their pulls."""

    def __init__(self, board: Blackboard, registry: StepRegistry) -> None:
        """Register steps in ``registry``."""
        self._board = board
        self._registry = registry

    def add_routes(self, router: web.UrlDispatcher) -> None:
        """Add the trainers' routes."""
        router.add_post("/v1/trainers/{trainer}/steps/{step}", self.submit)
        router.add_post("/v1/trainers/{trainer}/steps/{step}/pull", self.pull)

    async def submit(self, request: web.Request) -> web.Response:
        """Register a step; submitting the same step again is safe.

        :raises samphirecleat.errors.RequestError: LEAVING, NOT_READY, MALFORMED,
            UNKNOWN_SERVICE, or an error of the registry.
        """
        if self._board.leaving:
            raise RequestError(
                ErrorKind.LEAVING, "this node is leaving; submit the step to another node"
            )
        if not self._board.ready:
            # Clients with an outdated entry list may reach a new process at the address
            # of an old one. Until it has a configuration it knows no service, and
            # UNKNOWN_SERVICE would make the trainer give up a valid step.
            raise RequestError(ErrorKind.NOT_READY, "this node has no configuration yet")
        body = await read_body(request)
        try:
            spec = self._read_spec(request, body)
            held = decode_positions(str(body.get("held", "0")), spec.size)
            client_id = str(body.get("client", ""))
            version = int(body.get("version", NO_VERSION))
        except MALFORMED_INPUT_ERRORS as error:
            raise RequestError(ErrorKind.MALFORMED, f"the step is malformed: {error!r}") from error
        self._registry.submit(spec, held, client_id, version)
        return web.json_response({"node": self._board.identity.node_id, "size": spec.size})

    async def pull(self, request: web.Request) -> web.Response:
        """Return samples that the trainer does not hold yet.

        :raises samphirecleat.errors.RequestError: UNKNOWN_STEP, MALFORMED, or an error
            of the registry.
        """
        body = await read_body(request)
        trainer, step_id = request.match_info["trainer"], request.match_info["step"]
        spec = self._registry.find(trainer, step_id).spec
        try:
            pull = _read_pull(body, spec)
        except MALFORMED_INPUT_ERRORS as error:
            raise RequestError(ErrorKind.MALFORMED, f"the pull is malformed: {error!r}") from error
        reply = await self._registry.pull(trainer, step_id, pull)
        return web.json_response(reply_to_json(reply, spec))

    def _read_spec(self, request: web.Request, body: Mapping[str, Any]) -> StepSpec:
        service_name = str(body["service"])
        service = self._board.service(service_name)
        if service is None:
            raise RequestError(ErrorKind.UNKNOWN_SERVICE, f'no service "{service_name}"')
        trainer, step_id = request.match_info["trainer"], request.match_info["step"]
        registered = self._registry.steps.get((trainer, step_id))
        # A step without a bound keeps the one that it was first registered with.
        # Otherwise a changed configuration would make a resubmission a different step.
        default_bound = registered.spec.staleness_bound if registered else service.staleness_bound
        spec = StepSpec(
            trainer=trainer,
            step_id=step_id,
            service=service_name,
            prompts=_read_prompts(body),
            samples_per_group=int(body["samples_per_group"]),
            max_tokens=int(body["max_tokens"]),
            staleness_bound=int(body.get("staleness_bound", default_bound)),
            scoring=str(body.get("scoring", "")),
            group_max_tokens=tuple(int(limit) for limit in body.get("group_max_tokens", ())),
            group_length_hints=tuple(int(hint) for hint in body.get("group_length_hints", ())),
        )
        _validate_spec(spec)
        if spec.scoring and self._board.service(spec.scoring) is None:
            raise RequestError(ErrorKind.UNKNOWN_SERVICE, f'no service "{spec.scoring}"')
        return spec


def _read_prompts(body: Mapping[str, Any]) -> Sequence[str]:
    prompts = body["prompts"]
    if not isinstance(prompts, list):
        raise ValueError("prompts must be a list")
    return tuple(str(prompt) for prompt in prompts)


def _read_pull(body: Mapping[str, Any], spec: StepSpec) -> Pull:
    return Pull(
        number=int(body["pull"]),
        version=int(body["version"]),
        held=decode_positions(str(body["held"]), spec.size),
        wait_s=max(0.0, min(MAX_PULL_WAIT_S, float(body.get("wait_s", 0.0)))),
        limit=max(1, min(MAX_SAMPLES_PER_PULL, int(body.get("limit", MAX_SAMPLES_PER_PULL)))),
        client_id=str(body.get("client", "")),
    )


def _validate_spec(spec: StepSpec) -> None:
    if spec.samples_per_group < 1 or spec.max_tokens < 1 or spec.staleness_bound < 0:
        raise ValueError(
            "samples_per_group and max_tokens must be at least 1, staleness_bound at least 0"
        )
    if not 0 < spec.size <= MAX_SAMPLES_PER_STEP:
        raise ValueError(
            f"the step has {spec.size} samples; 1 to {MAX_SAMPLES_PER_STEP} are allowed"
        )
    for name in ("group_max_tokens", "group_length_hints"):
        numbers = getattr(spec, name)
        if numbers and len(numbers) != len(spec.prompts):
            raise ValueError(
                f"{name} must have one number for each of the {len(spec.prompts)} groups"
            )
        if numbers and min(numbers) < 1:
            raise ValueError(f"each number of {name} must be at least 1")
