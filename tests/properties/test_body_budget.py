"""The memory for request bodies, against what it promises."""

import dataclasses

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from burdockfront import body_budget

_CAPACITY_BYTES = 100
_LARGEST_BYTES = 150
# What a body of unknown size asks for first.
_FIRST_BYTES = 20


@dataclasses.dataclass(eq=False)
class _Upload:
    """A body of one caller, as its connection sees it."""

    size_bytes: int
    is_sized: bool
    reservation: body_budget.Reservation | None = None
    is_refused: bool = False
    is_overdrawn: bool = False

    @property
    def next_bytes(self) -> int:
        """Room to ask for next."""
        assert self.reservation is not None
        if self.is_sized:
            return self.size_bytes
        grown_bytes = 2 * self.reservation.held_bytes or _FIRST_BYTES
        return min(grown_bytes, self.size_bytes)


class BodyBudgetMachine(stateful.RuleBasedStateMachine):
    """Bodies of known and unknown size arrive, stall, end, and give up."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0
        self.budget = body_budget.BodyBudget(_CAPACITY_BYTES, _LARGEST_BYTES)
        self.uploads: list[_Upload] = []

    def _in(self, *states: body_budget.State) -> list[_Upload]:
        return [
            upload
            for upload in self.uploads
            if upload.reservation is not None
            and upload.reservation.state in states
        ]

    @stateful.rule(
        size_bytes=strategies.integers(1, _LARGEST_BYTES),
        is_sized=strategies.booleans(),
    )
    def arrive(self, size_bytes: int, is_sized: bool) -> None:
        upload = _Upload(size_bytes, is_sized)

        def refuse() -> None:
            upload.is_refused = True

        upload.reservation = self.budget.open(lambda: None, refuse, self.now_s)
        self.uploads.append(upload)
        self.budget.ask(upload.reservation, upload.next_bytes, self.now_s)

    @stateful.rule()
    def read_on_everywhere(self) -> None:
        for upload in self._in(body_budget.State.READING):
            self._read_on(upload)

    @stateful.precondition(lambda self: self._in(body_budget.State.READING))
    @stateful.rule(data=strategies.data())
    def read_on(self, data: strategies.DataObject) -> None:
        reading = self._in(body_budget.State.READING)
        self._read_on(data.draw(strategies.sampled_from(reading)))

    def _read_on(self, upload: _Upload) -> None:
        """Asks for the room that an upload needs next, or completes it."""
        assert upload.reservation is not None
        if upload.reservation.state is not body_budget.State.READING:
            # Given up for one that was read on before it.
            return
        upload.reservation.progressed_s = self.now_s
        if upload.reservation.held_bytes >= upload.size_bytes:
            self.budget.complete(upload.reservation, upload.size_bytes)
        else:
            self.budget.ask(upload.reservation, upload.next_bytes, self.now_s)

    @stateful.precondition(lambda self: self._in(body_budget.State.WAITING))
    @stateful.rule(data=strategies.data())
    def grow_while_it_waits(self, data: strategies.DataObject) -> None:
        waiting = self._in(body_budget.State.WAITING)
        upload = data.draw(strategies.sampled_from(waiting))
        assert upload.reservation is not None
        self.budget.ask(upload.reservation, upload.size_bytes, self.now_s)

    @stateful.precondition(lambda self: self._in(body_budget.State.WAITING))
    @stateful.rule(data=strategies.data())
    def end_while_it_waits(self, data: strategies.DataObject) -> None:
        waiting = self._in(body_budget.State.WAITING)
        upload = data.draw(strategies.sampled_from(waiting))
        assert upload.reservation is not None
        before = self.budget.used_bytes - upload.reservation.held_bytes
        fits = before + upload.size_bytes <= 2 * _CAPACITY_BYTES
        kept = self.budget.complete(upload.reservation, upload.size_bytes)
        assert kept is fits
        upload.is_overdrawn = True
        if not kept:
            self.budget.release(upload.reservation, self.now_s)

    @stateful.precondition(lambda self: self._in(body_budget.State.COMPLETE))
    @stateful.rule(data=strategies.data(), shared=strategies.booleans())
    def answer(self, data: strategies.DataObject, shared: bool) -> None:
        complete = self._in(body_budget.State.COMPLETE)
        upload = data.draw(strategies.sampled_from(complete))
        assert upload.reservation is not None
        if shared:
            self.budget.retain(upload.reservation)
            before = self.budget.used_bytes
            self.budget.release(upload.reservation, self.now_s)
            assert self.budget.used_bytes == before, "it has another user"
        self.budget.release(upload.reservation, self.now_s)

    @stateful.precondition(
        lambda self: self._in(
            body_budget.State.READING, body_budget.State.WAITING
        )
    )
    @stateful.rule(data=strategies.data())
    def leave(self, data: strategies.DataObject) -> None:
        there = self._in(body_budget.State.READING, body_budget.State.WAITING)
        upload = data.draw(strategies.sampled_from(there))
        assert upload.reservation is not None
        self.budget.release(upload.reservation, self.now_s)

    @stateful.rule(time_s=strategies.floats(0.0, 2.0))
    def check_for_stalls(self, time_s: float) -> None:
        self.now_s += time_s
        self.budget.give_up_stalled(self.now_s)

    @stateful.rule(size_bytes=strategies.integers(1, _LARGEST_BYTES))
    def ask_when_to_return(self, size_bytes: int) -> None:
        assert 0.0 < self.budget.retry_after_s(size_bytes, self.now_s) <= 5.0

    @stateful.invariant()
    def bodies_stay_within_the_capacity(self) -> None:
        held = [
            upload
            for upload in self.uploads
            if upload.reservation is not None and upload.reservation.held_bytes
        ]
        used_bytes = sum(
            upload.reservation.held_bytes
            for upload in held
            if upload.reservation is not None
        )
        assert self.budget.used_bytes == used_bytes
        limit_bytes = _CAPACITY_BYTES
        if any(upload.is_overdrawn for upload in held):
            limit_bytes = 2 * _CAPACITY_BYTES
        assert used_bytes <= limit_bytes or len(held) == 1

    @stateful.invariant()
    def none_waits_while_nothing_can_drain(self) -> None:
        if self._in(body_budget.State.WAITING):
            drains = self._in(
                body_budget.State.READING, body_budget.State.COMPLETE
            )
            assert any(
                upload.reservation is not None and upload.reservation.held_bytes
                for upload in drains
            )

    @stateful.invariant()
    def unread_bodies_wait_in_their_order(self) -> None:
        waiting = [
            upload
            for upload in self._in(body_budget.State.WAITING)
            if upload.reservation is not None
            and not upload.reservation.held_bytes
        ]
        if not waiting:
            return
        first = self.uploads.index(waiting[0])
        later = [
            upload
            for upload in self.uploads[first + 1 :]
            if upload.reservation is not None
            and upload.reservation.held_bytes
            and not upload.is_overdrawn
        ]
        assert not later, "a later body has room, and an earlier one has none"

    @stateful.invariant()
    def only_bodies_that_are_not_whole_are_given_up(self) -> None:
        for upload in self._in(body_budget.State.COMPLETE):
            assert not upload.is_refused


TestBodyBudget = BodyBudgetMachine.TestCase
TestBodyBudget.settings = hypothesis.settings(
    max_examples=200, stateful_step_count=40, deadline=None
)
