"""The platform's names are used in its package only."""

import re
from pathlib import Path


def test_platform_names_are_used_in_platform_package_only() -> None:
    package = Path(__file__).parents[2] / "samphirecleat"
    names = re.compile(
        r"X-Server-Stamp|X-Expect-Instance|X-Not-Executed|X-Request-Id|X-Deadline-Ms|fencingToken"
        r"|log-append|log-newest|pathPrefix|/v1/lots|targetLatencyMs|keyed\.servers"
    )
    found = [
        str(path.relative_to(package))
        for path in package.rglob("*.py")
        if "platform" not in path.relative_to(package).parts and names.search(path.read_text())
    ]
    assert found == []
