"""The service text: types, validation, and the fold of the configuration stream."""

from .._jsonc import Diagnostic, DocumentError
from ._check import read_service_text
from ._fold import (
    ConfigState,
    PublicationOutcome,
    adopt_peer_state,
    fold_records,
    restatement_from_state,
)
from ._records import (
    ANY_REVISION,
    NO_REVISION,
    LogRecord,
    Publication,
    Restatement,
    publication_payload,
    read_record,
    restatement_payload,
)
from ._service_text import (
    EMPTY_SERVICE_TEXT,
    Method,
    Service,
    ServiceKind,
    ServiceText,
    TargetAddress,
    Trainer,
)

__all__ = [
    "ANY_REVISION",
    "EMPTY_SERVICE_TEXT",
    "NO_REVISION",
    "ConfigState",
    "DocumentError",
    "Diagnostic",
    "LogRecord",
    "Method",
    "PublicationOutcome",
    "Publication",
    "Restatement",
    "Service",
    "ServiceKind",
    "ServiceText",
    "TargetAddress",
    "Trainer",
    "adopt_peer_state",
    "fold_records",
    "publication_payload",
    "read_record",
    "read_service_text",
    "restatement_payload",
    "restatement_from_state",
]
