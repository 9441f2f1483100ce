"""A stand-in for the platform's metadata store, after PROTOCOL.md."""

import asyncio
import base64
import json
import time
import urllib.parse
from typing import Any

import http1

_PAGE_ITEMS = 500


class Store:
    """A sound store: linearizable, no limits on calls, history kept whole."""

    def __init__(self, address: str):
        self.address = address
        self.calls = 0
        self._items: dict[str, dict[str, Any]] = {}
        self._history: list[dict[str, Any]] = []
        self._revision = 100
        self._leases: dict[int, tuple[float, float]] = {}
        self._next_lease = 1
        self._changed = asyncio.Event()
        self._server = http1.Server(self._serve, address)
        self._expiry: asyncio.Task[None] | None = None

    async def open(self) -> None:
        """Opens the port."""
        await self._server.open()
        self._expiry = asyncio.create_task(self._expire_forever())

    def close(self) -> None:
        """Closes the port."""
        self._server.close()
        if self._expiry is not None:
            self._expiry.cancel()

    def put_config(self, document: dict[str, Any]) -> None:
        """Writes the configuration as the operator does."""
        value = base64.b64encode(json.dumps(document).encode()).decode()
        self._put("op/config", value, 0)

    async def _serve(self, request: http1.Request) -> http1.Response:
        self.calls += 1
        url = urllib.parse.urlsplit(request.target)
        query = dict(urllib.parse.parse_qsl(url.query))
        kind, _, rest = url.path.strip("/").partition("/")
        body = json.loads(request.body) if request.body else {}
        match kind:
            case "kv-key":
                item = self._items.get(query["key"])
                if item is None:
                    return _json(404, {"as_of": self._revision})
                return _json(200, {**item, "as_of": self._revision})
            case "kv-range":
                return self._range(query)
            case "kv-watch":
                return await self._watch(query)
            case "kv-txn":
                return self._txn(body)
            case "kv-lease":
                return self._grant(float(body["ttl_s_time"]))
            case "kv-keep":
                return self._renew(int(rest))
            case "kv-lease-end":
                self._revoke(int(rest))
                return _json(200, {})
        return _json(404, {})

    def _range(self, query: dict[str, str]) -> http1.Response:
        after = query.get("after", "")
        keys = sorted(
            key
            for key in self._items
            if key.startswith(query["prefix"]) and key > after
        )
        page = [self._items[key] for key in keys[:_PAGE_ITEMS]]
        return _json(
            200,
            {
                "items": page,
                "has_more": len(keys) > _PAGE_ITEMS,
                "as_of": self._revision,
            },
        )

    async def _watch(self, query: dict[str, str]) -> http1.Response:
        after = int(query["after"])
        until_s = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            events = [
                event
                for event in self._history
                if event["revision"] > after
                and event["key"].startswith(query["prefix"])
            ]
            left_s = until_s - time.monotonic()
            if events or left_s <= 0:
                return _json(200, {"events": events, "as_of": self._revision})
            self._changed.clear()
            try:
                async with asyncio.timeout(left_s):
                    await self._changed.wait()
            except TimeoutError:
                pass

    def _txn(self, body: dict[str, Any]) -> http1.Response:
        for row in body.get("expect", []):
            item = self._items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                return _json(412, {"items": [item] if item else []})
        for row in body.get("puts", []):
            if row.get("lease") and row["lease"] not in self._leases:
                return _json(404, {})
        for row in body.get("puts", []):
            self._put(row["key"], row["value"], row.get("lease", 0))
        for key in body.get("remove", []):
            self._remove(key)
        return _json(200, {"revision": self._revision})

    def _grant(self, duration_s: float) -> http1.Response:
        lease, self._next_lease = self._next_lease, self._next_lease + 1
        self._leases[lease] = (duration_s, time.monotonic() + duration_s)
        return _json(200, {"lease": lease, "ttl_s_time": duration_s})

    def _renew(self, lease: int) -> http1.Response:
        if lease not in self._leases:
            return _json(404, {})
        duration_s, _ = self._leases[lease]
        self._leases[lease] = (duration_s, time.monotonic() + duration_s)
        return _json(200, {"lease": lease, "ttl_s_time": duration_s})

    def _put(self, key: str, value: str, lease: int) -> None:
        self._revision += 1
        known = self._items.get(key)
        self._items[key] = {
            "key": key,
            "value": value,
            "revision": self._revision,
            "created_at": known["created_at"] if known else self._revision,
            "lease": lease,
        }
        self._history.append(self._items[key])
        self._changed.set()

    def _remove(self, key: str) -> None:
        if self._items.pop(key, None) is not None:
            self._revision += 1
            self._history.append(
                {"key": key, "revision": self._revision, "tombstone": True}
            )
            self._changed.set()

    def _revoke(self, lease: int) -> None:
        self._leases.pop(lease, None)
        for key, item in list(self._items.items()):
            if item["lease"] == lease:
                self._remove(key)

    async def _expire_forever(self) -> None:
        while True:
            await asyncio.sleep(0.2)
            now_s = time.monotonic()
            for lease, (_, ends_s) in list(self._leases.items()):
                if ends_s < now_s:
                    self._revoke(lease)


def _json(status: int, document: dict[str, Any]) -> http1.Response:
    return http1.Response(
        status,
        {"Content-Type": "application/json"},
        json.dumps(document).encode(),
    )
