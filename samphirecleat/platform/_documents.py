"""Decodes the documents that operators and targets write to the store.

A malformed document is rejected as a whole, and its reader keeps the previous state. Values are not
guessed: a field of the wrong type makes the document invalid.
"""

from collections.abc import Mapping
from typing import Any, Final

import msgspec

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
_DECODER: Final = msgspec.json.Decoder()
_TARGET_STATES: Final = ("ready", "draining")


class DocumentFormatError(Exception):
    """A document is malformed; the message says where."""


def decode_config(value: bytes) -> RoutingConfig:
    """Return the configuration in a document.

    :raises DocumentFormatError: if the document is malformed.
    """
    try:
        body = _DECODER.decode(value)
        limits = body["limits"]
        tenants = body.get("tenants")
        return RoutingConfig(
            int(body["version"]),
            [_decode_route(row) for row in body["routes"]],
            {row["name"]: _decode_service(row) for row in body["services"]},
            CallerLimits(
                int(limits["maxHeaderBytes"]),
                int(limits["maxBodyBytes"]),
                limits["headerTimeoutMs"] / 1000.0,
                limits["idleTimeoutMs"] / 1000.0,
            ),
            [_decode_workspace(row) for row in tenants or ()],
            requires_keys=tenants is not None,
        )
    except (msgspec.MsgspecError, KeyError, TypeError, ValueError, AttributeError) as error:
        raise DocumentFormatError(f"configuration: {error!r}") from error


def decode_named_version(value: bytes) -> tuple[str, int]:
    """Return the model and the version that a trainer announced.

    :raises DocumentFormatError: if the document is malformed.
    """
    try:
        body = _DECODER.decode(value)
        model, version = body["model"], body["version"]
    except (msgspec.MsgspecError, KeyError, TypeError) as error:
        raise DocumentFormatError(f"model version: {error!r}") from error
    if not isinstance(model, str) or type(version) is not int:
        raise DocumentFormatError(
            f"model version: invalid model or version: {model!r}, {version!r}"
        )
    return model, version


def decode_target(instance: str, value: bytes) -> Target:
    """Return the target that registered as ``instance``.

    :raises DocumentFormatError: if the registration is malformed.
    """
    try:
        body = _DECODER.decode(value)
        address, state = body["address"], body["state"]
        host, _, port = address.rpartition(":")
        target = Target(
            instance=instance,
            service=body["service"],
            address=address,
            zone=body["zone"],
            slots=body["slots"],
            draining=state == "draining",
            versions={row["name"]: row["version"] for row in body.get("models", ())},
            started_at_ms=body.get("born", 0),
            spot=body.get("spot") is True,
        )
    except (msgspec.MsgspecError, KeyError, TypeError, AttributeError) as error:
        raise DocumentFormatError(f"target {instance}: {error!r}") from error
    strings = (target.service, target.address, target.zone)
    integers = (target.slots, target.started_at_ms, *target.versions.values())
    if state not in _TARGET_STATES or not host or not port.isdigit():
        raise DocumentFormatError(
            f"target {instance}: invalid state or address: {state!r}, {address!r}"
        )
    if not all(isinstance(text, str) and text for text in strings):
        raise DocumentFormatError(f"target {instance}: expected non-empty strings, got {strings!r}")
    if not all(type(number) is int for number in integers) or target.slots < 1:
        raise DocumentFormatError(
            f"target {instance}: invalid slots, start time or versions: {integers!r}"
        )
    return target


def _decode_route(row: Mapping[str, Any]) -> Route:
    split = row.get("weightedSplit")
    services = (
        [WeightedService(part["service"], float(part["weight"])) for part in split]
        if split
        else [WeightedService(row["service"], 1.0)]
    )
    return Route(
        name=row["name"],
        host=row["host"].lower(),
        path_prefix=row["pathPrefix"],
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
