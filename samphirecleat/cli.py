"""The command-line interface."""

import asyncio
import sys
from collections.abc import Callable, Coroutine
from json import dumps as encode_json
from pathlib import Path
from typing import Any, Final, TypeVar

import fire
import uvloop

from .config import DocumentError, ServiceText, read_service_text

EXIT_BAD_INPUT: Final = 2
T = TypeVar("T")


class Commands:
    """Samphirecleat, a rollout service for reinforcement learning."""

    def check(self, file: str) -> None:
        """Validate a service text and print every error with its line and key."""
        text = _read_service_text_or_exit(file)
        print(f"{file}: {len(text.services)} services, {len(text.trainers)} trainers, no fault")

    def publish(
        self,
        file: str = "",
        *,
        log: str,
        operator: str = "",
        base: int | None = None,
        resume: str = "",
        timeout_s: float = 15.0,
    ) -> None:
        """Publish a service text and print the outcome.

        BASE is the revision that the text replaces. It defaults to the revision in
        force; -2 replaces any revision. RESUME is the id of an earlier publication with
        an unknown outcome; its outcome is looked up and nothing is appended.
        Exit codes: 0 accepted, 1 rejected or not appended, 2 invalid text, 3 unknown.
        """
        from ._commands import publish

        if not resume:
            _read_service_text_or_exit(file)
        text = "" if resume else Path(file).read_text(encoding="utf-8")
        sys.exit(_run(publish(text, log, str(operator), base, str(resume), timeout_s)))

    def report(self, node: str, *, json: bool = False) -> None:
        """Print the state of the whole fleet; NODE is the HTTP address of any node."""
        from ._commands import report

        sys.exit(_run(report(node, as_json=json)))

    def node(self, settings: str) -> None:
        """Run the daemon of one entry host until SIGTERM, then drain it."""
        from .daemon import run_daemon

        run_daemon(settings)

    def bench(self, name: str, seed: int | None = None, json: bool = False) -> None:
        """Run a bench and print its policies against baselines; NAME ``list`` lists benches."""
        from .bench import BENCH_MODULES, UnknownBenchError, print_result, run_bench

        if name == "list":
            print("\n".join(BENCH_MODULES))
            return
        try:
            result = _run(run_bench(name, seed))
        except UnknownBenchError as error:
            print(error, file=sys.stderr)
            sys.exit(EXIT_BAD_INPUT)
        if json:
            print(encode_json(result.to_json()))
        else:
            print_result(result)


def main() -> None:
    """Run the command line."""
    commands = Commands()
    by_name: dict[str, Callable[..., None]] = {
        "bench": commands.bench,
        "check": commands.check,
        "node": commands.node,
        "publish": commands.publish,
        "report": commands.report,
    }
    # The daemon does not import the trial and the stand-ins, to save memory.
    if sys.argv[1:2] != ["node"]:
        from .explain import explain_command
        from .standins import standin_command
        from .trial import try_command

        by_name.update({"explain": explain_command, "standin": standin_command, "try": try_command})
    fire.Fire(by_name, name="samphirecleat")


def _read_service_text_or_exit(file: str) -> ServiceText:
    """Read and validate a service text; print its errors and exit with code 2 if invalid."""
    try:
        return read_service_text(Path(file).read_text(encoding="utf-8"), file)
    except (DocumentError, OSError, UnicodeError) as error:
        print(error, file=sys.stderr)
        sys.exit(EXIT_BAD_INPUT)


def _run(main_coroutine: Coroutine[Any, Any, T]) -> T:
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(main_coroutine)
