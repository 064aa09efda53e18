"""The failures of a call to a target, distinguished by what is known about its run."""

from dataclasses import dataclass


@dataclass(frozen=True)
class NotSent:
    """No byte of the request was sent: the connection was never established."""

    detail: str


@dataclass(frozen=True)
class Refused:
    """The target responded that it does not accept the request.

    ``not_run`` is set if its contract says that a refused request was not started.
    """

    detail: str
    not_run: bool


@dataclass(frozen=True)
class Lost:
    """The request was sent and its outcome is unknown.

    ``connection_closed`` is set if the target closed or reset the connection before the
    response was complete.
    """

    detail: str
    connection_closed: bool = False


@dataclass(frozen=True)
class Failed:
    """The target responded that the request failed; it may have run.

    ``permanent`` is set if every other target would respond the same way.
    """

    detail: str
    permanent: bool = False


TargetFailure = NotSent | Refused | Lost | Failed


class TargetError(Exception):
    """A call to a target without a complete answer; ``failure`` says why."""

    def __init__(self, failure: TargetFailure) -> None:
        """Create an error for ``failure``."""
        super().__init__(f"{type(failure).__name__}: {failure.detail}")
        self.failure = failure

    @property
    def may_have_run(self) -> bool:
        """Whether the target may have started the request."""
        match self.failure:
            case NotSent() | Refused(not_run=True):
                return False
        return True
