"""Requests that wait at one node for tokens of the quota allocator."""

import asyncio
import dataclasses
from collections.abc import Callable

from burdockfront import quotas

# Lowest wait of a request without a token, as 0 means that it has one.
_MIN_WAIT_S = 0.001
# Wait of a request that the allocator's reply does not mention: until the next
# report.
_UNANSWERED_WAIT_S = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class TokenReply:
    """The allocator's answer to one waiting request.

    Attributes:
        granted: Whether the request has a token, from `wait_s` on.
        wait_s: Time until its token is available. Without a token, time until
            one is available to others.
        allocator_id: The node that answered.
    """

    granted: bool
    wait_s: float
    allocator_id: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class _Waiter:
    max_wait_s: float
    answer: asyncio.Future[TokenReply]


class TokenBatch:
    """The waiting requests that one report asks tokens for.

    Args:
        waiters: The requests, by account and rank.
    """

    def __init__(self, waiters: dict[tuple[str, int], list[_Waiter]]):
        self._waiters = waiters

    def requests(self) -> tuple[quotas.TokenRequest, ...]:
        """Returns the token requests of the report."""
        return tuple(
            quotas.TokenRequest(
                account,
                rank,
                len(waiters),
                max(waiter.max_wait_s for waiter in waiters),
            )
            for (account, rank), waiters in self._waiters.items()
        )

    def resolve(
        self,
        grants: tuple[quotas.TokenGrant, ...],
        allocator_id: str,
        give_back: Callable[[str], None],
    ) -> None:
        """Hands the tokens to the requests, in the order of their arrival.

        Args:
            grants: The allocator's answers.
            allocator_id: The node that answered.
            give_back: Called with the account of each token that is left over
                because its request was cancelled or does not wait that long.
        """
        for grant in grants:
            waiters = self._waiters.pop((grant.account, grant.rank), [])
            for _ in range(_hand_out(grant, waiters, allocator_id)):
                give_back(grant.account)
        self.refuse(_UNANSWERED_WAIT_S)

    def refuse(self, wait_s: float) -> None:
        """Refuses all requests that have no answer yet."""
        for waiters in self._waiters.values():
            for waiter in waiters:
                _answer(waiter, TokenReply(False, max(_MIN_WAIT_S, wait_s)))


class TokenWaiters:
    """Requests that wait for the next report."""

    def __init__(self) -> None:
        self._waiters: dict[tuple[str, int], list[_Waiter]] = {}

    def __bool__(self) -> bool:
        return bool(self._waiters)

    def add(
        self, account: str, rank: int, max_wait_s: float
    ) -> asyncio.Future[TokenReply]:
        """Adds a request; returns the future answer to it."""
        answer: asyncio.Future[TokenReply]
        answer = asyncio.get_running_loop().create_future()
        waiters = self._waiters.setdefault((account, rank), [])
        waiters.append(_Waiter(max_wait_s, answer))
        return answer

    def take(self) -> TokenBatch:
        """Removes and returns all requests, for a report."""
        batch = TokenBatch(self._waiters)
        self._waiters = {}
        return batch


def _hand_out(
    grant: quotas.TokenGrant, waiters: list[_Waiter], allocator_id: str
) -> int:
    """Answers the requests of a grant; returns the number of unused tokens."""
    used = 0
    refused = TokenReply(False, max(_MIN_WAIT_S, grant.next_wait_s))
    for waiter in waiters:
        wait_s = _wait_of_token(grant, used)
        if wait_s is None or wait_s > waiter.max_wait_s:
            _answer(waiter, refused)
        elif _answer(waiter, TokenReply(True, wait_s, allocator_id)):
            used += 1
    return grant.count + grant.promised - used


def _wait_of_token(grant: quotas.TokenGrant, number: int) -> float | None:
    """Returns the time until a token of a grant is available.

    Args:
        grant: The grant.
        number: Which of its tokens, from 0 on.

    Returns:
        None if the grant has fewer tokens.
    """
    if number < grant.count:
        return 0.0
    promised = number - grant.count
    if promised < grant.promised:
        return grant.wait_s + promised * grant.interval_s
    return None


def _answer(waiter: _Waiter, reply: TokenReply) -> bool:
    """Answers a request; returns False if it was cancelled meanwhile."""
    if waiter.answer.done():
        return False
    waiter.answer.set_result(reply)
    return True
