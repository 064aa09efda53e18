"""Where the platform's names may stand."""

import re
from pathlib import Path


def test_no_name_of_the_platform_stands_outside_its_folder() -> None:
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
