"""The settings that the platform lays down for a process, read into our own names."""

import math
import tomllib
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any, Final, NamedTuple, TypedDict

SETTINGS_VARIABLE: Final = "SAMPHIRECLEAT_BOOT"
DUTY_USAGE: Final = "usage"
DUTY_SCALING: Final = "scaling"


class BootSettings(NamedTuple):
    """Who this process is on the platform, where it listens, and what bounds it.

    Addresses are ``IP:PORT``; ``""`` is one that the platform did not give.
    ``peer_ports`` are the first and last port for traffic between nodes. ``metrics_port``
    comes from the command line, 0 for none. Where ``fences_checked``, those who take orders refuse
    the ones of an earlier holder. Within ``key_revocation_s`` a key that was taken
    away must be out of force; a node that can't hear of that serves nobody by key afterwards
    where ``keys_fail_closed``. The platform's API at ``api_address`` wants the ``api_duties`` of
    one node at a time; usage of each ``report_window_s`` is due ``report_due_s`` after its end.
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

    @property
    def reports_usage(self) -> bool:
        """Whether the platform wants usage reported."""
        return DUTY_USAGE in self.api_duties

    @property
    def orders_targets(self) -> bool:
        """Whether the platform takes orders of targets."""
        return DUTY_SCALING in self.api_duties


class BootSettingsError(Exception):
    """Settings that cannot be used; the text names the file, the key and what is wrong."""


def read_boot_settings(path: str) -> BootSettings:
    """Return the settings of a file.

    :raises BootSettingsError: when the file can't be read, or a needed key is missing or
        of another type.
    """
    try:
        document = tomllib.loads(Path(path).read_text())
    except (OSError, UnicodeError, tomllib.TOMLDecodeError) as error:
        raise BootSettingsError(f"{path}: {error}") from error
    return decode_boot_settings(document, path)


def decode_boot_settings(document: Mapping[str, Any], source: str) -> BootSettings:
    """Return the settings of a parsed document; keys that are not known are ignored.

    :raises BootSettingsError: when a needed key is missing or of another type.
    """
    reader = _Reader(document, source)
    ports = reader.numbers("internalPortRange", 2)
    return BootSettings(
        node_id=reader.text("nodeName"),
        zone=reader.text("zone"),
        region=reader.text("region"),
        ip_address=reader.text("ipAddress"),
        front_address=reader.text("listenAddresses.front"),
        ready_address=reader.text("listenAddresses.ready"),
        control_address=reader.text("listenAddresses.control"),
        directory_address=reader.text("listenAddresses.directory"),
        peer_ports=(int(ports[0]), int(ports[1])),
        seed_addresses=reader.texts("seedNodes"),
        store_address=reader.text("platform.address"),
        grace_s=reader.number("bounds.gracePeriodS"),
        lease_s=reader.number("bounds.leaseDurationMs") / 1000.0,
        entry_ttl_s=reader.number("bounds.ttl_max_s"),
        # A share of each core, and the number of cores whose shares add up.
        cores=reader.number("limits.cpuShare", 1.0) * reader.number("limits.cpuCores", 1.0),
        fences_checked=reader.flag("bounds.fencingEnforced", default=False),
        keys_fail_closed=reader.flag("bounds.revokeFailClosed", default=False),
        key_revocation_s=reader.number("bounds.revocationMs", math.inf) / 1000.0,
        **_api_settings(reader),
    )


class _ApiSettings(TypedDict, total=False):
    """The settings of the platform's API, none where there is no such API."""

    api_address: str
    api_duties: frozenset[str]
    api_calls_per_s: float
    report_window_s: float
    report_due_s: float


def _api_settings(reader: "_Reader") -> _ApiSettings:
    """Return where the platform's API is, and what of it is a duty.

    :raises BootSettingsError: when a key of it is of another type, or usage has no windows.
    """
    if not reader.has("cloudApi"):
        return {}
    settings = _ApiSettings(
        api_address=reader.text("cloudApi.address"),
        api_duties=frozenset(reader.texts("cloudApi.duties")),
        api_calls_per_s=reader.positive("cloudApi.dutyPerS", math.inf),
    )
    if DUTY_USAGE in settings["api_duties"]:
        settings["report_window_s"] = reader.positive("bounds.reportWindowS")
        settings["report_due_s"] = reader.positive("bounds.usageLateS")
    return settings


class _Reader:
    """Looks up dotted keys and says where one is wrong."""

    def __init__(self, document: Mapping[str, Any], source: str) -> None:
        self._document = document
        self._source = source

    def text(self, key: str) -> str:
        value = self._find(key)
        if not isinstance(value, str) or not value:
            raise self._error(key, "a text", value)
        return value

    def texts(self, key: str) -> Sequence[str]:
        value = self._find(key)
        if not isinstance(value, list) or not all(isinstance(v, str) for v in value):
            raise self._error(key, "a list of texts", value)
        return value

    def number(self, key: str, default: float | None = None) -> float:
        """Return a number; a key that is missing is a fault unless it has a default."""
        value = self._find(key)
        if value is None and default is not None:
            return default
        if isinstance(value, bool) or not isinstance(value, (int, float)):
            raise self._error(key, "a number", value)
        return float(value)

    def has(self, key: str) -> bool:
        """Whether a key is there."""
        return self._find(key) is not None

    def positive(self, key: str, default: float | None = None) -> float:
        """Return a number above zero; a key that is missing is a fault unless it has a default."""
        value = self.number(key, default)
        if value <= 0.0:
            raise self._error(key, "a number above zero", value)
        return value

    def flag(self, key: str, *, default: bool) -> bool:
        """Return true or false; a key that is missing has its default."""
        value = self._find(key)
        if value is None:
            return default
        if not isinstance(value, bool):
            raise self._error(key, "true or false", value)
        return value

    def numbers(self, key: str, count: int) -> Sequence[float]:
        value = self._find(key)
        fits = isinstance(value, list) and len(value) == count
        if not fits or not all(isinstance(v, (int, float)) for v in value):
            raise self._error(key, f"a list of {count} numbers", value)
        return [float(v) for v in value]

    def _find(self, key: str) -> Any:
        value: Any = self._document
        for part in key.split("."):
            value = value.get(part) if isinstance(value, Mapping) else None
        return value

    def _error(self, key: str, wanted: str, value: Any) -> BootSettingsError:
        return BootSettingsError(f"{self._source}: {key}: wants {wanted}, not {value!r}")
