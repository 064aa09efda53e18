"""Service texts and a reference fold, shared by the configuration tests."""

from samphirecleat.config import ANY_REVISION, ConfigState, Publication, Restatement


def text_of(service: str) -> str:
    """Return a minimal valid service text with one service."""
    return f'{{"services": {{"{service}": {{"kind": "engine"}}}}}}'


VALID_TEXTS = (text_of("asesor"), text_of("cotizador"), text_of("modelo-respuestas"))
INVALID_TEXTS = ("{", '{"services": {}}')


class ReferenceFold:
    """A minimal reference implementation: the state in force after each offset."""

    def __init__(self) -> None:
        """Start with an empty log."""
        self.after: list[tuple[int, str, str]] = []

    def at(self, offset: int) -> tuple[int, str, str]:
        """Return the revision, text and operator in force after ``offset``."""
        return self.after[offset] if offset >= 0 else (-1, "", "")

    def append(self, record: Publication | Restatement) -> None:
        """Fold one more record; restatements have no effect."""
        revision, text, operator = self.at(len(self.after) - 1)
        is_publication = isinstance(record, Publication)
        if (
            is_publication
            and record.text in VALID_TEXTS
            and record.base in (revision, ANY_REVISION)
        ):
            revision, text, operator = len(self.after), record.text, record.operator
        self.after.append((revision, text, operator))


def state_in_force(state: ConfigState) -> tuple[int, str, str]:
    """Return the revision, text and operator of a fold state."""
    return state.revision, state.text, state.operator
