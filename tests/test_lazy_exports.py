"""Tests of the lazily loaded names of packages."""

import importlib
import subprocess
import sys

import pytest

LAZY_PACKAGES = [
    "samphirecleat",
    "samphirecleat.controllers.membership",
    "samphirecleat.observe",
    "samphirecleat.peers",
    "samphirecleat.targets",
]


@pytest.mark.parametrize("package", LAZY_PACKAGES)
def test_every_public_name_is_available(package: str) -> None:
    module = importlib.import_module(package)
    assert all(getattr(module, name) is not None for name in module.__all__)


@pytest.mark.parametrize("package", LAZY_PACKAGES)
def test_unknown_name_raises_attribute_error(package: str) -> None:
    with pytest.raises(AttributeError, match="no_such_name"):
        _ = importlib.import_module(package).no_such_name


def test_daemon_imports_no_unused_libraries() -> None:
    """Guards against imports that slow down the start of the daemon and use its memory.

    The daemon of samphirecleat.platform does not serve the HTTP and gRPC interfaces of
    samphirecleat.node. On a host with half a core and 200 MB, importing their libraries takes
    a third more memory and delays the recovery of the fleet after a power failure.
    """
    unused = ("grpclib", "google.protobuf", "opentelemetry", "samphirecleat.node")
    code = (
        "import sys, samphirecleat.platform._platform_node;"
        f"print([name for name in {unused!r} if name in sys.modules])"
    )
    done = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, timeout=60, check=True
    )
    assert done.stdout.strip() == "[]"
