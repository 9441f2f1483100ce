"""Records the start and end of each request on the timeline."""

import asyncio
import time

from burdockfront import outcomes
from burdockfront_node.filters import base


@base.FILTERS.register("trace")
class Trace:
    """Records requests and their answers."""

    def __init__(self, tools: base.Tools):
        self._recorder = tools.recorder

    async def __call__(
        self, entry: base.Entry, following: base.Next
    ) -> outcomes.Answer:
        """Records one event before and one after the following filters."""
        context = entry.context
        assert context is not None
        started_s = time.monotonic()
        kind = "entry" if entry.parent is None else "deeper"
        self._recorder.note(
            time.time(),
            f"{kind}.accepted",
            context.request_id,
            service=entry.service,
            method=entry.request.method,
            class_name=context.class_name,
            priority=context.priority,
            parent=context.parent,
        )
        try:
            answer = await following(entry)
        except asyncio.CancelledError:
            self._recorder.record(
                time.time(),
                f"{kind}.abandoned",
                context.request_id,
                service=entry.service,
                class_name=context.class_name,
                trail=entry.call.trail if entry.call else [],
                elapsed_s=round(time.monotonic() - started_s, 4),
            )
            raise
        self._recorder.record(
            time.time(),
            f"{kind}.answered",
            context.request_id,
            service=entry.service,
            class_name=context.class_name,
            outcome=answer.outcome,
            reason=answer.reason or "",
            status=answer.status,
            trail=entry.call.trail if entry.call else [],
            starved=answer.starved,
            routes=entry.routes_version,
            allowed_s=round(context.remaining_s, 3),
            elapsed_s=round(time.monotonic() - started_s, 4),
        )
        return answer
