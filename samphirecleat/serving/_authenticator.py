"""Who a caller is: its key checked before anything of its call waits or is placed."""

from collections.abc import Callable, Sequence
from typing import Final

from ..errors import ErrorKind, Ran, RequestError
from ._route_table import RouteTable
from ._types import Workspace
from ._workspaces import ANONYMOUS, key_fingerprint

SCHEME: Final = "bearer"
# A node that read the configuration this recently knows every key that must be in force.
CONFIRMED_WITHIN_S: Final = 1.0
# What a caller is told to wait where its key may be newer than this node's configuration.
RETRY_AFTER_S: Final = 0.3


class ApiKeyAuthenticator:
    """Tells the workspace of each call by the configuration in force.

    A key is called wrong only by a node that has just confirmed its configuration. Any other
    says that it can't be sure: a key may have been added that it has not heard of. A flood of
    wrong keys costs one look-up each, and no call to the log.
    """

    def __init__(
        self,
        routes: RouteTable,
        config_age_s: Callable[[], float],
        *,
        fails_closed: bool,
        revocation_s: float,
    ) -> None:
        """Check against ``routes``, whose configuration was confirmed ``config_age_s`` ago.

        A node that ``fails_closed`` takes no key once that is longer ago than ``revocation_s``,
        within which a key that was taken away must be out of force.
        """
        self._routes = routes
        self._config_age_s = config_age_s
        self._fails_closed = fails_closed
        self._revocation_s = revocation_s

    def rebind(self, *, fails_closed: bool, revocation_s: float) -> None:
        """Take other bounds on keys that were taken away from now on."""
        self._fails_closed = fails_closed
        self._revocation_s = revocation_s

    def authenticate(self, credentials: Sequence[str], *, anonymous: bool) -> Workspace:
        """Return the workspace of a caller by its ``Authorization`` headers.

        Where ``anonymous`` calls are allowed, one without a usable key is nobody's.

        :raises RequestError: UNAUTHENTICATED for a caller without a key in force, NOT_READY when
            this node can't be sure of that.
        """
        self._routes.require_config()
        if not self._routes.config.requires_keys:
            return ANONYMOUS
        fault = "no key: send Authorization: Bearer KEY"
        if credentials:
            key, fault = _read_key(credentials)
            workspace = self._routes.keys.find(key) if key else None
            if workspace is not None and not self._is_shut():
                return workspace
            if key and not fault:
                fault = f"the key with mark {key_fingerprint(key)} is not in force"
        if anonymous:
            return ANONYMOUS
        if self._is_shut() or self._config_age_s() > CONFIRMED_WITHIN_S:
            raise RequestError(
                ErrorKind.NOT_READY,
                f"this node's configuration may be old; {fault}",
                ran=Ran.NO,
                retry_after_s=RETRY_AFTER_S,
            )
        raise RequestError(ErrorKind.UNAUTHENTICATED, fault)

    def _is_shut(self) -> bool:
        return self._fails_closed and self._config_age_s() > self._revocation_s


def _read_key(credentials: Sequence[str]) -> tuple[str, str]:
    """Return the key of a caller's headers, or "" and what is wrong with them."""
    if len(credentials) > 1:
        return "", f"{len(credentials)} Authorization headers: send one"
    scheme, _, key = credentials[0].strip().partition(" ")
    key = key.strip()
    if scheme.lower() != SCHEME or not key:
        return "", "Authorization is not of the form: Bearer KEY"
    return key, ""
