"""Applies the entries of the operator's and the targets' topics to the node's tables."""

from collections.abc import Mapping, Sequence

from ..durable import EntryApplier, LogEntry
from ..observe import Observer
from ..serving import RouteTable, Target, TargetRegistry, TargetTable
from ._documents import decode_config, decode_named_version, decode_target
from ._wire_names import CONFIG_KEY, TOPIC_OPERATOR, TOPIC_TARGETS, VERSION_KEY_PREFIX


class OperatorWatch:
    """Applies the operator's configuration and tracks the newest version of each model."""

    def __init__(self, routes: RouteTable, observer: Observer) -> None:
        """Apply configurations to ``routes``."""
        self._routes = routes
        self._logger = observer.log("config")
        self._newest_versions: dict[str, int] = {}
        self._applier = EntryApplier(TOPIC_OPERATOR, self._apply_one, observer)

    def apply(self, entries: Sequence[LogEntry], is_snapshot: bool) -> None:
        """Apply entries of the operator's topic; deleted and malformed ones are ignored."""
        del is_snapshot
        self._applier.apply(entries)

    def newest_version(self, model: str) -> int:
        """Return the newest published version of a model, 1 before the first one."""
        return self._newest_versions.get(model, 1)

    def _apply_one(self, entry: LogEntry) -> None:
        if not entry.value:
            return
        if entry.key == CONFIG_KEY:
            self._apply_config(entry)
        elif entry.key.startswith(VERSION_KEY_PREFIX):
            self._apply_version(entry)

    def _apply_config(self, entry: LogEntry) -> None:
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
                    "revision=%d key mark=%s is shared by workspaces %s and authenticates none",
                    config.revision,
                    conflict.fingerprint,
                    ",".join(conflict.workspaces),
                )

    def _apply_version(self, entry: LogEntry) -> None:
        model, version = decode_named_version(entry.value)
        if version > self._newest_versions.get(model, 1):
            self._newest_versions[model] = version
            self._logger.info("model=%s version=%d published", model, version)


class TargetWatch:
    """Applies the registrations of targets."""

    def __init__(
        self,
        registry: TargetRegistry,
        table: TargetTable,
        observer: Observer,
    ) -> None:
        """Update ``registry``, and ``table`` from it."""
        self._registry = registry
        self._table = table
        self._logger = observer.log("targets")
        self._decoded: dict[str, Target | None] = {}
        self._applier = EntryApplier(TOPIC_TARGETS, self._decode, observer, self._name_no_target)

    def apply(self, entries: Sequence[LogEntry], is_snapshot: bool) -> None:
        """Apply entries of the targets' topic; a snapshot replaces all registrations.

        A malformed registration names no target; the others hold.
        """
        decoded = self._decoded = {}
        self._applier.apply(entries)
        if is_snapshot:
            self._registry.replace({name: t for name, t in decoded.items() if t is not None})
        else:
            for name, target in decoded.items():
                self._apply_one(name, target)
        self.refresh()

    def refresh(self) -> None:
        """Update the table from the current state of the registry."""
        usable = self._registry.usable_targets()
        if usable != self._table.targets:
            self._log_changes(usable)
            self._table.replace(usable)

    def _apply_one(self, name: str, target: Target | None) -> None:
        if target is None:
            self._registry.remove(name)
        else:
            self._registry.put(target)

    def _decode(self, entry: LogEntry) -> None:
        self._decoded[entry.key] = decode_target(entry.key, entry.value) if entry.value else None

    def _name_no_target(self, entry: LogEntry) -> None:
        self._decoded[entry.key] = None

    def _log_changes(self, usable: Mapping[str, Target]) -> None:
        """Log all changes in one line, because every node sees the changes of every target."""
        before = self._table.targets
        added = [
            f"{name}@{target.address}" for name, target in usable.items() if name not in before
        ]
        removed = before.keys() - usable.keys()
        draining = [
            name
            for name, target in usable.items()
            if target.draining and not (name in before and before[name].draining)
        ]
        if added or removed or draining:
            self._logger.info(
                "targets=%d came=%s gone=%s draining=%s",
                len(usable),
                ",".join(added),
                ",".join(sorted(removed)),
                ",".join(draining),
            )
