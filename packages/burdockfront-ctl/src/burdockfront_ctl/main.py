"""Command line interface for operators."""

import asyncio
import itertools
import pathlib
import secrets
import sys
from collections.abc import Iterator
from typing import Annotated

import cyclopts

from burdockfront import errors
from burdockfront_ctl import commands
from burdockfront_ctl import explanations
from burdockfront_ctl import language
from burdockfront_ctl import losses
from burdockfront_ctl import nodes as nodes_lib
from burdockfront_ctl import queries
from burdockfront_ctl import render
from burdockfront_ctl import servers
from burdockfront_ctl import settings as settings_lib

app = cyclopts.App(
    name="burdockfront-ctl",
    help="Queries the state of the system, changes its policy, and verifies "
    "changes.\n\nThe language:\n\n"
    + "\n\n".join(
        line.strip()
        for line in (language.__doc__ or "").splitlines()[2:]
        if line.strip()
    ),
)

_EXIT_INCOMPLETE = 1
_EXIT_BAD_INPUT = 2
_EXIT_REFUSED = 3


@app.default
def ask(
    *words: Annotated[str, cyclopts.Parameter(allow_leading_hyphen=False)],
    settings: pathlib.Path = pathlib.Path("ctl.yaml"),
    json: bool = False,
    picture: pathlib.Path | None = None,
) -> None:
    """Runs a query or command in the operators' language.

    Examples:
    burdockfront-ctl show members;
    burdockfront-ctl set policy enrolment retry.allowance = 1 if revision 12

    Args:
        words: The query or command.
        settings: YAML file with nodes, operator_key and who.
        json: Print JSON instead of a table.
        picture: Also draw the timeline into this SVG file.
    """
    text = " ".join(words)
    try:
        command = language.parse(text)
        loaded = settings_lib.load(settings)
        view = asyncio.run(run(loaded, command))
    except errors.InvalidInputError as error:
        _fail(error, _EXIT_BAD_INPUT)
    except errors.BurdockfrontError as error:
        _fail(error, _EXIT_REFUSED)
    if picture is not None:
        render.draw(view, picture)
    print(render.to_json(view) if json else render.to_text(view))
    if not view.complete:
        sys.exit(_EXIT_INCOMPLETE)


@app.command(name="new-key")
def new_key() -> None:
    """Prints a new random key for peer_keys or operator_keys."""
    print(secrets.token_urlsafe(32))


@app.command(name="losses")
def show_losses(*logs: pathlib.Path) -> None:
    """Shows which requests failed, where and why, from nodes' logs.

    Example: burdockfront-ctl losses node-1.log node-2.log

    Args:
        logs: Log files of any number of nodes.
    """
    if not logs:
        _fail(
            errors.InvalidInputError(
                "expected files with nodes' logs, got none; e.g. "
                "'burdockfront-ctl losses node-1.log node-2.log'."
            ),
            _EXIT_BAD_INPUT,
        )
    lines = itertools.chain.from_iterable(map(_read_lines, logs))
    print(losses.to_text(losses.read(lines)))


def _read_lines(log: pathlib.Path) -> Iterator[bytes]:
    try:
        with log.open("rb") as file:
            yield from file
    except OSError as error:
        message = f"can't read {log} ({error}); check the file name."
        _fail(errors.InvalidInputError(message), _EXIT_BAD_INPUT)


async def run(
    loaded: settings_lib.CtlSettings, command: language.Command
) -> render.View:
    """Executes one query or command."""
    nodes = nodes_lib.Nodes(loaded.nodes, loaded.operator_key)
    try:
        match command:
            case language.Show():
                return await queries.show(nodes, command)
            case language.ShowServers():
                return await servers.show(nodes, command)
            case language.Why():
                return await explanations.why(nodes, command)
            case language.Timeline():
                return await queries.show_timeline(nodes, command)
            case language.History():
                return await queries.history(nodes, command)
            case language.SetPolicy():
                return await commands.set_policy(nodes, command, loaded.who)
            case language.Drain():
                return await commands.drain(nodes, command, loaded.who)
            case language.Release():
                return await commands.release(nodes, command, loaded.who)
            case language.Verify():
                return await commands.verify(nodes, command)
    finally:
        await nodes.close()


def _fail(error: Exception, status: int) -> None:
    print(error, file=sys.stderr)
    sys.exit(status)


if __name__ == "__main__":
    app()
