import pytest

import thornlatch
from thornlatch.cli import run
from thornlatch.cli._exits import EXIT_OK, EXIT_USAGE

COMMANDS = (
    "check",
    "config",
    "config publish",
    "config show",
    "config diff",
    "key",
    "key issue",
    "key withdraw",
    "target",
    "target drain",
    "host",
    "host list",
    "host remove",
    "host clear",
    "status",
    "where",
    "docs",
)


@pytest.mark.parametrize("command", ["", *COMMANDS])
def test_help(command, capsys, monkeypatch, snapshot):
    monkeypatch.setenv("COLUMNS", "80")
    assert run([*command.split(), "--help"]) == EXIT_OK
    text = capsys.readouterr().out
    assert "\n".join(line.rstrip() for line in text.splitlines()) == snapshot


def test_version(capsys):
    assert run(["--version"]) == EXIT_OK
    assert capsys.readouterr().out.strip() == thornlatch.__version__


@pytest.mark.parametrize(
    "arguments",
    [[], ["nope"], ["config"], ["config", "show"], ["check"], ["status"]],
    ids=" ".join,
)
def test_usage_error(arguments, capsys):
    assert run(arguments) == EXIT_USAGE
    assert "Error" in capsys.readouterr().err
