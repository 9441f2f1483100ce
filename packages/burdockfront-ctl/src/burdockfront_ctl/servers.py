"""The `show servers` query: how one node chooses among backend servers."""

from burdockfront import errors
from burdockfront_ctl import language
from burdockfront_ctl import nodes as nodes_lib
from burdockfront_ctl import render

_COLUMNS = ["node", "data_center", "share", "sent", "in_flight", "slots"]
_COLUMNS += ["load", "load_age_s", "pace", "pace_age_s", "latency", "failures"]
_COLUMNS += ["ejected"]


async def show(
    nodes: nodes_lib.Nodes, command: language.ShowServers
) -> render.View:
    """Returns the servers of a service as the router of one node sees them.

    Raises:
        InvalidInputError: There is no such member.
    """
    members = {m["node"]: m for m in await nodes.members()}
    member = members.get(command.node)
    if member is None:
        raise errors.InvalidInputError(
            f"no member {command.node!r}; 'show members' lists them."
        )
    message = {"service": command.service}
    found = (await nodes.ask(member["address"], "servers", message))["servers"]
    rows = [
        {key: "" if value is None else value for key, value in row.items()}
        for row in sorted(found, key=lambda row: str(row["node"]))
    ]
    title = f"servers of {command.service} as {command.node} sees them"
    view = render.View(title, _COLUMNS, rows)
    view.remarks.append(
        "'share' is of the calls that this node sent since it knows them; "
        "'load' and 'pace' are as last reported, and lose weight within a "
        "second; 'latency' is relative to the typical one."
    )
    return view
