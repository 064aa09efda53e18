"""How a call to a target can fail, told apart by what is known of its run."""

from dataclasses import dataclass


@dataclass(frozen=True)
class NotSent:
    """No byte of the request left: the connection was never made."""

    detail: str


@dataclass(frozen=True)
class Refused:
    """The target answered that it does not take the request.

    ``not_run`` holds when its contract says that it refuses before it starts.
    """

    detail: str
    not_run: bool


@dataclass(frozen=True)
class Lost:
    """The request was sent and its outcome is not known.

    ``connection_closed`` is set if the target closed or reset the connection before the
    response was complete.
    """

    detail: str
    connection_closed: bool = False


@dataclass(frozen=True)
class Failed:
    """The target answered that the request failed; it may have run.

    ``permanent`` holds when every other target would answer the same.
    """

    detail: str
    permanent: bool = False


TargetFailure = NotSent | Refused | Lost | Failed


class TargetError(Exception):
    """A call to a target that gave no whole answer."""

    def __init__(self, failure: TargetFailure) -> None:
        """Wrap the kind of failure."""
        super().__init__(f"{type(failure).__name__}: {failure.detail}")
        self.failure = failure

    @property
    def may_have_run(self) -> bool:
        """Whether the target may have started the request."""
        match self.failure:
            case NotSent() | Refused(not_run=True):
                return False
        return True
