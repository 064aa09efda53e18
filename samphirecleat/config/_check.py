"""Parses and validates a service text."""

import re
from collections.abc import Mapping, Sequence
from typing import Final

from .._jsonc import DocumentReader, read_document
from ..settings import ADDRESS_PATTERN
from ._service_text import Method, Service, ServiceKind, ServiceText, TargetAddress, Trainer

DEFAULT_METHODS: Final[Mapping[ServiceKind, Sequence[Method]]] = {
    ServiceKind.ENGINE: (Method("generate", idempotent=True, max_s=30.0),),
    ServiceKind.PLAIN: (),
    ServiceKind.SCORING: (Method("score", idempotent=True, max_s=10.0),),
}
NAME_PATTERN: Final = re.compile(r"[A-Za-z0-9_-]{1,40}")


def read_service_text(text: str, source: str = "service text") -> ServiceText:
    """Parse and validate a service text.

    :raises samphirecleat._jsonc.DocumentError: if the text is invalid; lists every
        error with its line and key, such as unknown keys, unknown or circular
        dependencies, and limits out of range.
    """
    return read_document(text, source, _build)


def _build(reader: DocumentReader) -> ServiceText:
    service_readers = reader.take_objects("services")
    services = {
        name: _read_service(name, entry_reader) for name, entry_reader in service_readers.items()
    }
    if not services:
        reader.add_error("at least one service is required", "services")
    trainer_readers = reader.take_objects("trainers")
    trainers = {
        name: _read_trainer(name, entry_reader) for name, entry_reader in trainer_readers.items()
    }
    reader.close()
    _check_dependencies(services, service_readers)
    _check_trainers(trainers, services, trainer_readers)
    return ServiceText(services, trainers)


def _read_service(name: str, reader: DocumentReader) -> Service:
    if not NAME_PATTERN.fullmatch(name):
        reader.add_error(
            "a service name may contain only letters, digits, _ and -, at most 40 characters"
        )
    kind = ServiceKind(reader.take_string("kind", one_of=[kind.value for kind in ServiceKind]))
    service = Service(
        name=name,
        kind=kind,
        depends_on=reader.take_strings("depends_on", ()),
        targets=_read_targets(reader),
        methods=_read_methods(reader, kind),
        capacity_per_target=reader.take_integer("capacity_per_target", 8, at_least=1),
        checks_fencing=reader.take_boolean("checks_fencing", False),
        refusal_is_not_run=reader.take_boolean("refusal_is_not_run", False),
        staleness_bound=reader.take_integer("staleness_bound", 1, at_most=1000),
        staleness_weight=reader.take_number("staleness_weight", 0.5, at_most=1.0),
        max_swapping_share=reader.take_number(
            "max_swapping_share", 0.34, at_least=0.01, at_most=1.0
        ),
        caller_share=reader.take_number("caller_share", 0.7, at_most=1.0),
    )
    reader.close()
    return service


def _read_targets(reader: DocumentReader) -> Sequence[TargetAddress]:
    targets = []
    for address, entry_reader in reader.take_objects("targets").items():
        if not ADDRESS_PATTERN.match(address):
            entry_reader.add_error(f'"{address}" is not an IP:port address')
        targets.append(TargetAddress(address, entry_reader.take_string("zone")))
        entry_reader.close()
    return tuple(targets)


def _read_methods(reader: DocumentReader, kind: ServiceKind) -> Mapping[str, Method]:
    methods = {method.name: method for method in DEFAULT_METHODS[kind]}
    for name, entry_reader in reader.take_objects("methods").items():
        methods[name] = Method(
            name,
            idempotent=entry_reader.take_boolean("idempotent"),
            max_s=entry_reader.take_number("max_s", 30.0, at_least=0.01, at_most=3600.0),
        )
        entry_reader.close()
    if not methods:
        reader.add_error('a plain service requires at least one entry in "methods"')
    return methods


def _read_trainer(name: str, reader: DocumentReader) -> Trainer:
    if not NAME_PATTERN.fullmatch(name):
        reader.add_error(
            "a trainer name may contain only letters, digits, _ and -, at most 40 characters"
        )
    trainer = Trainer(
        name=name,
        service=reader.take_string("service"),
        share=reader.take_number("share", 1.0, at_least=0.001, at_most=1000.0),
    )
    reader.close()
    return trainer


def _check_dependencies(
    services: Mapping[str, Service], readers: Mapping[str, DocumentReader]
) -> None:
    for name, service in services.items():
        for dependency in service.depends_on:
            if dependency not in services:
                known = ", ".join(sorted(services))
                readers[name].add_error(
                    f'"{dependency}" is not a service; known services: {known}', "depends_on"
                )
    for name in services:
        cycle = _find_cycle(name, services)
        if cycle and name == min(cycle):
            readers[name].add_error(
                f"circular dependency: {' -> '.join([*cycle, name])}", "depends_on"
            )


def _find_cycle(start: str, services: Mapping[str, Service]) -> Sequence[str]:
    """Return the names on a dependency cycle through ``start``, or an empty sequence."""
    paths = [[start]]
    visited: set[str] = set()
    while paths:
        path = paths.pop()
        for dependency in services[path[-1]].depends_on:
            if dependency == start:
                return path
            if dependency in services and dependency not in visited:
                visited.add(dependency)
                paths.append([*path, dependency])
    return ()


def _check_trainers(
    trainers: Mapping[str, Trainer],
    services: Mapping[str, Service],
    readers: Mapping[str, DocumentReader],
) -> None:
    for name, trainer in trainers.items():
        service = services.get(trainer.service)
        if service is None or service.kind is not ServiceKind.ENGINE:
            readers[name].add_error(
                f'"{trainer.service}" is not a service of kind engine', "service"
            )
