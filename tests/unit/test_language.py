"""Tests for parsing the operators' language and its error messages."""

import pytest

from burdockfront_ctl import language


@pytest.mark.parametrize(
    ("text", "command"),
    [
        ("show members", language.Show("members")),
        ("show policy fees", language.Show("policy", "fees")),
        ("why request a-1", language.Why("request", "a-1")),
        (
            "why class browse at fees",
            language.Why("class", "browse", "fees"),
        ),
        (
            "timeline request a-1 dc dc1 last 5",
            language.Timeline(request="a-1", data_center="dc1", last=5),
        ),
        (
            "set policy fees retry.allowance = 1 if revision 12",
            language.SetPolicy("fees", "retry.allowance", 1, 12),
        ),
        (
            "set policy fees retry.ratio = 0.25",
            language.SetPolicy("fees", "retry.ratio", 0.25, None),
        ),
        (
            "set policy fees admission.kind = limit",
            language.SetPolicy("fees", "admission.kind", "limit", None),
        ),
        ("drain fees-1", language.Drain("fees-1", True)),
        ("show quarantine", language.Show("quarantine")),
        ("show limits", language.Show("limits")),
        (
            "show servers fees at entry-1",
            language.ShowServers("fees", "entry-1"),
        ),
        (
            "release 0123456789abcdef",
            language.Release("0123456789abcdef"),
        ),
        (
            "release feedfacefeedface",
            language.Release("feedfacefeedface"),
        ),
        ("undrain fees-1", language.Drain("fees-1", False)),
        ("verify change c-ab12", language.Verify("c-ab12")),
        ("history fees", language.History("fees")),
    ],
)
def test_command_is_parsed(text, command):
    assert language.parse(text) == command


@pytest.mark.parametrize(
    ("text", "column", "expected"),
    [
        ("show memberz", 5, "'members'"),
        ("drian fees-1", 0, "'drain'"),
        ("set policy fees retry.ratio 0.2", 28, "'='"),
        ("why request", 12, "a name"),
        ("", 1, "'show'"),
    ],
)
def test_error_message_marks_the_offending_word(text, column, expected):
    with pytest.raises(language.LanguageError) as caught:
        language.parse(text)
    lines = str(caught.value).split("\n")
    assert lines[1].index("^") == column
    assert expected in lines[1]
