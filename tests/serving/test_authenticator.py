"""Who a caller is by its key, and when a node may call a key wrong."""

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
    key_fingerprint,
)

KEY = "f75rjvz48wuakn2ftima"
FRESH_S = 0.1
OLD_S = 2.0
LONG_OLD_S = 7.0


def config(revision: int, *workspaces: Workspace, asks: bool = True) -> RoutingConfig:
    return RoutingConfig(revision, (), {}, CallerLimits(), workspaces, asks)


def authenticator(
    in_force: RoutingConfig | None, age_s: float = FRESH_S, *, fails_closed: bool = False
) -> ApiKeyAuthenticator:
    routes = RouteTable()
    if in_force is not None:
        routes.put(in_force)
    return ApiKeyAuthenticator(routes, lambda: age_s, fails_closed=fails_closed, revocation_s=5.0)


def outcome(
    gate: ApiKeyAuthenticator, credentials: Sequence[str], *, anonymous: bool = False
) -> str | ErrorKind:
    """Return the workspace's name, or the kind of the refusal."""
    try:
        return gate.authenticate(credentials, anonymous=anonymous).name
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
def test_a_caller_is_known_by_its_key_alone(
    credentials: list[str], anonymous: bool, want: str | ErrorKind
) -> None:
    """Guards against a caller that is served as another workspace, or without a key in force."""
    gate = authenticator(config(1, Workspace("shop", [KEY]), Workspace("club", ["other"])))
    assert outcome(gate, credentials, anonymous=anonymous) == want


def test_a_node_without_a_configuration_calls_no_key_wrong() -> None:
    """Guards against a node that has just started and denies a proper caller for good."""
    assert outcome(authenticator(None), [f"Bearer {KEY}"]) is ErrorKind.NOT_READY


def test_where_no_keys_are_asked_for_nobody_needs_one() -> None:
    assert outcome(authenticator(config(1, asks=False)), ["Bearer any"]) == ""


@pytest.mark.parametrize(
    ("age_s", "fails_closed", "key", "want"),
    [
        (OLD_S, False, KEY, "shop"),
        (LONG_OLD_S, False, KEY, "shop"),
        (OLD_S, True, KEY, "shop"),
        (LONG_OLD_S, True, KEY, ErrorKind.NOT_READY),
        (OLD_S, False, "new", ErrorKind.NOT_READY),
        (FRESH_S, True, "new", ErrorKind.UNAUTHENTICATED),
    ],
)
def test_a_node_that_hears_nothing_of_the_log(
    age_s: float, fails_closed: bool, key: str, want: str | ErrorKind
) -> None:
    """Guards against a new key that is denied by an old node, and a taken one that outlives it."""
    gate = authenticator(config(1, Workspace("shop", [KEY])), age_s, fails_closed=fails_closed)
    assert outcome(gate, [f"Bearer {key}"]) == want


def test_a_key_ends_with_the_configuration_that_lacks_it() -> None:
    """Guards against a key that stays in force at a node that knows it is taken away."""
    routes = RouteTable()
    gate = ApiKeyAuthenticator(routes, lambda: FRESH_S, fails_closed=False, revocation_s=5.0)
    routes.put(config(1, Workspace("shop", [KEY, "second"])))
    assert outcome(gate, [f"Bearer {KEY}"]) == "shop"
    routes.put(config(2, Workspace("shop", ["second"])))
    assert outcome(gate, [f"Bearer {KEY}"]) is ErrorKind.UNAUTHENTICATED
    assert outcome(gate, ["Bearer second"]) == "shop"


def test_a_key_that_two_workspaces_hold_names_neither() -> None:
    """Guards against a caller that is served as whichever workspace stands first."""
    table = KeyTable(config(1, Workspace("a", ["k", "k", "own"]), Workspace("b", ["k"])))
    assert table.find("k") is None
    assert table.find("own") == Workspace("a", ["k", "k", "own"])
    assert [(c.fingerprint, c.workspaces) for c in table.conflicts] == [
        (key_fingerprint("k"), ["a", "b"])
    ]


def test_a_key_that_one_workspace_holds_twice_is_its_key() -> None:
    table = KeyTable(config(1, Workspace("a", ["k", "k"])))
    assert not table.conflicts
    found = table.find("k")
    assert found is not None
    assert found.name == "a"


def test_a_refusal_tells_no_key() -> None:
    """Guards against keys in logs, which hold the detail of each refusal."""
    gate = authenticator(config(1, Workspace("shop", ["other"])))
    with pytest.raises(RequestError) as refusal:
        gate.authenticate([f"Bearer {KEY}"], anonymous=False)
    assert key_fingerprint(KEY) in refusal.value.detail
    assert KEY[:4] not in refusal.value.detail
