from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from thornlatch.cli import run
from thornlatch.cli._check import check_file
from thornlatch.cli._exits import EXIT_INVALID, EXIT_OK
from thornlatch.exceptions import SettingsError

ROOT = Path(__file__).parents[4]
SETTINGS = """
[host]
name = "host-1"
failure_domain = "a"
peer_address = "10.0.0.1:7000"
http_address = "10.0.0.1:8000"

[platform]
log = "10.0.0.9:80"
"""


def check(path, capsys):
    status = run(["check", str(path)])
    captured = capsys.readouterr()
    return status, captured.out, captured.err


def test_check_settings(tmp_path, capsys):
    path = tmp_path / "s.toml"
    path.write_text(SETTINGS)
    assert check(path, capsys) == (EXIT_OK, f"{path}: valid settings\n", "")


@pytest.mark.parametrize(
    ("old", "new", "fragments"),
    [
        ('"host-1"', "5", ["host.name", "5", "str"]),
        ("log =", "lgo =", ["platform.lgo", "unknown key", "10.0.0.9:80"]),
        ("[platform]", "[http]\nthreads = 1\n[platform]", ["http.threads", ">= 4"]),
        ("[host]", "[host", ["not valid TOML"]),
    ],
)
def test_check_settings_refused(tmp_path, capsys, old, new, fragments):
    path = tmp_path / "s.toml"
    path.write_text(SETTINGS.replace(old, new))
    status, _, err = check(path, capsys)
    assert status == EXIT_INVALID
    assert "error: invalid-settings" in err
    assert all(fragment in err for fragment in [str(path), *fragments])


def test_check_missing_file(tmp_path, capsys):
    status, _, err = check(tmp_path / "none.toml", capsys)
    assert status == EXIT_INVALID
    assert "can't read" in err


@pytest.mark.parametrize("name", ["kitabu", "mandacaru"])
def test_check_example(name, capsys):
    path = ROOT / "examples" / name / "inventory.toml"
    status, out, err = check(path, capsys)
    assert (status, err) == (EXIT_OK, "")
    assert "valid inventory: 5 organisations" in out


@given(position=st.integers(0, len(SETTINGS)), text=st.text(max_size=6))
def test_check_damaged_settings(tmp_path_factory, position, text):
    path = tmp_path_factory.mktemp("fuzz") / "s.toml"
    damaged = SETTINGS[:position] + text + SETTINGS[position + len(text) :]
    path.write_bytes(damaged.encode(errors="replace"))
    try:
        assert check_file(path).startswith("valid")
    except SettingsError as error:
        assert str(path) in error.format()
