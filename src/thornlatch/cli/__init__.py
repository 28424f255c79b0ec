"""Command line, with one module per command."""

from thornlatch.cli._main import run

__all__ = ["run"]
