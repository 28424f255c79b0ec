"""Explains the outcome of a request from the logs of all gateway hosts."""

from thornlatch.story._lines import LogLine, read_lines
from thornlatch.story._story import RequestExplanation, explain_request

__all__ = ["LogLine", "RequestExplanation", "read_lines", "explain_request"]
