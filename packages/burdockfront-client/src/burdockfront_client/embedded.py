"""The router inside a backend server or a caller: one relay per call.

Measured, one relay adds about half of what two add (docs/design/data-path.md),
so programs in Python embed this. It learns members and policies from its own
node once a second; a table that is a second old is safe, because every
promise is kept by the guards, which refuse what they must not take.

    router = embedded.EmbeddedRouter("app-1", "dc1", keys, "127.0.0.1:7101")
    await router.start()
    with router.serving(request.headers["Burdockfront-Context"]) as serving:
        answer = await serving.call("fees", "POST", "/charge")
        extra_headers = serving.headers()   # go back with the answer
"""

import asyncio
import contextlib
import logging
import random
import secrets
import time
from collections.abc import Iterator

import orjson

from burdockfront import context as context_lib
from burdockfront import errors
from burdockfront import keyring as keyring_lib
from burdockfront import members as members_lib
from burdockfront import outcomes
from burdockfront import policy as policy_lib
from burdockfront import tables
from burdockfront import timeline
from burdockfront_client import attempts as attempts_lib
from burdockfront_client import calls
from burdockfront_client import dispatcher as dispatcher_lib
from burdockfront_client import wire

_LOG = logging.getLogger(__name__)
_REFRESH_S = 1.0
_TIMEOUT_S = 1.0
_LIMIT_BYTES = 4_000_000
_EVENTS = 1_000
_TICKET_LIFETIME_S = 900.0


class EmbeddedRouter:
    """Routes calls from inside another program.

    Args:
        name: Unique name of this process.
        data_center: Where it runs.
        peer_keys: The nodes' keys.
        node_address: Internal address of the node beside it, `ip:port`.
    """

    def __init__(
        self,
        name: str,
        data_center: str,
        peer_keys: list[str],
        node_address: str,
    ):
        self._node_address = node_address
        self._keys = keyring_lib.KeyRing(peer_keys)
        self._policies: dict[str, policy_lib.Policy] = {}
        self._attempts = attempts_lib.AttemptTracker()
        self.dispatcher = dispatcher_lib.Dispatcher(
            name,
            data_center,
            self._keys,
            self.policy_of,
            timeline.Recorder(name, data_center, _EVENTS),
            _TICKET_LIFETIME_S,
            random.Random(secrets.randbits(64)),
        )
        self._refreshing: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Begins to learn members and policies from the node."""
        self._refreshing = asyncio.create_task(self._refresh_forever())

    async def close(self) -> None:
        """Closes connections."""
        if self._refreshing is not None:
            self._refreshing.cancel()
        await self.dispatcher.sender.close()

    def policy_of(self, service: str) -> policy_lib.Policy:
        """Returns the policy in force, as the node told it last."""
        policy = self._policies.get(service)
        if policy is None:
            policy = policy_lib.default(service)
            self._policies[service] = policy
        return policy

    @contextlib.contextmanager
    def serving(self, signed_context: str) -> Iterator["Serving"]:
        """Opens the attempt behind a request that the guard handed over.

        Args:
            signed_context: Value of the `Burdockfront-Context` header.

        Raises:
            ForgedContextError: It was not signed by a node.
        """
        context = context_lib.decode(signed_context, self._keys)
        attempt = self._attempts.begin(context)
        try:
            yield Serving(self, attempt)
        finally:
            self._attempts.end(context.attempt_id)

    async def refresh(self) -> None:
        """Learns members and policies once.

        Raises:
            DispatchError: The node did not answer.
        """
        headers = {"Authorization": f"Bearer {self._keys.first()}"}
        reply = await self.dispatcher.sender.peers.request(
            self._node_address,
            "POST",
            "/backend/targets",
            headers,
            b"{}",
            _TIMEOUT_S,
            _LIMIT_BYTES,
        )
        if reply.status != 200:
            raise errors.DispatchError(
                f"the node at {self._node_address} answered {reply.status}; "
                f"check that peer_keys are the same."
            )
        data = orjson.loads(reply.body)
        members = [
            members_lib.member_from_entry(tables.entry_from_json(entry))
            for entry in data["members"]
        ]
        self.dispatcher.router.update(m.to_target() for m in members)
        parsed = [policy_lib.parse(d) for d in data["policies"]]
        self._policies = {policy.service: policy for policy in parsed}

    async def _refresh_forever(self) -> None:
        while True:
            try:
                await self.refresh()
            except errors.BurdockfrontError as error:
                _LOG.warning("members not learned", extra={"why": str(error)})
            await asyncio.sleep(_REFRESH_S)


class Serving:
    """One request that a backend server works on."""

    def __init__(
        self, router: EmbeddedRouter, attempt: attempts_lib.OpenAttempt
    ):
        self._router = router
        self._attempt = attempt

    async def call(
        self,
        service: str,
        method: str,
        target: str,
        headers: tuple[tuple[str, str], ...] = (),
        body: bytes = b"",
    ) -> outcomes.Answer:
        """Calls a deeper service on behalf of this request."""
        if not self._router.dispatcher.router.targets_of(service):
            # Just started, or the service is new: ask before refusing.
            with contextlib.suppress(errors.DispatchError):
                await self._router.refresh()
        policy = self._router.policy_of(service)
        call = calls.nested_call(
            self._attempt,
            service,
            method,
            target,
            headers,
            body,
            policy.deadline_s,
        )
        return await self._router.dispatcher.call(call)

    def headers(self) -> list[tuple[str, str]]:
        """Returns headers that the guard wants with the answer."""
        level = self._router.dispatcher.level_tracker.path_level(
            self._attempt.context.class_name, time.monotonic()
        )
        return [
            (wire.UNSPENT, str(self._attempt.pool.units)),
            (wire.PATH_LEVEL, str(level)),
        ]
