"""Writes the data directory of one control instance with a configuration, for stored_prefixes.py.

Usage: write_fixture.py BUILD_DIRECTORY OUTPUT_DIRECTORY. BUILD_DIRECTORY holds the programs of the version that writes.
fixtures/a8286f9 was made of the programs of that commit (scripts/build-version.sh a8286f9 build/a8286f9):
  tests/platform/write_fixture.py build/a8286f9 tests/platform/fixtures/a8286f9
"""

import pathlib
import shutil
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path[:0] = [str(HERE), str(HERE.parent / "support")]

from fleet import wait_until  # noqa: E402
from stand_in import PlatformFleet, route, service  # noqa: E402

ROUTES = [route("safe", "s1", name="quotes"), route("unsafe", "s2", name="book", path_prefix="/quotes/book/"),
          route("unsafe", "s2", name="capture"), route("safe", "s2", name="status", path_prefix="/capture/status/")]


def main(build, output):
    with PlatformFleet(build) as fleet:
        fleet.start(controls=1, entries=0)
        services = [service("s1"), service("s2")]
        wait_until(lambda: fleet.put("00000001", "0", ROUTES[:3], services) == 200, "the first configuration")
        wait_until(lambda: fleet.patch("00000002", "00000001", ROUTES[3:]) == 200, "a change")
        fleet.controls[0].terminate()
        shutil.copytree(fleet.directory / "data-0", output)


if __name__ == "__main__":
    main(*sys.argv[1:])
