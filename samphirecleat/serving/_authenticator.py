"""Authenticates callers by API key before their calls are queued or routed."""

from collections.abc import Callable, Sequence
from typing import Final

from ..errors import ErrorKind, Ran, RequestError
from ._route_table import RouteTable
from ._types import Workspace
from ._workspaces import ANONYMOUS, key_mark

AUTH_SCHEME: Final = "bearer"
# A node that read the configuration this recently knows every key that must be valid.
MAX_CONFIRMED_AGE_S: Final = 1.0
# Retry delay for a caller whose key may be newer than this node's configuration.
RETRY_AFTER_S: Final = 0.3


class ApiKeyAuthenticator:
    """Maps API keys to workspaces by the active configuration.

    A key is rejected as invalid only if the configuration was confirmed recently. Otherwise the
    caller is told to retry, since a key may have been added that this node hasn't read yet. An
    invalid key costs one in-memory lookup and no request to the log.
    """

    def __init__(
        self,
        routes: RouteTable,
        config_age_s: Callable[[], float],
        *,
        fails_closed: bool,
        revocation_s: float,
    ) -> None:
        """Check keys against ``routes``, whose configuration was confirmed ``config_age_s`` ago.

        A node that ``fails_closed`` accepts no key once the configuration is older than
        ``revocation_s``, the time within which a revoked key must stop working.
        """
        self._routes = routes
        self._config_age_s = config_age_s
        self._fails_closed = fails_closed
        self._revocation_s = revocation_s

    def set_revocation(self, *, fails_closed: bool, revocation_s: float) -> None:
        """Replace the settings for key revocation."""
        self._fails_closed = fails_closed
        self._revocation_s = revocation_s

    def authenticate(self, credentials: Sequence[str], *, anonymous: bool) -> Workspace:
        """Return the workspace of a caller, given its ``Authorization`` headers.

        If ``anonymous`` calls are allowed, a caller without a valid key gets ``ANONYMOUS``.

        :raises RequestError: UNAUTHENTICATED if the key is missing or invalid, NOT_READY if this
            node's configuration may be too old to decide.
        """
        self._routes.require_config()
        if not self._routes.config.requires_keys:
            return ANONYMOUS
        problem = "API key is missing; send Authorization: Bearer KEY"
        if credentials:
            key, problem = _read_key(credentials)
            workspace = self._routes.keys.find(key) if key else None
            if workspace is not None and not self._must_fail_closed():
                return workspace
            if key and not problem:
                problem = f"API key with fingerprint {key_mark(key)} is not valid"
        if anonymous:
            return ANONYMOUS
        if self._must_fail_closed() or self._config_age_s() > MAX_CONFIRMED_AGE_S:
            raise RequestError(
                ErrorKind.NOT_READY,
                f"this node's configuration may be out of date; {problem}",
                ran=Ran.NO,
                retry_after_s=RETRY_AFTER_S,
            )
        raise RequestError(ErrorKind.UNAUTHENTICATED, problem)

    def _must_fail_closed(self) -> bool:
        return self._fails_closed and self._config_age_s() > self._revocation_s


def _read_key(credentials: Sequence[str]) -> tuple[str, str]:
    """Return the key and "", or "" and the reason why the headers hold no key."""
    if len(credentials) > 1:
        return "", f"{len(credentials)} Authorization headers; send exactly one"
    scheme, _, key = credentials[0].strip().partition(" ")
    key = key.strip()
    if scheme.lower() != AUTH_SCHEME or not key:
        return "", "Authorization header is not of the form: Bearer KEY"
    return key, ""
