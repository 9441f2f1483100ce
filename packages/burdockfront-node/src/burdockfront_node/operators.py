"""What operators may ask and command, on the internal port."""

import time
from typing import Any

from burdockfront import errors
from burdockfront import timeline
from burdockfront_node import daemon_components

_MOST_EVENTS = 5_000


class Operators:
    """Handlers of the operators' endpoints of one node."""

    def __init__(self, parts: "daemon_components.Components"):
        self._parts = parts

    async def status(self, message: dict[str, Any]) -> dict[str, Any]:
        """Returns what this node knows and does."""
        parts = self._parts
        me = parts.exchange.membership.local_member
        configuration = parts.exchange.configuration
        return {
            "node": me.node_id,
            "boot": me.boot_id,
            "data_center": me.data_center,
            "region": me.region,
            "service": me.service,
            "ready": parts.ready.is_set(),
            "draining": me.draining,
            "watching": parts.policies.watching(),
            "in_flight": parts.guard.in_flight,
            "level": parts.guard.level(),
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
        """Returns the members as this node knows them."""
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

    async def policy(self, message: dict[str, Any]) -> dict[str, Any]:
        """Returns the document in force of a service."""
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
        """Changes one field of a document."""
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
        """Returns the history of a document."""
        lines = await self._parts.policies.history(message["service"])
        return {"lines": lines}

    async def events(self, message: dict[str, Any]) -> dict[str, Any]:
        """Returns events of this process that match a filter."""
        most = min(int(message.get("most", 500)), _MOST_EVENTS)
        wanted = timeline.Filter(
            request=message.get("request", ""),
            node=message.get("node", ""),
            data_center=message.get("data_center", ""),
            kind=message.get("kind", ""),
        )
        found = self._parts.recorder.select(wanted, most)
        return {"events": [event.to_json() for event in found]}

    async def release(self, message: dict[str, Any]) -> dict[str, Any]:
        """Lets a request run again that is refused for crashes."""
        fingerprint = str(message["fingerprint"])
        news = self._parts.exchange.crash_gossip
        entries = news.tracker.release_of(fingerprint, time.time())
        if not entries:
            raise errors.InvalidInputError(
                f"no crash counts against {fingerprint!r} at this node; 'show "
                f"quarantine' lists what is refused."
            )
        for entry in entries:
            news.announce(entry)
        self._parts.recorder.record(
            time.time(),
            "operator.released",
            who=str(message.get("who", "")),
            fingerprint=fingerprint,
            crashes=len(entries),
        )
        return {"crashes": len(entries)}

    async def drain(self, message: dict[str, Any]) -> dict[str, Any]:
        """Drains this node's backend server, or takes that back."""
        wanted = message["draining"]
        if not isinstance(wanted, bool):
            raise errors.InvalidInputError(
                f"expected draining as true or false, got {wanted!r}."
            )
        if wanted:
            self._parts.guard.drain()
        else:
            self._parts.guard.resume()
        self._parts.backends.publish()
        self._parts.recorder.record(
            time.time(),
            "operator.drain" if wanted else "operator.undrain",
            who=str(message.get("who", "")),
        )
        return {"draining": self._parts.guard.draining}
