"""Runs a platform node: reloads its settings on SIGHUP, drains and stops on SIGTERM."""

import asyncio
import logging
import os
import signal
import sys
from collections.abc import Sequence
from typing import Final

import uvloop

from ..observe import RateLimitedHandler, make_formatter
from ._boot_settings import SETTINGS_VARIABLE, BootSettingsError, read_boot_settings
from ._platform_node import PlatformNode

EXIT_INVALID_SETTINGS: Final = 2
# A runner logs four lines per item, and a step has about a hundred items per second.
LOG_LINES_PER_S: Final = 600


def main() -> None:
    """Run a node until SIGTERM; exit with status 2 if the settings are invalid."""
    path = os.environ.get(SETTINGS_VARIABLE, "")
    try:
        settings = read_boot_settings(path)
    except BootSettingsError as error:
        print(error, file=sys.stderr)
        sys.exit(EXIT_INVALID_SETTINGS)
    if "--check" in sys.argv[1:]:
        print(f"{path}: good")
        return
    settings = settings._replace(metrics_port=_metrics_port(sys.argv[1:]))
    handler = RateLimitedHandler(sys.stdout, LOG_LINES_PER_S)
    handler.setFormatter(make_formatter("json"))
    logging.basicConfig(level=logging.INFO, handlers=[handler], force=True)
    uvloop.run(_run(PlatformNode(settings), path))


def _metrics_port(arguments: Sequence[str]) -> int:
    """Return the port of ``--metrics-port=N``, 0 for none."""
    for argument in arguments:
        name, _, value = argument.partition("=")
        if name == "--metrics-port" and value.isdigit():
            return int(value)
    return 0


def _reload(node: PlatformNode, path: str) -> None:
    """Reload the settings; the node keeps its current ones if the new ones are invalid."""
    try:
        node.reload(read_boot_settings(path))
    except BootSettingsError as error:
        logging.getLogger("samphirecleat").error("[node] settings kept: %s", error)


async def _run(node: PlatformNode, path: str) -> None:
    loop = asyncio.get_running_loop()
    terminated = asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, terminated.set)
    loop.add_signal_handler(signal.SIGHUP, _reload, node, path)
    await node.start()
    await terminated.wait()
    try:
        await node.drain()
    finally:
        await node.stop()


main()
