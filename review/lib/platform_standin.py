"""Stand-in for the platform's store, and for its start of processes.

Standard library only. The store implements the published calls: ranges, single
items, watches, transactions and leases. `Process` renders the settings template
of the deploy file, starts the role's command, and restarts it after a kill.
"""

import asyncio
import base64
import json
import os
import pathlib
import re
import shlex
import signal
import sys
import time
import tomllib
import urllib.parse

from http_standin import HttpServer, Response

ROOT = pathlib.Path(__file__).resolve().parents[2]


# ---- store ------------------------------------------------------------------


class Store(HttpServer):
    """The key-value store: linearizable, loses nothing, no faults."""

    def __init__(self, address):
        super().__init__(address)
        self.revision = 10
        self.items = {}
        self.leases = {}
        self.history = []
        self.changed = asyncio.Condition()
        self.next_lease = 1000

    async def operator_writes(self, key, document):
        """Writes as the operator does."""
        value = base64.b64encode(json.dumps(document).encode()).decode()
        self._put(key, value, 0)
        await self._notify()

    async def handle(self, request):
        path, _, query = request.target.partition("?")
        args = dict(urllib.parse.parse_qsl(query))
        await asyncio.sleep(0.004)
        await self._expire()
        parts = path.strip("/").split("/")
        name = parts[0]
        if name == "kv-key":
            item = self.items.get(args["key"])
            if item is None:
                return reply(404, {"as_of": self.revision})
            return reply(200, {**item, "as_of": self.revision})
        if name == "kv-range":
            return self._range(args)
        if name == "kv-watch":
            return await self._watch(args)
        if name == "kv-txn":
            return await self._txn(json.loads(request.body))
        if name == "kv-lease":
            return self._grant(json.loads(request.body))
        if name == "kv-keep":
            lease = int(parts[1])
            if lease not in self.leases:
                return reply(404, {})
            ttl, _ = self.leases[lease]
            self.leases[lease] = (ttl, time.monotonic() + ttl)
            return reply(200, {"ttl_s_time": ttl})
        if name == "kv-lease-end":
            self._end(int(parts[1]))
            await self._notify()
            return reply(200, {})
        return reply(404, {})

    def _range(self, args):
        keys = sorted(
            key
            for key in self.items
            if key.startswith(args["prefix"]) and key > args.get("after", "")
        )
        items = [self.items[key] for key in keys[:500]]
        more = len(keys) > 500
        return reply(
            200, {"items": items, "has_more": more, "as_of": self.revision}
        )

    async def _watch(self, args):
        after = int(args["after"])
        until = time.monotonic() + int(args["wait_ms"]) / 1000
        while True:
            events = [
                event
                for event in self.history
                if event["revision"] > after
                and event["key"].startswith(args["prefix"])
            ]
            left = until - time.monotonic()
            if events or left <= 0:
                return reply(200, {"events": events, "as_of": self.revision})
            try:
                async with asyncio.timeout(min(left, 1.0)), self.changed:
                    await self.changed.wait()
            except TimeoutError:
                pass

    async def _txn(self, body):
        for row in body["expect"]:
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                return reply(412, {"items": []})
        for row in body["puts"]:
            if row["key"].startswith(("op/", "servers/")):
                return reply(403, {})
            if row.get("lease") and row["lease"] not in self.leases:
                return reply(404, {})
        for row in body["puts"]:
            self._put(row["key"], row["value"], row.get("lease", 0))
        for key in body.get("remove", []):
            self._remove(key)
        await self._notify()
        return reply(200, {"revision": self.revision})

    def _grant(self, body):
        self.next_lease += 1
        ttl = body["ttl_s_time"]
        self.leases[self.next_lease] = (ttl, time.monotonic() + ttl)
        return reply(200, {"lease": self.next_lease, "ttl_s_time": ttl})

    async def _expire(self):
        now = time.monotonic()
        over = [n for n, (_, until) in self.leases.items() if until < now]
        for lease in over:
            self._end(lease)
        if over:
            await self._notify()

    def _end(self, lease):
        self.leases.pop(lease, None)
        for key, item in list(self.items.items()):
            if item["lease"] == lease:
                self._remove(key)

    def _put(self, key, value, lease):
        self.revision += 1
        known = self.items.get(key)
        created = known["created_at"] if known else self.revision
        item = {
            "key": key,
            "value": value,
            "revision": self.revision,
            "created_at": created,
            "lease": lease,
        }
        self.items[key] = item
        self.history.append(item)

    def _remove(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.history.append(
                {"key": key, "revision": self.revision, "tombstone": True}
            )

    async def _notify(self):
        async with self.changed:
            self.changed.notify_all()


def reply(status, document):
    headers = [("Content-Type", "application/json")]
    return Response(status, headers, json.dumps(document).encode())


# ---- settings and processes -------------------------------------------------

_TAG = re.compile(r"\{\{([#^/]?)([^}|]+)(\|json)?\}\}")


def render(template, fields):
    """Fills in a settings template as the page on the deploy file says."""
    out, _ = _render(template, 0, fields, "")
    return out


def _look_up(fields, name):
    if name == ".":
        return fields
    value = fields
    for part in name.split("."):
        if isinstance(value, dict):
            value = value.get(part)
        elif isinstance(value, list) and part.isdigit():
            value = value[int(part)] if int(part) < len(value) else None
        else:
            return None
    return value


def _render(template, at, fields, closing):
    out = []
    while True:
        tag = _TAG.search(template, at)
        if tag is None:
            out.append(template[at:])
            return "".join(out), len(template)
        out.append(template[at : tag.start()])
        kind, name, as_json = tag.group(1), tag.group(2).strip(), tag.group(3)
        at = tag.end()
        if kind == "/":
            assert name == closing, (name, closing)
            return "".join(out), at
        value = _look_up(fields, name)
        if kind in ("#", "^"):
            inner, at = _render(template, at, fields, name)
            present = value not in (None, False, "", [], {})
            if present == (kind == "#"):
                out.append(inner)
        elif as_json:
            out.append(json.dumps(value))
        elif value is None:
            pass
        elif isinstance(value, list):
            out.append(",".join(map(str, value)))
        elif isinstance(value, (dict, bool)):
            out.append(json.dumps(value))
        else:
            out.append(str(value))


class Process:
    """One node, started with the command of the deploy file."""

    def __init__(self, folder, fields, record):
        self.fields = fields
        self.name = fields["node_name"]
        self.record = record
        self.settings = folder / f"{self.name}.yaml"
        self.log = folder / f"{self.name}.log"
        self.process = None
        self.started_s = []
        self.ended = False

    async def start(self):
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = deploy["roles"]["node"]
        template = (ROOT / role["template"]).read_text()
        self.settings.write_text(render(template, self.fields))
        words = [
            str(self.settings) if word.startswith("/etc/burdockfront/") else word
            for word in shlex.split(role["run"])
        ]
        if words[0] == "python3":
            words[0] = sys.executable
        env = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        env["PYTHONPATH"] = str(ROOT / "target/deps")
        env["BURDOCKFRONT_CONFIG"] = str(self.settings)
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *words, cwd=ROOT, env=env, stdout=log, stderr=log,
                stdin=asyncio.subprocess.DEVNULL,
            )
        self.started_s.append(time.monotonic())
        self.record(what="node started", node=self.name)

    def send(self, number):
        self.record(what=f"signal {signal.Signals(number).name}", node=self.name)
        self.process.send_signal(number)

    async def wait(self):
        return await self.process.wait()

    async def close(self):
        self.ended = True
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()

    def rss_mb(self):
        """Resident memory as the platform sees it."""
        try:
            text = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0.0
        found = re.search(r"VmRSS:\s+(\d+) kB", text)
        return int(found.group(1)) / 1024 if found else 0.0
