import pytest

from thornlatch.admission import KeyTable
from thornlatch.configuration._inventory import Key, digest_key
from thornlatch.exceptions import ErrorKind, RequestRefused

KEY = Key(digest_key("secret"), "kitabu")


def make_table() -> KeyTable:
    table = KeyTable()
    table.set_keys([KEY], offset=5)
    return table


def get_refusal(table: KeyTable, bearer: str) -> ErrorKind:
    with pytest.raises(RequestRefused) as caught:
        table.get_organisation(bearer)
    return caught.value.kind


def test_key_in_force_names_its_organisation():
    assert make_table().get_organisation("secret") == "kitabu"


def test_key_unknown_is_refused():
    assert get_refusal(make_table(), "other") is ErrorKind.UNKNOWN_KEY


def test_key_withdrawn_is_refused_and_named_for_open_streams():
    table = make_table()
    assert table.set_keys([], offset=6) == {KEY.digest}
    assert get_refusal(table, "secret") is ErrorKind.KEY_WITHDRAWN


def test_key_withdrawn_stays_so_with_an_older_configuration():
    table = make_table()
    table.set_keys([], offset=6)
    assert table.set_keys([KEY], offset=5) == set()
    assert get_refusal(table, "secret") is ErrorKind.KEY_WITHDRAWN


def test_key_issued_again_works():
    table = make_table()
    table.set_keys([], offset=6)
    table.set_keys([KEY], offset=7)
    assert table.get_organisation("secret") == "kitabu"
