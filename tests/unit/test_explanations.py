"""What `why request` says of a request whose answer was lost."""

import pytest

from burdockfront import timeline
from burdockfront_ctl import explanations


@pytest.mark.parametrize(
    ("kind", "detail", "expected"),
    [
        (
            "backend.answer-lost",
            {"why": "the server sent more than 16 other answers."},
            "its answer was lost: the server sent more than 16 other answers.",
        ),
        (
            "backend.answer-unnamed",
            {"status": 503},
            "its answer was lost: its answer named no request.",
        ),
    ],
)
def test_why_says_how_an_answer_was_lost(kind, detail, expected):
    ended = {"outcome": "unknown", "reason": "lost-answer"}
    text = explanations._describe_outcome(
        [
            timeline.Event(1, "n2", "dc1", kind, "r1", detail),
            timeline.Event(2, "n1", "dc1", "entry.answered", "r1", ended),
        ]
    )
    assert text.endswith(expected)
    assert "backend server of n2" in text
