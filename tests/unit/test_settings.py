"""Validation of settings: errors name the path of a value and the remedy."""

import pytest

from burdockfront import errors
from burdockfront import levels
from burdockfront_node import backend
from burdockfront_node import settings

# A node with 940 members; see docs/CAPACITY.md.
_AT_REST_BYTES = 60_000_000


def _document(**changes):
    document = {
        "node_id": "fees-1",
        "data_center": "dc1",
        "caller_address": "127.0.0.1:7000",
        "internal_address": "127.0.0.1:7100",
        "peer_keys": ["a-peer-key-0123456789"],
        "operator_keys": ["an-operator-key-0123456789"],
    }
    return {**document, **changes}


def test_defaults_are_filled_in():
    assert settings.parse(_document(), "x").gossip.period_s == 1.0


@pytest.mark.parametrize(
    ("changes", "limit_bytes"),
    [
        ({}, 32_000_000),
        ({"memory_mb": 0}, 32_000_000),
        ({"memory_mb": 200}, 25_000_000),
    ],
)
def test_incomplete_answers_get_a_part_of_the_memory(changes, limit_bytes):
    found = settings.parse(_document(**changes), "x")
    assert found.incomplete_answers_bytes == limit_bytes


@pytest.mark.parametrize("memory_mb", [200, 300, 552])
def test_limits_together_leave_room_for_a_node_at_rest(memory_mb):
    """Guards against limits that only hold one by one."""
    found = settings.parse(_document(memory_mb=memory_mb), "x")
    together_bytes = (
        found.incomplete_answers_bytes
        + 2 * found.request_bodies_bytes
        + found.unsent_answers_bytes
        + found.kept_answers_bytes
    )
    assert together_bytes + _AT_REST_BYTES <= memory_mb * 1_000_000


@pytest.mark.parametrize(
    ("changes", "message"),
    [
        ({"caller_address": "localhost:1"}, "caller_address.*IP number"),
        ({"peer_keys": ["short"]}, "peer_keys.0"),
        ({"peer_keys": []}, "peer_keys"),
        ({"gossip": {"period": 1}}, "gossip.period: unknown key"),
        ({"node_id": "a b"}, "node_id"),
        ({"ticket_lifetime_s": 1}, "ticket_lifetime_s"),
        ({"memory_mb": -1}, "memory_mb"),
        ({"routed": {"load_reports": "no"}}, "routed.load_reports"),
    ],
)
def test_invalid_values_are_named(changes, message):
    with pytest.raises(errors.SettingsError, match=message):
        settings.parse(_document(**changes), "node.yaml")


def test_entry_behaviours_are_on_by_default_and_checked():
    routed = {
        "adapter": "burdockfront_platform",
        "service": "fees",
        **{
            f"{name}_address": "127.0.0.1:1"
            for name in ("backend", "heartbeat", "ready", "metrics", "store")
        },
    }
    found = settings.parse(_document(routed=routed), "x").routed
    assert found.early_refusals
    assert found.retry_after == "target"
    assert found.level_relax_per_s == levels.RELAX_PER_S
    for wrong in (
        {"retry_after": "soon"},
        {"early_refusals": "perhaps"},
        {"level_relax_per_s": 0},
        {"level_relax_after_s": 0},
    ):
        (name,) = wrong
        with pytest.raises(errors.SettingsError, match=f"routed.{name}"):
            settings.parse(_document(routed={**routed, **wrong}), "x")


def test_missing_value_is_named():
    document = _document()
    del document["node_id"]
    with pytest.raises(errors.SettingsError, match="node_id: required"):
        settings.parse(document, "node.yaml")


def test_each_invalid_value_of_a_file_is_named_with_its_line(tmp_path):
    # All mistakes in a file of hundreds of lines are reported in one run,
    # including missing and misspelt keys of nested sections.
    path = tmp_path / "node.yaml"
    path.write_text(
        "data_center: dc1\n"
        "caller_address: localhost:1\n"
        "internal_address: 127.0.0.1:7100\n"
        "gossip:\n"
        "  period: 1\n"
        "peer_keys:\n"
        "  - a-peer-key-0123456789\n"
        "  - short\n"
        "operator_keys: [an-operator-key-0123456789]\n"
    )
    with pytest.raises(errors.SettingsError) as raised:
        settings.load(path)
    message = str(raised.value)
    assert "line 1: node_id: required" in message
    assert "line 2: caller_address" in message
    assert "line 5: gossip.period: unknown key" in message
    assert "line 8: peer_keys.1" in message


def test_missing_file_is_refused_with_the_remedy(tmp_path):
    with pytest.raises(errors.SettingsError, match="--settings"):
        settings.load(tmp_path / "none.yaml")


def test_file_that_is_not_yaml_is_refused(tmp_path):
    path = tmp_path / "node.yaml"
    path.write_text("a: [")
    with pytest.raises(errors.SettingsError, match="not valid YAML"):
        settings.load(path)


def test_invalid_field_of_an_announcement_is_named():
    with pytest.raises(errors.InvalidInputError, match="slots"):
        backend.parse_announcement(
            {"service": "fees", "address": "127.0.0.1:1", "slots": 0}
        )


@pytest.mark.parametrize("value", ["maybe", 1, "true"])
def test_fair_shares_are_on_or_off(value):
    routed = {
        "adapter": "x",
        "service": "fees",
        "backend_address": "127.0.0.1:1",
        "heartbeat_address": "127.0.0.1:2",
        "ready_address": "127.0.0.1:3",
        "metrics_address": "127.0.0.1:4",
        "store_address": "127.0.0.1:5",
    }
    found = settings.parse(_document(routed=routed), "x")
    assert found.routed.fair_shares
    off = settings.parse(
        _document(routed={**routed, "fair_shares": False}), "x"
    )
    assert not off.routed.fair_shares
    with pytest.raises(errors.SettingsError, match=r"routed\.fair_shares"):
        settings.parse(_document(routed={**routed, "fair_shares": value}), "x")
