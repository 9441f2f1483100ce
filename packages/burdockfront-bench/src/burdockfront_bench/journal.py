"""Witness of "at most once": each run of a confirmation, written down at once.

A killed backend server stand-in can't be asked what it ran. So each run is
appended to a file before the work begins; all processes that ran beside one
node write to the same file, one after the other.
"""

import collections
import pathlib


def note(path: pathlib.Path, key: str) -> None:
    """Writes down that a confirmation begins to run."""
    with path.open("a") as journal:
        journal.write(f"{key}\n")


def runs(path: pathlib.Path) -> dict[str, int]:
    """Returns how often each confirmation ran."""
    if not path.exists():
        return {}
    return dict(collections.Counter(path.read_text().split()))
