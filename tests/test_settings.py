"""Tests of the settings and of the shipped examples."""

from pathlib import Path

import pytest

from samphirecleat.config import DocumentError, ServiceKind, read_service_text
from samphirecleat.settings import read_settings

EXAMPLES = Path(__file__).parent.parent / "examples"
SIZES = {
    "los-aromos": {"asesor": 5, "cotizador": 3},
    "lavadero-norte": {"modelo-respuestas": 6, "crm-nucleo": 8},
}
ZONES = {
    "los-aromos": {"ar-centro-a", "ar-centro-b", "ar-centro-c"},
    "lavadero-norte": {"bilbao-a", "bilbao-b", "oviedo-a", "santander-a"},
}


@pytest.mark.parametrize("name", SIZES)
def test_example_texts_match_the_sizes_of_their_deployments(name: str) -> None:
    text = read_service_text((EXAMPLES / f"{name}.jsonc").read_text(), name)
    found = {s.name: len(s.targets) for s in text.services.values() if s.targets}
    assert found == SIZES[name]
    assert {t.zone for s in text.services.values() for t in s.targets} == ZONES[name]
    for trainer in text.trainers.values():
        assert text.services[trainer.service].kind is ServiceKind.ENGINE


def test_example_settings_are_valid() -> None:
    settings = read_settings((EXAMPLES / "node.jsonc").read_text(), "node.jsonc")
    assert settings.zone in ZONES["los-aromos"]
    assert settings.timings.log_retention_s == 86_400


INVALID_VALUES = {
    '"node_id": "entrada-1"': ('"node_id": "entrada 1"', "node_id", "only letters"),
    '"zone": "ar-centro-a"': ('"zone": 7', "zone", "expected a string"),
    '"10.20.1.1:8080"': ('"entrada:8080"', "http_address", "expected an IP address and a port"),
    '"10.20.1.1:8081"': ('"10.20.1.1"', "peer_address", "expected an IP address and a port"),
    '"replace-this-shared-key"': ('"short"', "shared_key", "at least 16 characters"),
    '"http://10.20.0.5:7000"': ('"10.20.0.5:7000"', "log_url", "starts with http://"),
    '["10.20.2.1:8081", "10.20.3.1:8081"]': ('["x"]', "seeds", "not an IP:port address"),
    '"human"': ('"xml"', "log_format", "human, json"),
    '"log_retention_s": 86400': ('"log_retention_s": 0', "timings.log_retention_s", "outside"),
    '"body_bytes": 1000000': ('"body_byte": 1', "bounds.body_byte", "known keys"),
}


@pytest.mark.parametrize("valid", INVALID_VALUES)
def test_each_error_has_its_line_key_and_allowed_values(valid: str) -> None:
    invalid, key, message = INVALID_VALUES[valid]
    text = (EXAMPLES / "node.jsonc").read_text()
    line = text[: text.index(valid)].count("\n") + 1
    with pytest.raises(DocumentError) as caught:
        read_settings(text.replace(valid, invalid, 1))
    (diagnostic,) = caught.value.diagnostics
    assert (diagnostic.line, diagnostic.key) == (line, key)
    assert message in diagnostic.message


def test_all_errors_are_reported_together() -> None:
    text = (EXAMPLES / "node.jsonc").read_text()
    for valid, (invalid, _key, _message) in INVALID_VALUES.items():
        text = text.replace(valid, invalid, 1)
    with pytest.raises(DocumentError) as caught:
        read_settings(text)
    keys = {diagnostic.key for diagnostic in caught.value.diagnostics}
    assert keys == {key for _wrong, key, _message in INVALID_VALUES.values()}
