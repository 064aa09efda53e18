"""Service texts that the tests of the configuration share."""

from samphirecleat.config import ANY_REVISION, ConfigState, Publication, Restatement


def text_of(service: str) -> str:
    """Return a small valid text with one service."""
    return f'{{"services": {{"{service}": {{"kind": "engine"}}}}}}'


VALID_TEXTS = (text_of("asesor"), text_of("cotizador"), text_of("modelo-respuestas"))
INVALID_TEXTS = ("{", '{"services": {}}')


class FoldByRule:
    """The rule in its shortest form: what is in force after each offset."""

    def __init__(self) -> None:
        """Start with an empty log."""
        self.after: list[tuple[int, str, str]] = []

    def at(self, offset: int) -> tuple[int, str, str]:
        """Return revision, text and operator in force after ``offset``."""
        return self.after[offset] if offset >= 0 else (-1, "", "")

    def append(self, record: Publication | Restatement) -> None:
        """Fold one more record; a restatement changes nothing."""
        revision, text, operator = self.at(len(self.after) - 1)
        is_publication = isinstance(record, Publication)
        if (
            is_publication
            and record.text in VALID_TEXTS
            and record.base in (revision, ANY_REVISION)
        ):
            revision, text, operator = len(self.after), record.text, record.operator
        self.after.append((revision, text, operator))


def in_force(state: ConfigState) -> tuple[int, str, str]:
    """Return revision, text and operator that a fold holds."""
    return state.revision, state.text, state.operator
