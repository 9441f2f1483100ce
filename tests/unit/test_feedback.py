"""What a router learns from the answers of guards."""

import random

from burdockfront import fair_shares
from burdockfront import levels
from burdockfront import routing
from burdockfront import timeline
from burdockfront_client import calls
from burdockfront_client import feedback as feedback_lib
from tests import builders


class _Router(routing.Router):
    """Logs the paces that are recorded."""

    def __init__(self) -> None:
        super().__init__("dc1", random.Random(1))
        self.paces: list[tuple[str, float, float]] = []

    def record_pace(self, node_id: str, pace: float, now_s: float) -> None:
        super().record_pace(node_id, pace, now_s)
        self.paces.append((node_id, pace, now_s))


def _feedback(router: routing.Router) -> feedback_lib.Feedback:
    level_tracker = levels.LevelTracker()
    return feedback_lib.Feedback(
        router,
        level_tracker,
        fair_shares.ShareTracker(level_tracker),
        timeline.Recorder("n1", "dc1", 10),
        calls.Counters(),
    )


def _record(
    feedback: feedback_lib.Feedback, node_id: str, pace: float, now_s: float
) -> None:
    answer = builders.an_answer()
    answer.pace = pace
    target = builders.a_target(node_id)
    feedback.record(builders.a_call(), target, answer, 0.01, now_s)


def test_pace_is_recorded_until_it_is_usual_again():
    """Guards against a server that counts as slow after its slow moment."""
    router = _Router()
    router.update(builders.a_target(name) for name in ("n1", "n2"))
    feedback = _feedback(router)
    for now_s, pace in enumerate((1.0, 2.5, 2.0, 1.0, 1.0)):
        _record(feedback, "n1", pace, float(now_s))
        _record(feedback, "n2", 1.0, float(now_s))
    assert router.paces == [
        ("n1", 2.5, 1.0),
        ("n1", 2.0, 2.0),
        ("n1", 1.0, 3.0),
    ]
    state = router._states["n1"]
    assert (state.pace, state.pace_at_s) == (1.0, 3.0)


def test_pace_of_an_unknown_guard_is_ignored():
    # The last answers of a guard may arrive after it has left.
    router = _Router()
    _record(_feedback(router), "n9", 2.5, 1.0)
    assert "n9" not in router._states


def test_pace_is_unknown_after_a_restart_of_the_node():
    router = _Router()
    router.update([builders.a_target("n1")])
    _record(_feedback(router), "n1", 2.5, 1.0)
    assert router._states["n1"].pace == 2.5
    router.update([builders.a_target("n1", boot_id="later")])
    assert router._states["n1"].pace == 1.0


def test_memory_for_paces_of_guards_is_bounded():
    """Guards against growth while nodes are replaced for weeks."""
    feedback = _feedback(_Router())
    for number in range(3000):
        _record(feedback, f"n{number}", 2.5, 1.0)
    assert len(feedback._paced) <= 1024
