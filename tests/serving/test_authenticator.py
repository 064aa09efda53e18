"""API keys: which workspace a key belongs to, and when a node may reject a key as invalid."""

from collections.abc import Sequence

import pytest

from samphirecleat.errors import ErrorKind, RequestError
from samphirecleat.serving import (
    ApiKeyAuthenticator,
    CallerLimits,
    KeyTable,
    RouteTable,
    RoutingConfig,
    Workspace,
    key_mark,
)

KEY = "f75rjvz48wuakn2ftima"
FRESH_S = 0.1
OLD_S = 2.0
PAST_REVOCATION_S = 7.0


def config(revision: int, *workspaces: Workspace, requires_keys: bool = True) -> RoutingConfig:
    return RoutingConfig(revision, (), {}, CallerLimits(), workspaces, requires_keys)


def make_authenticator(
    active: RoutingConfig | None, age_s: float = FRESH_S, *, fails_closed: bool = False
) -> ApiKeyAuthenticator:
    routes = RouteTable()
    if active is not None:
        routes.put(active)
    return ApiKeyAuthenticator(routes, lambda: age_s, fails_closed=fails_closed, revocation_s=5.0)


def outcome(
    authenticator: ApiKeyAuthenticator, credentials: Sequence[str], *, anonymous: bool = False
) -> str | ErrorKind:
    """Return the workspace's name, or the kind of the error."""
    try:
        return authenticator.authenticate(credentials, anonymous=anonymous).name
    except RequestError as error:
        return error.kind


@pytest.mark.parametrize(
    ("credentials", "anonymous", "want"),
    [
        ([f"Bearer {KEY}"], False, "shop"),
        ([f"bearer   {KEY} "], False, "shop"),
        ([f"Bearer {KEY.upper()}"], False, ErrorKind.UNAUTHENTICATED),
        ([f"Bearer {KEY[:-1]}"], False, ErrorKind.UNAUTHENTICATED),
        ([f"Bearer {KEY}x"], False, ErrorKind.UNAUTHENTICATED),
        ([f"Basic {KEY}"], False, ErrorKind.UNAUTHENTICATED),
        ([KEY], False, ErrorKind.UNAUTHENTICATED),
        (["Bearer "], False, ErrorKind.UNAUTHENTICATED),
        ([""], False, ErrorKind.UNAUTHENTICATED),
        (["Bearer " + "k" * 1_000_000], False, ErrorKind.UNAUTHENTICATED),
        ([f"Bearer {KEY}"] * 2, False, ErrorKind.UNAUTHENTICATED),
        (["Bearer \udcff"], False, ErrorKind.UNAUTHENTICATED),
        ([], False, ErrorKind.UNAUTHENTICATED),
        ([], True, ""),
        (["Bearer unknown"], True, ""),
        ([f"Bearer {KEY}"], True, "shop"),
    ],
)
def test_workspace_is_determined_by_key(
    credentials: list[str], anonymous: bool, want: str | ErrorKind
) -> None:
    """Guards against serving a caller as another workspace, or without a valid key."""
    authenticator = make_authenticator(
        config(1, Workspace("shop", [KEY]), Workspace("club", ["other"]))
    )
    assert outcome(authenticator, credentials, anonymous=anonymous) == want


def test_node_without_configuration_rejects_no_key() -> None:
    """Guards against a node that has just started and permanently rejects a valid caller."""
    assert outcome(make_authenticator(None), [f"Bearer {KEY}"]) is ErrorKind.NOT_READY


def test_any_caller_is_anonymous_if_no_keys_are_required() -> None:
    assert outcome(make_authenticator(config(1, requires_keys=False)), ["Bearer any"]) == ""


@pytest.mark.parametrize(
    ("age_s", "fails_closed", "key", "want"),
    [
        (OLD_S, False, KEY, "shop"),
        (PAST_REVOCATION_S, False, KEY, "shop"),
        (OLD_S, True, KEY, "shop"),
        (PAST_REVOCATION_S, True, KEY, ErrorKind.NOT_READY),
        (OLD_S, False, "new", ErrorKind.NOT_READY),
        (FRESH_S, True, "new", ErrorKind.UNAUTHENTICATED),
    ],
)
def test_keys_at_a_node_with_an_old_configuration(
    age_s: float, fails_closed: bool, key: str, want: str | ErrorKind
) -> None:
    """Guards against an outdated node rejecting a new key, or accepting a revoked key too long."""
    authenticator = make_authenticator(
        config(1, Workspace("shop", [KEY])), age_s, fails_closed=fails_closed
    )
    assert outcome(authenticator, [f"Bearer {key}"]) == want


def test_key_is_invalid_once_removed_from_configuration() -> None:
    """Guards against a node accepting a key that its own configuration no longer holds."""
    routes = RouteTable()
    authenticator = ApiKeyAuthenticator(
        routes, lambda: FRESH_S, fails_closed=False, revocation_s=5.0
    )
    routes.put(config(1, Workspace("shop", [KEY, "second"])))
    assert outcome(authenticator, [f"Bearer {KEY}"]) == "shop"
    routes.put(config(2, Workspace("shop", ["second"])))
    assert outcome(authenticator, [f"Bearer {KEY}"]) is ErrorKind.UNAUTHENTICATED
    assert outcome(authenticator, ["Bearer second"]) == "shop"


def test_key_of_two_workspaces_belongs_to_neither() -> None:
    """Guards against serving a caller as whichever workspace is listed first."""
    table = KeyTable(config(1, Workspace("a", ["k", "k", "own"]), Workspace("b", ["k"])))
    assert table.find("k") is None
    assert table.find("own") == Workspace("a", ["k", "k", "own"])
    assert [(c.fingerprint, c.workspaces) for c in table.conflicts] == [(key_mark("k"), ["a", "b"])]


def test_key_listed_twice_in_one_workspace_is_valid() -> None:
    table = KeyTable(config(1, Workspace("a", ["k", "k"])))
    assert not table.conflicts
    found = table.find("k")
    assert found is not None
    assert found.name == "a"


def test_rejection_does_not_reveal_key() -> None:
    """Guards against keys in logs, which include the detail of each rejection."""
    authenticator = make_authenticator(config(1, Workspace("shop", ["other"])))
    with pytest.raises(RequestError) as raised:
        authenticator.authenticate([f"Bearer {KEY}"], anonymous=False)
    assert key_mark(KEY) in raised.value.detail
    assert KEY[:4] not in raised.value.detail
