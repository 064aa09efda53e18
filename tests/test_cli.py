"""Tests of the command line, with each command in its own process."""

import json
import subprocess
import sys
import threading
from collections.abc import Iterator
from http.server import BaseHTTPRequestHandler, HTTPServer
from pathlib import Path
from typing import ClassVar

import pytest

from samphirecleat._report_tables import report_tables

EXAMPLES = Path(__file__).parent.parent / "examples"


def run(*arguments: str) -> subprocess.CompletedProcess[str]:
    command = [sys.executable, "-m", "samphirecleat", *arguments]
    return subprocess.run(command, capture_output=True, text=True, timeout=60, check=False)


class InMemoryLogServer(BaseHTTPRequestHandler):
    """A minimal in-memory log server."""

    records: ClassVar[list[object]] = []

    def do_POST(self) -> None:
        """Append a record."""
        body = self.rfile.read(int(self.headers["content-length"]))
        self.records.append(json.loads(body))
        self._answer({"offset": len(self.records) - 1})

    def do_GET(self) -> None:
        """Return the records from an offset."""
        start = int(self.path.split("from=")[1].split("&")[0])
        rows = [{"offset": i, "payload": p} for i, p in enumerate(self.records) if i >= start]
        self._answer({"records": rows, "first_kept_offset": 0, "next_offset": len(self.records)})

    def log_message(self, *_arguments: object) -> None:
        """Suppress the request log."""

    def _answer(self, body: object) -> None:
        data = json.dumps(body).encode()
        self.send_response(200)
        self.send_header("content-type", "application/json")
        self.send_header("content-length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)


@pytest.fixture
def log_url() -> Iterator[str]:
    """Run an empty log server and return its URL."""
    InMemoryLogServer.records.clear()
    server = HTTPServer(("127.0.0.1", 0), InMemoryLogServer)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    yield f"http://127.0.0.1:{server.server_address[1]}"
    server.shutdown()
    server.server_close()


def test_check_prints_every_error_and_exits_2(tmp_path: Path) -> None:
    broken = tmp_path / "broken.jsonc"
    broken.write_text('{\n"services": {"a": {"kind": "x",\n"size": 1}}}')
    done = run("check", str(broken))
    assert done.returncode == 2
    assert "line 2: services.a.kind" in done.stderr
    assert "line 3: services.a.size" in done.stderr
    assert run("check", str(EXAMPLES / "los-aromos.jsonc")).returncode == 0
    assert run("check", str(tmp_path / "missing.jsonc")).returncode == 2


def test_node_with_invalid_settings_exits_2(tmp_path: Path) -> None:
    settings = tmp_path / "node.jsonc"
    settings.write_text('{"node_id": "n 1"}')
    done = run("node", "--settings", str(settings))
    assert done.returncode == 2
    assert "node_id: only letters" in done.stderr
    assert '"zone" is missing' in done.stderr


def test_publish_exit_code_tells_the_outcome(log_url: str, tmp_path: Path) -> None:
    """Two operators publish from the same base revision; the second one is rejected."""
    text = str(EXAMPLES / "los-aromos.jsonc")
    first = run("publish", text, "--log", log_url, "--operator", "ana")
    assert first.returncode == 0, first.stderr
    assert first.stdout.startswith("accepted: revision 0 is in force")
    late = run("publish", text, "--log", log_url, "--operator", "bea", "--base", "-1")
    assert late.returncode == 1
    assert "revision 0 by ana" in late.stdout
    publication_id = first.stdout.split("(id ")[1].split(")")[0]
    assert run("publish", "--log", log_url, "--resume", publication_id).returncode == 0
    lost = run("publish", "--log", log_url, "--resume", "pub-0", "--timeout_s", "0.5")
    assert lost.returncode == 3
    (tmp_path / "broken").write_text("{")
    assert run("publish", str(tmp_path / "broken"), "--log", log_url).returncode == 2
    assert len(InMemoryLogServer.records) == 2


def test_report_without_a_response_exits_1(log_url: str) -> None:
    done = run("report", log_url.replace("http://", "") + "/nothing")
    assert done.returncode == 1
    assert "gave no report" in done.stderr


def test_report_tables_show_the_report_of_every_node() -> None:
    target = {
        "service": "asesor",
        "zone": "ar-centro-a",
        "version": 4,
        "reachable": True,
        "leaving": False,
        "loading": False,
        "running": 2,
        "waiting": 1,
    }
    step = {"trainer": "t", "step": "s1", "size": 8, "held": 3, "ready": 1, "discarded_stale": 0}
    node = {
        "zone": "ar-centro-a",
        "revision": 7,
        "members": ["n1", "n2"],
        "leaving": False,
        "targets": {"10.0.0.1:1": target},
        "steps": [step],
        "trainers": {"t": {"idle_ratio": 0.25, "staleness_versions": {"0": 5, "1": 2}}},
        "refusals": {"overloaded": 3},
    }
    unseen = {**target, "reachable": False}
    other = {**node, "targets": {"10.0.0.1:1": unseen}, "steps": [], "trainers": {}}
    nodes = {"n1": other, "n2": node, "n3": {"unavailable": "timed out"}}
    shown = report_tables({"nodes": nodes})
    rows = [" ".join(line.split()) for line in shown.splitlines()]
    assert "n2 ar-centro-a 7 2" in rows
    assert "n3 no answer: timed out" in rows
    assert "10.0.0.1:1 asesor ar-centro-a 4 serving 2 1" in rows
    assert "t s1 n2 8 3 1 0" in rows
    assert "t n2 0.25 0: 5, 1: 2" in rows
    assert "overloaded 6" in rows
