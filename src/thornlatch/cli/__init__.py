"""Command line: one command a module."""

from thornlatch.cli._main import run

__all__ = ["run"]
