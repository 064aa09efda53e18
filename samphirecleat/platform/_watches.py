"""Entries of the operator's and the targets' topics, read into what the product keeps."""

from collections.abc import Mapping, Sequence

from ..durable import LogEntry
from ..observe import Observer
from ..serving import RouteTable, Target, TargetRegistry, TargetTable
from ._documents import (
    DocumentFormatError,
    decode_config,
    decode_named_version,
    decode_target,
)
from ._wire_names import CONFIG_KEY, VERSION_KEY_PREFIX


class OperatorWatch:
    """Takes the operator's newest configuration and the trainers' newest versions."""

    def __init__(self, routes: RouteTable, observer: Observer) -> None:
        """Put configurations into ``routes``."""
        self._routes = routes
        self._logger = observer.log("config")
        self._named: dict[str, int] = {}

    def take(self, entries: Sequence[LogEntry], newest: bool) -> None:
        """Take entries of the operator's topic; dropped keys change nothing."""
        del newest
        for entry in entries:
            if not entry.value:
                continue
            try:
                if entry.key == CONFIG_KEY:
                    self._take_config(entry)
                elif entry.key.startswith(VERSION_KEY_PREFIX):
                    self._take_version(entry)
            except DocumentFormatError as error:
                self._logger.error("offset=%d not understood: %s", entry.offset, error)

    def named(self, model: str) -> int:
        """Return the newest version of a model that was named, 1 before any."""
        return self._named.get(model, 1)

    def _take_config(self, entry: LogEntry) -> None:
        config = decode_config(entry.value)
        if self._routes.put(config):
            self._logger.info(
                "revision=%d in force routes=%d workspaces=%d keys=%d offset=%d",
                config.revision,
                len(config.routes),
                len(config.workspaces),
                sum(len(workspace.keys) for workspace in config.workspaces),
                entry.offset,
            )
            for conflict in self._routes.keys.conflicts:
                self._logger.error(
                    "revision=%d key mark=%s is held by workspaces %s: it names none of them",
                    config.revision,
                    conflict.fingerprint,
                    ",".join(conflict.workspaces),
                )

    def _take_version(self, entry: LogEntry) -> None:
        model, version = decode_named_version(entry.value)
        if version > self._named.get(model, 1):
            self._named[model] = version
            self._logger.info("model=%s version=%d named", model, version)


class TargetWatch:
    """Takes the targets' registrations."""

    def __init__(
        self,
        registry: TargetRegistry,
        table: TargetTable,
        observer: Observer,
    ) -> None:
        """Keep ``registry``, and ``table`` as it says."""
        self._registry = registry
        self._table = table
        self._logger = observer.log("targets")

    def take(self, entries: Sequence[LogEntry], newest: bool) -> None:
        """Take entries of the targets' topic."""
        read: dict[str, Target | None] = {entry.key: self._read(entry) for entry in entries}
        if newest:
            self._registry.replace({name: t for name, t in read.items() if t is not None})
        else:
            for name, target in read.items():
                self._take_one(name, target)
        self.refresh()

    def refresh(self) -> None:
        """Bring the table up to what the registry says now."""
        present = self._registry.usable_targets()
        if present != self._table.targets:
            self._log_changes(present)
            self._table.replace(present)

    def _take_one(self, name: str, target: Target | None) -> None:
        if target is None:
            self._registry.remove(name)
        else:
            self._registry.put(target)

    def _read(self, entry: LogEntry) -> Target | None:
        if not entry.value:
            return None
        try:
            return decode_target(entry.key, entry.value)
        except DocumentFormatError as error:
            self._logger.warning("offset=%d names no target: %s", entry.offset, error)
            return None

    def _log_changes(self, now: Mapping[str, Target]) -> None:
        """Write one line for all that came, went or drains: every node hears of every target."""
        before = self._table.targets
        came = [f"{name}@{target.address}" for name, target in now.items() if name not in before]
        gone = before.keys() - now.keys()
        draining = [
            name
            for name, target in now.items()
            if target.draining and not (name in before and before[name].draining)
        ]
        if came or gone or draining:
            self._logger.info(
                "targets=%d came=%s gone=%s draining=%s",
                len(now),
                ",".join(came),
                ",".join(sorted(gone)),
                ",".join(draining),
            )
