"""Router embedded in a backend server or another caller.

An embedded router sends calls directly to the target's guard, so each call has
one relay instead of two, which adds about half the overhead
(docs/design/data-path.md). It fetches members and policies from its own node
once a second. Data that is up to a second old is safe, because the guards
enforce all guarantees and refuse any request that they must not accept.

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
        data_center: Data centre of this process.
        peer_keys: Keys shared with the nodes.
        node_address: Internal address of this process's node, `ip:port`.

    Attributes:
        dispatcher: Sends the calls.
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
        self._refresh_task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Starts fetching members and policies from the node."""
        self._refresh_task = asyncio.create_task(self._refresh_forever())

    async def close(self) -> None:
        """Stops fetching, and closes all connections."""
        if self._refresh_task is not None:
            self._refresh_task.cancel()
        await self.dispatcher.sender.close()

    def policy_of(self, service: str) -> policy_lib.Policy:
        """Returns the policy that the node sent last, or a default policy."""
        policy = self._policies.get(service)
        if policy is None:
            policy = policy_lib.default(service)
            self._policies[service] = policy
        return policy

    @contextlib.contextmanager
    def serving(self, signed_context: str) -> Iterator["Serving"]:
        """Opens the attempt of a request that the guard handed over.

        Args:
            signed_context: Value of the `Burdockfront-Context` header.

        Yields:
            The open request, through which nested calls are made.

        Raises:
            ForgedContextError: The context was not signed by a node.
        """
        context = context_lib.decode(signed_context, self._keys)
        attempt = self._attempts.begin(context)
        try:
            yield Serving(self, attempt)
        finally:
            self._attempts.end(context.attempt_id)

    async def refresh(self) -> None:
        """Fetches members and policies from the node once.

        Raises:
            DispatchError: The node did not answer with status 200.
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
                _LOG.warning(
                    "could not fetch members and policies from the node",
                    extra={"why": str(error)},
                )
            await asyncio.sleep(_REFRESH_S)


class Serving:
    """A request that a backend server is processing."""

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
        """Calls another service on behalf of this request."""
        if not self._router.dispatcher.router.targets_of(service):
            # This router has just started, or the service is new: refresh
            # before the call is refused.
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
        """Returns the headers that the guard expects on the answer."""
        level = self._router.dispatcher.level_tracker.path_level(
            self._attempt.context.class_name, time.monotonic()
        )
        return [
            (wire.UNSPENT, str(self._attempt.pool.units)),
            (wire.PATH_LEVEL, str(level)),
        ]
