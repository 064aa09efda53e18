"""The command line: thin commands over the library."""

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
        """Check a service text and print every fault with its place."""
        text = _check_file(file)
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
        """Publish a service text and say what became of it.

        BASE is the revision that the text replaces: the one in force if it is left
        out, -2 for whatever is in force. RESUME is the id of an earlier
        publication whose outcome stayed unknown; nothing is appended then.
        Exit codes: 0 accepted, 1 rejected or not appended, 2 faults in the text,
        3 unknown.
        """
        from ._commands import publish

        if not resume:
            _check_file(file)
        text = "" if resume else Path(file).read_text(encoding="utf-8")
        sys.exit(_run(publish(text, log, str(operator), base, str(resume), timeout_s)))

    def report(self, node: str, *, json: bool = False) -> None:
        """Print the state of the whole fleet; NODE is any node's HTTP address."""
        from ._commands import report

        sys.exit(_run(report(node, as_json=json)))

    def node(self, settings: str) -> None:
        """Run the daemon of one entry host until SIGTERM, then drain it."""
        from .daemon import run_daemon

        run_daemon(settings)

    def bench(self, name: str, seed: int | None = None, json: bool = False) -> None:
        """Run a bench by name and print policy against baselines; ``list`` names them."""
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
    # The daemon has little memory: it must not load the trial and the stand-ins.
    if sys.argv[1:2] != ["node"]:
        from .explain import explain_command
        from .standins import standin_command
        from .trial import try_command

        by_name.update({"explain": explain_command, "standin": standin_command, "try": try_command})
    fire.Fire(by_name, name="samphirecleat")


def _check_file(file: str) -> ServiceText:
    """Read and check a service text; print its faults and exit when it has any."""
    try:
        return read_service_text(Path(file).read_text(encoding="utf-8"), file)
    except (DocumentError, OSError, UnicodeError) as error:
        print(error, file=sys.stderr)
        sys.exit(EXIT_BAD_INPUT)


def _run(main_coroutine: Coroutine[Any, Any, T]) -> T:
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(main_coroutine)
