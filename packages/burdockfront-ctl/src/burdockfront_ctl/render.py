"""Formats results as text tables, JSON, or an SVG picture."""

import dataclasses
import datetime
import io
import pathlib
from typing import Any

import matplotlib

matplotlib.use("svg")

import orjson
import rich.console
import rich.table
from matplotlib import pyplot

from burdockfront import timeline

_WIDTH = 160


@dataclasses.dataclass(slots=True)
class View:
    """Result of a query or command.

    Attributes:
        title: Title of the table.
        columns: Columns of the table, in order.
        rows: Values by column; may have further keys, which JSON includes.
        remarks: Sentences below the table.
        events: Events that the picture shows.
        complete: False makes the command exit with status 1.
    """

    title: str
    columns: list[str]
    rows: list[dict[str, Any]]
    remarks: list[str] = dataclasses.field(default_factory=list)
    events: list[timeline.Event] = dataclasses.field(default_factory=list)
    complete: bool = True


def of_events(title: str, events: list[timeline.Event]) -> View:
    """Returns a view with one row per event."""
    rows = [
        {
            "at": clock(timeline.seconds_of(event.stamp)),
            "node": event.node,
            "kind": event.kind,
            "request": event.request,
            "detail": " ".join(
                f"{key}={value}"
                for key, value in event.detail.items()
                if value not in ("", None)
            ),
        }
        for event in events
    ]
    columns = ["at", "node", "kind", "request", "detail"]
    return View(title, columns, rows, events=events)


def to_text(view: View) -> str:
    """Formats a view as a text table."""
    console = rich.console.Console(
        width=_WIDTH, record=True, file=io.StringIO()
    )
    table = rich.table.Table(title=view.title, title_justify="left")
    for column in view.columns:
        table.add_column(column, overflow="fold")
    for row in view.rows:
        table.add_row(*(_cell(column, row) for column in view.columns))
    console.print(table)
    for remark in view.remarks:
        console.print(remark, highlight=False)
    return console.export_text()


def to_json(view: View) -> str:
    """Formats a view as JSON."""
    document = {
        "title": view.title,
        "rows": view.rows,
        "remarks": view.remarks,
        "complete": view.complete,
    }
    return orjson.dumps(document, option=orjson.OPT_INDENT_2).decode()


def draw(view: View, path: pathlib.Path) -> None:
    """Draws the timeline into an SVG file: a row per node, a mark per event."""
    node_names = sorted({event.node for event in view.events})
    kinds = sorted({event.kind for event in view.events})
    figure, axes = pyplot.subplots(figsize=(11, 1.5 + 0.35 * len(node_names)))
    start_s = min(
        (timeline.seconds_of(e.stamp) for e in view.events), default=0.0
    )
    for kind in kinds:
        of_kind = [e for e in view.events if e.kind == kind]
        axes.scatter(
            [timeline.seconds_of(e.stamp) - start_s for e in of_kind],
            [node_names.index(e.node) for e in of_kind],
            label=kind,
            s=18,
        )
    axes.set_yticks(range(len(node_names)), node_names)
    axes.set_xlabel("seconds")
    axes.set_title(view.title)
    axes.legend(loc="center left", bbox_to_anchor=(1.0, 0.5), fontsize=7)
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)


def _cell(column: str, row: dict[str, Any]) -> str:
    value = row.get(column, "")
    if value is None:
        return ""
    if column.endswith("_s") and isinstance(value, float) and value > 1e9:
        return clock(value)
    return str(value)


def clock(wall_s: float) -> str:
    """Formats a Unix time as a time of day in UTC."""
    utc_time = datetime.datetime.fromtimestamp(wall_s, datetime.UTC)
    return utc_time.strftime("%H:%M:%S.%f")[:-3]
