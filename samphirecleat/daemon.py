"""The daemon process of a node: reads the settings and drains the node on SIGTERM."""

import logging
import sys
from pathlib import Path
from typing import Any, Final

import aiomisc

from ._jsonc import DocumentError
from .controllers.membership import max_drain_s
from .node import Node
from .observe import make_formatter
from .settings import Settings, read_settings

EXIT_BAD_SETTINGS: Final = 2


class NodeService(aiomisc.Service):
    """Runs one node under aiomisc, which handles signals."""

    node: Node

    async def start(self) -> None:
        """Start the node; returns once it listens."""
        await self.node.start()

    async def stop(self, exception: Exception | None = None) -> Any:
        """Drain the node, so that requests in flight complete, and stop it."""
        del exception
        await self.node.drain()
        await self.node.stop()


def run_daemon(settings_path: str) -> None:
    """Run a node until SIGTERM or SIGINT; exit with code 2 if the settings are invalid."""
    try:
        settings = read_settings(Path(settings_path).read_text(), settings_path)
    except (DocumentError, OSError, UnicodeError) as error:
        print(error, file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)
    _run(settings)


def _run(settings: Settings) -> None:
    shutdown_timeout_s = max_drain_s(settings.timings)
    _configure_logs(settings)
    with aiomisc.entrypoint(
        NodeService(node=Node(settings)),
        log_config=False,
        shutdown_timeout=shutdown_timeout_s,
    ) as loop:
        loop.run_forever()
    logging.shutdown()


def _configure_logs(settings: Settings) -> None:
    handler = logging.StreamHandler()
    handler.setFormatter(make_formatter(settings.log_format))
    logging.basicConfig(level=settings.log_level.upper(), handlers=[handler], force=True)
