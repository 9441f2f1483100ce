"""Fingerprints depend on the content of requests, not on their ids."""

import pytest

from burdockfront import fingerprints


def _fingerprint(**changes: object) -> str:
    fields = {
        "method": "GET",
        "host": "shop.example",
        "target": "/browse/x?page=2",
        "headers": (("accept", "*/*"),),
        "body": b"",
    }
    return fingerprints.fingerprint_of(**{**fields, **changes})


def test_repeat_with_another_id_has_the_same_fingerprint():
    first = _fingerprint(headers=(("request-id", "a"), ("accept", "*/*")))
    repeat = _fingerprint(headers=(("request-id", "b"), ("accept", "text/*")))
    assert first == repeat
    assert _fingerprint(host="SHOP.example") == _fingerprint()


@pytest.mark.parametrize(
    "change",
    [
        {"method": "HEAD"},
        {"host": "other.example"},
        {"target": "/browse/x?page=3"},
        {"body": b"x"},
        {"headers": (("authorization", "Bearer one"),)},
        {"headers": (("cookie", "session=one"),)},
    ],
)
def test_other_content_or_credentials_change_the_fingerprint(change):
    assert _fingerprint(**change) != _fingerprint()


def test_moving_bytes_between_parts_changes_the_fingerprint():
    assert _fingerprint(target="/a", body=b"bc") != _fingerprint(
        target="/ab", body=b"c"
    )
