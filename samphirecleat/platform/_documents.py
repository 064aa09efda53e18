"""Decodes the documents that operators and targets write to the store.

A malformed document is rejected as a whole, and its reader keeps the previous state. Values are not
guessed: a field of the wrong type makes the document invalid.
"""

from collections.abc import Mapping
from typing import Any, Final

from .._decoding import (
    MalformedError,
    check_address,
    check_integer,
    check_text,
    decode_json,
    decoding,
)
from ..serving import (
    CallerLimits,
    CallKind,
    EngineSpec,
    Route,
    RoutingConfig,
    ScalingSpec,
    ServiceSpec,
    Target,
    WeightedService,
    Workspace,
)

_KINDS_BY_VALUE: Final[Mapping[str, CallKind]] = {kind.value: kind for kind in CallKind}
_TARGET_STATES: Final = ("ready", "draining")
# More slots than any server has; a larger number is no number of slots.
_MAX_SLOTS: Final = 1_000_000


def decode_config(value: bytes) -> RoutingConfig:
    """Return the configuration in a document.

    :raises MalformedError: if the document is malformed.
    """
    with decoding("configuration"):
        body = decode_json(value)
        limits = body["limits"]
        tenants = body.get("tenants")
        return RoutingConfig(
            int(body["version"]),
            [_decode_route(row) for row in body["routes"]],
            {check_text(row["name"], "name"): _decode_service(row) for row in body["services"]},
            CallerLimits(
                int(limits["maxHeaderBytes"]),
                int(limits["maxBodyBytes"]),
                limits["headerTimeoutMs"] / 1000.0,
                limits["idleTimeoutMs"] / 1000.0,
            ),
            [_decode_workspace(row) for row in tenants or ()],
            requires_keys=tenants is not None,
        )


def decode_named_version(value: bytes) -> tuple[str, int]:
    """Return the model and the version that a trainer announced.

    :raises MalformedError: if the document is malformed.
    """
    with decoding("model version"):
        body = decode_json(value)
        return check_text(body["model"], "model"), check_integer(body["version"], "version")


def decode_target(instance: str, value: bytes) -> Target:
    """Return the target that registered as ``instance``.

    :raises MalformedError: if the registration is malformed.
    """
    with decoding(f"target {instance}"):
        body = decode_json(value)
        state = body["state"]
        if state not in _TARGET_STATES:
            raise MalformedError(f"invalid state {state!r}")
        return Target(
            instance=check_text(instance, "key"),
            service=check_text(body["service"], "service"),
            address=check_address(body["address"]),
            zone=check_text(body["zone"], "zone"),
            slots=check_integer(body["slots"], "slots", 1, _MAX_SLOTS),
            draining=state == "draining",
            versions=_decode_versions(body.get("models", ())),
            started_at_ms=check_integer(body.get("born", 0), "born"),
            spot=body.get("spot") is True,
        )


def _decode_versions(rows: Any) -> Mapping[str, int]:
    return {
        check_text(row["name"], "model"): check_integer(row["version"], "version") for row in rows
    }


def _decode_route(row: Mapping[str, Any]) -> Route:
    split = row.get("weightedSplit")
    services = (
        [
            WeightedService(check_text(part["service"], "service"), float(part["weight"]))
            for part in split
        ]
        if split
        else [WeightedService(check_text(row["service"], "service"), 1.0)]
    )
    return Route(
        name=check_text(row["name"], "name"),
        host=check_text(row["host"], "host").lower(),
        path_prefix=check_text(row["pathPrefix"], "pathPrefix"),
        kind=_KINDS_BY_VALUE[row["kind"]],
        services=services,
        timeout_s=row.get("timeoutMs", 0) / 1000.0,
        objective_s=row.get("targetLatencyMs", 1000) / 1000.0,
        max_attempts=int(row.get("maxAttempts", 1)),
        priority=int(row.get("priority", 5)),
        resumable=bool(row.get("resumable", False)),
        # Despite its name, a duration that starts when the step is first submitted.
        result_deadline_s=row.get("resultDeadlineMs", 0) / 1000.0,
        retention_s=row.get("retentionS", 0.0),
        single_version=bool(row.get("singleVersion", False)),
        allows_anonymous=bool(row.get("allowAnonymous", False)),
    )


def _decode_workspace(row: Mapping[str, Any]) -> Workspace:
    keys = row.get("apiKeys", [])
    if not isinstance(keys, list) or not all(isinstance(key, str) and key for key in keys):
        raise ValueError(f"workspace {row['name']!r}: apiKeys is not a list of non-empty strings")
    priority = row.get("priority")
    return Workspace(str(row["name"]), keys, int(priority) if priority is not None else None)


def _decode_scaling(row: Mapping[str, Any]) -> ScalingSpec:
    prices = {str(zone): float(price) for zone, price in row.get("zonePrices", {}).items()}
    return ScalingSpec(
        int(row["minimum"]),
        int(row["maximum"]),
        float(row.get("bootTimeS", 0.0)),
        prices,
        float(row.get("spotPrice", 0.0)),
    )


def _decode_service(row: Mapping[str, Any]) -> ServiceSpec:
    engine = row.get("engine")
    scaling = row.get("scaling")
    return ServiceSpec(
        row["name"],
        row.get("healthPath", ""),
        int(row.get("connectionCap", 0)),
        _decode_engine(engine) if engine else None,
        _decode_scaling(scaling) if scaling else None,
    )


def _decode_engine(row: Mapping[str, Any]) -> EngineSpec:
    return EngineSpec(
        slots=int(row["slots"]),
        memory_tokens=int(row.get("kvCacheTokens", 1 << 30)),
        models=[model["name"] for model in row.get("models", ())],
        # The stride is the number of tokens per event.
        tokens_per_event=int(row.get("stride", 1)),
    )
