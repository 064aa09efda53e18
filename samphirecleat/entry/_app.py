"""The HTTP application of a node, and the middleware that turns errors into responses."""

import math
from collections.abc import Awaitable, Callable, Mapping
from typing import Final

from aiohttp import web

from ..blackboard import Blackboard
from ..errors import ErrorKind, RequestError
from ..observe import Observer
from ._callers import CallerHandlers
from ._operators import OperatorHandlers
from ._trainers import TrainerHandlers

_KINDS_BY_STATUS: Final[Mapping[int, ErrorKind]] = {
    404: ErrorKind.UNKNOWN_METHOD,
    503: ErrorKind.NOT_READY,
}
Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


def build_app(
    callers: CallerHandlers,
    trainers: TrainerHandlers,
    operators: OperatorHandlers,
    board: Blackboard,
    observer: Observer,
    *,
    max_body_bytes: int,
) -> web.Application:
    """Return the application with all routes and the error middleware.

    Request bodies are limited to ``max_body_bytes``.
    """

    @web.middleware
    async def handle_errors(request: web.Request, handler: Handler) -> web.StreamResponse:
        try:
            return await handler(request)
        except RequestError as error:
            board.refusals[error.kind.value] += 1
            return _error_response(error)
        except web.HTTPException as error:
            # No route matched, the request is not valid HTTP, or its body doesn't fit.
            kind = _KINDS_BY_STATUS.get(error.status, ErrorKind.MALFORMED)
            board.refusals[kind.value] += 1
            return _error_response(RequestError(kind, f"{request.path}: {error.reason}"))
        except ConnectionError:
            observer.counters["callers_gone"] += 1
            raise
        except Exception as error:
            observer.log("entry").exception("unhandled exception in a request handler")
            board.refusals[ErrorKind.INTERNAL.value] += 1
            return _error_response(RequestError(ErrorKind.INTERNAL, repr(error)))

    app = web.Application(client_max_size=max_body_bytes, middlewares=[handle_errors])
    callers.add_routes(app.router)
    trainers.add_routes(app.router)
    operators.add_routes(app.router)
    return app


def _error_response(error: RequestError) -> web.Response:
    headers = {}
    if error.retry_after_s:
        headers["Retry-After"] = str(math.ceil(error.retry_after_s))
    return web.json_response({"error": error.body()}, status=error.status, headers=headers)
