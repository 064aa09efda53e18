"""A stand-in of the platform's API whose calls only the holder of a duty may make."""

from aiohttp import web

from samphirecleat.standins import StandInServer


class ApiStandIn(StandInServer):
    """Accepts usage reports and orders of targets, and checks their fencing numbers.

    ``answers`` sets the outcome of the next calls: a status is returned without any effect;
    ``lost`` executes the call and closes the connection without a response. ``violations`` lists
    violations of the protocol.
    """

    def __init__(self) -> None:
        super().__init__()
        self.reports: dict[int, dict[str, int]] = {}
        self.orders: list[dict[str, object]] = []
        self.holders: list[tuple[str, int]] = []
        self.answers: list[str | int] = []
        self.violations: list[str] = []
        self._highest_fences: dict[str, int] = {}
        self._holder_of: dict[tuple[str, int], str] = {}

    def add_routes(self, router: web.UrlDispatcher) -> None:
        router.add_post("/usage", self._usage)
        router.add_post("/scale", self._scale)

    def _admit(self, request: web.Request, subject: str) -> bool:
        """Record a call's holder; return whether no higher fencing number was seen before."""
        holder = request.headers["X-Duty-Holder"]
        fence = int(request.headers["X-Fencing-Token"])
        self.holders.append((holder, fence))
        if self._holder_of.setdefault((subject, fence), holder) != holder:
            self.violations.append(f"two holders of {subject} with fencing number {fence}")
        if fence < self._highest_fences.get(subject, -1):
            return False
        self._highest_fences[subject] = fence
        return True

    async def _answer(self, request: web.Request, subject: str) -> tuple[web.Response, bool]:
        """Return the response to a call, and whether the call takes effect."""
        answer = self.answers.pop(0) if self.answers else ""
        if isinstance(answer, int):
            return web.Response(status=answer), False
        if not self._admit(request, subject):
            return web.Response(status=409), False
        if answer == "lost":
            assert request.transport is not None
            request.transport.abort()
        return web.Response(), True

    async def _usage(self, request: web.Request) -> web.StreamResponse:
        body = await request.json()
        response, executed = await self._answer(request, "usage")
        if executed:
            window, counts = body["windowNumber"], body["counts"]
            if self.reports.setdefault(window, counts) != counts:
                self.violations.append(f"two reports of window {window}")
        return response

    async def _scale(self, request: web.Request) -> web.StreamResponse:
        body = await request.json()
        response, executed = await self._answer(request, f"scale {body['service']} {body['zone']}")
        if executed:
            self.orders.append(body)
        return response
