"""Reads the settings file that the platform provides to a node process."""

import math
import tomllib
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any, Final, NamedTuple, TypedDict

from .._decoding import MALFORMED_INPUT_ERRORS
from ..connections import REQUEST_SHARE, max_client_connections

SETTINGS_VARIABLE: Final = "SAMPHIRECLEAT_BOOT"
DUTY_USAGE: Final = "usage"
DUTY_SCALING: Final = "scaling"
# Memory of a node process whose settings don't tell it, in MB.
DEFAULT_MEMORY_MB: Final = 512.0
# Descriptors of a node process whose settings don't tell them.
DEFAULT_FILE_DESCRIPTORS: Final = 8192
# Share of a node's memory for the bytes that it holds for callers.
CALL_BYTES_SHARE: Final = 1 / 8
# Share of a node's memory for answers of targets that have not arrived completely.
ANSWER_BYTES_SHARE: Final = 1 / 16


class BootSettings(NamedTuple):
    """The identity of a node process, the addresses that it uses, and its limits.

    Addresses are ``IP:PORT``, or ``""`` if the platform provides none. ``peer_ports`` are the first
    and the last port for traffic between nodes. ``metrics_port`` comes from the command line; 0
    means none. The process may use ``memory_mb`` of memory and have ``file_descriptors`` files and
    sockets open. If ``fences_checked`` is set, the receivers of orders reject those of an earlier
    holder. A revoked API key must stop working within ``key_revocation_s``; if ``keys_fail_closed``
    is set, a node that can't read revocations accepts no key after that time. ``api_duties`` are
    the calls of the platform's API at ``api_address`` that one node at a time must make;
    ``api_calls_per_s`` limits their rate. The usage report of each ``report_window_s`` is due
    ``report_due_s`` after the end of the window.
    """

    node_id: str
    zone: str
    region: str
    ip_address: str
    front_address: str
    ready_address: str
    control_address: str
    directory_address: str
    peer_ports: tuple[int, int]
    seed_addresses: Sequence[str]
    store_address: str
    grace_s: float
    lease_s: float
    entry_ttl_s: float
    cores: float = 1.0
    fences_checked: bool = False
    keys_fail_closed: bool = False
    key_revocation_s: float = math.inf
    api_address: str = ""
    api_duties: frozenset[str] = frozenset()
    api_calls_per_s: float = math.inf
    report_window_s: float = 0.0
    report_due_s: float = 0.0
    metrics_port: int = 0
    memory_mb: float = DEFAULT_MEMORY_MB
    file_descriptors: float = DEFAULT_FILE_DESCRIPTORS

    @property
    def reports_usage(self) -> bool:
        """Whether the platform requires usage reports."""
        return DUTY_USAGE in self.api_duties

    @property
    def call_bytes_limit(self) -> int:
        """The bytes that the node may hold for callers."""
        return int(self.memory_mb * CALL_BYTES_SHARE * 1_000_000)

    @property
    def answer_bytes_limit(self) -> int:
        """The bytes that the node may hold of answers that have not arrived completely."""
        return int(self.memory_mb * ANSWER_BYTES_SHARE * 1_000_000)

    @property
    def request_bytes_limit(self) -> int:
        """The bytes that the node may hold for the heads of requests."""
        return int(self.memory_mb * REQUEST_SHARE * 1_000_000)

    @property
    def max_client_connections(self) -> int:
        """The connections that clients may hold at all listeners of the node together."""
        return max_client_connections(self.file_descriptors, self.memory_mb)

    @property
    def orders_targets(self) -> bool:
        """Whether the platform accepts orders of targets."""
        return DUTY_SCALING in self.api_duties

    def keeping_listeners_of(self, running: "BootSettings") -> "BootSettings":
        """Return these settings with the listen addresses of the running node."""
        return self._replace(
            front_address=running.front_address,
            ready_address=running.ready_address,
            control_address=running.control_address,
            directory_address=running.directory_address,
            peer_ports=running.peer_ports,
            metrics_port=running.metrics_port,
        )


class BootSettingsError(Exception):
    """Settings are invalid; the message names the file, the key and the problem."""


def read_boot_settings(path: str) -> BootSettings:
    """Return the settings in a file.

    :raises BootSettingsError: if the file can't be read, or a required key is missing or has the
        wrong type.
    """
    try:
        return decode_boot_settings(tomllib.loads(Path(path).read_text()), path)
    except (OSError, *MALFORMED_INPUT_ERRORS) as error:
        raise BootSettingsError(f"{path}: {error}") from error


