"""What holds for all tests.

Tests that KNOWN-RED.txt lists may fail, and only these. Each is run and
reported. One that passes fails the run: its entry must leave the list together
with the fault.

In CI, properties draw the same examples each time, so a run has the same
verdict as the one before. By hand they draw fresh ones.
"""

import dataclasses
import os
import pathlib

import hypothesis
import pytest

hypothesis.settings.register_profile("ci", derandomize=True)
if os.environ.get("CI"):
    hypothesis.settings.load_profile("ci")

_LIST = pathlib.Path(__file__).parent / "KNOWN-RED.txt"
_FIELDS = 4


@dataclasses.dataclass(frozen=True, slots=True)
class _KnownRed:
    test: str
    seen: str
    issue: str


def _known_red() -> list[_KnownRed]:
    if not _LIST.exists():
        return []
    found = []
    for line in _LIST.read_text().splitlines():
        if line.strip() and not line.startswith("#"):
            parts = [part.strip() for part in line.split("|")]
            if len(parts) != _FIELDS:
                raise pytest.UsageError(
                    f"KNOWN-RED.txt: expected a test, a command and seed, what "
                    f"was seen and an issue between bars, got {line!r}."
                )
            test, _, seen, issue = parts
            found.append(_KnownRed(test, seen, issue))
    return found


def pytest_collection_modifyitems(
    config: pytest.Config, items: list[pytest.Item]
) -> None:
    """Marks the tests of the list.

    Raises:
        pytest.UsageError: An entry names no test of a file that was collected
            whole. Nothing would be passed over, and nobody would notice.
    """
    collected = {item.nodeid for item in items}
    entries = {entry.test: entry for entry in _known_red()}
    files = {_file_of(nodeid) for nodeid in collected}
    for test in entries.keys() - collected:
        missing = not (_LIST.parent / _file_of(test)).exists()
        if missing or (_file_of(test) in files and not _is_selection(config)):
            raise pytest.UsageError(
                f"KNOWN-RED.txt lists {test!r}, which is no test; give the id "
                f"that pytest prints, and nothing after it."
            )
    for item in items:
        entry = entries.get(item.nodeid)
        if entry is not None:
            reason = f"issue {entry.issue}: {entry.seen}"
            item.add_marker(pytest.mark.xfail(reason=reason, strict=True))


def _is_selection(config: pytest.Config) -> bool:
    """Returns whether only some tests of a file were asked for."""
    return any("::" in argument for argument in config.args) or bool(
        config.option.keyword or config.option.markexpr
    )


def _file_of(test: str) -> str:
    return test.partition("::")[0]


def pytest_terminal_summary(
    terminalreporter: pytest.TerminalReporter,
) -> None:
    """Prints the list, so that a green run does not hide it."""
    for entry in _known_red():
        terminalreporter.write_line(
            f"known red: {entry.test}: {entry.seen} (issue {entry.issue})"
        )
