"""The two current deployments, scaled down for trials."""

from collections.abc import Mapping, Sequence
from typing import Final, NamedTuple


class DeploymentShape(NamedTuple):
    """Zones, services and server counts of one deployment.

    ``plain_idempotent`` and ``plain_once`` name an idempotent and a non-idempotent
    method of the plain service. ``staleness_weight`` is how much the operators weigh
    staleness of samples against trainer idle time.
    """

    name: str
    zones: Sequence[str]
    engine_service: str
    engine_count: int
    plain_service: str
    plain_count: int
    plain_idempotent: str
    plain_once: str
    staleness_weight: float


DEPLOYMENTS: Final[Mapping[str, DeploymentShape]] = {
    "los-aromos": DeploymentShape(
        name="los-aromos",
        zones=("ar-centro-a", "ar-centro-b", "ar-centro-c"),
        engine_service="asesor",
        engine_count=5,
        plain_service="cotizador",
        plain_count=3,
        plain_idempotent="price",
        plain_once="issue_quote",
        staleness_weight=0.8,
    ),
    "lavadero-norte": DeploymentShape(
        name="lavadero-norte",
        zones=("bilbao-a", "bilbao-b", "oviedo-a", "santander-a"),
        engine_service="modelo-respuestas",
        engine_count=6,
        plain_service="crm-nucleo",
        plain_count=8,
        plain_idempotent="read_card",
        plain_once="send_reminder",
        staleness_weight=0.2,
    ),
}


def service_text(
    shape: DeploymentShape, *, max_swapping_share: float = 0.34, trainers: int = 1
) -> str:
    """Return the service text of a deployment with targets from the host list."""
    trainer_rows = ", ".join(
        f'"trainer-{number}": {{"service": "{shape.engine_service}", "share": 1}}'
        for number in range(1, trainers + 1)
    )
    return f"""{{
  // Services of {shape.name}; their targets are found in the host list.
  "services": {{
    "{shape.engine_service}": {{
      "kind": "engine",
      "depends_on": ["{shape.plain_service}"],
      "checks_fencing": true,
      "refusal_is_not_run": true,
      "staleness_bound": 2,
      "staleness_weight": {shape.staleness_weight},
      "max_swapping_share": {max_swapping_share}
    }},
    "{shape.plain_service}": {{
      "kind": "plain",
      "refusal_is_not_run": true,
      "methods": {{
        "{shape.plain_idempotent}": {{"idempotent": true, "max_s": 10}},
        "{shape.plain_once}": {{"idempotent": false, "max_s": 10}}
      }}
    }},
    "scoring": {{"kind": "scoring", "refusal_is_not_run": true}}
  }},
  "trainers": {{{trainer_rows}}}
}}
"""
