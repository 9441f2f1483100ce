"""Queries and commands of operators on the internal port."""

import dataclasses
import time
from typing import Any

from burdockfront import errors
from burdockfront import timeline
from burdockfront_node import daemon_components

_MAX_EVENTS = 5_000


class Operators:
    """Handlers of the operator endpoints of one node.

    Args:
        parts: Components of the node.
    """

    def __init__(self, parts: "daemon_components.Components"):
        self._parts = parts

    async def status(self, message: dict[str, Any]) -> dict[str, Any]:
        """Returns the state of this node and its metrics."""
        parts = self._parts
        member = parts.exchange.membership.local_member
        configuration = parts.exchange.configuration
        return {
            "node": member.node_id,
            "boot": member.boot_id,
            "data_center": member.data_center,
            "region": member.region,
            "service": member.service,
            "ready": parts.ready.is_set(),
            "draining": member.draining,
            "watching": parts.policies.watching(),
            "in_flight": parts.guard.in_flight,
            "level": parts.guard.level(),
            "short": [
                dataclasses.asdict(one)
                for one in parts.dispatcher.level_tracker.services.short(
                    time.monotonic()
                )
            ],
            "load": round(parts.guard.load(), 3),
            "ejected": parts.dispatcher.router.ejected(),
            "quarantined": parts.exchange.crash_gossip.tracker.quarantined,
            "applied": {
                name: {
                    "revision": applied.revision,
                    "change_id": applied.change_id,
                    "since_s": applied.since_s,
                }
                for name, applied in configuration.applied().items()
            },
            "rejected": {
                name: {"revision": r.revision, "why": r.reason}
                for name, r in configuration.rejected().items()
            },
            "counters": parts.metrics.counters(),
            "gauges": parts.metrics.gauges(),
            "wall_s": time.time(),
        }

    async def members(self, message: dict[str, Any]) -> dict[str, Any]:
        """Returns the members in this node's membership table."""
        members = self._parts.exchange.membership.members()
        return {
            "members": [
                {
                    "node": m.node_id,
                    "status": m.status.value,
                    "service": m.service,
                    "data_center": m.data_center,
                    "region": m.region,
                    "address": m.address,
                    "slots": m.slots,
                    "draining": m.draining,
                    "incarnation": m.incarnation,
                    "boot": m.boot_id,
                }
                for m in members
            ]
        }

    async def servers(self, message: dict[str, Any]) -> dict[str, Any]:
        """Returns what this node's router knows of the servers of a service."""
        router = self._parts.dispatcher.router
        now_s = time.monotonic()
        views = router.views(str(message["service"]), now_s)
        sent = sum(view.sent for view in views)
        return {
            "servers": [
                {
                    "node": view.target.node_id,
                    "data_center": view.target.data_center,
                    "share": round(view.sent / max(1, sent), 3),
                    "sent": view.sent,
                    "in_flight": view.in_flight,
                    "slots": view.target.slots,
                    "load": _rounded(view.load),
                    "load_age_s": _rounded(view.load_age_s),
                    "pace": _rounded(view.pace),
                    "pace_age_s": _rounded(view.pace_age_s),
                    "latency": _rounded(
                        router.estimates.relative_latency(view.target.node_id)
                    ),
                    "failures": _rounded(
                        router.estimates.failure_rate(
                            view.target.node_id, now_s
                        )
                    ),
                    "ejected": view.ejected,
                }
                for view in views
            ]
        }

    async def policy(self, message: dict[str, Any]) -> dict[str, Any]:
        """Returns the policy document in effect for a service."""
        service = message["service"]
        configuration = self._parts.exchange.configuration
        applied = configuration.applied().get(service)
        if applied is None:
            document = daemon_components.default_document(service)
            return {"revision": 0, "document": document, "change_id": ""}
        return {
            "revision": applied.revision,
            "document": applied.document,
            "change_id": applied.change_id,
        }

    async def change(self, message: dict[str, Any]) -> dict[str, Any]:
        """Changes one field of a policy document."""
        result = await self._parts.policies.change(
            service=message["service"],
            path=message["path"],
            value=message["value"],
            expected=message["expected"],
            who=message["who"],
            change_id=message["change_id"],
        )
        self._parts.recorder.record(
            time.time(),
            "operator.changed",
            who=message["who"],
            document=message["service"],
            path=message["path"],
            change_id=message["change_id"],
            revision=result["revision"],
        )
        return result

    async def history(self, message: dict[str, Any]) -> dict[str, Any]:
        """Returns the change history of a policy document."""
        lines = await self._parts.policies.history(message["service"])
        return {"lines": lines}

    async def events(self, message: dict[str, Any]) -> dict[str, Any]:
        """Returns recorded events of this process that match a filter."""
        limit = min(int(message.get("most", 500)), _MAX_EVENTS)
        matching = timeline.Filter(
            request=message.get("request", ""),
            node=message.get("node", ""),
            data_center=message.get("data_center", ""),
            kind=message.get("kind", ""),
        )
        events = self._parts.recorder.select(matching, limit)
        return {"events": [event.to_json() for event in events]}

    async def release(self, message: dict[str, Any]) -> dict[str, Any]:
        """Acquits a quarantined request of all its crashes."""
        fingerprint = str(message["fingerprint"])
        gossip = self._parts.exchange.crash_gossip
        entries = gossip.tracker.release_of(fingerprint, time.time())
        if not entries:
            raise errors.InvalidInputError(
                f"no crash counts against {fingerprint!r} at this node; 'show "
                f"quarantine' lists the quarantined requests."
            )
        for entry in entries:
            gossip.announce(entry)
        self._parts.recorder.record(
            time.time(),
            "operator.released",
            who=str(message.get("who", "")),
            fingerprint=fingerprint,
            crashes=len(entries),
        )
        return {"crashes": len(entries)}

    async def drain(self, message: dict[str, Any]) -> dict[str, Any]:
        """Starts or ends the draining of this node's backend server."""
        draining = message["draining"]
        if not isinstance(draining, bool):
            raise errors.InvalidInputError(
                f"expected draining as true or false, got {draining!r}."
            )
        if draining:
            self._parts.guard.drain()
        else:
            self._parts.guard.resume()
        self._parts.backends.publish()
        self._parts.recorder.record(
            time.time(),
            "operator.drain" if draining else "operator.undrain",
            who=str(message.get("who", "")),
        )
        return {"draining": self._parts.guard.draining}


def _rounded(value: float | None) -> float | None:
    return None if value is None else round(value, 3)