def decode_boot_settings(document: Mapping[str, Any], source: str) -> BootSettings:
    """Return the settings in a parsed document; unknown keys are ignored.

    :raises BootSettingsError: if a required key is missing or has the wrong type.
    """
    reader = _SettingsReader(document, source)
    ports = reader.numbers("internalPortRange", 2)
    return BootSettings(
        node_id=reader.string("nodeName"),
        zone=reader.string("zone"),
        region=reader.string("region"),
        ip_address=reader.string("ipAddress"),
        front_address=reader.string("listenAddresses.front"),
        ready_address=reader.string("listenAddresses.ready"),
        control_address=reader.string("listenAddresses.control"),
        directory_address=reader.string("listenAddresses.directory"),
        peer_ports=(int(ports[0]), int(ports[1])),
        seed_addresses=reader.strings("seedNodes"),
        store_address=reader.string("platform.address"),
        grace_s=reader.number("bounds.gracePeriodS"),
        lease_s=reader.number("bounds.leaseDurationMs") / 1000.0,
        entry_ttl_s=reader.number("bounds.ttl_max_s"),
        # The process gets the share cpuShare of one core, and that core is cpuCores times as fast
        # as a core of the reference speed.
        cores=reader.number("limits.cpuShare", 1.0) * reader.number("limits.cpuCores", 1.0),
        fences_checked=reader.flag("bounds.fencingEnforced", default=False),
        keys_fail_closed=reader.flag("bounds.revokeFailClosed", default=False),
        key_revocation_s=reader.number("bounds.revocationMs", math.inf) / 1000.0,
        memory_mb=reader.positive("limits.memoryMb", DEFAULT_MEMORY_MB, finite=True),
        file_descriptors=reader.positive(
            "limits.fileDescriptors", DEFAULT_FILE_DESCRIPTORS, finite=True
        ),
        **_api_settings(reader),
    )


class _ApiSettings(TypedDict, total=False):
    """The settings of the platform's API; empty if there is none."""

    api_address: str
    api_duties: frozenset[str]
    api_calls_per_s: float
    report_window_s: float
    report_due_s: float


def _api_settings(reader: "_SettingsReader") -> _ApiSettings:
    """Return the settings of the platform's API.

    :raises BootSettingsError: if a key has the wrong type, or usage is a duty and the length or the
        due time of its windows is missing.
    """
    if not reader.has("cloudApi"):
        return {}
    settings = _ApiSettings(
        api_address=reader.string("cloudApi.address"),
        api_duties=frozenset(reader.strings("cloudApi.duties")),
        api_calls_per_s=reader.positive("cloudApi.dutyPerS", math.inf),
    )
    if DUTY_USAGE in settings["api_duties"]:
        settings["report_window_s"] = reader.positive("bounds.reportWindowS")
        settings["report_due_s"] = reader.positive("bounds.usageLateS")
    return settings


class _SettingsReader:
    """Reads values by dotted key, and raises errors that name the file and the key."""

    def __init__(self, document: Mapping[str, Any], source: str) -> None:
        self._document = document
        self._source = source

    def string(self, key: str) -> str:
        value = self._find(key)
        if not isinstance(value, str) or not value:
            raise self._error(key, "a string", value)
        return value

    def strings(self, key: str) -> Sequence[str]:
        value = self._find(key)
        if not isinstance(value, list) or not all(isinstance(v, str) for v in value):
            raise self._error(key, "a list of strings", value)
        return value

    def number(self, key: str, default: float | None = None) -> float:
        """Return a number; a missing key is an error unless there is a default."""
        value = self._find(key)
        if value is None and default is not None:
            return default
        if isinstance(value, bool) or not isinstance(value, (int, float)):
            raise self._error(key, "a number", value)
        return float(value)

    def has(self, key: str) -> bool:
        """Whether a key is present."""
        return self._find(key) is not None

    def positive(self, key: str, default: float | None = None, *, finite: bool = False) -> float:
        """Return a number above zero; a missing key is an error unless there is a default."""
        value = self.number(key, default)
        if value <= 0.0 or (finite and not math.isfinite(value)):
            raise self._error(key, "a number above zero", value)
        return value

    def flag(self, key: str, *, default: bool) -> bool:
        """Return a boolean, or the default if the key is missing."""
        value = self._find(key)
        if value is None:
            return default
        if not isinstance(value, bool):
            raise self._error(key, "true or false", value)
        return value

    def numbers(self, key: str, count: int) -> Sequence[float]:
        value = self._find(key)
        has_length = isinstance(value, list) and len(value) == count
        if not has_length or not all(_is_finite(v) for v in value):
            raise self._error(key, f"a list of {count} numbers", value)
        return [float(v) for v in value]

    def _find(self, key: str) -> Any:
        value: Any = self._document
        for part in key.split("."):
            value = value.get(part) if isinstance(value, Mapping) else None
        return value

    def _error(self, key: str, expected: str, value: Any) -> BootSettingsError:
        return BootSettingsError(f"{self._source}: {key}: expected {expected}, got {value!r}")


def _is_finite(value: object) -> bool:
    return isinstance(value, (int, float)) and math.isfinite(value)
