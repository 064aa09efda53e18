"""The settings of a node, read from JSON with comments and validated at startup."""

import re
from collections.abc import Sequence
from typing import Final, NamedTuple

from ._jsonc import DocumentReader, read_document

MIN_SHARED_KEY_LENGTH: Final = 16
ADDRESS_PATTERN: Final = re.compile(r"^[0-9A-Fa-f.:\[\]]+:\d{1,5}$")


class Timings(NamedTuple):
    """Periods, timeouts and TTLs of a node, in seconds."""

    entry_ttl_s: float = 5.0
    key_epoch_s: float = 60.0
    max_deadline_s: float = 60.0
    heartbeat_s: float = 0.5
    suspect_after_s: float = 2.0
    watch_s: float = 0.5
    host_list_s: float = 1.0
    log_wait_s: float = 1.5
    log_retention_s: float = 3600.0
    lease_s: float = 6.0
    longest_order_s: float = 10.0
    progress_timeout_s: float = 3.0
    probe_timeout_s: float = 1.0
    connect_timeout_s: float = 1.0
    head_timeout_s: float = 5.0
    idle_timeout_s: float = 75.0


class Bounds(NamedTuple):
    """Limits on the data that a node accepts and stores, in bytes or items."""

    body_bytes: int = 1_000_000
    answer_store_bytes: int = 8_000_000
    keys: int = 20_000
    queue: int = 2_000
    head_bytes: int = 16_384
    connections: int = 2_000
    request_bytes: int = 32_000_000


class Settings(NamedTuple):
    """The settings that the operator passes to a node process at startup."""

    node_id: str
    zone: str
    http_address: str
    peer_address: str
    shared_key: str
    log_url: str
    weight_store_url: str
    host_list_url: str
    seeds: Sequence[str] = ()
    log_format: str = "human"
    log_level: str = "info"
    seed: int = 0
    timings: Timings = Timings()
    bounds: Bounds = Bounds()


def read_settings(text: str, source: str = "settings") -> Settings:
    """Parse and validate the settings of a node.

    :raises samphirecleat._jsonc.DocumentError: if the text is invalid; lists every error
        with its line, its key and the allowed values.
    """
    return read_document(text, source, _build)


def _build(reader: DocumentReader) -> Settings:
    settings = Settings(
        node_id=_read_name(reader, "node_id"),
        zone=_read_name(reader, "zone"),
        http_address=_read_address(reader, "http_address"),
        peer_address=_read_address(reader, "peer_address"),
        shared_key=_read_shared_key(reader),
        log_url=_read_url(reader, "log_url"),
        weight_store_url=_read_url(reader, "weight_store_url"),
        host_list_url=_read_url(reader, "host_list_url"),
        seeds=reader.take_strings("seeds", ()),
        log_format=reader.take_string("log_format", "human", one_of=("human", "json")),
        log_level=reader.take_string("log_level", "info", one_of=("debug", "info", "warning")),
        seed=reader.take_integer("seed", 0),
        timings=_read_timings(reader.take_object("timings")),
        bounds=_read_bounds(reader.take_object("bounds")),
    )
    for seed in settings.seeds:
        if not ADDRESS_PATTERN.match(seed):
            reader.add_error(f'"{seed}" is not an IP:port address', "seeds")
    reader.close()
    return settings


def _read_name(reader: DocumentReader, key: str) -> str:
    name = reader.take_string(key)
    if name and not re.fullmatch(r"[A-Za-z0-9_-]{1,40}", name):
        reader.add_error("only letters, digits, _ and - are allowed, at most 40 characters", key)
    return name


def _read_address(reader: DocumentReader, key: str) -> str:
    address = reader.take_string(key)
    if address and not ADDRESS_PATTERN.match(address):
        reader.add_error("expected an IP address and a port, such as 10.0.0.5:7000", key)
    return address


def _read_url(reader: DocumentReader, key: str) -> str:
    url = reader.take_string(key)
    if url and not url.startswith(("http://", "https://")):
        reader.add_error("expected a URL that starts with http:// or https://", key)
    return url.rstrip("/")


def _read_shared_key(reader: DocumentReader) -> str:
    key = reader.take_string("shared_key")
    if key and len(key) < MIN_SHARED_KEY_LENGTH:
        reader.add_error(f"expected at least {MIN_SHARED_KEY_LENGTH} characters", "shared_key")
    return key


def _read_timings(reader: DocumentReader | None) -> Timings:
    if reader is None:
        return Timings()
    values = {
        name: reader.take_number(name, default, at_least=0.01, at_most=86_400)
        for name, default in Timings._field_defaults.items()
    }
    reader.close()
    return Timings(**values)


def _read_bounds(reader: DocumentReader | None) -> Bounds:
    if reader is None:
        return Bounds()
    values = {
        name: reader.take_integer(name, default, at_least=1)
        for name, default in Bounds._field_defaults.items()
    }
    reader.close()
    return Bounds(**values)
