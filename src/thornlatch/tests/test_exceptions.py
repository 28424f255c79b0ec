import pytest

from thornlatch.exceptions import ANSWERS, ErrorKind, SettingsError


@pytest.mark.parametrize("kind", list(ErrorKind), ids=lambda kind: kind.value)
def test_answers_cover_every_kind(kind):
    answer = ANSWERS[kind]
    assert 400 <= answer.status < 600
    assert answer.hint


def test_format_shows_what_where_why_and_hint():
    error = SettingsError("bad value", context="a.toml: x", note="too high", hint="fix")
    assert error.format() == (
        "error: invalid-settings\n  bad value\n  where: a.toml: x\n"
        "  note: too high\n  hint: fix"
    )
